/** Calls that wait for the same kind of slot, with their own estimate of the wait. */
import {type Admission, createAdmission} from '../admission/admission.ts';
import {createDeadlineQueue, type DeadlineQueue} from '../admission/deadline-queue.ts';
import {tuning} from './tuning.ts';
import {type WaitingCall} from './types.ts';

export type QueuedCall = {
	readonly id: number;
	readonly priority: number;
	readonly deadlineAt: number;
	readonly queuedAt: number;
	readonly isLong: boolean;
	readonly call: WaitingCall;
	/** Time until now in which long work held all own slots, in milliseconds. */
	readonly allLongBefore: number;
};

export type Lane = {
	readonly queue: DeadlineQueue<QueuedCall>;
	readonly admission: Admission;
};

/** Creates an empty lane; `getAssumedRate` gives departures per millisecond while none were measured. */
export function createLane(getAssumedRate: () => number): Lane {
	return {queue: createDeadlineQueue(), admission: createAdmission(tuning.waitShare, getAssumedRate)};
}
