/** Constants of the product's policy that were set by measurement; docs/ROUTING.md names the runs. */

export const tuning = {
	/** Slots that must stay free at an upstream after a slot of another entry is used on a fresh report. */
	borrowMargin: 0,
	/** Age up to which a report that showed a free slot is used, in typical durations. */
	hintLifetimeShare: 0.3,
	/** Wait after which a call uses a slot of another entry without a fresh report, in typical durations for each own slot. */
	borrowAfterShare: 0.06,
	/** Longest such wait, in typical durations. */
	longestBorrowAfterShare: 0.5,
	/** Upstreams that are compared when a slot of another entry is used. */
	borrowChoices: 3,
	/** Wait from which the service counts as saturated, in typical durations. */
	saturatedShare: 0.5,
	/** Calls that may wait at an upstream while the service is saturated, to keep its slots busy. */
	saturatedExtra: 1,
	/** A call is overdue after this many typical durations. */
	overdueFactor: 3,
	/** An idempotent attempt is made elsewhere after this many typical durations without an answer. */
	patienceFactor: 10,
	/** Shortest time after which it is. */
	leastPatienceMilliseconds: 100,
	/** Time that a call needs before its deadline to go out, in typical durations of its operation. */
	neededFactor: 1.6,
	/** Part of the time left that the estimated wait may take; the rest covers the error of the estimate. */
	waitShare: 0.5,
};
