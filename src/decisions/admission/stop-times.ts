/**
Divides the grace period of a planned stop.

Load pattern: callers that never read, and other processes that stand still, make a stop use all of its time. The platform
kills a process that is there at the end of the grace period, with what it still had to say. So all parts of the stop are
bounded by one clock that starts at the signal, and end before the grace period does. A process that is late handles the
signal some time after it has arrived, and can't know when that was.
*/

/** Times of a stop, on the clock of the time at which it began. */
export type StopTimes = {
	readonly beganAt: number;
	/** Time at which new connections are no longer accepted. */
	readonly noticeEndsAt: number;
	/** Time at which the requests that are still at work are logged. */
	readonly reportsAt: number;
	/** Time at which requests that no upstream has received are refused. */
	readonly refusesAt: number;
	/** Time at which requests at work are reset. */
	readonly resetsAt: number;
	/** Time at which connections to other processes are no longer waited for. */
	readonly closesAt: number;
	/** Time at which a stop that has not ended is given up. */
	readonly givesUpAt: number;
	/** Time at which the process ends, whatever is left to write. */
	readonly exitsAt: number;
};

/** Part of the grace period that is left when the process ends, in milliseconds; a process that is late needs it. */
export const marginMilliseconds = 100;
/** Time to write the log, in milliseconds. */
const logMilliseconds = 60;
/** Time by which a stop may be late, in milliseconds. */
const slackMilliseconds = 40;
/** Time to close the connections to other processes, in milliseconds. */
const closeMilliseconds = 50;
/** Time for refusals to be read before the reset, in milliseconds. */
const refusalMilliseconds = 100;
/** Time for the log to name the requests at work before they are reset, in milliseconds; a process that is killed late has written it by then. */
const reportMilliseconds = 500;
/** Largest share of the grace period for each of these times; a short one is divided into smaller parts. */
export const maximumShare = 0.08;
/** Largest share of the grace period for the notice. */
const maximumNoticeShare = 0.55;

/** Largest share of the grace period that is taken for gone when the signal is handled; a process that stood still for long has nothing to gain by cutting all requests at once. */
export const maximumLateShare = 0.5;

/** Estimates by how many milliseconds a signal is handled late: it arrived no earlier than the latest time at which none was waiting. */
export function estimateLateness(handledAt: number, noneWaitingAt: number, graceMilliseconds: number): number {
	return Math.min(Math.max(0, handledAt - noneWaitingAt), maximumLateShare * graceMilliseconds);
}

/** Computes the times of a stop that began at a time. */
export function getStopTimes(beganAt: number, graceMilliseconds: number, noticeMilliseconds: number): StopTimes {
	const limit = (milliseconds: number) => Math.min(milliseconds, maximumShare * graceMilliseconds);
	const exitsAt = beganAt + graceMilliseconds - limit(marginMilliseconds);
	const givesUpAt = exitsAt - limit(logMilliseconds);
	const closesAt = givesUpAt - limit(slackMilliseconds);
	const resetsAt = closesAt - limit(closeMilliseconds);
	const refusesAt = resetsAt - limit(refusalMilliseconds);
	const noticeEndsAt = beganAt + Math.min(noticeMilliseconds, maximumNoticeShare * graceMilliseconds);
	return {
		beganAt,
		noticeEndsAt,
		reportsAt: Math.max(refusesAt - reportMilliseconds, (noticeEndsAt + refusesAt) / 2),
		refusesAt,
		resetsAt,
		closesAt,
		givesUpAt,
		exitsAt,
	};
}
