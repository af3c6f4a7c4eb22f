/** Statistics of one upstream: share of failures, duration of answers relative to the expectation, and load readings. */
import type * as prequalSelection from './prequal-selection.ts';

/** Statistics of one upstream, collected by this gateway. */
export type UpstreamStatistics = {
	/** Records a load reading; one that is older than the current reading is ignored. */
	recordReading(reading: prequalSelection.LoadReading): void;
	/** Records that an attempt was started at the upstream. */
	recordStart(now: number): void;
	/** Records an answer that arrived after `milliseconds` and was expected after `expectedMilliseconds`. */
	recordAnswer(milliseconds: number, expectedMilliseconds: number, now: number): void;
	/** Records that a started attempt failed. */
	recordFailure(now: number): void;
	/** Records that no connection could be opened or that a load check was not answered. */
	recordUnreachable(now: number): void;
	/** Records that a started attempt was given up after `milliseconds`, so that its answer would have arrived later. */
	recordGivenUp(milliseconds: number, expectedMilliseconds: number, now: number): void;
	/** Records that a started attempt ended without evidence about the upstream. */
	recordEnd(): void;
	/** Returns the share of recent attempts that failed, from 0 to 1. */
	getFailureShare(now: number): number;
	getState(now: number): Pick<prequalSelection.UpstreamState, 'reading' | 'sentSinceReading' | 'inFlight' | 'failureShare' | 'slowness'>;
};

/** Weight of the newest attempt in the moving average of failures. */
const failureWeight = 0.3;
/** Half-life of the share of failures without new attempts, in milliseconds; the decay lets a failing upstream be tried again. */
const failureHalfLifeMilliseconds = 2000;
/** Share of an answer's deviation from the expected duration by which the slowness is corrected. */
const slownessWeight = 0.2;
/** Time in which the deviation of the slowness from 1 halves without new answers, in milliseconds. */
const slownessHalfLifeMilliseconds = 3000;
const maximumSlowness = 8;
/** Number of answers whose median duration corrects the slowness; a single request with much more work says nothing about its upstream. */
const ratioCount = 3;
/** Age above which a reading no longer describes the load, in milliseconds. */
const maximumReadingAgeMilliseconds = 1000;

/** Creates the statistics of an upstream without any observations. */
export function createUpstreamStatistics(): UpstreamStatistics {
	let reading: prequalSelection.LoadReading | undefined;
	let sentAt: number[] = [];
	let inFlight = 0;
	let failureShare = 0;
	let failureUpdatedAt = 0;
	let slowness = 1;
	/** Durations of the latest answers relative to their expectations, oldest first. */
	let durationRatios: number[] = [];
	let slownessUpdatedAt = 0;

	const getFailureShare = (now: number) => failureShare * (0.5 ** ((now - failureUpdatedAt) / failureHalfLifeMilliseconds));
	const getSlowness = (now: number) => 1 + ((slowness - 1) * (0.5 ** ((now - slownessUpdatedAt) / slownessHalfLifeMilliseconds)));

	function updateFailureShare(sample: 0 | 1, now: number): void {
		failureShare = getFailureShare(now);
		failureShare += failureWeight * (sample - failureShare);
		failureUpdatedAt = now;
	}

	function addDurationRatio(milliseconds: number, expectedMilliseconds: number): void {
		durationRatios = [...durationRatios, Math.min(maximumSlowness, milliseconds / Math.max(1, expectedMilliseconds))].slice(-ratioCount);
	}

	function getCorrectedSlowness(now: number): number {
		const corrected = getSlowness(now) * (1 + (slownessWeight * (getMedian(durationRatios) - 1)));
		return Math.min(maximumSlowness, Math.max(1, corrected));
	}

	return {
		recordReading(newer) {
			if (reading && newer.readAt < reading.readAt) {
				return;
			}

			reading = newer;
			sentAt = sentAt.filter(at => at > newer.readAt);
		},
		recordStart(now) {
			inFlight++;
			sentAt.push(now);
		},
		recordAnswer(milliseconds, expectedMilliseconds, now) {
			inFlight--;
			updateFailureShare(0, now);
			addDurationRatio(milliseconds, expectedMilliseconds);
			slowness = getCorrectedSlowness(now);
			slownessUpdatedAt = now;
		},
		recordFailure(now) {
			inFlight--;
			updateFailureShare(1, now);
		},
		recordUnreachable(now) {
			updateFailureShare(1, now);
		},
		recordGivenUp(milliseconds, expectedMilliseconds, now) {
			inFlight--;
			// An attempt that is not late yet shows nothing, since most are given up before their answer for other reasons.
			if (milliseconds <= expectedMilliseconds) {
				return;
			}

			addDurationRatio(milliseconds, expectedMilliseconds);
			slowness = Math.max(getSlowness(now), getCorrectedSlowness(now));
			slownessUpdatedAt = now;
		},
		recordEnd() {
			inFlight--;
		},
		getFailureShare,
		getState(now) {
			const isFresh = reading !== undefined && now - reading.readAt <= maximumReadingAgeMilliseconds;
			return {
				reading: isFresh ? reading : undefined,
				sentSinceReading: isFresh ? sentAt.length : 0,
				inFlight,
				failureShare: getFailureShare(now),
				slowness: getSlowness(now),
			};
		},
	};
}

/** Returns the median; the lower one of the two middle values if their number is even. */
function getMedian(values: readonly number[]): number {
	return values.toSorted((left, right) => left - right)[Math.floor((values.length - 1) / 2)]!;
}
