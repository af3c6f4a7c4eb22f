/**
Open-loop load generator: calls are sent at times drawn in advance, regardless of when earlier calls are answered.

Latency is measured from the planned time, so that a slow answer does not hide the delay of the calls after it
(coordinated omission).
*/
import * as hdr from 'hdr-histogram-js';
import * as undici from 'undici';
import {drawOperation} from '../draw-operation.ts';
import {createRandomSource, type RandomSource} from '../../src/decisions/random.ts';

/** An operation and its share of the calls. */
export type LoadOperation = {
	readonly name: string;
	readonly path: string;
	readonly share: number;
	readonly isLong: boolean;
	readonly timeoutMilliseconds: number;
};

/** Options of one run of the load generator. */
export type LoadOptions = {
	/** Host and port of each entry. */
	readonly addresses: readonly string[];
	readonly operations: readonly LoadOperation[];
	readonly seed: number;
	readonly seconds: number;
	/** Calls planned before this time are sent but not counted. */
	readonly warmUpMilliseconds: number;
	/** Returns the calls per second over all entries, at a time in milliseconds since the start. */
	getRate(at: number): number;
};

/** Latencies in milliseconds. */
export type Latencies = {
	readonly count: number;
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
};

/** Counts and latencies of one run. */
export type LoadResult = {
	readonly calls: number;
	readonly short: Latencies;
	readonly long: Latencies;
	readonly all: Latencies;
	readonly goodputPerSecond: number;
	/** Number of answers with a status other than 200, by status and outcome, and of answers after the timeout as `late`. */
	readonly refusals: Readonly<Record<string, number>>;
	readonly refusal: Latencies;
	readonly refusalsWithoutRetryAfter: number;
	readonly errors: number;
	/** Answers in time during each 100 milliseconds, as calls per second. */
	readonly goodputByTime: readonly number[];
	/** Answered calls that were planned in each 100 milliseconds, as calls per second. */
	readonly offeredByTime: readonly number[];
	/** Largest delay between the planned time of a call and the time when it was sent. */
	readonly latestSendMilliseconds: number;
};

const millisecondsPerSecond = 1000;
const bucketMilliseconds = 100;
const connectionsPerEntry = 512;
const microsecondsPerMillisecond = 1000;

/** A call and the time at which it is sent, in milliseconds since the start. */
type PlannedCall = {readonly at: number; readonly entry: number; readonly operation: LoadOperation; readonly id: number};

/** Sends the load and resolves when the last call was answered or failed. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
	const random = createRandomSource(options.seed);
	const pools = options.addresses.map(address => new undici.Pool(`http://${address}`, {connections: connectionsPerEntry, pipelining: 1}));
	const histograms = {
		short: createHistogram(), long: createHistogram(), all: createHistogram(), refusal: createHistogram(),
	};
	const refusals: Record<string, number> = {};
	const bucketCount = Math.ceil(options.seconds * millisecondsPerSecond / bucketMilliseconds);
	const goodCounts = Array.from({length: bucketCount}, () => 0);
	const offeredCounts = Array.from({length: bucketCount}, () => 0);
	let calls = 0;
	let goodCalls = 0;
	let errors = 0;
	let missingRetryAfterCount = 0;
	let largestSendDelay = 0;
	const startedAt = performance.now();

	function countRefusal(label: string): void {
		refusals[label] = (refusals[label] ?? 0) + 1;
	}

	async function send(call: PlannedCall): Promise<void> {
		const isCounted = call.at >= options.warmUpMilliseconds;
		largestSendDelay = Math.max(largestSendDelay, isCounted ? performance.now() - startedAt - call.at : 0);
		try {
			const response = await pools[call.entry]!.request({
				method: 'GET',
				path: `${call.operation.path}?call=${call.id}`,
				headers: {'fescuering-timeout-milliseconds': String(call.operation.timeoutMilliseconds)},
			});
			await response.body.dump();
			const endedAt = performance.now() - startedAt;
			if (isCounted) {
				recordResponse(call, response, endedAt);
			}
		} catch {
			errors += isCounted ? 1 : 0;
		}
	}

	function recordResponse(call: PlannedCall, response: undici.Dispatcher.ResponseData, endedAt: number): void {
		// A timer can fire slightly early, so that a call is sent before its planned time.
		const latency = Math.max(0, endedAt - call.at);
		calls += 1;
		offeredCounts[Math.floor(call.at / bucketMilliseconds)]! += 1;
		if (response.statusCode !== 200) {
			countRefusal(`${response.statusCode} ${String(response.headers['fescuering-outcome'])}`);
			histograms.refusal.recordValue(Math.round(latency * microsecondsPerMillisecond));
			missingRetryAfterCount += response.headers['retry-after'] === undefined ? 1 : 0;
			return;
		}

		histograms.all.recordValue(Math.round(latency * microsecondsPerMillisecond));
		histograms[call.operation.isLong ? 'long' : 'short'].recordValue(Math.round(latency * microsecondsPerMillisecond));
		if (latency > call.operation.timeoutMilliseconds) {
			countRefusal('late');
			return;
		}

		goodCalls += 1;
		const bucket = Math.floor(endedAt / bucketMilliseconds);
		if (bucket < bucketCount) {
			goodCounts[bucket]! += 1;
		}
	}

	const pendingCalls: Array<Promise<void>> = [];
	for (const call of drawPlannedCalls(options, random)) {
		const waitMilliseconds = call.at - (performance.now() - startedAt);
		if (waitMilliseconds > 0.5) {
			await sleep(waitMilliseconds);
		}

		pendingCalls.push(send(call));
	}

	await Promise.all(pendingCalls);
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
		refusalsWithoutRetryAfter: missingRetryAfterCount,
		errors,
		goodputByTime: goodCounts.map(count => count * millisecondsPerSecond / bucketMilliseconds),
		offeredByTime: offeredCounts.map(count => count * millisecondsPerSecond / bucketMilliseconds),
		latestSendMilliseconds: Math.round(largestSendDelay * 10) / 10,
	};
}

/** Draws the calls: Poisson arrivals, distributed uniformly over the entries. */
function * drawPlannedCalls(options: LoadOptions, random: RandomSource): Iterable<PlannedCall> {
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
	const getMilliseconds = (percentile: number) => Math.round(histogram.getValueAtPercentile(percentile) / 100) / 10;
	return {
		count: histogram.totalCount, p50: getMilliseconds(50), p99: getMilliseconds(99), p999: getMilliseconds(99.9),
	};
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
