/** Scheduler for the baseline policies, which dispatch each call at once; calls queue at the upstream. */
import {assertNever} from '../assert-never.ts';
import {type RandomSource} from '../random.ts';
import {createRetryBudget} from '../retries/retry-budget.ts';
import {isRetryable} from '../retries/retry-rule.ts';
import {type ServiceView} from '../table/service-view.ts';
import {
	type SchedulerAction, type ServiceScheduler, type UpstreamDescription, type WaitingCall,
} from './types.ts';

/** Policies that dispatch each call at once. */
export type ImmediatePolicy = 'round-robin' | 'random' | 'least-in-flight' | 'power-of-two-choices';

export type ImmediateSchedulerOptions = {
	readonly rule: ImmediatePolicy;
	readonly view: ServiceView;
	readonly upstreams: readonly UpstreamDescription[];
	readonly random: RandomSource;
};

/** Retry delay that is sent to the caller when no upstream is usable. */
const noUpstreamRetryMilliseconds = 1000;

/** Creates a scheduler that never queues a call. */
export function createImmediateScheduler(options: ImmediateSchedulerOptions): ServiceScheduler {
	const {rule, random} = options;
	const inFlight = new Map<string, number>();
	let {view, upstreams} = options;
	let usable = listUsableUpstreams();
	let roundRobinIndex = usable.length === 0 ? 0 : random.nextInteger(usable.length);
	const budget = createRetryBudget(() => view.service.retryShare);

	function listUsableUpstreams(): readonly string[] {
		return upstreams
			.filter(upstream => upstream.state === 'live' && view.upstreams.get(upstream.name)?.weight !== 0)
			.map(upstream => upstream.name);
	}

	function getInFlight(name: string): number {
		return inFlight.get(name) ?? 0;
	}

	function chooseLeastInFlight(names: readonly string[]): string {
		const start = random.nextInteger(names.length);
		let least = names[start]!;
		for (let step = 1; step < names.length; step++) {
			const name = names[(start + step) % names.length]!;
			if (getInFlight(name) < getInFlight(least)) {
				least = name;
			}
		}

		return least;
	}

	function chooseUpstream(names: readonly string[]): string {
		switch (rule) {
			case 'round-robin': {
				roundRobinIndex += 1;
				return names[roundRobinIndex % names.length]!;
			}

			case 'random': {
				return names[random.nextInteger(names.length)]!;
			}

			case 'least-in-flight': {
				return chooseLeastInFlight(names);
			}

			case 'power-of-two-choices': {
				return chooseLeastInFlight([
					names[random.nextInteger(names.length)]!,
					names[random.nextInteger(names.length)]!,
				]);
			}

			default: {
				return assertNever(rule);
			}
		}
	}

	function listCandidates(call: WaitingCall): readonly string[] {
		if (call.triedUpstreams.length === 0) {
			return usable;
		}

		const untried = usable.filter(name => !call.triedUpstreams.includes(name));
		return untried.length === 0 ? usable : untried;
	}

	function schedule(call: WaitingCall, now: number): SchedulerAction {
		if (call.deadlineAt <= now) {
			return {
				kind: 'refuse', callId: call.id, reason: 'deadline-passed', retryAfterMilliseconds: 0,
			};
		}

		const candidates = listCandidates(call);
		if (candidates.length === 0) {
			return {
				kind: 'refuse', callId: call.id, reason: 'no-upstream', retryAfterMilliseconds: noUpstreamRetryMilliseconds,
			};
		}

		const upstream = chooseUpstream(candidates);
		inFlight.set(upstream, getInFlight(upstream) + 1);
		return {kind: 'dispatch', callId: call.id, upstream};
	}

	return {
		submit(call, now) {
			if (call.attempts === 0) {
				budget.countFirstAttempt();
			}

			return [schedule(call, now)];
		},
		finishAttempt(_callId, upstream) {
			inFlight.set(upstream, Math.max(0, getInFlight(upstream) - 1));
			return [];
		},
		cancel() {
			// No call ever waits in this scheduler.
		},
		getAttemptTimeout: () => undefined,
		tryChargeRetry: (call, result, now) => isRetryable(call, result, now) && budget.tryCharge(),
		applyReport: () => [],
		setUpstreams(next) {
			upstreams = next;
			usable = listUsableUpstreams();
			return [];
		},
		setView(next) {
			view = next;
			usable = listUsableUpstreams();
			return [];
		},
		setFleet: () => [],
		advance: () => [],
		getNextAdvanceAt: () => undefined,
		getStatus: () => upstreams.map(upstream => ({
			upstream: upstream.name,
			state: upstream.state,
			reason: 'membership',
			inFlight: getInFlight(upstream.name),
			slots: view.upstreams.get(upstream.name)?.slots ?? view.service.slotsPerUpstream,
		})),
		countWaitingCalls: () => 0,
	};
}
