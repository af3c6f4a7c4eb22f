/**
Scheduler for the `product` policy: queues calls by deadline and dispatches them to estimated free slots.

An entry first uses its own slots, the share of the slots that is assigned to it. A short call borrows a slot from another
entry when a recent report shows a free slot, or when the call has waited for a certain time. Long calls use only own
slots that are assigned to long work.
*/
import {getRetryAfterMilliseconds} from '../admission/admission-control.ts';
import {createFleetLimits} from '../admission/fleet-limits.ts';
import {type RandomSource} from '../random.ts';
import {createRetryBudget} from '../retries/retry-budget.ts';
import {isUpstreamFailure, isRetryable} from '../retries/retry-rule.ts';
import {type ServiceView} from '../table/service-view.ts';
import {createDurationEstimator} from './duration-estimator.ts';
import {createLane, type Lane, type QueuedCall} from './lane.ts';
import {tuning} from './tuning.ts';
import {
	type AttemptResult, type FleetView, type RefusalReason, type SchedulerAction, type ServiceScheduler, type UpstreamDescription, type WaitingCall,
} from './types.ts';
import {createUpstreamPool, type PoolUpstream} from './upstream-pool.ts';

export type ProductSchedulerOptions = {
	readonly view: ServiceView;
	readonly fleet: FleetView;
	readonly upstreams: readonly UpstreamDescription[];
	readonly random: RandomSource;
	readonly now: number;
};

/** Largest number of calls that may wait in one lane. */
const maximumQueueLength = 10_000;
/** Retry delay that is sent to the caller when no upstream is usable. */
const noUpstreamRetryMilliseconds = 1000;
/** Number of random upstreams with a free own slot that are compared for a call. */
const ownSlotDraws = 4;
/** Largest number of reports that are kept as hints. */
const maximumHints = 16;
/** Minimum interval between two calls of `advance` while calls wait, in milliseconds. */
const minimumAdvanceMilliseconds = 1;

