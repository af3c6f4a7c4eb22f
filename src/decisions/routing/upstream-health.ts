/** Judges an upstream by this entry's own attempts: failures in a row, and durations against those of its peers. */

/** Failures in a row that eject an upstream. */
const failuresToEject = 3;
/** Weight of a new sample of relative duration. */
const slownessWeight = 0.3;
/** An upstream is slow when its calls take this many times the typical duration. */
const slowRatio = 3;
const largestRatio = 10;

export type UpstreamHealth = {
	readonly failuresInRow: number;
	/** Moving average of the duration relative to the typical one of the operation. */
	readonly slowness: number;
};

export const goodHealth: UpstreamHealth = {failuresInRow: 0, slowness: 1};

/** Gets the health after an answer whose duration is the given multiple of the typical one. */
export function addGoodAnswer(health: UpstreamHealth, ratio: number): UpstreamHealth {
	const sample = Math.min(ratio, largestRatio);
	return {failuresInRow: 0, slowness: health.slowness + ((sample - health.slowness) * slownessWeight)};
}

/** Gets the health after a failed attempt. */
export function addFailure(health: UpstreamHealth): UpstreamHealth {
	return {...health, failuresInRow: health.failuresInRow + 1};
}

export function isFailing(health: UpstreamHealth): boolean {
	return health.failuresInRow >= failuresToEject;
}

export function isSlow(health: UpstreamHealth): boolean {
	return health.slowness > slowRatio;
}
