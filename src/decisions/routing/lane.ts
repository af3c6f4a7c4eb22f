/** Queue of the calls that wait for the same kind of slot, with its own admission control. */
import {type AdmissionControl, createAdmissionControl} from '../admission/admission-control.ts';
import {createDeadlineQueue, type DeadlineQueue} from '../admission/deadline-queue.ts';
import {tuning} from './tuning.ts';
import {type WaitingCall} from './types.ts';

/** Call that waits in a lane. */
export type QueuedCall = {
	readonly id: number;
	readonly priority: number;
	readonly deadlineAt: number;
	readonly queuedAt: number;
	readonly isLong: boolean;
	readonly call: WaitingCall;
	/** Value of `UpstreamPool.getLongBlockedMilliseconds` when the call was queued. */
	readonly longBlockedBefore: number;
};

/** Queue of calls of one kind: long calls, retries of short calls, or other short calls. */
export type Lane = {
	readonly queue: DeadlineQueue<QueuedCall>;
	readonly admission: AdmissionControl;
};

/** Creates an empty lane; `getAssumedRate` returns the departures per millisecond to assume while none have been measured. */
export function createLane(getAssumedRate: () => number): Lane {
	return {queue: createDeadlineQueue(), admission: createAdmissionControl(tuning.waitShare, getAssumedRate)};
}
