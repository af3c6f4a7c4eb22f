/**
Chooses an upstream by load readings that were asked for at the moment of choice.

The published method is Prequal (Wieder et al., "Load is not what you should balance", NSDI 2024) in its synchronous
form: a few upstreams are asked, and the one with the least expected time to the answer is taken. A reading ages by
what this entry has sent since it was taken.
*/
import {type RandomSource} from '../random.ts';

/** What an upstream said of its load. */
export type LoadReading = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How long work takes now, relative to usual; undefined where the upstream doesn't say. */
	readonly pace: number | undefined;
	/** Time of the reading. */
	readonly readAt: number;
};

/** What this entry knows of one upstream. */
export type UpstreamState = {
	readonly id: string;
	/** Whether the upstream is in the failure domain of this entry. */
	readonly isNear: boolean;
	readonly slots: number;
	readonly reading: LoadReading | undefined;
	/** Requests that this entry has sent since the reading. */
	readonly sentSinceReading: number;
	/** Requests of this entry that the upstream works at. */
	readonly inFlight: number;
	/** Share of the latest attempts that failed, 0 to 1. */
	readonly failureShare: number;
	/** Observed time of answers relative to what the readings promised; 1 as promised. */
	readonly slowness: number;
	readonly isWarmingUp: boolean;
};

/** What is to be sent. */
export type WorkEstimate = {
	/** Time of the work at usual pace, in milliseconds. */
	readonly workMilliseconds: number;
	/** Mean time of all work of the service at usual pace, in milliseconds. */
	readonly meanWorkMilliseconds: number;
	/** Time within which the answer is worth its full value, in milliseconds. */
	readonly objectiveMilliseconds: number;
	/** Whether the work may take the slots that slow an upstream down. */
	readonly mayCrowd: boolean;
};

export type Expectation = {
	readonly id: string;
	/** Expected time until the answer, without the price of distance and failures. */
	readonly expectedMilliseconds: number;
	/** What upstreams are compared by. */
	readonly cost: number;
	/** Whether the upstream has room for the request. */
	readonly hasRoom: boolean;
};

/** Pace of an upstream that says nothing, and the long-run mean of a shared machine. */
const meanPace = 1.75;
/** Time for which a pace holds, in milliseconds; half of the 300 ms between changes on the users' machines. */
const paceHoldMilliseconds = 150;
/** Share of busy slots above which upstreams slow down, as the users' do, and by how much. */
const busyShare = 0.8;
const busySlowdown = 1.7;
const warmUpSlowdown = 2;
/**
Cost of another failure domain, as a share of the objective.

The bytes of a request between failure domains cost as much as a part of the worth of its answer.
*/
const distanceObjectives = 0.15;
/** Cost of a certain failure, in milliseconds. */
const failureMilliseconds = 2000;

/** Estimates the time until the answer of one upstream. */
export function estimate(state: UpstreamState, work: WorkEstimate): Expectation {
	const {reading, slots} = state;
	const ahead = reading ? reading.running + reading.waiting + state.sentSinceReading : state.inFlight;
	const queued = Math.max(0, ahead - slots + 1);
	const pace = (reading?.pace ?? meanPace) * (state.isWarmingUp ? warmUpSlowdown : 1) * state.slowness;
	const crowding = (Math.min(ahead, slots - 1) + 1) / slots > busyShare ? busySlowdown : 1;
	const service = getServiceMilliseconds(work.workMilliseconds * crowding, pace);
	const wait = queued * getServiceMilliseconds(work.meanWorkMilliseconds * crowding, pace) / slots;
	const expectedMilliseconds = service + wait;
	return {
		id: state.id,
		expectedMilliseconds,
		cost: expectedMilliseconds + (state.isNear ? 0 : distanceObjectives * work.objectiveMilliseconds) + (state.failureShare * failureMilliseconds),
		hasRoom: ahead < (work.mayCrowd ? slots : getCapacity(slots)),
	};
}

/** Gets the usual time of work on a shared machine, in milliseconds. */
export function getUsualMilliseconds(workMilliseconds: number): number {
	return workMilliseconds * meanPace;
}

/** Requests that an upstream runs at the same time without slowing down. */
export function getCapacity(slots: number): number {
	return Math.max(1, Math.floor(busyShare * slots));
}

/** Time of work that runs at the present pace for a while and at the mean pace afterwards. */
function getServiceMilliseconds(workMilliseconds: number, pace: number): number {
	const doneAtPace = paceHoldMilliseconds / pace;
	return workMilliseconds <= doneAtPace
		? workMilliseconds * pace
		: paceHoldMilliseconds + ((workMilliseconds - doneAtPace) * meanPace);
}

/** Gets the upstream with the least cost that has room; undefined when none has. */
export function chooseUpstream(states: readonly UpstreamState[], work: WorkEstimate): Expectation | undefined {
	let best: Expectation | undefined;
	for (const state of states) {
		const expectation = estimate(state, work);
		if (expectation.hasRoom && (best === undefined || expectation.cost < best.cost)) {
			best = expectation;
		}
	}

	return best;
}

/** Failing upstreams are asked only where the others don't suffice. */
const largestFailureShare = 0.3;

/** Draws some of the candidates at random; failing ones come last. */
export function drawCandidates<Candidate>(candidates: readonly Candidate[], count: number, getFailureShare: (candidate: Candidate) => number, random: RandomSource): readonly Candidate[] {
	const left = [...candidates];
	const sound: Candidate[] = [];
	const failing: Candidate[] = [];
	while (left.length > 0 && sound.length < count) {
		const index = random.nextInteger(left.length);
		const candidate = left[index]!;
		left[index] = left.at(-1)!;
		left.pop();
		if (getFailureShare(candidate) > largestFailureShare) {
			failing.push(candidate);
		} else {
			sound.push(candidate);
		}
	}

	return [...sound, ...failing].slice(0, count);
}
