/**
Schedules the polls that read the load of upstreams.

Only a few positions may poll an upstream, and each of them polls it at most once in any second: the next poll starts
more than a second after the previous one has ended. The number of these positions therefore bounds the polls of an
upstream in any second.
*/
import {hashText} from '../hash.ts';
import {positionCount} from './position-leases.ts';

/** Minimum delay between the end of a poll and the start of the next one from the same position. */
export const pollPauseMilliseconds = 1100;

/** Minimum delay after a poll without an answer, since its request may still be in transit. */
export const failedPollPauseMilliseconds = 5000;

/** Age up to which a load report makes a poll of its upstream unnecessary. */
export const freshReportMilliseconds = 1000;

/** Maximum number of polls that one entry starts in one round. */
export const maximumPollsPerRound = 5;

/** Interval between two polling rounds. */
export const roundMilliseconds = 250;

/** Gets the number of positions that may poll an upstream. One is kept in reserve for a poll that is sent late after the process paused. */
export function getPollingPositionCount(budgetPerSecond: number): number {
	const whole = Math.min(positionCount, Math.floor(budgetPerSecond));
	return whole >= 2 ? whole - 1 : whole;
}

/** Returns whether a position may poll an upstream. */
export function canPoll(position: number, upstream: string, budgetPerSecond: number): boolean {
	return (position + hashText(upstream)) % positionCount < getPollingPositionCount(budgetPerSecond);
}

/** An upstream that may be polled. */
export type PolledUpstream = {
	readonly service: string;
	readonly upstream: string;
	readonly address: string;
	/** Maximum number of requests that measure the upstream in any second, across all entries. */
	readonly budgetPerSecond: number;
};

/** A poll to start now from a position. */
export type PlannedPoll = PolledUpstream & {readonly position: number};

export type PollPlan = {
	/** Records that a load report of an upstream was received, from a poll or from any other source. */
	recordReport(upstream: string, reportedAt: number): void;
	/** Selects the polls to start in this round; the caller must complete each of them by a call of `end`. */
	planRound(upstreams: readonly PolledUpstream[], positions: readonly number[], now: number): readonly PlannedPoll[];
	/** Records the end of a poll, which determines when its position may poll the upstream again. */
	end(poll: PlannedPoll, isAnswered: boolean, now: number): void;
};

/** Creates an empty plan. */
export function createPollPlan(): PollPlan {
	const lastReportAt = new Map<string, number>();
	/** Earliest time of the next poll by position and upstream; infinite while a poll is in progress. */
	const nextPollAt = new Map<string, number>();

	const getKey = (position: number, upstream: string) => `${position}/${upstream}`;
	const getLastReportAt = (upstream: string) => lastReportAt.get(upstream) ?? Number.NEGATIVE_INFINITY;

	function pruneUnknownUpstreams(upstreams: readonly PolledUpstream[]): void {
		if (lastReportAt.size <= 2 * upstreams.length) {
			return;
		}

		const names = new Set(upstreams.map(({upstream}) => upstream));
		for (const upstream of lastReportAt.keys()) {
			if (!names.has(upstream)) {
				lastReportAt.delete(upstream);
			}
		}
	}

	/** Removes the entries of pairs that may be polled again. */
	function pruneElapsedDelays(now: number): void {
		for (const [key, time] of nextPollAt) {
			if (time <= now) {
				nextPollAt.delete(key);
			}
		}
	}

	function tryPlanPoll(polled: PolledUpstream, positions: readonly number[]): PlannedPoll | undefined {
		const position = positions.find(candidate => canPoll(candidate, polled.upstream, polled.budgetPerSecond)
			&& !nextPollAt.has(getKey(candidate, polled.upstream)));
		return position === undefined ? undefined : {...polled, position};
	}

	return {
		recordReport(upstream, reportedAt) {
			lastReportAt.set(upstream, Math.max(reportedAt, getLastReportAt(upstream)));
		},
		planRound(upstreams, positions, now) {
			pruneUnknownUpstreams(upstreams);
			pruneElapsedDelays(now);
			const polls = upstreams
				.filter(({upstream}) => now - getLastReportAt(upstream) > freshReportMilliseconds)
				.toSorted((left, right) => getLastReportAt(left.upstream) - getLastReportAt(right.upstream))
				.flatMap(polled => tryPlanPoll(polled, positions) ?? [])
				.slice(0, maximumPollsPerRound);
			for (const poll of polls) {
				nextPollAt.set(getKey(poll.position, poll.upstream), Number.POSITIVE_INFINITY);
			}

			return polls;
		},
		end(poll, isAnswered, now) {
			nextPollAt.set(getKey(poll.position, poll.upstream), now + (isAnswered ? pollPauseMilliseconds : failedPollPauseMilliseconds));
		},
	};
}
