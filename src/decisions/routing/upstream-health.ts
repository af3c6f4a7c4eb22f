/** Passive health checks: judges an upstream by this entry's own attempts, by consecutive failures and relative duration. */

/** Number of consecutive failures that eject an upstream. */
const failuresToEject = 3;
/** Weight of a new sample in the moving average of the relative duration. */
const slownessWeight = 0.3;
/** An upstream is slow when its calls take more than this many times the typical duration. */
const slowDurationRatio = 3;
/** Upper bound of a sample of the relative duration. */
const maximumDurationRatio = 10;

/** Health of one upstream as observed by this entry. */
export type UpstreamHealth = {
	readonly failuresInRow: number;
	/** Moving average of the durations relative to the typical duration of the operation. */
	readonly slowness: number;
};

/** Health of an upstream without attempts. */
export const initialHealth: UpstreamHealth = {failuresInRow: 0, slowness: 1};

/** Returns the health after a successful answer; `durationRatio` is its duration relative to the typical one. */
export function applyAnswer(health: UpstreamHealth, durationRatio: number): UpstreamHealth {
	const sample = Math.min(durationRatio, maximumDurationRatio);
	return {failuresInRow: 0, slowness: health.slowness + ((sample - health.slowness) * slownessWeight)};
}

/** Returns the health after a failed attempt. */
export function applyFailure(health: UpstreamHealth): UpstreamHealth {
	return {...health, failuresInRow: health.failuresInRow + 1};
}

export function isFailing(health: UpstreamHealth): boolean {
	return health.failuresInRow >= failuresToEject;
}

export function isSlow(health: UpstreamHealth): boolean {
	return health.slowness > slowDurationRatio;
}
