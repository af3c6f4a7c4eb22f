/** Draws from a seed what happens to a deployment during a soak, and when. */
import * as random from '../../src/decisions/random.ts';

/** Faults that last for some time; `target` numbers a gateway or an upstream. */
export const faultKinds = [
	'gateway-killed',
	'gateway-paused',
	'gateway-left',
	'gateway-cut-from-store',
	'gateway-reset',
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
	'store-refuses',
	'store-resets',
	'store-silent',
	'store-slow',
	'store-forgets',
	'configuration-changed',
	'gateway-reread',
] as const;

export type FaultKind = typeof faultKinds[number];

export type PlannedFault = {
	readonly kind: FaultKind;
	readonly target: number;
	/** Milliseconds from the start of the load. */
	readonly startsAt: number;
	readonly endsAt: number;
};

/** Mean time between two faults, in milliseconds; shorter than most faults last, so that they overlap. */
const meanGapMilliseconds = 900;
const shortestMilliseconds = 300;
const longestMilliseconds = 4000;
/** Chance that a fault is the one before once more. */
const repeatChance = 0.2;
/** Chance that a fault meets another one that starts at the same time. */
const meetChance = 0.3;

/** Creates the plan of a soak: each kind comes once in a random order before any comes again. */
export function createSoakPlan(seed: number, milliseconds: number): readonly PlannedFault[] {
	const source = random.createRandomSource(seed);
	const plan: PlannedFault[] = [];
	let kinds: FaultKind[] = [];
	let at = 0;
	while (at < milliseconds) {
		const last = plan.at(-1);
		if (kinds.length === 0) {
			kinds = [...faultKinds];
		}

		const kind = last && source.nextFraction() < repeatChance ? last.kind : kinds.splice(source.nextInteger(kinds.length), 1)[0]!;
		const lasts = shortestMilliseconds + source.nextInteger(longestMilliseconds - shortestMilliseconds);
		plan.push({
			kind, target: source.nextInteger(1000), startsAt: at, endsAt: Math.min(milliseconds, at + lasts),
		});
		at += source.nextFraction() < meetChance ? 0 : source.nextInteger(2 * meanGapMilliseconds);
	}

	return plan;
}
