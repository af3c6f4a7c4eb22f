/** Learns from the answers of one upstream: failures, speed against the promise, and load readings. */
import type * as freshLoad from './fresh-load.ts';

export type UpstreamRecord = {
	noteReading(reading: freshLoad.LoadReading): void;
	noteSent(now: number): void;
	/** An answer came after `milliseconds` where `expectedMilliseconds` were expected. */
	noteAnswered(milliseconds: number, expectedMilliseconds: number, now: number): void;
	noteFailed(now: number): void;
	/** No connection could be opened, or a load check had no answer. */
	noteUnreachable(now: number): void;
	/** An attempt ended without saying anything of the upstream. */
	noteEnded(): void;
	/** Share of the latest attempts that failed, 0 to 1. */
	getFailureShare(now: number): number;
	getState(now: number): Pick<freshLoad.UpstreamState, 'reading' | 'sentSinceReading' | 'inFlight' | 'failureShare' | 'slowness'>;
};

/** Weight of the newest attempt in the share of failures. */
const failureWeight = 0.3;
/** Time in which the share of failures halves without news, in milliseconds, so that an upstream is tried again. */
const failureHalfLifeMilliseconds = 2000;
const slownessWeight = 0.2;
const slownessHalfLifeMilliseconds = 3000;
const largestSlowness = 8;
/** Older readings say nothing of the load, in milliseconds. */
const longestReadingMilliseconds = 1000;

/** Creates the record of an upstream that nothing is known of. */
export function createUpstreamRecord(): UpstreamRecord {
	let reading: freshLoad.LoadReading | undefined;
	let sentAt: number[] = [];
	let inFlight = 0;
	let failureShare = 0;
	let failureAt = 0;
	let slowness = 1;
	let slownessAt = 0;

	const getFailureShare = (now: number) => failureShare * (0.5 ** ((now - failureAt) / failureHalfLifeMilliseconds));
	const getSlowness = (now: number) => 1 + ((slowness - 1) * (0.5 ** ((now - slownessAt) / slownessHalfLifeMilliseconds)));

	function learnFailure(outcome: 0 | 1, now: number): void {
		failureShare = getFailureShare(now);
		failureShare += failureWeight * (outcome - failureShare);
		failureAt = now;
	}

	return {
		noteReading(newer) {
			if (reading && newer.readAt < reading.readAt) {
				return;
			}

			reading = newer;
			sentAt = sentAt.filter(at => at > newer.readAt);
		},
		noteSent(now) {
			inFlight++;
			sentAt.push(now);
		},
		noteAnswered(milliseconds, expectedMilliseconds, now) {
			inFlight--;
			learnFailure(0, now);
			const ratio = Math.min(largestSlowness, milliseconds / Math.max(1, expectedMilliseconds));
			slowness = Math.max(1, getSlowness(now) * (1 + (slownessWeight * (ratio - 1))));
			slowness = Math.min(largestSlowness, slowness);
			slownessAt = now;
		},
		noteFailed(now) {
			inFlight--;
			learnFailure(1, now);
		},
		noteUnreachable(now) {
			learnFailure(1, now);
		},
		noteEnded() {
			inFlight--;
		},
		getFailureShare,
		getState(now) {
			const isFresh = reading !== undefined && now - reading.readAt <= longestReadingMilliseconds;
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
