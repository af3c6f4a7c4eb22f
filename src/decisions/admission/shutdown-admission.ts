/**
Decides whether an entry that is about to stop takes on a request.

Answers the load pattern of a planned stop: callers keep an address for some seconds, so requests arrive until the end of
the grace period. One that is sent to an upstream and cut off at the end may have run, so its caller can't repeat it. A
request that is rejected at once is answered by another entry.
*/
import * as exhaustiveness from '../assert-never.ts';

/** How far the stop of an entry has come. */
export type ShutdownPhase
	= | {readonly kind: 'running'}
	/** Callers are being told to use other entries; requests in flight are aborted at `stopsAt`. */
		| {readonly kind: 'notice'; readonly stopsAt: number}
	/** All callers have been told. */
		| {readonly kind: 'draining'; readonly stopsAt: number};

/** Times of a request on which the decision depends. */
export type StoppingRequest = {
	readonly deadlineAt: number;
	/** Mean time of the work of such requests, in milliseconds. */
	readonly expectedMilliseconds: number;
};

/** Time that an entry needs to answer a request at its deadline, in milliseconds. */
const answerMilliseconds = 100;
/** Time that is left for the work of a request, in multiples of its mean; a few requests in a hundred take longer. */
const workMultiple = 4;

/** Returns whether to take on a request that arrives now. */
export function shouldAcceptRequest(phase: ShutdownPhase, {deadlineAt, expectedMilliseconds}: StoppingRequest, now: number): boolean {
	switch (phase.kind) {
		case 'running': {
			return true;
		}

		case 'notice': {
			return endsInTime(deadlineAt, phase.stopsAt) || now + (workMultiple * expectedMilliseconds) <= phase.stopsAt;
		}

		case 'draining': {
			return endsInTime(deadlineAt, phase.stopsAt);
		}

		default: {
			return exhaustiveness.assertNever(phase);
		}
	}
}

function endsInTime(deadlineAt: number, stopsAt: number): boolean {
	return deadlineAt + answerMilliseconds <= stopsAt;
}
