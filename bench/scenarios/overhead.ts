/** Measures what an entry adds to a call: the same calls at the same rate, direct and through an entry, interleaved. */
import * as hdr from 'hdr-histogram-js';
import * as undici from 'undici';
import {rowSchema} from '../../src/decisions/table/rows.ts';
import {startFleet} from '../../stand-ins/fleet.ts';
import {type ScenarioOptions} from './types.ts';

/** Calls per second on each of the two ways. */
const rate = 500;
const connections = 16;
const upstreamCount = 4;
const slots = 16;
const warmUpSeconds = 8;
const warmUpRate = 1500;
const bodyBytes = 200;
const highestMicroseconds = 60_000_000;
const microsecondsPerMillisecond = 1000;
const millisecondsPerSecond = 1000;

type Way = {
	readonly dispatchers: readonly undici.Pool[];
	readonly path: string;
	readonly histogram: hdr.Histogram;
	failed: number;
};

/** Runs the scenario and returns the figures. */
export async function run(options: ScenarioOptions): Promise<Record<string, unknown>> {
	const fleet = await startFleet({
		entries: 1,
		failureDomains: ['local'],
		seed: options.seed,
		entrySettings: {leaving: {noticeMilliseconds: 0}},
		services: [{
			service: 'desk',
			upstreams: upstreamCount,
			slots,
			behavior: {durationMilliseconds: {default: 0}},
			rows: [rowSchema.parse({
				kind: 'operation', service: 'desk', operation: 'price', method: 'POST', pathPrefix: '/price', idempotent: true,
			})],
		}],
	});
	try {
		const entryAddress = fleet.entries[0]!.address;
		const direct = createWay([...fleet.upstreams.values()], '/price', Math.ceil(connections / upstreamCount));
		const through = createWay([entryAddress], '/desk/price', connections);
		await load([direct, through], warmUpRate, warmUpSeconds);
		direct.histogram.reset();
		through.histogram.reset();
		const cpuBefore = await readMetric(entryAddress, 'process_cpu_seconds_total');
		const startedAt = performance.now();
		await load([direct, through], rate, options.seconds);
		const elapsedSeconds = (performance.now() - startedAt) / millisecondsPerSecond;
		const cpuSeconds = await readMetric(entryAddress, 'process_cpu_seconds_total') - cpuBefore;
		const calls = through.histogram.totalCount;
		await Promise.all([...direct.dispatchers, ...through.dispatchers].map(async dispatcher => dispatcher.close()));
		await fleet.entries[0]!.program.stop();
		return {
			ratePerSecond: rate,
			calls,
			failed: direct.failed + through.failed,
			directP50Milliseconds: getMilliseconds(direct, 50),
			directP99Milliseconds: getMilliseconds(direct, 99),
			throughP50Milliseconds: getMilliseconds(through, 50),
			throughP99Milliseconds: getMilliseconds(through, 99),
			addedP50Milliseconds: round(getMilliseconds(through, 50) - getMilliseconds(direct, 50)),
			addedP99Milliseconds: round(getMilliseconds(through, 99) - getMilliseconds(direct, 99)),
			ratioP50: round(getMilliseconds(through, 50) / getMilliseconds(direct, 50)),
			ratioP99: round(getMilliseconds(through, 99) / getMilliseconds(direct, 99)),
			cpuMillisecondsPerCall: round(cpuSeconds * millisecondsPerSecond / calls),
			callsPerSecondPerCore: Math.round(calls / cpuSeconds),
			entryCpuShare: round(cpuSeconds / elapsedSeconds),
		};
	} finally {
		await fleet.stop();
	}
}

function createWay(addresses: readonly string[], path: string, connectionsPerAddress: number): Way {
	return {
		dispatchers: addresses.map(address => new undici.Pool(`http://${address}`, {connections: connectionsPerAddress, pipelining: 1})),
		path,
		histogram: hdr.build({lowestDiscernibleValue: 1, highestTrackableValue: highestMicroseconds, numberOfSignificantValueDigits: 3}),
		failed: 0,
	};
}

/** Sends calls on all ways by turns, evenly spaced; latencies count from the time at which each call was sent. */
async function load(ways: readonly Way[], rate: number, seconds: number): Promise<void> {
	const interval = millisecondsPerSecond / rate / ways.length;
	const total = rate * seconds * ways.length;
	let dueAt = performance.now();
	const body = 'x'.repeat(bodyBytes);
	const pending = new Set<Promise<void>>();
	for (let index = 0; index < total; index++) {
		await waitUntil(dueAt);
		// A pause of this process must not become a burst, which would measure the queue and not the call.
		dueAt = Math.max(dueAt + interval, performance.now());
		const way = ways[index % ways.length]!;
		const call = send(way, index, body, performance.now());
		pending.add(call);
		void call.finally(() => {
			pending.delete(call);
		});
	}

	await Promise.all(pending);
}

async function send(way: Way, index: number, body: string, sentAt: number): Promise<void> {
	const dispatcher = way.dispatchers[Math.floor(index / 2) % way.dispatchers.length]!;
	try {
		const response = await dispatcher.request({method: 'POST', path: way.path, body});
		await response.body.text();
		way.failed += response.statusCode === 200 ? 0 : 1;
	} catch {
		way.failed++;
	}

	way.histogram.recordValue(Math.max(1, Math.round((performance.now() - sentAt) * microsecondsPerMillisecond)));
}

/** Waits with the resolution of the event loop's turns, which is finer than that of timers. */
async function waitUntil(time: number): Promise<void> {
	while (performance.now() < time) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

async function readMetric(address: string, name: string): Promise<number> {
	const response = await undici.request(`http://${address}/metrics`);
	const text = await response.body.text();
	const line = text.split('\n').find(candidate => candidate.startsWith(`${name} `));
	return Number(line?.slice(name.length));
}

function getMilliseconds(way: Way, percentile: number): number {
	return round(way.histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond);
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
