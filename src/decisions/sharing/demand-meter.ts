/**
Measures the requests per second that an entry receives, in coarse steps for the other entries.

The reported rate follows a rise at once and a fall slowly, so that entries are added within a second of a burst and
aren't removed between two waves of demand. Its steps are coarse because each change is sent to all entries.
*/

/** Measures the demand on one entry. */
export type DemandMeter = {
	countRequest(now: number): void;
	/** Returns the reported rate in requests per second; undefined while the entry has not run long enough to know it. */
	getReportedRate(now: number): number | undefined;
};

/** Time constant of the moving average of the rate, in milliseconds. */
const averagingMilliseconds = 1000;
/** Half-life of the highest recent rate, in milliseconds. */
const peakHalfLifeMilliseconds = 5000;
/** Time after its start for which an entry doesn't know its rate, in milliseconds: callers need as long to find it. */
const unknownMilliseconds = 4000;
/** Ratio of two neighboring steps of the reported rate. */
const stepRatio = 1.5;
const millisecondsPerSecond = 1000;

/** Creates the meter of an entry whose process started at `startedAt`. */
export function createDemandMeter(startedAt: number): DemandMeter {
	let rate = 0;
	let peak = 0;
	let updatedAt = startedAt;

	function update(now: number): void {
		const elapsed = Math.max(0, now - updatedAt);
		rate *= Math.exp(-elapsed / averagingMilliseconds);
		peak = Math.max(rate, peak * (0.5 ** (elapsed / peakHalfLifeMilliseconds)));
		updatedAt = now;
	}

	return {
		countRequest(now) {
			update(now);
			rate += millisecondsPerSecond / averagingMilliseconds;
			peak = Math.max(peak, rate);
		},
		getReportedRate(now) {
			update(now);
			return now - startedAt < unknownMilliseconds ? undefined : roundUpToStep(peak);
		},
	};
}

/** Rounds a rate up to a power of `stepRatio`; rates below one request per second count as none. */
function roundUpToStep(rate: number): number {
	return rate < 1 ? 0 : Math.ceil(stepRatio ** Math.ceil(Math.log(rate) / Math.log(stepRatio)));
}
