/**
Plans the polls of the upstreams' load.

An upstream is polled from a few positions only, and from each of them at most once in any second: the next poll starts
more than a second after the previous one has ended. So the number of positions bounds the polls in any second.
*/
import {hashText} from '../hash.ts';
import {positionCount} from './positions.ts';

/** Pause between the end of a poll and the start of the next one from the same position. */
export const pollPauseMilliseconds = 1100;

/** Pause after a poll without an answer, which may still be on its way. */
export const failedPollPauseMilliseconds = 5000;

/** A report younger than this makes a poll superfluous. */
export const freshReportMilliseconds = 1000;

/** Polls that one entry starts in one round. */
export const pollsPerRound = 5;

/** Time between two rounds. */
export const roundMilliseconds = 250;

/** Gets the number of positions that may poll an upstream; one is kept back for a poll that leaves late after a pause. */
export function getPollingPositions(budgetPerSecond: number): number {
	const whole = Math.min(positionCount, Math.floor(budgetPerSecond));
	return whole >= 2 ? whole - 1 : whole;
}

/** Whether a position may poll an upstream. */
export function isPolledFrom(position: number, upstream: string, budgetPerSecond: number): boolean {
	return (position + hashText(upstream)) % positionCount < getPollingPositions(budgetPerSecond);
}

/** Upstream that may be polled. */
export type PolledUpstream = {
	readonly service: string;
	readonly upstream: string;
	readonly address: string;
	/** Requests that measure the upstream in any second, over all entries. */
	readonly budgetPerSecond: number;
};

/** A poll that should start now. */
export type PlannedPoll = PolledUpstream & {readonly position: number};

export type PollPlan = {
	/** Takes note of a report, however it came. */
	noteReport(upstream: string, reportedAt: number): void;
	/** Plans the polls of one round; each must be ended by `end`. */
	plan(upstreams: readonly PolledUpstream[], positions: readonly number[], now: number): readonly PlannedPoll[];
	end(poll: PlannedPoll, isAnswered: boolean, now: number): void;
};

/** Creates an empty plan. */
export function createPollPlan(): PollPlan {
	const reportedAt = new Map<string, number>();
	const nextAt = new Map<string, number>();

	const getKey = (position: number, upstream: string) => `${position}/${upstream}`;
	const getReportedAt = (upstream: string) => reportedAt.get(upstream) ?? Number.NEGATIVE_INFINITY;

	function forgetOthers(upstreams: readonly PolledUpstream[]): void {
		if (reportedAt.size <= 2 * upstreams.length) {
			return;
		}

		const names = new Set(upstreams.map(({upstream}) => upstream));
		for (const upstream of reportedAt.keys()) {
			if (!names.has(upstream)) {
				reportedAt.delete(upstream);
			}
		}
	}

	/** Pauses that are over need no memory. */
	function forgetPast(now: number): void {
		for (const [key, time] of nextAt) {
			if (time <= now) {
				nextAt.delete(key);
			}
		}
	}

	function tryPlan(polled: PolledUpstream, positions: readonly number[]): PlannedPoll | undefined {
		const position = positions.find(candidate => isPolledFrom(candidate, polled.upstream, polled.budgetPerSecond)
			&& !nextAt.has(getKey(candidate, polled.upstream)));
		return position === undefined ? undefined : {...polled, position};
	}

	return {
		noteReport(upstream, time) {
			reportedAt.set(upstream, Math.max(time, getReportedAt(upstream)));
		},
		plan(upstreams, positions, now) {
			forgetOthers(upstreams);
			forgetPast(now);
			const polls = upstreams
				.filter(({upstream}) => now - getReportedAt(upstream) > freshReportMilliseconds)
				.toSorted((left, right) => getReportedAt(left.upstream) - getReportedAt(right.upstream))
				.flatMap(polled => tryPlan(polled, positions) ?? [])
				.slice(0, pollsPerRound);
			for (const poll of polls) {
				nextAt.set(getKey(poll.position, poll.upstream), Number.POSITIVE_INFINITY);
			}

			return polls;
		},
		end(poll, isAnswered, now) {
			nextAt.set(getKey(poll.position, poll.upstream), now + (isAnswered ? pollPauseMilliseconds : failedPollPauseMilliseconds));
		},
	};
}
