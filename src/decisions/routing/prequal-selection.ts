/**
Selects an upstream by load readings that are requested for each selection.

The method is the synchronous form of Prequal (Wieder et al., "Load is not what you should balance", NSDI 2024): a few
upstreams are probed, and the one with the lowest expected time to the answer is selected. Requests that this entry has
sent since a reading are added to the load in the reading.
*/
import {type RandomSource} from '../random.ts';

/** Load that an upstream reported. */
export type LoadReading = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** Current duration of work relative to nominal speed, e.g. 2 for twice as long; undefined if not reported. */
	readonly durationFactor: number | undefined;
	/** Time at which the reading was received. */
	readonly readAt: number;
};

/** State of one upstream from the view of this entry. */
export type UpstreamState = {
	readonly id: string;
	/** Whether the upstream is in the failure domain of this entry. */
	readonly isLocal: boolean;
	readonly slots: number;
	readonly reading: LoadReading | undefined;
	/** Requests that this entry has sent since the reading. */
	readonly sentSinceReading: number;
	/** Requests of this entry that are in flight at the upstream. */
	readonly inFlight: number;
	/** Share of recent attempts that failed, from 0 to 1. */
	readonly failureShare: number;
	/** Observed duration of answers relative to the duration expected from the readings; 1 if as expected. */
	readonly slowness: number;
	readonly isWarmingUp: boolean;
};

/** Expected work of the request to send. */
export type WorkEstimate = {
	/** Duration of the work at nominal speed, in milliseconds. */
	readonly workMilliseconds: number;
	/** Mean duration of all work of the service at nominal speed, in milliseconds. */
	readonly meanWorkMilliseconds: number;
	/** Latency objective of the request, in milliseconds. */
	readonly objectiveMilliseconds: number;
	/** Whether the request may use slots beyond the capacity at which an upstream runs at full speed. */
	readonly mayExceedCapacity: boolean;
};

/** Estimate for a request at one upstream. */
export type UpstreamEstimate = {
	readonly id: string;
	/** Expected time until the answer, without the costs of distance and failures. */
	readonly expectedMilliseconds: number;
	/** Cost by which upstreams are compared, in milliseconds. */
	readonly cost: number;
	/** Whether the upstream has a free slot that the request may use. */
	readonly hasFreeSlot: boolean;
};

/** Long-run mean pace of a shared machine; also assumed for an upstream that reports no pace. */
const meanPace = 1.75;
/** Time for which a reported pace is assumed to last, in milliseconds: half of the 300 ms between changes on the users' machines. */
const paceHoldMilliseconds = 150;
/** Share of busy slots above which the users' upstreams slow down, and the factor by which they do. */
const fullSpeedShare = 0.8;
const crowdedSlowdown = 1.7;
/** Factor by which an upstream is slower while it warms up. */
const warmUpSlowdown = 2;
/**
Cost of sending a request to another failure domain, as a share of its latency objective.

The traffic between failure domains costs as much as a part of the value of the answer.
*/
const remoteDomainCostShare = 0.15;
/** Cost of a failure that is certain, in milliseconds; it is scaled by the share of failures. */
const failureCostMilliseconds = 2000;

/** Estimates the time until the answer, and the cost, of a request at one upstream. */
export function estimateUpstream(state: UpstreamState, work: WorkEstimate): UpstreamEstimate {
	const {reading, slots} = state;
	const requestsAhead = reading ? reading.running + reading.waiting + state.sentSinceReading : state.inFlight;
	const requestsQueued = Math.max(0, requestsAhead - slots + 1);
	const pace = (reading?.durationFactor ?? meanPace) * (state.isWarmingUp ? warmUpSlowdown : 1) * state.slowness;
	const crowdingSlowdown = (Math.min(requestsAhead, slots - 1) + 1) / slots > fullSpeedShare ? crowdedSlowdown : 1;
	const serviceMilliseconds = getServiceMilliseconds(work.workMilliseconds * crowdingSlowdown, pace);
	const waitMilliseconds = requestsQueued * getServiceMilliseconds(work.meanWorkMilliseconds * crowdingSlowdown, pace) / slots;
	const expectedMilliseconds = serviceMilliseconds + waitMilliseconds;
	return {
		id: state.id,
		expectedMilliseconds,
		cost: expectedMilliseconds + (state.isLocal ? 0 : remoteDomainCostShare * work.objectiveMilliseconds) + (state.failureShare * failureCostMilliseconds),
		hasFreeSlot: requestsAhead < (work.mayExceedCapacity ? slots : getCapacity(slots)),
	};
}

/** Returns the expected duration of work at the mean pace of a shared machine, in milliseconds. */
export function getMeanDurationMilliseconds(workMilliseconds: number): number {
	return workMilliseconds * meanPace;
}

/** Returns the number of requests that an upstream runs concurrently at full speed. */
export function getCapacity(slots: number): number {
	return Math.max(1, Math.floor(fullSpeedShare * slots));
}

/** Returns the duration of work that runs at the given pace for `paceHoldMilliseconds` and at the mean pace afterwards. */
function getServiceMilliseconds(workMilliseconds: number, pace: number): number {
	const workDuringHold = paceHoldMilliseconds / pace;
	return workMilliseconds <= workDuringHold
		? workMilliseconds * pace
		: paceHoldMilliseconds + ((workMilliseconds - workDuringHold) * meanPace);
}

/** Selects the upstream with the lowest cost among those with a free slot; undefined when there is none. */
export function chooseUpstream(states: readonly UpstreamState[], work: WorkEstimate): UpstreamEstimate | undefined {
	let best: UpstreamEstimate | undefined;
	for (const state of states) {
		const expectation = estimateUpstream(state, work);
		if (expectation.hasFreeSlot && (best === undefined || expectation.cost < best.cost)) {
			best = expectation;
		}
	}

	return best;
}

/** Share of failures above which an upstream counts as failing; it is probed only if there are too few others. */
export const largestFailureShare = 0.3;

/** Samples up to `count` candidates at random; failing ones are used only to fill up, and come last. */
export function sampleCandidates<Candidate>(candidates: readonly Candidate[], count: number, getFailureShare: (candidate: Candidate) => number, random: RandomSource): readonly Candidate[] {
	const remaining = [...candidates];
	const healthy: Candidate[] = [];
	const failing: Candidate[] = [];
	while (remaining.length > 0 && healthy.length < count) {
		const index = random.nextInteger(remaining.length);
		const candidate = remaining[index]!;
		remaining[index] = remaining.at(-1)!;
		remaining.pop();
		if (getFailureShare(candidate) > largestFailureShare) {
			failing.push(candidate);
		} else {
			healthy.push(candidate);
		}
	}

	return [...healthy, ...failing].slice(0, count);
}
