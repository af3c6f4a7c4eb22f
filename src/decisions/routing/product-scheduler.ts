/**
The product's policy: calls wait here in the order of their deadlines and go out where a slot is believed free.

An entry uses its own share of the slots first; it uses slots of other entries when a fresh report shows one free, or
when a call has waited for a while. Long work stays within its own share of the slots.
*/
import {resolveRetryAfter} from '../admission/admission.ts';
import {createFleetLimits} from '../admission/fleet-limits.ts';
import {type RandomSource} from '../random.ts';
import {createRetryBudget} from '../retries/retry-budget.ts';
import {isFailure, isRetryable} from '../retries/retry-rule.ts';
import {type ServiceView} from '../table/service-view.ts';
import {createDurationLearner} from './duration-learner.ts';
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

const largestQueue = 10_000;
const noUpstreamRetryMilliseconds = 1000;
/** Tries to find a free slot at an upstream without an overdue call. */
const freeTries = 4;
const largestHints = 16;
/** Shortest time between two looks at the waiting calls. */
const shortestStepMilliseconds = 1;

/** Creates the scheduler of one service. */
export function createProductScheduler(options: ProductSchedulerOptions): ServiceScheduler {
	const {random} = options;
	let {view} = options;
	const pool = createUpstreamPool(options);
	const learner = createDurationLearner();
	const limits = createFleetLimits(view, options.fleet, options.now);
	const budget = createRetryBudget(() => view.service.retryShare);
	const getShortRate = () => Math.max(1, pool.countOwnSlots()) / learner.getTypicalShort();
	const shortLane = createLane(getShortRate);
	const longLane = createLane(() => Math.max(1, pool.countOwnSlots() * view.service.longShare) / typicalLong);
	const retryLane = createLane(getShortRate);
	const lanes = [longLane, retryLane, shortLane];
	const laneOfCall = new Map<number, Lane>();
	/** Upstreams that showed a free slot of another entry, the latest last. */
	const hints: PoolUpstream[] = [];
	let typicalLong = 500;

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

	function drop(queued: QueuedCall, reason: RefusalReason, retryAfterMilliseconds: number): SchedulerAction {
		laneOfCall.delete(queued.id);
		limits.release();
		return refuse(queued.id, reason, retryAfterMilliseconds);
	}

	function dispatch(lane: Lane, queued: QueuedCall, upstream: PoolUpstream, now: number): SchedulerAction {
		lane.queue.remove(queued.id);
		laneOfCall.delete(queued.id);
		if (lane.queue.size > 0) {
			lane.admission.countDeparture(now);
		}

		const behindLongMilliseconds = queued.isLong ? 0 : pool.getAllLongMilliseconds(now) - queued.allLongBefore;
		const typical = learner.getTypical(queued.call.operation);
		learner.noteStart(queued.call.operation, now);
		pool.start(upstream, queued.id, {
			operation: queued.call.operation,
			isLong: queued.isLong,
			dispatchedAt: now,
			overdueAt: now + (tuning.overdueFactor * typical),
		});
		return {
			kind: 'dispatch', callId: queued.id, upstream: upstream.name, behindLongMilliseconds,
		};
	}

	function isUntried(call: WaitingCall, upstream: PoolUpstream): boolean {
		return !call.triedUpstreams.includes(upstream.name);
	}

	/** Whether the call has been to every upstream that takes work. */
	function isTriedEverywhere(call: WaitingCall): boolean {
		return call.triedUpstreams.length > 0 && pool.usable.values().every(upstream => !isUntried(call, upstream));
	}

	/** Chooses among own free slots the one at the upstream with the least load by belief. */
	function chooseOwn(set: typeof pool.free, call: WaitingCall, now: number): PoolUpstream | undefined {
		const typical = learner.getTypicalShort();
		const mayRepeat = isTriedEverywhere(call);
		let best: PoolUpstream | undefined;
		let bestSpare = Number.NEGATIVE_INFINITY;
		for (let attempt = 0; attempt < freeTries; attempt++) {
			const candidate = set.choose(random);
			if (!candidate) {
				return undefined;
			}

			const spare = pool.estimateSpare(candidate, typical, now);
			if (spare > bestSpare && (mayRepeat || isUntried(call, candidate)) && !pool.isOverdue(candidate, now)) {
				best = candidate;
				bestSpare = spare;
			}
		}

		return best;
	}

	function isBorrowable(upstream: PoolUpstream, call: WaitingCall, extra: number, now: number): boolean {
		return pool.usable.has(upstream)
			&& upstream.life.value === 'live'
			&& isUntried(call, upstream)
			&& !pool.isOverdue(upstream, now)
			&& pool.estimateSpare(upstream, learner.getTypicalShort(), now) >= 1 + tuning.borrowMargin - extra;
	}

	/** Chooses the upstream that lately showed a free slot of another entry. */
	function chooseHint(call: WaitingCall, extra: number, now: number): PoolUpstream | undefined {
		const oldest = now - (tuning.hintLifetimeShare * learner.getTypicalShort());
		while (hints.length > 0) {
			const hint = hints.at(-1)!;
			if (hint.belief.reportedAt < oldest) {
				hints.length = 0;
				return undefined;
			}

			if (isBorrowable(hint, call, extra, now)) {
				return hint;
			}

			hints.pop();
		}

		return undefined;
	}

	/** Chooses the least loaded of a few upstreams by belief alone. */
	function chooseByBelief(call: WaitingCall, now: number): PoolUpstream | undefined {
		const typical = learner.getTypicalShort();
		let best: PoolUpstream | undefined;
		let bestSpare = 0;
		for (let attempt = 0; attempt < tuning.borrowChoices; attempt++) {
			const candidate = pool.usable.choose(random);
			if (!candidate) {
				return undefined;
			}

			const spare = pool.estimateSpare(candidate, typical, now);
			if (spare > bestSpare && isBorrowable(candidate, call, 0, now)) {
				best = candidate;
				bestSpare = spare;
			}
		}

		return best;
	}

	/** Wait after which a call uses a slot of another entry: the more own slots, the sooner one of them is free. */
	function getBorrowAfter(): number {
		const share = Math.min(tuning.longestBorrowAfterShare, tuning.borrowAfterShare * pool.countOwnSlots());
		return share * learner.getTypicalShort();
	}

	function chooseForShort(queued: QueuedCall, now: number): PoolUpstream | undefined {
		const own = chooseOwn(pool.free, queued.call, now);
		if (own) {
			return own;
		}

		const typical = learner.getTypicalShort();
		const waited = now - queued.queuedAt;
		const extra = waited >= tuning.saturatedShare * typical ? tuning.saturatedExtra : 0;
		const hint = chooseHint(queued.call, extra, now);
		if (hint) {
			return hint;
		}

		return waited >= getBorrowAfter() ? chooseByBelief(queued.call, now) : undefined;
	}

	/** Time that a call needs before its deadline; a call that never had so much gets half of what it had. */
	function getNeeded(call: WaitingCall): number {
		return Math.min(tuning.neededFactor * learner.getTypical(call.operation), (call.deadlineAt - call.arrivedAt) / 2);
	}

	function pumpLane(lane: Lane, actions: SchedulerAction[], now: number): void {
		for (let queued = lane.queue.peek(); queued; queued = lane.queue.peek()) {
			if (queued.deadlineAt - getNeeded(queued.call) <= now) {
				lane.queue.take();
				actions.push(drop(queued, 'deadline-unreachable', resolveRetryAfter(lane.admission.estimateWait(lane.queue.size, now))));
				continue;
			}

			const upstream = queued.isLong ? chooseOwn(pool.freeLong, queued.call, now) : chooseForShort(queued, now);
			if (!upstream) {
				return;
			}

			actions.push(dispatch(lane, queued, upstream, now));
		}
	}

	function pump(now: number): readonly SchedulerAction[] {
		const actions: SchedulerAction[] = [];
		for (const lane of lanes) {
			pumpLane(lane, actions, now);
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
		if (size >= largestQueue) {
			return refuse(call.id, 'queue-full', resolveRetryAfter(lane.admission.estimateWait(size, now)));
		}

		if (!lane.admission.isReachable(size, getNeeded(call), call.deadlineAt, now)) {
			return refuse(call.id, 'deadline-unreachable', resolveRetryAfter(lane.admission.estimateWait(size, now)));
		}

		if (call.attempts > 0) {
			limits.readmit();
			return undefined;
		}

		const limited = limits.tryAdmit(now);
		return limited && refuse(call.id, limited.reason, limited.retryAfterMilliseconds);
	}

	function judge(upstream: string, operation: WaitingCall['operation'], result: AttemptResult, now: number): void {
		if (result.kind === 'cancelled') {
			return;
		}

		if (isFailure(result)) {
			pool.takeFailure(upstream, now);
			return;
		}

		if (result.kind !== 'answered') {
			return;
		}

		const ratio = result.durationMilliseconds / learner.getTypical(operation);
		learner.learn(operation, result.durationMilliseconds, now);
		if (learner.isLong(operation, now)) {
			typicalLong = learner.getTypical(operation);
		}

		pool.takeGoodAnswer(upstream, ratio, now);
	}

	return {
		offer(call, now) {
			if (call.attempts === 0) {
				budget.countFirstAttempt();
			}

			const isLong = learner.isLong(call.operation, now);
			const lane = chooseLane(call, isLong);
			const refusal = admit(call, lane, now);
			if (refusal) {
				return [refusal];
			}

			lane.queue.add({
				id: call.id, priority: call.operation.priority, deadlineAt: call.deadlineAt, queuedAt: now, isLong, call, allLongBefore: pool.getAllLongMilliseconds(now),
			});
			laneOfCall.set(call.id, lane);
			return pump(now);
		},
		finish(callId, upstream, result, now) {
			const ended = pool.end(upstream, callId, now);
			if (!ended) {
				return [];
			}

			limits.release();
			judge(upstream, ended.operation, result, now);
			return pump(now);
		},
		withdraw(callId) {
			const lane = laneOfCall.get(callId);
			if (lane?.queue.remove(callId)) {
				laneOfCall.delete(callId);
				limits.release();
			}
		},
		getPatience: operation => learner.isKnown(operation)
			? Math.max(tuning.leastPatienceMilliseconds, tuning.patienceFactor * learner.getTypical(operation))
			: undefined,
		tryChargeRetry: (call, result, now) => isRetryable(call, result, now) && budget.tryCharge(),
		report(name, report, reportedAt, now, answeredCallId) { // eslint-disable-line max-params
			pool.takeReport(name, report, {reportedAt, now, answeredCallId});
			const upstream = pool.get(name);
			if (upstream && now - reportedAt < learner.getTypicalShort()) {
				if (hints.length >= largestHints) {
					hints.shift();
				}

				hints.push(upstream);
			}

			return pump(now);
		},
		setUpstreams(descriptions, now) {
			pool.setUpstreams(descriptions);
			return pump(now);
		},
		setView(next, now) {
			view = next;
			pool.setView(next);
			limits.setView(next);
			return pump(now);
		},
		setFleet(next, now) {
			pool.setFleet(next);
			limits.setFleet(next);
			return pump(now);
		},
		advance(now) {
			pool.endPauses(now);
			return pump(now);
		},
		getNextAdvance(now) {
			const pauseEnd = pool.endPauses(now);
			const step = Math.max(shortestStepMilliseconds, getBorrowAfter());
			const isWaiting = lanes.some(lane => lane.queue.size > 0);
			const next = Math.min(pauseEnd ?? Number.POSITIVE_INFINITY, isWaiting ? now + step : Number.POSITIVE_INFINITY);
			return next === Number.POSITIVE_INFINITY ? undefined : next;
		},
		getStatus: () => pool.getStatus(),
		getWaiting() {
			let waiting = 0;
			for (const lane of lanes) {
				waiting += lane.queue.size;
			}

			return waiting;
		},
	};
}
