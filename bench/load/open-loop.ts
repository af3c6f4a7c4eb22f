/**
Open-loop load: calls leave at times drawn beforehand, whatever the answers do, and latency counts from those times,
so that a slow answer hides none of the calls behind it.
*/
import * as hdr from 'hdr-histogram-js';
import * as undici from 'undici';
import {drawOperation} from '../draw-operation.ts';
import {createRandomSource, type RandomSource} from '../../src/decisions/random.ts';

/** A class of calls. */
export type LoadOperation = {
	readonly name: string;
	readonly path: string;
	readonly share: number;
	readonly isLong: boolean;
	readonly timeoutMilliseconds: number;
};

export type LoadOptions = {
	/** Host and port of each entry. */
	readonly addresses: readonly string[];
	readonly operations: readonly LoadOperation[];
	readonly seed: number;
	readonly seconds: number;
	/** Calls that leave before this time are not counted. */
	readonly warmUpMilliseconds: number;
	/** Calls per second at a time in milliseconds since the start. */
	getRate(at: number): number;
};

/** Latencies in milliseconds. */
export type Latencies = {
	readonly count: number;
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
};

export type LoadResult = {
	readonly calls: number;
	readonly short: Latencies;
	readonly long: Latencies;
	readonly all: Latencies;
	readonly goodputPerSecond: number;
	/** Answers with an outcome other than success, by status and outcome. */
	readonly refusals: Readonly<Record<string, number>>;
	readonly refusal: Latencies;
	readonly refusalsWithoutRetryAfter: number;
	readonly errors: number;
	/** Answers of every 100 milliseconds, as calls per second. */
	readonly goodputByTime: readonly number[];
	readonly offeredByTime: readonly number[];
	/** Largest delay between the planned time of a call and its sending. */
	readonly latestSendMilliseconds: number;
};

const millisecondsPerSecond = 1000;
const bucketMilliseconds = 100;
const connectionsPerEntry = 512;
const microsecondsPerMillisecond = 1000;

type Plan = {readonly at: number; readonly entry: number; readonly operation: LoadOperation; readonly id: number};

/** Sends the load; resolves when the last call was answered. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
	const random = createRandomSource(options.seed);
	const pools = options.addresses.map(address => new undici.Pool(`http://${address}`, {connections: connectionsPerEntry, pipelining: 1}));
	const histograms = {
		short: createHistogram(), long: createHistogram(), all: createHistogram(), refusal: createHistogram(),
	};
	const refusals: Record<string, number> = {};
	const bucketCount = Math.ceil(options.seconds * millisecondsPerSecond / bucketMilliseconds);
	const good = Array.from({length: bucketCount}, () => 0);
	const offered = Array.from({length: bucketCount}, () => 0);
	let calls = 0;
	let goodCalls = 0;
	let errors = 0;
	let withoutRetryAfter = 0;
	let latestSend = 0;
	const startedAt = performance.now();

	function countRefusal(label: string): void {
		refusals[label] = (refusals[label] ?? 0) + 1;
	}

	async function send(plan: Plan): Promise<void> {
		const isCounted = plan.at >= options.warmUpMilliseconds;
		latestSend = Math.max(latestSend, isCounted ? performance.now() - startedAt - plan.at : 0);
		try {
			const response = await pools[plan.entry]!.request({
				method: 'GET',
				path: `${plan.operation.path}?call=${plan.id}`,
				headers: {'fescuering-timeout-milliseconds': String(plan.operation.timeoutMilliseconds)},
			});
			await response.body.dump();
			const endedAt = performance.now() - startedAt;
			if (isCounted) {
				record(plan, response, endedAt);
			}
		} catch {
			errors += isCounted ? 1 : 0;
		}
	}

	function record(plan: Plan, response: undici.Dispatcher.ResponseData, endedAt: number): void {
		// A timer may fire a little before the call is due.
		const latency = Math.max(0, endedAt - plan.at);
		calls += 1;
		offered[Math.floor(plan.at / bucketMilliseconds)]! += 1;
		if (response.statusCode !== 200) {
			countRefusal(`${response.statusCode} ${String(response.headers['fescuering-outcome'])}`);
			histograms.refusal.recordValue(Math.round(latency * microsecondsPerMillisecond));
			withoutRetryAfter += response.headers['retry-after'] === undefined ? 1 : 0;
			return;
		}

		histograms.all.recordValue(Math.round(latency * microsecondsPerMillisecond));
		histograms[plan.operation.isLong ? 'long' : 'short'].recordValue(Math.round(latency * microsecondsPerMillisecond));
		if (latency > plan.operation.timeoutMilliseconds) {
			countRefusal('late');
			return;
		}

		goodCalls += 1;
		const bucket = Math.floor(endedAt / bucketMilliseconds);
		if (bucket < bucketCount) {
			good[bucket]! += 1;
		}
	}

	const open: Array<Promise<void>> = [];
	for (const plan of createPlans(options, random)) {
		const wait = plan.at - (performance.now() - startedAt);
		if (wait > 0.5) {
			await sleep(wait);
		}

		open.push(send(plan));
	}

	await Promise.all(open);
	await Promise.all(pools.map(async pool => pool.destroy()));
	const countedSeconds = options.seconds - (options.warmUpMilliseconds / millisecondsPerSecond);
	return {
		calls,
		short: getLatencies(histograms.short),
		long: getLatencies(histograms.long),
		all: getLatencies(histograms.all),
		goodputPerSecond: Math.round(goodCalls / countedSeconds),
		refusals,
		refusal: getLatencies(histograms.refusal),
		refusalsWithoutRetryAfter: withoutRetryAfter,
		errors,
		goodputByTime: good.map(count => count * millisecondsPerSecond / bucketMilliseconds),
		offeredByTime: offered.map(count => count * millisecondsPerSecond / bucketMilliseconds),
		latestSendMilliseconds: Math.round(latestSend * 10) / 10,
	};
}

/** Draws the calls: Poisson arrivals, evenly over the entries. */
function * createPlans(options: LoadOptions, random: RandomSource): Iterable<Plan> {
	let at = 0;
	for (let id = 0; ; id++) {
		at += -Math.log(1 - random.nextFraction()) * millisecondsPerSecond / options.getRate(at);
		if (at >= options.seconds * millisecondsPerSecond) {
			return;
		}

		yield {
			at, id, entry: random.nextInteger(options.addresses.length), operation: drawOperation(options.operations, random),
		};
	}
}

function createHistogram(): hdr.Histogram {
	return hdr.build({lowestDiscernibleValue: 1, highestTrackableValue: 120_000_000, numberOfSignificantValueDigits: 3});
}

function getLatencies(histogram: hdr.Histogram): Latencies {
	const get = (percentile: number) => Math.round(histogram.getValueAtPercentile(percentile) / 100) / 10;
	return {
		count: histogram.totalCount, p50: get(50), p99: get(99), p999: get(99.9),
	};
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
