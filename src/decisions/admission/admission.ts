/**
Admission by what can be answered within the deadline.

The wait is estimated from the calls ahead and the rate at which calls lately left the queue.
*/

/** Shortest and longest time over which the rate of departures is measured, in milliseconds. */
const shortestWindowMilliseconds = 50;
const longestWindowMilliseconds = 2000;
/** Departures that a window should hold; with fewer, chance decides the rate more than the service does. */
const departuresInWindow = 16;
/** Weight of the last window. */
const windowWeight = 0.4;
const millisecondsPerSecond = 1000;

export type Admission = {
	/** Counts a call that left the queue for an upstream. */
	countDeparture(now: number): void;
	/** Estimates the wait behind the calls ahead, in milliseconds. */
	estimateWait(ahead: number, now: number): number;
	/** Whether a call with so many calls ahead is likely to be answered in time. */
	isReachable(ahead: number, neededMilliseconds: number, deadlineAt: number, now: number): boolean;
};

/**
Creates the estimate; `getAssumedRate` gives departures per millisecond while none were measured.

The estimated wait may take the given share of the time left; the rest covers the error of the estimate.
*/
export function createAdmission(waitShare: number, getAssumedRate: () => number): Admission {
	let windowStartedAt = Number.NEGATIVE_INFINITY;
	let departures = 0;
	let rate: number | undefined;

	function getWindow(): number {
		return Math.min(longestWindowMilliseconds, Math.max(shortestWindowMilliseconds, departuresInWindow / getAssumedRate()));
	}

	function roll(now: number): void {
		const age = now - windowStartedAt;
		const window = getWindow();
		if (age < window) {
			return;
		}

		// A window much longer than planned says that the queue was idle.
		const isRecent = age < 4 * window;
		const sample = departures / age;
		rate = isRecent ? (sample * windowWeight) + ((rate ?? sample) * (1 - windowWeight)) : undefined;
		windowStartedAt = now;
		departures = 0;
	}

	function estimateWait(ahead: number, now: number): number {
		roll(now);
		if (ahead === 0) {
			return 0;
		}

		const assumed = getAssumedRate();
		const best = Math.max(rate ?? assumed, assumed / 4);
		return best === 0 ? Number.POSITIVE_INFINITY : ahead / best;
	}

	return {
		estimateWait,
		countDeparture(now) {
			roll(now);
			departures += 1;
		},
		isReachable(ahead, neededMilliseconds, deadlineAt, now) {
			const left = deadlineAt - now - neededMilliseconds;
			return left > 0 && estimateWait(ahead, now) <= left * waitShare;
		},
	};
}

/** Time after which a refused caller may try again: when the queue has emptied, within a second. */
export function resolveRetryAfter(waitMilliseconds: number): number {
	return Math.round(Math.min(millisecondsPerSecond, Math.max(10, waitMilliseconds)));
}
