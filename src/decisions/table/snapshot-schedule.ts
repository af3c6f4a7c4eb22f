/** Decides when an entry appends a snapshot, so that mostly one entry of the fleet does so. */
import {type FollowState} from './follow.ts';

/** A snapshot is due when the latest is older than this share of the retention. */
const dueRetentionShare = 0.25;

/** Entries spread their snapshots over this share of the retention; the first one makes the others wait again. */
const spreadRetentionShare = 0.1;
const maximumSpreadMilliseconds = 60_000;

/** Shortest time between two snapshots of one entry, whatever the clocks say. */
const pauseRetentionShare = 0.02;

/** Edits after which a snapshot is due, so that a start reads few records. */
const maximumEditsBetweenSnapshots = 256;

export type SnapshotSchedule = {
	/** Gets the time until this entry should append a snapshot, 0 when it should now; `random` is from 0 up to 1. */
	getDelay(state: FollowState, now: number, random: number): number;
	/** Forgets the time that was drawn, after a snapshot was tried. */
	restart(): void;
};

/** Creates the schedule of one entry for a log that keeps records for the given time. */
export function createSnapshotSchedule(retentionMilliseconds: number): SnapshotSchedule {
	let drawnFor = '';
	let dueAt = 0;
	let isTried = false;

	return {
		getDelay(state, now, random) {
			const isLong = state.editsSinceSnapshot > maximumEditsBetweenSnapshots;
			const reason = `${state.snapshotAt ?? 'none'} ${isLong}`;
			if (reason !== drawnFor) {
				drawnFor = reason;
				const spread = random * Math.min(maximumSpreadMilliseconds, retentionMilliseconds * spreadRetentionShare);
				const age = state.snapshotAt === undefined || isLong ? Infinity : Math.max(0, now - state.snapshotAt);
				const earliest = isTried ? retentionMilliseconds * pauseRetentionShare : 0;
				dueAt = now + Math.max(earliest, (retentionMilliseconds * dueRetentionShare) - age) + spread;
				isTried = false;
			}

			return Math.max(0, dueAt - now);
		},
		restart() {
			drawnFor = '';
			isTried = true;
		},
	};
}
