/**
Constants of the `product` routing policy; docs/ROUTING.md explains them.

A typical duration is the expected duration of short calls, unless an operation is named. Borrowing means using a slot
that belongs to the share of another entry.
*/

export const tuning = {
	/** Slots that must remain free at an upstream after a slot is borrowed from another entry. */
	borrowMargin: 0,
	/** Age up to which a report of a free slot is used, in typical durations. */
	hintLifetimeShare: 0.3,
	/** Wait after which a call borrows a slot without a recent report, in typical durations per own slot. */
	borrowDelayShare: 0.06,
	/** Upper bound of that wait, in typical durations. */
	longestBorrowDelayShare: 0.5,
	/** Number of random upstreams that are compared when a slot is borrowed without a recent report. */
	borrowCandidates: 3,
	/** Wait of a call from which the service counts as saturated, in typical durations. */
	saturatedShare: 0.5,
	/** Calls that may queue at an upstream while the service is saturated, so that its slots stay busy. */
	saturatedExtraCalls: 1,
	/** A call is overdue after this many typical durations of its operation. */
	overdueFactor: 3,
	/** An idempotent attempt is retried at another upstream after this many typical durations of its operation without an answer. */
	attemptTimeoutFactor: 10,
	/** Lower bound of the time after which an unanswered idempotent attempt is retried. */
	minimumAttemptTimeoutMilliseconds: 100,
	/** Time before its deadline by which a call must be dispatched, in typical durations of its operation. */
	requiredTimeFactor: 1.6,
	/** Share of the time left before the deadline that the estimated wait may use; the rest allows for the error of the estimate. */
	waitShare: 0.5,
};
