/**
Discrete-event trial of schedulers in virtual time: several schedulers, upstreams with slots, and nothing else.

It serves to compare policies quickly; figures that count come from real processes.
*/
import {drawOperation} from '../draw-operation.ts';
import {createDeadlineQueue} from '../../src/decisions/admission/deadline-queue.ts';
import {createRandomSource, type RandomSource} from '../../src/decisions/random.ts';
import {createServiceScheduler} from '../../src/decisions/routing/scheduler.ts';
import {
	type AttemptResult, type RoutingPolicy, type SchedulerAction, type ServiceScheduler, type UpstreamDescription, type WaitingCall,
} from '../../src/decisions/routing/types.ts';
import {type OperationRow} from '../../src/decisions/table/rows.ts';
import {type ServiceView} from '../../src/decisions/table/service-view.ts';

/** An operation of the load: its row, its share of the calls and its mean duration. */
export type ModelOperation = {
	readonly row: OperationRow;
	readonly share: number;
	readonly meanMilliseconds: number;
};

/** How one upstream behaves at a time. */
export type ModelBehaviour = {
	/** Factor on durations. */
	readonly slowness: number;
	readonly isFailingFast: boolean;
	readonly isDraining: boolean;
	readonly isReportingIdle: boolean;
};

export type ModelOptions = {
	readonly policy: RoutingPolicy;
	readonly seed: number;
	readonly view: ServiceView;
	readonly entries: number;
	readonly upstreams: number;
	readonly failureDomains: readonly string[];
	readonly operations: readonly ModelOperation[];
	readonly oneWayMilliseconds: number;
	readonly seconds: number;
	/** Number of entries that each entry sees; all unless given. */
	readonly viewedEntries?: number | undefined;
	/** Relative load of an entry. */
	getEntryWeight?: (entry: number) => number;
	/** Calls per second over all entries at a time in milliseconds. */
	getRate(at: number): number;
	getBehaviour(upstream: number, at: number): ModelBehaviour;
};

export type ModelResult = {
	readonly calls: number;
	readonly shortP50: number;
	readonly shortP99: number;
	readonly shortP999: number;
	readonly longP50: number;
	readonly longP99: number;
	readonly p99: number;
	readonly goodputPerSecond: number;
	readonly refusals: Readonly<Record<string, number>>;
	readonly failures: number;
	readonly retries: number;
	/** Share of the dispatches that each upstream got in the last second. */
	readonly lastShares: readonly number[];
	/** Largest number of long calls that one upstream ran at once. */
	readonly mostLongAtUpstream: number;
	/** Largest time from arrival to refusal. */
	readonly slowestRefusal: number;
	/** Share of dispatches that waited at the upstream. */
	readonly queuedAtUpstreamShare: number;
};

type Event = {
	readonly id: number;
	readonly priority: number;
	readonly deadlineAt: number;
	readonly run: (now: number) => void;
};

type RunningCall = {
	call: WaitingCall;
	readonly entry: number;
	readonly operation: ModelOperation;
};

type UpstreamJob = {
	readonly running: RunningCall;
	readonly attempt: number;
	readonly dispatchedAt: number;
};

type AttemptEnd = {
	readonly running: RunningCall;
	readonly attempt: number;
	readonly upstream: string;
	readonly result: AttemptResult;
};

type ModelUpstream = {
	running: number;
	runningLong: number;
	readonly queue: UpstreamJob[];
};

const millisecondsPerSecond = 1000;
const failFastMilliseconds = 1;

