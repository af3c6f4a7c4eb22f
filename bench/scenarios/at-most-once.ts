/** Measures the latency of each variant of at-most-once execution. Calls of all variants are interleaved at the same rate. */
import * as hdr from 'hdr-histogram-js';
import * as undici from 'undici';
import * as z from 'zod';
import {rowSchema} from '../../src/decisions/table/rows.ts';
import {sendJson, startFleet} from '../../stand-ins/fleet.ts';

/** Options of one run. */
export type AtMostOnceOptions = {
	readonly seed: number;
	readonly seconds: number;
	/** Calls per second of each variant. */
	readonly rate?: number;
	/** Time that the log takes to append one record. */
	readonly logDelayMilliseconds?: number;
};

const defaultRate = 20;
const defaultLogDelayMilliseconds = 5;
const warmUpSeconds = 3;
const connections = 32;
const upstreamCount = 4;
const slots = 16;
const highestMicroseconds = 60_000_000;
const microsecondsPerMillisecond = 1000;
const millisecondsPerSecond = 1000;

const entriesSchema = z.object({entries: z.array(z.object({name: z.string(), incarnation: z.string()}))});

/**
Variant of a call, by its idempotency key: no key, a key with the incarnation of the entry that receives the call, a key
with the incarnation of another entry, to which the call is forwarded, or a key without an incarnation.
*/
type VariantName = 'keyless' | 'bound-at-owner' | 'bound-forwarded' | 'caller-made';

type Variant = {
	readonly name: VariantName;
	readonly histogram: hdr.Histogram;
	failed: number;
};

/** Runs the scenario and returns latency percentiles in milliseconds. */
export async function run(options: AtMostOnceOptions): Promise<Record<string, unknown>> {
	const rate = options.rate ?? defaultRate;
	const logDelayMilliseconds = options.logDelayMilliseconds ?? defaultLogDelayMilliseconds;
	const fleet = await startFleet({
		entryCount: 3,
		failureDomains: ['local'],
		seed: options.seed,
		services: [{
			service: 'desk',
			upstreamCount,
			slotsPerUpstream: slots,
			behavior: {durationMilliseconds: {default: 0}},
			rows: [rowSchema.parse({
				kind: 'operation', service: 'desk', operation: 'credit', method: 'POST', pathPrefix: '/credit', idempotent: false,
			})],
		}],
	});
	try {
		await sendJson(`${fleet.logUrl}/control`, 'PUT', {appendDelayMilliseconds: logDelayMilliseconds});
		const entry = fleet.entries[0]!;
		const dispatcher = new undici.Pool(`http://${entry.address}`, {connections, pipelining: 1});
		const variants = (['keyless', 'bound-at-owner', 'bound-forwarded', 'caller-made'] satisfies VariantName[]).map(name => createVariant(name));
		let nextSerial = 0;

		const sendCall = async (variant: Variant, prefixes: ReadonlyMap<string, string>): Promise<void> => {
			const sentAt = performance.now();
			const key = createIdempotencyKey(variant.name, prefixes, `${options.seed}-${nextSerial++}`, entry.name);
			try {
				const response = await dispatcher.request({
					method: 'POST', path: '/desk/credit', body: 'x'.repeat(200), headers: key === undefined ? {} : {'idempotency-key': key},
				});
				await response.body.text();
				variant.failed += response.statusCode === 200 ? 0 : 1;
			} catch {
				variant.failed++;
			}

			variant.histogram.recordValue(Math.max(1, Math.round((performance.now() - sentAt) * microsecondsPerMillisecond)));
		};

		const sendLoad = async (seconds: number): Promise<void> => {
			const startedAt = performance.now();
			const total = rate * seconds * variants.length;
			const pending: Array<Promise<void>> = [];
			let prefixes = await fetchKeyPrefixes(entry.address);
			for (let index = 0; index < total; index++) {
				await waitUntil(startedAt + (index * millisecondsPerSecond / rate / variants.length));
				if (index % (rate * variants.length) === 0) {
					prefixes = await fetchKeyPrefixes(entry.address);
				}

				pending.push(sendCall(variants[index % variants.length]!, prefixes));
			}

			await Promise.all(pending);
		};

		await waitForAllEntries(entry.address);
		await sendLoad(warmUpSeconds);
		for (const variant of variants) {
			variant.histogram.reset();
		}

		await sendLoad(options.seconds);
		await dispatcher.close();
		return {
			scenario: 'at-most-once',
			ratePerSecondOfEachWay: rate,
			logDelayMilliseconds,
			failed: variants.reduce((sum, variant) => sum + variant.failed, 0),
			...Object.fromEntries(variants.flatMap(variant => [
				[`${variant.name}-p50`, getMilliseconds(variant, 50)],
				[`${variant.name}-p99`, getMilliseconds(variant, 99)],
			])),
		};
	} finally {
		await fleet.stop();
	}
}

function createVariant(name: VariantName): Variant {
	return {
		name,
		histogram: hdr.build({lowestDiscernibleValue: 1, highestTrackableValue: highestMicroseconds, numberOfSignificantValueDigits: 3}),
		failed: 0,
	};
}

function createIdempotencyKey(variant: VariantName, prefixes: ReadonlyMap<string, string>, serial: string, entryName: string): string | undefined {
	switch (variant) {
		case 'keyless': {
			return undefined;
		}

		case 'bound-at-owner': {
			return `${prefixes.get(entryName)}.${serial}`;
		}

		case 'bound-forwarded': {
			const otherPrefix = [...prefixes].find(([name]) => name !== entryName);
			return `${otherPrefix![1]}.${serial}`;
		}

		case 'caller-made': {
			return `key-${serial}`;
		}
	}
}

async function fetchKeyPrefixes(address: string): Promise<ReadonlyMap<string, string>> {
	const response = entriesSchema.parse(await sendJson(`http://${address}/v1/entries`, 'GET'));
	return new Map(response.entries.map(({name, incarnation}) => [name, incarnation]));
}

/** Waits until the entry lists the incarnations of all three entries. */
async function waitForAllEntries(address: string): Promise<void> {
	for (let attempt = 0; attempt < 100; attempt++) {
		const prefixes = await fetchKeyPrefixes(address);
		if (prefixes.size === 3) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, 100);
		});
	}

	throw new Error('The entry did not list all three entries in time.');
}

/** Waits by checking the time in each iteration of the event loop, which is more precise than a timer. */
async function waitUntil(time: number): Promise<void> {
	while (performance.now() < time) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

function getMilliseconds(variant: Variant, percentile: number): number {
	return Math.round(variant.histogram.getValueAtPercentile(percentile)) / microsecondsPerMillisecond;
}
