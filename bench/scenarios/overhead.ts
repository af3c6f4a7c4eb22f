/** Measures the latency that an entry adds to a call. Direct calls and calls through an entry are interleaved at the same rate. */
import * as hdr from 'hdr-histogram-js';
import * as undici from 'undici';
import {rowSchema} from '../../src/decisions/table/rows.ts';
import {startFleet} from '../../stand-ins/fleet.ts';
import {type ScenarioOptions} from './types.ts';

/** Calls per second, direct and through the entry each. */
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

/** Destination of calls: the upstreams themselves or an entry. */
type Target = {
	readonly dispatchers: readonly undici.Pool[];
	readonly path: string;
	readonly histogram: hdr.Histogram;
	failed: number;
};

/** Runs the scenario and returns latencies and the cost per call. */
export async function run(options: ScenarioOptions): Promise<Record<string, unknown>> {
	const fleet = await startFleet({
		entryCount: 1,
		failureDomains: ['local'],
		seed: options.seed,
		entrySettings: {leaving: {noticeMilliseconds: 0}},
		services: [{
			service: 'desk',
			upstreamCount,
			slotsPerUpstream: slots,
			behavior: {durationMilliseconds: {default: 0}},
			rows: [rowSchema.parse({
				kind: 'operation', service: 'desk', operation: 'price', method: 'POST', pathPrefix: '/price', idempotent: true,
			})],
		}],
	});
	try {
		const entryAddress = fleet.entries[0]!.address;
		const direct = createTarget([...fleet.upstreams.values()], '/price', Math.ceil(connections / upstreamCount));
		const viaEntry = createTarget([entryAddress], '/desk/price', connections);
		await sendLoad([direct, viaEntry], warmUpRate, warmUpSeconds);
		direct.histogram.reset();
		viaEntry.histogram.reset();
		const cpuBefore = await readMetric(entryAddress, 'process_cpu_seconds_total');
		const startedAt = performance.now();
		await sendLoad([direct, viaEntry], rate, options.seconds);
		const elapsedSeconds = (performance.now() - startedAt) / millisecondsPerSecond;
		const cpuSeconds = await readMetric(entryAddress, 'process_cpu_seconds_total') - cpuBefore;
		const calls = viaEntry.histogram.totalCount;
		await Promise.all([...direct.dispatchers, ...viaEntry.dispatchers].map(async dispatcher => dispatcher.close()));
		await fleet.entries[0]!.program.stop();
		return {
			ratePerSecond: rate,
			calls,
			failed: direct.failed + viaEntry.failed,
			directP50Milliseconds: getMilliseconds(direct, 50),
			directP99Milliseconds: getMilliseconds(direct, 99),
			throughP50Milliseconds: getMilliseconds(viaEntry, 50),
			throughP99Milliseconds: getMilliseconds(viaEntry, 99),
			addedP50Milliseconds: round(getMilliseconds(viaEntry, 50) - getMilliseconds(direct, 50)),
			addedP99Milliseconds: round(getMilliseconds(viaEntry, 99) - getMilliseconds(direct, 99)),
			ratioP50: round(getMilliseconds(viaEntry, 50) / getMilliseconds(direct, 50)),
			ratioP99: round(getMilliseconds(viaEntry, 99) / getMilliseconds(direct, 99)),
			cpuMillisecondsPerCall: round(cpuSeconds * millisecondsPerSecond / calls),
			callsPerSecondPerCore: Math.round(calls / cpuSeconds),
			entryCpuShare: round(cpuSeconds / elapsedSeconds),
		};
	} finally {
		await fleet.stop();
	}
}

function createTarget(addresses: readonly string[], path: string, connectionsPerAddress: number): Target {
	return {
		dispatchers: addresses.map(address => new undici.Pool(`http://${address}`, {connections: connectionsPerAddress, pipelining: 1})),
		path,
		histogram: hdr.build({lowestDiscernibleValue: 1, highestTrackableValue: highestMicroseconds, numberOfSignificantValueDigits: 3}),
		failed: 0,
	};
}

/** Sends calls to the targets in turn, evenly spaced. Latency is measured from the time when each call was sent. */
async function sendLoad(targets: readonly Target[], rate: number, seconds: number): Promise<void> {
	const intervalMilliseconds = millisecondsPerSecond / rate / targets.length;
	const total = rate * seconds * targets.length;
	let dueAt = performance.now();
	const body = 'x'.repeat(bodyBytes);
	const pending = new Set<Promise<void>>();
	for (let index = 0; index < total; index++) {
		await waitUntil(dueAt);
		// After a pause of this process, missed calls are not sent in a burst, which would measure the queue and not the call.
		dueAt = Math.max(dueAt + intervalMilliseconds, performance.now());
		const target = targets[index % targets.length]!;
		const call = sendCall(target, index, body, performance.now());
		pending.add(call);
		void call.finally(() => {
			pending.delete(call);
		});
	}

	await Promise.all(pending);
}

async function sendCall(target: Target, index: number, body: string, sentAt: number): Promise<void> {
	const dispatcher = target.dispatchers[Math.floor(index / 2) % target.dispatchers.length]!;
	try {
		const response = await dispatcher.request({method: 'POST', path: target.path, body});
		await response.body.text();
		target.failed += response.statusCode === 200 ? 0 : 1;
	} catch {
		target.failed++;
	}

	target.histogram.recordValue(Math.max(1, Math.round((performance.now() - sentAt) * microsecondsPerMillisecond)));
}

/** Waits by checking the time in each iteration of the event loop, which is more precise than a timer. */
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

function getMilliseconds(target: Target, percentile: number): number {
	return round(target.histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond);
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