/** Runs one trial. */
export function runModel(options: ModelOptions): ModelResult {
	const random = createRandomSource(options.seed);
	const events = createDeadlineQueue<Event>();
	let sequence = 0;
	const endAt = options.seconds * millisecondsPerSecond;
	const descriptions = createDescriptions(options);
	const indexes = new Map(descriptions.map((description, index) => [description.name, index]));
	const slots = options.view.service.slotsPerUpstream;
	const upstreams: ModelUpstream[] = descriptions.map(() => ({running: 0, runningLong: 0, queue: []}));
	const fleetEntries = Array.from({length: options.entries}, (_, index) => ({
		name: `entry-${index}`, failureDomain: options.failureDomains[index % options.failureDomains.length]!,
	}));
	const schedulers: ServiceScheduler[] = fleetEntries.map((entry, index) => createServiceScheduler({
		policy: options.policy,
		view: options.view,
		fleet: {self: entry.name, selfFailureDomain: entry.failureDomain, entries: createView(fleetEntries, options.viewedEntries)},
		upstreams: descriptions,
		random: createRandomSource((options.seed * 1000) + index),
		now: 0,
	}));
	const nextAdvances = schedulers.map(() => Number.POSITIVE_INFINITY);
	const calls = new Map<number, RunningCall>();
	const short: number[] = [];
	const long: number[] = [];
	const refusals: Record<string, number> = {};
	const lastCounts = descriptions.map(() => 0);
	let failures = 0;
	let retries = 0;
	let inTime = 0;
	let mostLongAtUpstream = 0;
	let slowestRefusal = 0;
	let dispatches = 0;
	let queuedAtUpstream = 0;

	function at(time: number, run: (now: number) => void): void {
		sequence += 1;
		events.add({
			id: sequence, priority: 0, deadlineAt: time, run,
		});
	}

	function act(entry: number, actions: readonly SchedulerAction[], now: number): void {
		for (const action of actions) {
			const running = calls.get(action.callId)!;
			if (action.kind === 'refuse') {
				refusals[action.reason] = (refusals[action.reason] ?? 0) + 1;
				slowestRefusal = Math.max(slowestRefusal, now - running.call.arrivedAt);
				calls.delete(action.callId);
				continue;
			}

			dispatch(running, action.upstream, now);
		}

		schedule(entry, now);
	}

	function schedule(entry: number, now: number): void {
		const next = schedulers[entry]!.getNextAdvanceAt(now);
		if (next === undefined || next >= nextAdvances[entry]!) {
			return;
		}

		const time = Math.max(next, now + 0.1);
		nextAdvances[entry] = time;
		at(time, later => {
			if (nextAdvances[entry] !== time) {
				return;
			}

			nextAdvances[entry] = Number.POSITIVE_INFINITY;
			act(entry, schedulers[entry]!.advance(later), later);
		});
	}

	function dispatch(running: RunningCall, upstream: string, now: number): void {
		const index = indexes.get(upstream)!;
		dispatches += 1;
		if (now > endAt - millisecondsPerSecond) {
			lastCounts[index]! += 1;
		}

		const attempt = running.call.attempts + 1;
		running.call = {...running.call, attempts: attempt, triedUpstreams: [...running.call.triedUpstreams, upstream]};
		at(now + options.oneWayMilliseconds, later => {
			arrive(index, {running, attempt, dispatchedAt: now}, later);
		});
		at(running.call.deadlineAt, later => {
			end({
				running, attempt, upstream, result: {kind: 'timed-out'},
			}, later);
		});
	}

	function arrive(index: number, job: UpstreamJob, now: number): void {
		const upstream = upstreams[index]!;
		if (options.getBehaviour(index, now).isFailingFast) {
			at(now + failFastMilliseconds, later => {
				answer(index, job, 500, later);
			});
			return;
		}

		if (upstream.running < slots) {
			start(index, job, now);
			return;
		}

		queuedAtUpstream += 1;
		upstream.queue.push(job);
	}

	function start(index: number, job: UpstreamJob, now: number): void {
		const upstream = upstreams[index]!;
		const isLong = job.running.operation.row.duration === 'long' || job.running.operation.meanMilliseconds > 150;
		upstream.running += 1;
		upstream.runningLong += isLong ? 1 : 0;
		mostLongAtUpstream = Math.max(mostLongAtUpstream, upstream.runningLong);
		const duration = drawService(random, job.running.operation.meanMilliseconds) * options.getBehaviour(index, now).slowness;
		at(now + duration, later => {
			upstream.running -= 1;
			upstream.runningLong -= isLong ? 1 : 0;
			for (let next = upstream.queue.shift(); next; next = upstream.queue.shift()) {
				if (next.running.call.deadlineAt > later) {
					start(index, next, later);
					break;
				}
			}

			answer(index, job, 200, later);
		});
	}

	function answer(index: number, job: UpstreamJob, statusCode: number, now: number): void {
		const upstream = upstreams[index]!;
		const behaviour = options.getBehaviour(index, now);
		const report = {
			slots,
			running: behaviour.isReportingIdle ? 0 : upstream.running,
			queued: behaviour.isReportingIdle ? 0 : upstream.queue.length,
			state: behaviour.isDraining ? 'draining' : 'live',
		} as const;
		const {name} = descriptions[index]!;
		at(now + options.oneWayMilliseconds, later => {
			const {entry} = job.running;
			act(entry, schedulers[entry]!.applyReport(name, report, later, later, job.running.call.id), later);
			const result = {kind: 'answered', statusCode, durationMilliseconds: later - job.dispatchedAt} as const;
			end({
				running: job.running, attempt: job.attempt, upstream: name, result,
			}, later);
		});
	}

	const dispatchTimes = new Map<string, number>();

	function end({running, attempt, upstream, result}: AttemptEnd, now: number): void {
		const {call, entry} = running;
		const key = `${call.id}/${attempt}`;
		if (dispatchTimes.has(key)) {
			dispatchTimes.delete(key);
			return;
		}

		// The first of answer and timeout counts; the other finds the mark.
		dispatchTimes.set(key, now);
		const scheduler = schedulers[entry]!;
		act(entry, scheduler.finishAttempt(call.id, upstream, result, now), now);
		const isGood = result.kind === 'answered' && result.statusCode < 500;
		if (isGood) {
			calls.delete(call.id);
			inTime += call.deadlineAt >= now ? 1 : 0;
			const samples = running.operation.meanMilliseconds > 150 ? long : short;
			samples.push(now - call.arrivedAt);
			return;
		}

		if (scheduler.tryChargeRetry(call, result, now)) {
			retries += 1;
			act(entry, scheduler.submit(call, now), now);
			return;
		}

		failures += 1;
		calls.delete(call.id);
	}

	function createCall(entry: number, now: number): RunningCall {
		sequence += 1;
		const operation = drawOperation(options.operations, random);
		return {
			entry,
			operation,
			call: {
				id: sequence,
				operation: operation.row,
				arrivedAt: now,
				deadlineAt: now + operation.row.timeoutMilliseconds,
				attempts: 0,
				triedUpstreams: [],
			},
		};
	}

	const weights = fleetEntries.map((_, index) => options.getEntryWeight?.(index) ?? 1);
	let weightSum = 0;
	for (const weight of weights) {
		weightSum += weight;
	}

	function chooseEntry(): number {
		let rest = random.nextFraction() * weightSum;
		for (const [index, weight] of weights.entries()) {
			rest -= weight;
			if (rest < 0) {
				return index;
			}
		}

		return 0;
	}

	function arriveNext(now: number): void {
		if (now >= endAt) {
			return;
		}

		const entry = chooseEntry();
		const running = createCall(entry, now);
		calls.set(running.call.id, running);
		act(entry, schedulers[entry]!.submit(running.call, now), now);
		at(now + drawDuration(random, millisecondsPerSecond / options.getRate(now)), arriveNext);
	}

	at(0, arriveNext);
	let callCount = 0;
	for (let event = events.removeFirst(); event && event.deadlineAt < endAt + 5000; event = events.removeFirst()) {
		callCount += event.run === arriveNext ? 1 : 0;
		event.run(event.deadlineAt);
	}

	let lastSum = 0;
	for (const count of lastCounts) {
		lastSum += count;
	}

	return {
		calls: callCount,
		shortP50: getPercentile(short, 50),
		shortP99: getPercentile(short, 99),
		shortP999: getPercentile(short, 99.9),
		longP50: getPercentile(long, 50),
		longP99: getPercentile(long, 99),
		p99: getPercentile([...short, ...long], 99),
		goodputPerSecond: Math.round(inTime / options.seconds),
		refusals,
		failures,
		retries,
		lastShares: lastCounts.map(count => Math.round(1000 * count / Math.max(1, lastSum)) / 1000),
		mostLongAtUpstream,
		slowestRefusal: Math.round(slowestRefusal * 10) / 10,
		queuedAtUpstreamShare: Math.round(1000 * queuedAtUpstream / Math.max(1, dispatches)) / 1000,
	};
}

type ModelEntry = {readonly name: string; readonly failureDomain: string};

/** The members that an entry sees: some of them, or more than there are. */
function createView(entries: readonly ModelEntry[], count = entries.length): readonly ModelEntry[] {
	return Array.from({length: count}, (_, index) => entries[index] ?? {name: `absent-${index}`, failureDomain: entries[0]!.failureDomain});
}

function createDescriptions(options: ModelOptions): UpstreamDescription[] {
	return Array.from({length: options.upstreams}, (_, index) => ({
		name: `upstream-${index}`,
		address: `127.0.0.1:${index}`,
		region: 'region',
		failureDomain: options.failureDomains[index % options.failureDomains.length]!,
		state: 'live' as const,
	}));
}

/** Draws a duration of work: evenly from 0.6 to 1.4 times the mean. */
function drawService(random: RandomSource, mean: number): number {
	return mean * (0.6 + (0.8 * random.nextFraction()));
}

/** Draws from the exponential distribution. */
function drawDuration(random: RandomSource, mean: number): number {
	return -Math.log(1 - random.nextFraction()) * mean;
}

function getPercentile(values: readonly number[], percent: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percent / 100))] ?? 0;
	return Math.round(value * 10) / 10;
}
