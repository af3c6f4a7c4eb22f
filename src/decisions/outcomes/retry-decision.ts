/** Decides whether a request may be retried after an attempt, and which status to return when no upstream answered it. */
import {assertNever} from '../assert-never.ts';
import type * as configuration from '../configuration/types.ts';

/** Why a request was not sent; only `unreachable` says something about the upstream. After `handler-failed`, an error of this program, it would fail again. */
export type UnsentReason = 'unreachable' | 'given-up' | 'expired' | 'handler-failed';

/** How an attempt at an upstream ended. */
export type AttemptEnd
	/** No byte of the request was sent. */
	= | {readonly kind: 'not-sent'; readonly reason: UnsentReason}
	/** The upstream reported that it did not execute the request. */
		| {readonly kind: 'not-run'}
	/** The upstream sent a complete answer; one with a status below 500 is final. */
		| {readonly kind: 'answered'; readonly statusCode: number}
	/** Bytes were sent and no complete answer was received, so the request may have been executed. */
		| {readonly kind: 'broken'; readonly reason: string};

/** Summary of all attempts of a request. */
export type AttemptHistory = {
	readonly kind: configuration.RequestKind;
	/** Number of upstreams that may have executed the request. */
	readonly possibleExecutions: number;
	/** Number of upstreams that the request may still be sent to, because an attempt at them has begun, or they are being selected. */
	readonly plannedExecutions: number;
	/** Maximum number of upstreams that may execute the request, from its route. */
	readonly maximumAttempts: number;
};

const lowestServerErrorStatus = 500;

/** Returns whether the request may be sent to another upstream after an attempt that ended like this; the retry budget is checked separately. */
export function canRetry(history: AttemptHistory, end: AttemptEnd): boolean {
	const hasAttemptLeft = history.possibleExecutions + history.plannedExecutions < history.maximumAttempts;
	switch (end.kind) {
		case 'not-sent':
		case 'not-run': {
			if (end.kind === 'not-sent' && end.reason === 'handler-failed') {
				return false;
			}

			return (history.possibleExecutions === 0 && history.plannedExecutions === 0) || (history.kind === 'idempotent' && hasAttemptLeft);
		}

		case 'answered': {
			return end.statusCode >= lowestServerErrorStatus && history.kind === 'idempotent' && hasAttemptLeft;
		}

		case 'broken': {
			return history.kind === 'idempotent' && hasAttemptLeft;
		}

		default: {
			return assertNever(end);
		}
	}
}

/** Reason why a request ends without an answer of an upstream. */
export type GiveUpReason = 'time-over' | 'no-room' | 'not-accepting' | 'stopping' | 'failed';

/** Gets the status code to return when no upstream answered: 503 only if the request was not executed and never will be. */
export function getFailureStatus(history: AttemptHistory, reason: GiveUpReason): 502 | 503 | 504 {
	if (history.possibleExecutions === 0) {
		return 503;
	}

	return reason === 'time-over' ? 504 : 502;
}

/** Describes the end of an attempt for logs and metrics. */
export function describeEnd(end: AttemptEnd): string {
	switch (end.kind) {
		case 'answered': {
			return String(end.statusCode);
		}

		case 'broken': {
			return end.reason;
		}

		case 'not-sent': {
			return end.reason === 'unreachable' ? end.kind : end.reason;
		}

		case 'not-run': {
			return end.kind;
		}
	}
}
