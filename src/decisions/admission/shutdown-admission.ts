/**
Decides whether an entry that is about to stop takes on a request.

Answers the load pattern of a planned stop: callers keep an address for some seconds, so requests arrive until the end of
the grace period. One that is sent to an upstream and cut off at the end may have run, so its caller can't repeat it. A
request that is rejected at once is answered by another entry.
*/
import * as exhaustiveness from '../assert-never.ts';
import type * as configuration from '../configuration/types.ts';
import type * as workBounds from './work-bounds.ts';

/** How far the stop of an entry has come. */
export type ShutdownPhase
	= | {readonly kind: 'running'}
	/** Callers are being told to use other entries; requests in flight are aborted at `stopsAt`. */
		| {readonly kind: 'notice'; readonly stopsAt: number}
	/** All callers have been told. */
		| {readonly kind: 'draining'; readonly stopsAt: number};

/** Properties of a request on which the decision depends. */
export type StoppingRequest = {
	readonly kind: configuration.RequestKind;
	readonly deadlineAt: number;
	/** Returns the durations of such requests. */
	getSeen(): workBounds.SeenWork;
};

/** Time that an entry needs to answer a request at its deadline, in milliseconds. */
const answerMilliseconds = 100;
/** Time that is left for the work of a request, in multiples of the longest that was seen; work slows down while several entries stop. */
const longestMultiple = 2;
/** Number of requests that must have been seen, in all and for each one that was given up. About one in as many lasts longer than all of them, and callers can't repeat one that is not idempotent. */
const minimumFinished: Readonly<Record<configuration.RequestKind, number>> = {
	idempotent: 100,
	'non-idempotent': 2000,
};

/** Returns whether to take on a request that arrives now. */
export function shouldAcceptRequest(phase: ShutdownPhase, request: StoppingRequest, now: number): boolean {
	switch (phase.kind) {
		case 'running': {
			return true;
		}

		case 'notice': {
			return endsByDeadline(request, phase.stopsAt) || endsAsSeen(request, phase.stopsAt, now);
		}

		case 'draining': {
			return endsByDeadline(request, phase.stopsAt);
		}

		default: {
			return exhaustiveness.assertNever(phase);
		}
	}
}

function endsByDeadline({deadlineAt}: StoppingRequest, stopsAt: number): boolean {
	return deadlineAt + answerMilliseconds <= stopsAt;
}

function endsAsSeen({kind, getSeen}: StoppingRequest, stopsAt: number, now: number): boolean {
	const seen = getSeen();
	return seen.finished >= minimumFinished[kind] * Math.max(1, seen.unfinished) && now + (longestMultiple * seen.longestMilliseconds) <= stopsAt;
}
