/** Reads what the entries count about themselves. */
import * as undici from 'undici';

/** Sums over entries by metric, and by metric and one label. */
export type EntryMetrics = {
	/** Sum of a metric over all entries and labels. */
	getSum(name: string): number;
	/** Sum of a metric over the samples that carry the label text, e.g. `kind="probe"`. */
	getSumWith(name: string, label: string): number;
};

type Sample = {readonly name: string; readonly labels: string; readonly value: number};

/** Reads the metrics of all entries. */
export async function readMetrics(addresses: readonly string[]): Promise<EntryMetrics> {
	const texts = await Promise.all(addresses.map(async address => {
		const response = await undici.request(`http://${address}/metrics`);
		return response.body.text();
	}));
	const samples = texts.flatMap(text => parse(text));
	return {
		getSum: name => sum(samples.filter(sample => sample.name === name)),
		getSumWith: (name, label) => sum(samples.filter(sample => sample.name === name && sample.labels.includes(label))),
	};
}

function parse(text: string): Sample[] {
	return text
		.split('\n')
		.filter(line => line !== '' && !line.startsWith('#'))
		.map(line => {
			const match = /^(?<name>[a-z_]+)(?<labels>\{.*\})? (?<value>\S+)/v.exec(line);
			return {name: match?.groups?.name ?? '', labels: match?.groups?.labels ?? '', value: Number(match?.groups?.value ?? 0)};
		});
}

function sum(samples: readonly Sample[]): number {
	let total = 0;
	for (const {value} of samples) {
		total += value;
	}

	return total;
}