/** Creates the scheduler of one service. */
export function createProductScheduler(options: ProductSchedulerOptions): ServiceScheduler {
	const {random} = options;
	let {view} = options;
	const pool = createUpstreamPool(options);
	const durations = createDurationEstimator();
	const limits = createFleetLimits(view, options.fleet, options.now);
	const budget = createRetryBudget(() => view.service.retryShare);
	const getShortRate = () => Math.max(1, pool.countOwnSlots()) / durations.getTypicalShortMilliseconds();
	const shortLane = createLane(getShortRate);
	const longLane = createLane(() => Math.max(1, pool.countOwnSlots() * view.service.longShare) / typicalLongMilliseconds);
	const retryLane = createLane(getShortRate);
	const lanes = [longLane, retryLane, shortLane];
	const laneOfCall = new Map<number, Lane>();
	/** Upstreams with recent reports, latest last: candidates for borrowing a slot. */
	const hints: PoolUpstream[] = [];
	/** Typical duration of the latest long operation, in milliseconds; 500 is assumed before the first answer. */
	let typicalLongMilliseconds = 500;

	function chooseLane(call: WaitingCall, isLong: boolean): Lane {
		if (isLong) {
			return longLane;
		}

		return call.attempts > 0 ? retryLane : shortLane;
	}

	function refuse(callId: number, reason: RefusalReason, retryAfterMilliseconds: number): SchedulerAction {
		return {
			kind: 'refuse', callId, reason, retryAfterMilliseconds,
		};
	}

	function refuseQueued(queued: QueuedCall, reason: RefusalReason, retryAfterMilliseconds: number): SchedulerAction {
		laneOfCall.delete(queued.id);
		limits.release();
		return refuse(queued.id, reason, retryAfterMilliseconds);
	}

	function dispatch(lane: Lane, queued: QueuedCall, upstream: PoolUpstream, now: number): SchedulerAction {
		lane.queue.remove(queued.id);
		laneOfCall.delete(queued.id);
		lane.admission.recordDeparture(now);
		const behindLongMilliseconds = queued.isLong ? 0 : pool.getLongBlockedMilliseconds(now) - queued.longBlockedBefore;
		const typicalMilliseconds = durations.getTypicalMilliseconds(queued.call.operation);
		durations.recordStart(queued.call.operation, now);
		pool.startCall(upstream, queued.id, {
			operation: queued.call.operation,
			isLong: queued.isLong,
			dispatchedAt: now,
			overdueAt: now + (tuning.overdueFactor * typicalMilliseconds),
		});
		return {
			kind: 'dispatch', callId: queued.id, upstream: upstream.name, behindLongMilliseconds,
		};
	}

	function isUntried(call: WaitingCall, upstream: PoolUpstream): boolean {
		return !call.triedUpstreams.includes(upstream.name);
	}

	/** Whether the call has been tried at every upstream that it may use: a short call may use all that accept calls, a long call only own slots for long work. */
	function hasTriedAllUsable({call, isLong}: QueuedCall): boolean {
		return call.triedUpstreams.length > 0
			&& pool.usable.values().every(upstream => !isUntried(call, upstream) || (isLong && upstream.share.longSlots === 0));
	}

	/** Chooses, among a few random upstreams with a free own slot, the one with the most free slots by estimate and no overdue call. */
	function chooseOwnSlot(candidates: typeof pool.withFreeSlot, queued: QueuedCall, now: number): PoolUpstream | undefined {
		const {call} = queued;
		const typicalMilliseconds = durations.getTypicalShortMilliseconds();
		const mayRepeat = hasTriedAllUsable(queued);
		let best: PoolUpstream | undefined;
		let mostFreeSlots = Number.NEGATIVE_INFINITY;
		for (let draw = 0; draw < ownSlotDraws; draw++) {
			const candidate = candidates.chooseRandom(random);
			if (!candidate) {
				return undefined;
			}

			const freeSlots = pool.estimateFreeSlots(candidate, typicalMilliseconds, now);
			if (freeSlots > mostFreeSlots && (mayRepeat || isUntried(call, candidate)) && !pool.isOverdue(candidate, now)) {
				best = candidate;
				mostFreeSlots = freeSlots;
			}
		}

		return best;
	}

	function isBorrowable(upstream: PoolUpstream, call: WaitingCall, extraCalls: number, now: number): boolean {
		return pool.usable.has(upstream)
			&& upstream.lifeCycle.value === 'live'
			&& isUntried(call, upstream)
			&& !pool.isOverdue(upstream, now)
			&& pool.estimateFreeSlots(upstream, durations.getTypicalShortMilliseconds(), now) >= 1 + tuning.borrowMargin - extraCalls;
	}

	/** Chooses the upstream with the latest report that still shows a free slot; removes hints that can't be used. */
	function chooseFromHints(call: WaitingCall, extraCalls: number, now: number): PoolUpstream | undefined {
		const oldestReportedAt = now - (tuning.hintLifetimeShare * durations.getTypicalShortMilliseconds());
		while (hints.length > 0) {
			const hint = hints.at(-1)!;
			if (hint.foreignLoad.reportedAt < oldestReportedAt) {
				hints.length = 0;
				return undefined;
			}

			if (isBorrowable(hint, call, extraCalls, now)) {
				return hint;
			}

			hints.pop();
		}

		return undefined;
	}

	/** Chooses the upstream with the most free slots among a few random ones, by estimate without a recent report. */
	function chooseByEstimate(call: WaitingCall, now: number): PoolUpstream | undefined {
		const typicalMilliseconds = durations.getTypicalShortMilliseconds();
		let best: PoolUpstream | undefined;
		let mostFreeSlots = 0;
		for (let draw = 0; draw < tuning.borrowCandidates; draw++) {
			const candidate = pool.usable.chooseRandom(random);
			if (!candidate) {
				return undefined;
			}

			const freeSlots = pool.estimateFreeSlots(candidate, typicalMilliseconds, now);
			if (freeSlots > mostFreeSlots && isBorrowable(candidate, call, 0, now)) {
				best = candidate;
				mostFreeSlots = freeSlots;
			}
		}

		return best;
	}

	/** Returns the wait after which a call borrows a slot; it grows with the number of own slots, because one of them becomes free sooner. */
	function getBorrowDelay(): number {
		const share = Math.min(tuning.longestBorrowDelayShare, tuning.borrowDelayShare * pool.countOwnSlots());
		return share * durations.getTypicalShortMilliseconds();
	}

	/** Chooses the upstream for a short call: one with a free own slot, then by recent reports, then by estimate after the borrow delay. */
	function chooseForShort(queued: QueuedCall, now: number): PoolUpstream | undefined {
		const own = chooseOwnSlot(pool.withFreeSlot, queued, now);
		if (own) {
			return own;
		}

		const typicalMilliseconds = durations.getTypicalShortMilliseconds();
		const waitedMilliseconds = now - queued.queuedAt;
		const extraCalls = waitedMilliseconds >= tuning.saturatedShare * typicalMilliseconds ? tuning.saturatedExtraCalls : 0;
		const hint = chooseFromHints(queued.call, extraCalls, now);
		if (hint) {
			return hint;
		}

		return waitedMilliseconds >= getBorrowDelay() ? chooseByEstimate(queued.call, now) : undefined;
	}

	/** Returns the time before its deadline by which a call must be dispatched, at most half of the time between its arrival and its deadline. */
	function getRequiredMilliseconds(call: WaitingCall): number {
		return Math.min(tuning.requiredTimeFactor * durations.getTypicalMilliseconds(call.operation), (call.deadlineAt - call.arrivedAt) / 2);
	}

	function dispatchLane(lane: Lane, actions: SchedulerAction[], now: number): void {
		for (let queued = lane.queue.peek(); queued; queued = lane.queue.peek()) {
			if (queued.deadlineAt - getRequiredMilliseconds(queued.call) <= now) {
				lane.queue.removeFirst();
				actions.push(refuseQueued(queued, 'deadline-unreachable', getRetryAfterMilliseconds(lane.admission.estimateWait(lane.queue.size, now))));
				continue;
			}

			const upstream = queued.isLong ? chooseOwnSlot(pool.withFreeLongSlot, queued, now) : chooseForShort(queued, now);
			if (!upstream) {
				return;
			}

			actions.push(dispatch(lane, queued, upstream, now));
		}
	}

	function dispatchWaiting(now: number): readonly SchedulerAction[] {
		const actions: SchedulerAction[] = [];
		for (const lane of lanes) {
			dispatchLane(lane, actions, now);
			lane.admission.recordWaiting(lane.queue.size > 0, now);
		}

		return actions;
	}

	function admit(call: WaitingCall, lane: Lane, now: number): SchedulerAction | undefined {
		if (call.deadlineAt <= now) {
			return refuse(call.id, 'deadline-passed', 0);
		}

		if (pool.usable.size === 0) {
			return refuse(call.id, 'no-upstream', noUpstreamRetryMilliseconds);
		}

		if (lane === longLane && view.service.longShare === 0) {
			return refuse(call.id, 'no-upstream', noUpstreamRetryMilliseconds);
		}

		const {size} = lane.queue;
		if (size >= maximumQueueLength) {
			return refuse(call.id, 'queue-full', getRetryAfterMilliseconds(lane.admission.estimateWait(size, now)));
		}

		if (!lane.admission.canMeetDeadline(size, getRequiredMilliseconds(call), call.deadlineAt, now)) {
			return refuse(call.id, 'deadline-unreachable', getRetryAfterMilliseconds(lane.admission.estimateWait(size, now)));
		}

		if (call.attempts > 0) {
			limits.admitRetry();
			return undefined;
		}

		const limitRefusal = limits.tryAdmit(now);
		return limitRefusal && refuse(call.id, limitRefusal.reason, limitRefusal.retryAfterMilliseconds);
	}

	function recordResult(upstream: string, operation: WaitingCall['operation'], result: AttemptResult, now: number): void {
		if (result.kind === 'cancelled') {
			return;
		}

		if (isUpstreamFailure(result)) {
			pool.recordFailure(upstream, now);
			return;
		}

		if (result.kind !== 'answered') {
			return;
		}

		const durationRatio = result.durationMilliseconds / durations.getTypicalMilliseconds(operation);
		durations.recordDuration(operation, result.durationMilliseconds, now);
		if (durations.isLong(operation, now)) {
			typicalLongMilliseconds = durations.getTypicalMilliseconds(operation);
		}

		pool.recordAnswer(upstream, durationRatio, now);
	}

	return {
		submit(call, now) {
			if (call.attempts === 0) {
				budget.countFirstAttempt();
			}

			const isLong = durations.isLong(call.operation, now);
			const lane = chooseLane(call, isLong);
			const refusal = admit(call, lane, now);
			if (refusal) {
				return [refusal];
			}

			lane.queue.add({
				id: call.id, priority: call.operation.priority, deadlineAt: call.deadlineAt, queuedAt: now, isLong, call, longBlockedBefore: pool.getLongBlockedMilliseconds(now),
			});
			laneOfCall.set(call.id, lane);
			return dispatchWaiting(now);
		},
		finishAttempt(callId, upstream, result, now) {
			const ended = pool.endCall(upstream, callId, now);
			if (!ended) {
				return [];
			}

			limits.release();
			recordResult(upstream, ended.operation, result, now);
			return dispatchWaiting(now);
		},
		cancel(callId, now) {
			const lane = laneOfCall.get(callId);
			if (lane?.queue.remove(callId)) {
				lane.admission.recordWaiting(lane.queue.size > 0, now);
				laneOfCall.delete(callId);
				limits.release();
			}
		},
		getAttemptTimeout: operation => durations.hasEnoughSamples(operation)
			? Math.max(tuning.minimumAttemptTimeoutMilliseconds, tuning.attemptTimeoutFactor * durations.getTypicalMilliseconds(operation))
			: undefined,
		tryChargeRetry: (call, result, now) => isRetryable(call, result, now) && budget.tryCharge(),
		applyReport(name, report, reportedAt, now, answeredCallId) { // eslint-disable-line max-params
			pool.applyReport(name, report, {reportedAt, now, answeredCallId});
			const upstream = pool.get(name);
			if (upstream && now - reportedAt < durations.getTypicalShortMilliseconds()) {
				if (hints.length >= maximumHints) {
					hints.shift();
				}

				hints.push(upstream);
			}

			return dispatchWaiting(now);
		},
		setUpstreams(descriptions, now) {
			pool.setUpstreams(descriptions);
			return dispatchWaiting(now);
		},
		setView(next, now) {
			view = next;
			pool.setView(next);
			limits.setView(next);
			return dispatchWaiting(now);
		},
		setFleet(next, now) {
			pool.setFleet(next);
			limits.setFleet(next);
			return dispatchWaiting(now);
		},
		advance(now) {
			pool.endPauses(now);
			return dispatchWaiting(now);
		},
		getNextAdvanceAt(now) {
			const pauseEnd = pool.endPauses(now);
			const step = Math.max(minimumAdvanceMilliseconds, getBorrowDelay());
			const isWaiting = lanes.some(lane => lane.queue.size > 0);
			const next = Math.min(pauseEnd ?? Number.POSITIVE_INFINITY, isWaiting ? now + step : Number.POSITIVE_INFINITY);
			return next === Number.POSITIVE_INFINITY ? undefined : next;
		},
		getStatus: () => pool.getStatus(),
		countWaitingCalls() {
			let waiting = 0;
			for (const lane of lanes) {
				waiting += lane.queue.size;
			}

			return waiting;
		},
	};
}
