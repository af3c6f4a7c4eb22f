/**
Discrete-event simulation of schedulers in virtual time. It consists of one scheduler per entry and of upstreams with
a fixed number of slots; nothing else is modeled.

It serves to compare policies quickly. The figures that count are measured with real processes by other scenarios.
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

/** An operation of the load: its table row, its share of the calls and its mean duration. */
export type ModelOperation = {
	readonly row: OperationRow;
	readonly share: number;
	readonly meanMilliseconds: number;
};

/** Behavior of one upstream at one time. */
export type ModelBehavior = {
	/** Factor by which durations are multiplied. */
	readonly slowness: number;
	/** Whether the upstream answers every call with status 500 after 1 ms. */
	readonly isFailingFast: boolean;
	readonly isDraining: boolean;
	/** Whether the upstream reports no load, whatever its load is. */
	readonly isReportingIdle: boolean;
};

/** Options of one simulation: the fleet, the load and the behavior of the upstreams. */
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
	/** Number of entries in each entry's view of the fleet; by default, all of them. */
	readonly viewSize?: number | undefined;
	/** Returns the relative share of the calls that an entry receives. */
	getEntryWeight?: (entry: number) => number;
	/** Returns the calls per second over all entries, at a time in milliseconds. */
	getRate(at: number): number;
	getBehavior(upstream: number, at: number): ModelBehavior;
};

/** Result of one simulation. Latencies are in milliseconds. */
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
	/** Share of the dispatches of the last second that each upstream received. */
	readonly lastShares: readonly number[];
	/** Largest number of long calls that one upstream ran concurrently. */
	readonly mostLongAtUpstream: number;
	/** Largest time from arrival to refusal, in milliseconds. */
	readonly slowestRefusal: number;
	/** Share of the dispatches that queued at the upstream because all its slots were in use. */
	readonly queuedAtUpstreamShare: number;
};

type TimedEvent = {
	readonly id: number;
	readonly priority: number;
	readonly deadlineAt: number;
	readonly run: (now: number) => void;
};

/** A call that is neither answered nor refused yet. */
type RunningCall = {
	call: WaitingCall;
	readonly entry: number;
	readonly operation: ModelOperation;
};

/** An attempt of a call at an upstream. */
type UpstreamJob = {
	readonly running: RunningCall;
	readonly attempt: number;
	readonly dispatchedAt: number;
};

