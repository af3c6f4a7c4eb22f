/**
Decides when the requests start that a caller sends ahead on a connection.

Load pattern: a caller sends many requests without waiting for responses, which go out in the order of the requests. Those
behind a slow one hold slots of upstreams for responses that can't be delivered yet, and run for nobody if the caller
leaves. A few start at once, since a caller that sends a few ahead wants them in parallel. Each of the others starts when
one before it has ended, or when it would be late otherwise.
*/

/** Times of a request on which the decision depends. */
export type RequestAhead = {
	readonly receivedAt: number;
	readonly deadlineAt: number;
	/** Mean time of the work of such requests, in milliseconds. */
	readonly expectedMilliseconds: number;
};

/** Number of requests of one connection that run at the same time before others wait. */
export const maximumRunning = 8;
/** Time that is left for the work of a request, in multiples of its mean; a few requests in a hundred take longer. */
const workMultiple = 4;
/** Largest share of the time until its deadline for which a request waits for others of its connection. */
const maximumWaitShare = 0.25;

/** Computes the time at which a request starts at the latest. */
export function getLatestStart({receivedAt, deadlineAt, expectedMilliseconds}: RequestAhead): number {
	const latest = Math.min(receivedAt + (maximumWaitShare * (deadlineAt - receivedAt)), deadlineAt - (workMultiple * expectedMilliseconds));
	return Math.max(receivedAt, latest);
}
