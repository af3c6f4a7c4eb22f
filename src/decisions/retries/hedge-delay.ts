/**
Decides when a hedged request is sent: a second attempt of an idempotent request, beside one that is late.

Load pattern: a few in a hundred requests have several times the usual work, or meet an upstream that slowed down just
after it was selected. No selection avoids these. A second attempt helps only if it is sent while it can still be answered
within the latency objective.
*/

/** Durations from which the delay is computed, in milliseconds. */
export type HedgeTimes = {
	/** Expected time from sending the first attempt to its answer. */
	readonly expectedMilliseconds: number;
	/** Expected time from sending a second attempt to its answer. */
	readonly secondExpectedMilliseconds: number;
	/** Time from sending the first attempt to the end of the latency objective. */
	readonly objectiveMilliseconds: number;
};

/** The first attempt counts as late after this multiple of its expected time, plus this time in milliseconds. */
const lateFactor = 2;
const lateMilliseconds = 60;
/** Multiple of its expected time that a second attempt is given before the objective ends. */
const secondAttemptFactor = 1.2;
/** Multiple of the expected time of the first attempt before which no second one is sent, since most answers still arrive. */
const minimumFactor = 1.2;

/** Returns the time from sending the first attempt to sending the second one, in milliseconds. */
export function getHedgeDelay({expectedMilliseconds, secondExpectedMilliseconds, objectiveMilliseconds}: HedgeTimes): number {
	const lateAt = (expectedMilliseconds * lateFactor) + lateMilliseconds;
	const lastUsefulAt = objectiveMilliseconds - (secondExpectedMilliseconds * secondAttemptFactor);
	return lastUsefulAt < expectedMilliseconds * minimumFactor ? lateAt : Math.min(lateAt, lastUsefulAt);
}