type EndedAttempt = {
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

/** Runs one simulation. */
export function runModel(options: ModelOptions): ModelResult {
	const random = createRandomSource(options.seed);
	const events = createDeadlineQueue<TimedEvent>();
	let sequence = 0;
	const endAt = options.seconds * millisecondsPerSecond;
	const descriptions = createDescriptions(options);
	const upstreamIndexes = new Map(descriptions.map((description, index) => [description.name, index]));
	const slots = options.view.service.slotsPerUpstream;
	const upstreams: ModelUpstream[] = descriptions.map(() => ({running: 0, runningLong: 0, queue: []}));
	const entries = Array.from({length: options.entries}, (_, index) => ({
		name: `entry-${index}`, failureDomain: options.failureDomains[index % options.failureDomains.length]!,
	}));
	const schedulers: ServiceScheduler[] = entries.map((entry, index) => createServiceScheduler({
		policy: options.policy,
		view: options.view,
		fleet: {self: entry.name, selfFailureDomain: entry.failureDomain, entries: listEntriesInView(entries, options.viewSize)},
		upstreams: descriptions,
		random: createRandomSource((options.seed * 1000) + index),
		now: 0,
	}));
	const nextAdvances = schedulers.map(() => Number.POSITIVE_INFINITY);
	const calls = new Map<number, RunningCall>();
	const shortLatencies: number[] = [];
	const longLatencies: number[] = [];
	const refusals: Record<string, number> = {};
	const lastSecondDispatches = descriptions.map(() => 0);
	let failures = 0;
	let retries = 0;
	let answeredInTime = 0;
	let mostLongAtUpstream = 0;
	let slowestRefusal = 0;
	let dispatches = 0;
	let queuedAtUpstream = 0;

	function scheduleEvent(time: number, run: (now: number) => void): void {
		sequence += 1;
		events.add({
			id: sequence, priority: 0, deadlineAt: time, run,
		});
	}

	function applyActions(entry: number, actions: readonly SchedulerAction[], now: number): void {
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

		scheduleAdvance(entry, now);
	}

	function scheduleAdvance(entry: number, now: number): void {
		const next = schedulers[entry]!.getNextAdvanceAt(now);
		if (next === undefined || next >= nextAdvances[entry]!) {
			return;
		}

		const time = Math.max(next, now + 0.1);
		nextAdvances[entry] = time;
		scheduleEvent(time, later => {
			if (nextAdvances[entry] !== time) {
				return;
			}

			nextAdvances[entry] = Number.POSITIVE_INFINITY;
			applyActions(entry, schedulers[entry]!.advance(later), later);
		});
	}

	function dispatch(running: RunningCall, upstream: string, now: number): void {
		const index = upstreamIndexes.get(upstream)!;
		dispatches += 1;
		if (now > endAt - millisecondsPerSecond) {
			lastSecondDispatches[index]! += 1;
		}

		const attempt = running.call.attempts + 1;
		running.call = {...running.call, attempts: attempt, triedUpstreams: [...running.call.triedUpstreams, upstream]};
		scheduleEvent(now + options.oneWayMilliseconds, later => {
			arriveAtUpstream(index, {running, attempt, dispatchedAt: now}, later);
		});
		scheduleEvent(running.call.deadlineAt, later => {
			endAttempt({
				running, attempt, upstream, result: {kind: 'timed-out'},
			}, later);
		});
	}

	function arriveAtUpstream(index: number, job: UpstreamJob, now: number): void {
		const upstream = upstreams[index]!;
		if (options.getBehavior(index, now).isFailingFast) {
			scheduleEvent(now + failFastMilliseconds, later => {
				sendAnswer(index, job, 500, later);
			});
			return;
		}

		if (upstream.running < slots) {
			startJob(index, job, now);
			return;
		}

		queuedAtUpstream += 1;
		upstream.queue.push(job);
	}

	function startJob(index: number, job: UpstreamJob, now: number): void {
		const upstream = upstreams[index]!;
		const isLong = job.running.operation.row.duration === 'long' || job.running.operation.meanMilliseconds > 150;
		upstream.running += 1;
		upstream.runningLong += isLong ? 1 : 0;
		mostLongAtUpstream = Math.max(mostLongAtUpstream, upstream.runningLong);
		const duration = drawServiceTime(random, job.running.operation.meanMilliseconds) * options.getBehavior(index, now).slowness;
		scheduleEvent(now + duration, later => {
			upstream.running -= 1;
			upstream.runningLong -= isLong ? 1 : 0;
			for (let next = upstream.queue.shift(); next; next = upstream.queue.shift()) {
				if (next.running.call.deadlineAt > later) {
					startJob(index, next, later);
					break;
				}
			}

			sendAnswer(index, job, 200, later);
		});
	}

	function sendAnswer(index: number, job: UpstreamJob, statusCode: number, now: number): void {
		const upstream = upstreams[index]!;
		const behavior = options.getBehavior(index, now);
		const report = {
			slots,
			running: behavior.isReportingIdle ? 0 : upstream.running,
			queued: behavior.isReportingIdle ? 0 : upstream.queue.length,
			state: behavior.isDraining ? 'draining' : 'live',
		} as const;
		const {name} = descriptions[index]!;
		scheduleEvent(now + options.oneWayMilliseconds, later => {
			const {entry} = job.running;
			applyActions(entry, schedulers[entry]!.applyReport(name, report, later, later, job.running.call.id), later);
			const result = {kind: 'answered', statusCode, durationMilliseconds: later - job.dispatchedAt} as const;
			endAttempt({
				running: job.running, attempt: job.attempt, upstream: name, result,
			}, later);
		});
	}

	/** Attempts that ended while their answer or their timeout is still to come. */
	const attemptEndTimes = new Map<string, number>();

	function endAttempt({running, attempt, upstream, result}: EndedAttempt, now: number): void {
		const {call, entry} = running;
		const key = `${call.id}/${attempt}`;
		if (attemptEndTimes.has(key)) {
			attemptEndTimes.delete(key);
			return;
		}

		// Both the answer and the timeout of an attempt get here. The first ends the attempt; the second is ignored.
		attemptEndTimes.set(key, now);
		const scheduler = schedulers[entry]!;
		applyActions(entry, scheduler.finishAttempt(call.id, upstream, result, now), now);
		const isGood = result.kind === 'answered' && result.statusCode < 500;
		if (isGood) {
			calls.delete(call.id);
			answeredInTime += call.deadlineAt >= now ? 1 : 0;
			const samples = running.operation.meanMilliseconds > 150 ? longLatencies : shortLatencies;
			samples.push(now - call.arrivedAt);
			return;
		}

		if (scheduler.tryChargeRetry(call, result, now)) {
			retries += 1;
			applyActions(entry, scheduler.submit(call, now), now);
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

	const weights = entries.map((_, index) => options.getEntryWeight?.(index) ?? 1);
	let weightSum = 0;
	for (const weight of weights) {
		weightSum += weight;
	}

	function chooseEntry(): number {
		let remainder = random.nextFraction() * weightSum;
		for (const [index, weight] of weights.entries()) {
			remainder -= weight;
			if (remainder < 0) {
				return index;
			}
		}

		return 0;
	}

	function offerNextCall(now: number): void {
		if (now >= endAt) {
			return;
		}

		const entry = chooseEntry();
		const running = createCall(entry, now);
		calls.set(running.call.id, running);
		applyActions(entry, schedulers[entry]!.submit(running.call, now), now);
		scheduleEvent(now + drawInterarrivalTime(random, millisecondsPerSecond / options.getRate(now)), offerNextCall);
	}

	scheduleEvent(0, offerNextCall);
	let callCount = 0;
	for (let event = events.removeFirst(); event && event.deadlineAt < endAt + 5000; event = events.removeFirst()) {
		callCount += event.run === offerNextCall ? 1 : 0;
		event.run(event.deadlineAt);
	}

	let lastSecondSum = 0;
	for (const count of lastSecondDispatches) {
		lastSecondSum += count;
	}

	return {
		calls: callCount,
		shortP50: getPercentile(shortLatencies, 50),
		shortP99: getPercentile(shortLatencies, 99),
		shortP999: getPercentile(shortLatencies, 99.9),
		longP50: getPercentile(longLatencies, 50),
		longP99: getPercentile(longLatencies, 99),
		p99: getPercentile([...shortLatencies, ...longLatencies], 99),
		goodputPerSecond: Math.round(answeredInTime / options.seconds),
		refusals,
		failures,
		retries,
		lastShares: lastSecondDispatches.map(count => Math.round(1000 * count / Math.max(1, lastSecondSum)) / 1000),
		mostLongAtUpstream,
		slowestRefusal: Math.round(slowestRefusal * 10) / 10,
		queuedAtUpstreamShare: Math.round(1000 * queuedAtUpstream / Math.max(1, dispatches)) / 1000,
	};
}

type ModelEntry = {readonly name: string; readonly failureDomain: string};

/** Lists the entries in an entry's view of the fleet: a part of the fleet, or the fleet and entries that don't exist. */
function listEntriesInView(entries: readonly ModelEntry[], count = entries.length): readonly ModelEntry[] {
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

/** Draws a service time, uniformly distributed between 0.6 and 1.4 times the mean. */
function drawServiceTime(random: RandomSource, mean: number): number {
	return mean * (0.6 + (0.8 * random.nextFraction()));
}

/** Draws the time between two arrivals from an exponential distribution. */
function drawInterarrivalTime(random: RandomSource, mean: number): number {
	return -Math.log(1 - random.nextFraction()) * mean;
}

function getPercentile(values: readonly number[], percent: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percent / 100))] ?? 0;
	return Math.round(value * 10) / 10;
}
