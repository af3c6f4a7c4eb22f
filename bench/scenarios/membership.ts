/** Measures the cost of membership per entry and the time until a change reaches all entries, by number of entries. */
import * as z from 'zod';
import {sendJson} from '../../stand-ins/fleet.ts';
import {parseReadyLine, type RunningProgram, startProgram} from '../../stand-ins/processes.ts';
import {type ScenarioOptions} from './types.ts';

const entryCounts = [5, 15, 30, 60];
const failureDomains = ['north', 'south', 'west'];
const concurrentStarts = 10;
/** Time to wait after the start before the cost is measured, so that joining is not part of it. */
const settleMilliseconds = 12_000;
/** Time that a change has to reach all members. */
const propagationMilliseconds = 5000;
/** Time to wait until all members have written their sample. */
const sampleWaitMilliseconds = 300;

const sampleSchema = z.object({
	time: z.number(),
	cpu: z.object({user: z.number(), system: z.number()}),
	memory: z.object({rss: z.number(), heapUsed: z.number()}),
	bytes: z.object({peers: z.number(), platform: z.number()}),
	open: z.number(),
	live: z.number(),
});

type Sample = z.infer<typeof sampleSchema>;

type SizeResult = {
	readonly entries: number;
	/** Bytes sent and received, between entries. */
	readonly peerBytesPerSecond: number;
	readonly platformBytesPerSecond: number;
	readonly cpuPercentOfCore: number;
	readonly residentMegabytes: number;
	readonly heapMegabytes: number;
	readonly connections: number;
	readonly live: number;
	readonly leaveMilliseconds: number;
	readonly drainMilliseconds: number;
};

/** Measures a fleet of each size and fits a line to each cost. */
export async function run(options: ScenarioOptions): Promise<Record<string, unknown>> {
	const results: SizeResult[] = [];
	for (const size of entryCounts) {
		results.push(await measureSize(size, options));
	}

	return {
		results,
		fits: {
			peerBytesPerSecond: fitLine(results, 'peerBytesPerSecond'),
			platformBytesPerSecond: fitLine(results, 'platformBytesPerSecond'),
			cpuPercentOfCore: fitLine(results, 'cpuPercentOfCore'),
			heapMegabytes: fitLine(results, 'heapMegabytes'),
			residentMegabytes: fitLine(results, 'residentMegabytes'),
		},
	};
}

async function measureSize(size: number, options: ScenarioOptions): Promise<SizeResult> {
	const platform = await startProgram('stand-in-platform');
	const instances = parseReadyLine(platform.readyLine).get('instances')!;
	const members: RunningProgram[] = [];
	try {
		for (let first = 0; first < size; first += concurrentStarts) {
			const count = Math.min(concurrentStarts, size - first);
			members.push(...await Promise.all(Array.from({length: count}, async (_, index) => startMember(first + index, instances, options.seed))));
		}

		await sleep(settleMilliseconds);
		const before = await collectSamples(members);
		await sleep(options.seconds * 1000);
		const after = await collectSamples(members);
		const drainMilliseconds = await measurePropagation(members, 'SIGHUP', 'event=upstream-drain-known upstream=drained');
		const leaveMilliseconds = await measurePropagation(members, 'SIGTERM', 'member=entry-0', 'to=leaving');
		return {...summarize(before, after), drainMilliseconds, leaveMilliseconds};
	} finally {
		await Promise.all([platform, ...members].map(async program => program.stop('SIGKILL')));
	}
}

async function startMember(index: number, instances: string, seed: number): Promise<RunningProgram> {
	const name = `entry-${index}`;
	const failureDomain = failureDomains[index % failureDomains.length]!;
	const program = await startProgram('bench-member', '--name', name, '--failure-domain', failureDomain, '--instances', instances, '--seed', String(seed + index));
	const peerAddress = parseReadyLine(program.readyLine).get('peer')!;
	await sendJson(`${instances}/instances/${name}`, 'PUT', {
		name, role: 'entry', region: 'local', failureDomain, address: peerAddress, peerAddress, state: 'live',
	});
	return program;
}

async function collectSamples(members: readonly RunningProgram[]): Promise<readonly Sample[]> {
	for (const member of members) {
		member.signal('SIGUSR2');
	}

	await sleep(sampleWaitMilliseconds);
	return members.map(member => {
		const line = member.getErrorOutput().split('\n').findLast(text => text.startsWith('sample='));
		return sampleSchema.parse(JSON.parse(line?.slice('sample='.length) ?? ''));
	});
}

function summarize(before: readonly Sample[], after: readonly Sample[]): Omit<SizeResult, 'leaveMilliseconds' | 'drainMilliseconds'> {
	const average = (getValue: (last: Sample, first: Sample, seconds: number) => number): number => {
		let sum = 0;
		for (const [index, last] of after.entries()) {
			const first = before[index]!;
			sum += getValue(last, first, (last.time - first.time) / 1000);
		}

		return Math.round(sum / after.length * 100) / 100;
	};

	return {
		entries: after.length,
		peerBytesPerSecond: average((last, first, seconds) => (last.bytes.peers - first.bytes.peers) / seconds),
		platformBytesPerSecond: average((last, first, seconds) => (last.bytes.platform - first.bytes.platform) / seconds),
		cpuPercentOfCore: average((last, first, seconds) => (last.cpu.user + last.cpu.system - first.cpu.user - first.cpu.system) / seconds / 10_000),
		residentMegabytes: average(last => last.memory.rss / 1_048_576),
		heapMegabytes: average(last => last.memory.heapUsed / 1_048_576),
		connections: average(last => last.open),
		live: average(last => last.live),
	};
}

/** Signals the first member and returns the milliseconds until the last of the other members has logged the event. */
async function measurePropagation(members: readonly RunningProgram[], signal: NodeJS.Signals, ...lineFragments: readonly string[]): Promise<number> {
	const startedAt = Date.now();
	members[0]!.signal(signal);
	await sleep(propagationMilliseconds);
	const times = members.slice(1).map(member => {
		const line = member.getErrorOutput().split('\n').findLast(text => lineFragments.every(fragment => text.includes(fragment)));
		const time = /^time=(?<time>\S+)/v.exec(line ?? '')?.groups?.time;
		return time === undefined ? Number.POSITIVE_INFINITY : Date.parse(time) - startedAt;
	});
	return Math.max(...times);
}

/** Fits a line to the results by least squares. */
function fitLine(results: readonly SizeResult[], key: keyof SizeResult): {intercept: number; slopePerEntry: number} {
	const meanSize = getMean(results.map(result => result.entries));
	const meanValue = getMean(results.map(result => result[key]));
	let covariance = 0;
	let variance = 0;
	for (const result of results) {
		covariance += (result.entries - meanSize) * (result[key] - meanValue);
		variance += (result.entries - meanSize) ** 2;
	}

	const slope = covariance / variance;
	return {intercept: round(meanValue - (slope * meanSize)), slopePerEntry: round(slope)};
}

function getMean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
