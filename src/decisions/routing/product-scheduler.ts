/** The product's policy: calls wait here and go out only where a slot is believed free. */
import {createDeadlineQueue} from '../admission/deadline-queue.ts';
import {type RandomSource} from '../random.ts';
import {createRetryBudget} from '../retries/retry-budget.ts';
import {isRetryable} from '../retries/retry-rule.ts';
import {type ServiceView} from '../table/service-view.ts';
import {
	type FleetView, type LoadReport, type SchedulerAction, type ServiceScheduler, type UpstreamDescription, type WaitingCall,
} from './types.ts';

export type ProductSchedulerOptions = {
	readonly view: ServiceView;
	readonly fleet: FleetView;
	readonly upstreams: readonly UpstreamDescription[];
	readonly random: RandomSource;
	readonly now: number;
};

type UpstreamState = {
	readonly name: string;
	description: UpstreamDescription;
	inFlight: number;
	report: LoadReport | undefined;
	reportedAt: number;
	/** Calls of others when the report was made. */
	foreign: number;
};

type QueuedCall = {
	readonly id: number;
	readonly priority: number;
	readonly deadlineAt: number;
	readonly call: WaitingCall;
};

const largestQueue = 1000;
const queueFullRetryMilliseconds = 500;
/** Age after which a report says nothing any more. */
const reportLifetimeMilliseconds = 100;

/** Creates the scheduler of one service. */
export function createProductScheduler(options: ProductSchedulerOptions): ServiceScheduler {
	const {random} = options;
	let {view} = options;
	const upstreams = new Map<string, UpstreamState>();
	const queue = createDeadlineQueue<QueuedCall>();
	const budget = createRetryBudget(() => view.service.retryShare);
	setDescriptions(options.upstreams);

	function setDescriptions(descriptions: readonly UpstreamDescription[]): void {
		const names = new Set(descriptions.map(description => description.name));
		for (const name of upstreams.keys()) {
			if (!names.has(name)) {
				upstreams.delete(name);
			}
		}

		for (const description of descriptions) {
			const known = upstreams.get(description.name);
			if (known) {
				known.description = description;
			} else {
				upstreams.set(description.name, {
					name: description.name, description, inFlight: 0, report: undefined, reportedAt: 0, foreign: 0,
				});
			}
		}
	}

	function getSlots(upstream: UpstreamState): number {
		return view.upstreams.get(upstream.name)?.slots ?? view.service.slotsPerUpstream;
	}

	function countFree(upstream: UpstreamState, now: number): number {
		const isFresh = now - upstream.reportedAt < reportLifetimeMilliseconds;
		return getSlots(upstream) - upstream.inFlight - (isFresh ? upstream.foreign : 0);
	}

	function isUsable(upstream: UpstreamState): boolean {
		return upstream.description.state === 'live'
			&& upstream.report?.state !== 'draining'
			&& view.upstreams.get(upstream.name)?.weight !== 0;
	}

	function chooseFree(call: WaitingCall, now: number): UpstreamState | undefined {
		const usable = [...upstreams.values()].filter(upstream => isUsable(upstream));
		const untried = usable.filter(upstream => !call.triedUpstreams.includes(upstream.name));
		const candidates = untried.length === 0 ? usable : untried;
		const start = candidates.length === 0 ? 0 : random.nextInteger(candidates.length);
		let best: UpstreamState | undefined;
		let bestFree = 0;
		for (let step = 0; step < candidates.length; step++) {
			const candidate = candidates[(start + step) % candidates.length]!;
			const free = countFree(candidate, now);
			if (free > bestFree) {
				best = candidate;
				bestFree = free;
			}
		}

		return best;
	}

	function dispatchWaiting(now: number): readonly SchedulerAction[] {
		const actions: SchedulerAction[] = [];
		for (let queued = queue.peek(); queued; queued = queue.peek()) {
			if (queued.deadlineAt <= now) {
				queue.take();
				actions.push({
					kind: 'refuse', callId: queued.id, reason: 'deadline-passed', retryAfterMilliseconds: 0,
				});
				continue;
			}

			const upstream = chooseFree(queued.call, now);
			if (!upstream) {
				break;
			}

			queue.take();
			upstream.inFlight += 1;
			actions.push({kind: 'dispatch', callId: queued.id, upstream: upstream.name});
		}

		return actions;
	}

	return {
		offer(call, now) {
			if (call.attempts === 0) {
				budget.countFirstAttempt();
			}

			if (queue.size >= largestQueue) {
				return [{
					kind: 'refuse', callId: call.id, reason: 'queue-full', retryAfterMilliseconds: queueFullRetryMilliseconds,
				}];
			}

			queue.add({
				id: call.id, priority: call.operation.priority, deadlineAt: call.deadlineAt, call,
			});
			return dispatchWaiting(now);
		},
		finish(_callId, name, _result, now) {
			const upstream = upstreams.get(name);
			if (upstream) {
				upstream.inFlight = Math.max(0, upstream.inFlight - 1);
			}

			return dispatchWaiting(now);
		},
		withdraw(callId) {
			queue.remove(callId);
		},
		tryChargeRetry: (call, result, now) => isRetryable(call, result, now) && budget.tryCharge(),
		report(name, report, reportedAt, now) {
			const upstream = upstreams.get(name);
			if (!upstream || reportedAt < upstream.reportedAt) {
				return [];
			}

			upstream.report = report;
			upstream.reportedAt = reportedAt;
			upstream.foreign = Math.max(0, report.running + report.queued - upstream.inFlight);
			return dispatchWaiting(now);
		},
		setUpstreams(descriptions, now) {
			setDescriptions(descriptions);
			return dispatchWaiting(now);
		},
		setView(next, now) {
			view = next;
			return dispatchWaiting(now);
		},
		setFleet: () => [],
		advance: now => dispatchWaiting(now),
		getNextAdvance: () => queue.peek()?.deadlineAt,
		getStatus: () => [...upstreams.values()].map(upstream => ({
			upstream: upstream.name,
			state: isUsable(upstream) ? 'live' : 'leaving',
			reason: upstream.report?.state === 'draining' ? 'report' : 'membership',
			inFlight: upstream.inFlight,
			slots: getSlots(upstream),
		})),
		getWaiting: () => queue.size,
	};
}
