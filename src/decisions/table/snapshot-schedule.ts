/** Schedules the snapshots that an entry appends, such that usually only one entry of the fleet appends each of them. */
import {type FollowerState} from './table-follower.ts';

/** Age of the latest snapshot at which the next one is due, as a share of the retention. */
const dueRetentionShare = 0.25;

/** Interval over which entries spread their snapshots at random, as a share of the retention. The first snapshot postpones those of the other entries. */
const spreadRetentionShare = 0.1;
/** Upper bound of that interval. */
const maximumSpreadMilliseconds = 60_000;

/** Minimum delay after a snapshot of this entry, as a share of the retention; it applies even if the clocks of the entry and the log differ. */
const minimumDelayRetentionShare = 0.02;

/** Number of edits after which a snapshot is due, so that a starting reader has few records to read. */
const maximumEditsBetweenSnapshots = 256;

export type SnapshotSchedule = {
	/** Gets the time in milliseconds until this entry should append a snapshot, 0 if it is due; `random` is at least 0 and less than 1. */
	getDelay(state: FollowerState, now: number, random: number): number;
	/** Discards the scheduled time; called when this entry attempts a snapshot. */
	recordSnapshotAttempt(): void;
};

/** Creates the schedule of one entry for a log that retains records for the given time. */
export function createSnapshotSchedule(retentionMilliseconds: number): SnapshotSchedule {
	/** Identifies the state for which the current time was drawn; a new time is drawn when it changes. */
	let scheduledFor = '';
	let dueAt = 0;
	let hasAttempted = false;

	return {
		getDelay(state, now, random) {
			const hasManyEdits = state.editsSinceSnapshot > maximumEditsBetweenSnapshots;
			const scheduleKey = `${state.lastSnapshotAt ?? 'none'} ${hasManyEdits}`;
			if (scheduleKey !== scheduledFor) {
				scheduledFor = scheduleKey;
				const spread = random * Math.min(maximumSpreadMilliseconds, retentionMilliseconds * spreadRetentionShare);
				const age = state.lastSnapshotAt === undefined || hasManyEdits ? Infinity : Math.max(0, now - state.lastSnapshotAt);
				const minimumDelay = hasAttempted ? retentionMilliseconds * minimumDelayRetentionShare : 0;
				dueAt = now + Math.max(minimumDelay, (retentionMilliseconds * dueRetentionShare) - age) + spread;
				hasAttempted = false;
			}

			return Math.max(0, dueAt - now);
		},
		recordSnapshotAttempt() {
			scheduledFor = '';
			hasAttempted = true;
		},
	};
}
