/** Decides, from what is known of the attempts, whether a request may be sent again and what may be said of it. */
import {assertNever} from '../assert-never.ts';
import type * as configuration from '../configuration/types.ts';

/** How one attempt at an upstream ended. */
export type AttemptEnd
	/** No byte of the request left. */
	= | {readonly kind: 'not-sent'}
	/** The upstream states that it did not run the request. */
		| {readonly kind: 'not-run'}
	/** A whole answer of the upstream; below 500 it is final. */
		| {readonly kind: 'answered'; readonly statusCode: number}
	/** Bytes left and no whole answer to this request came; it may have run. */
		| {readonly kind: 'broken'; readonly reason: string};

/** What is known of all attempts of a request. */
export type RequestHistory = {
	readonly kind: configuration.RequestKind;
	/** Upstreams on which the request may have run. */
	readonly mayHaveRunOn: number;
	readonly maximumAttempts: number;
};

const firstServerError = 500;

/** Whether the request may go to another upstream after this end, before the budget is asked. */
export function canSendAgain(history: RequestHistory, end: AttemptEnd): boolean {
	switch (end.kind) {
		case 'not-sent':
		case 'not-run': {
			return history.mayHaveRunOn === 0 || (history.kind === 'idempotent' && history.mayHaveRunOn < history.maximumAttempts);
		}

		case 'answered': {
			return end.statusCode >= firstServerError && history.kind === 'idempotent' && history.mayHaveRunOn < history.maximumAttempts;
		}

		case 'broken': {
			return history.kind === 'idempotent' && history.mayHaveRunOn < history.maximumAttempts;
		}

		default: {
			return assertNever(end);
		}
	}
}

/** Why a request ends without an answer of an upstream. */
export type GiveUpReason = 'time-over' | 'no-room' | 'failed';

/** Gets the status of an answer of our own: 503 only where the request has not run and never will. */
export function getOwnStatus(history: RequestHistory, reason: GiveUpReason): 502 | 503 | 504 {
	if (history.mayHaveRunOn === 0) {
		return 503;
	}

	return reason === 'time-over' ? 504 : 502;
}
