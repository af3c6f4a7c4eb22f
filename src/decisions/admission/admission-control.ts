/**
Admission control: admits a call only when it can probably be answered before its deadline.

The wait is estimated from the number of calls ahead and the recent rate at which calls left the queue. Only time during
which calls wait counts for the rate, because without waiting calls it measures the arrivals.
*/

/** Bounds of the window over which the departure rate is measured, in milliseconds. */
const shortestWindowMilliseconds = 50;
const longestWindowMilliseconds = 2000;
/** Number of departures that a window is sized for; with fewer, random variation dominates the measured rate. */
const targetDeparturesPerWindow = 16;
/** Number of departures at the assumed rate that take the place of each departure that a window lacks. */
const assumedDepartureShare = 0.25;
/** Weight of the newest window in the moving average of the rate. */
const newestWindowWeight = 0.4;
const millisecondsPerSecond = 1000;

/** Estimates the wait in one queue and decides whether a call can meet its deadline. */
export type AdmissionControl = {
	/** Records whether calls wait in the queue from now on. */
	recordWaiting(isWaiting: boolean, now: number): void;
	/** Records that a call left the queue for an upstream. */
	recordDeparture(now: number): void;
	/** Estimates the wait behind the given number of calls, in milliseconds. */
	estimateWait(callsAhead: number, now: number): number;
	/** Whether a call that needs the given time after it leaves the queue can probably be answered before its deadline. */
	canMeetDeadline(callsAhead: number, neededMilliseconds: number, deadlineAt: number, now: number): boolean;
};

/**
Creates the admission control of one queue.

`getAssumedRate` returns the departures per millisecond to assume while none have been measured. The estimated wait may
use up to `waitShare` of the time left before the deadline; the rest allows for the error of the estimate.
*/
export function createAdmissionControl(waitShare: number, getAssumedRate: () => number): AdmissionControl {
	let isWaiting = false;
	let updatedAt = Number.NEGATIVE_INFINITY;
	/** Time during which calls waited, and departures during that time, since the last measurement. */
	let waitedMilliseconds = 0;
	let departures = 0;
	let rate: number | undefined;

	function getWindowMilliseconds(): number {
		return Math.min(longestWindowMilliseconds, Math.max(shortestWindowMilliseconds, targetDeparturesPerWindow / getAssumedRate()));
	}

	function updateRate(now: number): void {
		const elapsedMilliseconds = now - updatedAt;
		const windowMilliseconds = getWindowMilliseconds();
		updatedAt = now;
		// A long gap means that the queue was idle or the process stood still; the earlier measurement then no longer applies.
		if (elapsedMilliseconds >= 4 * windowMilliseconds) {
			rate = undefined;
			waitedMilliseconds = 0;
			departures = 0;
			return;
		}

		waitedMilliseconds += isWaiting ? elapsedMilliseconds : 0;
		if (waitedMilliseconds < windowMilliseconds) {
			return;
		}

		const assumedDepartures = assumedDepartureShare * Math.max(0, targetDeparturesPerWindow - departures);
		const assumedMilliseconds = assumedDepartures === 0 ? 0 : assumedDepartures / getAssumedRate();
		const sample = (departures + assumedDepartures) / (waitedMilliseconds + assumedMilliseconds);
		rate = (sample * newestWindowWeight) + ((rate ?? sample) * (1 - newestWindowWeight));
		waitedMilliseconds = 0;
		departures = 0;
	}

	function estimateWait(callsAhead: number, now: number): number {
		updateRate(now);
		if (callsAhead === 0) {
			return 0;
		}

		const assumedRate = getAssumedRate();
		const effectiveRate = Math.max(rate ?? assumedRate, assumedRate / 4);
		return effectiveRate === 0 ? Number.POSITIVE_INFINITY : callsAhead / effectiveRate;
	}

	return {
		estimateWait,
		recordWaiting(isWaitingNow, now) {
			updateRate(now);
			isWaiting = isWaitingNow;
		},
		recordDeparture(now) {
			updateRate(now);
			departures += isWaiting ? 1 : 0;
		},
		canMeetDeadline(callsAhead, neededMilliseconds, deadlineAt, now) {
			const availableMilliseconds = deadlineAt - now - neededMilliseconds;
			return availableMilliseconds > 0 && estimateWait(callsAhead, now) <= availableMilliseconds * waitShare;
		},
	};
}

/** Returns the time after which a refused caller may retry: the estimated wait, but at least 10 ms and at most 1 s. */
export function getRetryAfterMilliseconds(waitMilliseconds: number): number {
	return Math.round(Math.min(millisecondsPerSecond, Math.max(10, waitMilliseconds)));
}
