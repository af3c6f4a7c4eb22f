/** Reads the Prometheus metrics of the entries. */
import * as undici from 'undici';

/** Sums of metrics over all entries. */
export type EntryMetrics = {
	/** Sum of a metric over all entries and labels. */
	getSum(name: string): number;
	/** Sum of a metric over the samples whose labels contain the text, e.g. `kind="probe"`. */
	getSumByLabel(name: string, label: string): number;
};

type Sample = {readonly name: string; readonly labels: string; readonly value: number};

/** Fetches `/metrics` from each entry. */
export async function readMetrics(addresses: readonly string[]): Promise<EntryMetrics> {
	const texts = await Promise.all(addresses.map(async address => {
		const response = await undici.request(`http://${address}/metrics`);
		return response.body.text();
	}));
	const samples = texts.flatMap(text => parseSamples(text));
	return {
		getSum: name => sumValues(samples.filter(sample => sample.name === name)),
		getSumByLabel: (name, label) => sumValues(samples.filter(sample => sample.name === name && sample.labels.includes(label))),
	};
}

function parseSamples(text: string): Sample[] {
	return text
		.split('\n')
		.filter(line => line !== '' && !line.startsWith('#'))
		.map(line => {
			const match = /^(?<name>[a-z_]+)(?<labels>\{.*\})? (?<value>\S+)/v.exec(line);
			return {name: match?.groups?.name ?? '', labels: match?.groups?.labels ?? '', value: Number(match?.groups?.value ?? 0)};
		});
}

function sumValues(samples: readonly Sample[]): number {
	let total = 0;
	for (const {value} of samples) {
		total += value;
	}

	return total;
}
