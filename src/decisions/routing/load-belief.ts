/**
What this entry believes of the load that other entries put on an upstream.

A report is trusted for about the time that a call runs; after that the belief goes back to the mean over the upstreams.
*/
import {type LoadReport} from './types.ts';

export type LoadBelief = {
	/** Calls of others when the report was made. */
	readonly foreign: number;
	readonly reportedAt: number;
};

export const noBelief: LoadBelief = {foreign: 0, reportedAt: Number.NEGATIVE_INFINITY};

/** Gets the belief after a report, given the calls that this entry has at the upstream. */
export function createLoadBelief(report: LoadReport, inFlight: number, reportedAt: number): LoadBelief {
	return {foreign: Math.max(0, report.running + report.queued - inFlight), reportedAt};
}

/** Estimates the calls of others at a time; `mean` is the average over the upstreams. */
export function estimateForeign(belief: LoadBelief, mean: number, typicalMilliseconds: number, now: number): number {
	const age = Math.max(0, now - belief.reportedAt);
	if (age === Number.POSITIVE_INFINITY) {
		return mean;
	}

	return mean + ((belief.foreign - mean) * Math.exp(-age / typicalMilliseconds));
}
