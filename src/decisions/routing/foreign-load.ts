/**
Estimates the foreign load of an upstream: the calls that other entries have there.

The estimate starts from the latest report and decays exponentially to the mean over the upstreams, with the typical
duration of a call as its time constant.
*/
import {type LoadReport} from './types.ts';

/** Foreign load of an upstream according to its latest report. */
export type ForeignLoad = {
	/** Calls of other entries when the report was made. */
	readonly calls: number;
	readonly reportedAt: number;
};

/** Foreign load of an upstream without a report. */
export const unknownForeignLoad: ForeignLoad = {calls: 0, reportedAt: Number.NEGATIVE_INFINITY};

/** Derives the foreign load from a report and the number of calls that this entry has at the upstream. */
export function createForeignLoad(report: LoadReport, inFlight: number, reportedAt: number): ForeignLoad {
	return {calls: Math.max(0, report.running + report.queued - inFlight), reportedAt};
}

/** Estimates the calls of other entries at the given time; `meanCalls` is the average over the upstreams. */
export function estimateForeignCalls(load: ForeignLoad, meanCalls: number, typicalMilliseconds: number, now: number): number {
	const ageMilliseconds = Math.max(0, now - load.reportedAt);
	if (ageMilliseconds === Number.POSITIVE_INFINITY) {
		return meanCalls;
	}

	return meanCalls + ((load.calls - meanCalls) * Math.exp(-ageMilliseconds / typicalMilliseconds));
}
