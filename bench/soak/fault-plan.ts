/** Plans the faults of a soak and their times from a seed. */
import * as random from '../../src/decisions/random.ts';

/** Kinds of faults that a soak injects. */
export const faultKinds = [
	'gateway-killed',
	'gateway-paused',
	'gateway-left',
	'gateway-cut-from-store',
	'gateway-reset',
	'gateway-partitioned',
	'gateway-domain-partitioned',
	'all-gateways-killed',
	'upstream-crashed',
	'upstream-left',
	'upstream-restarted',
	'upstream-silent',
	'upstream-loses-answers',
	'upstream-cuts-answers',
	'upstream-repeats-answers',
	'upstream-refuses',
	'upstream-fails',
	'upstream-delayed',
	'upstream-limits-rate',
	'upstream-states-leaving',
	'upstream-asks-for-pause',
	'store-refuses',
	'store-resets',
	'store-silent',
	'store-slow',
	'store-forgets',
	'configuration-changed',
	'gateway-reread',
] as const;

/** Series of signals that overlap. They are drawn by themselves, so that they don't change which other faults a seed has. */
export const signalFaultKinds = [
	'gateway-left-after-rereads',
	'gateway-left-and-reread',
	'gateway-left-with-pauses',
] as const;

/** Losses of the store, drawn by themselves as well. */
export const lossFaultKinds = ['store-returns-older'] as const;

/** Stops of processes that were just started, and of several gateways right after a change; drawn by themselves as well. */
export const stopFaultKinds = [
	'gateway-restarted-and-left',
	'gateways-changed-and-left',
] as const;

export type FaultKind = typeof faultKinds[number] | typeof signalFaultKinds[number] | typeof stopFaultKinds[number] | typeof lossFaultKinds[number];

export type PlannedFault = {
	readonly kind: FaultKind;
	/** Random number that selects a gateway or an upstream, by its remainder. */
	readonly target: number;
	/** Milliseconds from the start of the load. */
	readonly startsAt: number;
	/** Milliseconds from the start of the load. */
	readonly endsAt: number;
};

/** Mean time between faults that don't start together, in milliseconds; shorter than most faults, so that they overlap. */
const meanGapMilliseconds = 900;
/** Mean time between series of signals, in milliseconds. */
const meanSignalGapMilliseconds = 1500;
const signalSeedOffset = 500;
/** Spreads consecutive seeds, whose first numbers are close to each other otherwise. */
const seedFactor = 7919;
/** Mean time between losses of the store, in milliseconds. */
const meanLossGapMilliseconds = 5000;
/** Mean time between these stops, in milliseconds. */
const meanStopGapMilliseconds = 5000;
const stopSeedOffset = 9008;
const lossSeedOffset = 5000;
const minimumDurationMilliseconds = 300;
const maximumDurationMilliseconds = 4000;
/** Probability that a fault has the same kind as the previous one. */
const repeatProbability = 0.2;
/** Probability that the next fault starts at the same time. */
const simultaneousStartProbability = 0.3;

/** Creates the plan of a soak. Apart from repeats, each kind occurs once in a random order before any kind recurs. */
export function createSoakPlan(seed: number, durationMilliseconds: number): readonly PlannedFault[] {
	const randomSource = random.createRandomSource(seed);
	const plan: PlannedFault[] = [];
	let remainingKinds: Array<typeof faultKinds[number]> = [];
	let nextStartsAt = 0;
	while (nextStartsAt < durationMilliseconds) {
		const previousFault = plan.at(-1);
		if (remainingKinds.length === 0) {
			remainingKinds = [...faultKinds];
		}

		const kind = previousFault && randomSource.nextFraction() < repeatProbability ? previousFault.kind : remainingKinds.splice(randomSource.nextInteger(remainingKinds.length), 1)[0]!;
		const faultMilliseconds = minimumDurationMilliseconds + randomSource.nextInteger(maximumDurationMilliseconds - minimumDurationMilliseconds);
		plan.push({
			kind, target: randomSource.nextInteger(1000), startsAt: nextStartsAt, endsAt: Math.min(durationMilliseconds, nextStartsAt + faultMilliseconds),
		});
		nextStartsAt += randomSource.nextFraction() < simultaneousStartProbability ? 0 : randomSource.nextInteger(2 * meanGapMilliseconds);
	}

	return [
		...plan,
		...createPlanOf(signalFaultKinds, seed + signalSeedOffset, durationMilliseconds, meanSignalGapMilliseconds),
		...createPlanOf(stopFaultKinds, seed + stopSeedOffset, durationMilliseconds, meanStopGapMilliseconds),
		...createPlanOf(lossFaultKinds, seed + lossSeedOffset, durationMilliseconds, meanLossGapMilliseconds),
	];
}

function createPlanOf(kinds: readonly FaultKind[], seed: number, durationMilliseconds: number, meanMilliseconds: number): readonly PlannedFault[] {
	const randomSource = random.createRandomSource(seed * seedFactor);
	const plan: PlannedFault[] = [];
	let startsAt = randomSource.nextInteger(2 * meanMilliseconds);
	while (startsAt < durationMilliseconds) {
		const kind = kinds[randomSource.nextInteger(kinds.length)]!;
		plan.push({
			kind, target: randomSource.nextInteger(1000), startsAt, endsAt: startsAt,
		});
		startsAt += randomSource.nextInteger(2 * meanMilliseconds);
	}

	return plan;
}
