/**
The one place that decides which outcome a caller is told.

An outcome speaks of the operation and not only of the call: a repeat that was refused is `not-run` only when
no earlier call with its key can have run either.
*/
import {assertNever} from '../assert-never.ts';
import {type Outcome} from './types.ts';

/** How far a call came, as seen by the entry that answers it. */
export type CallEvidence
	/** Refused by an entry before any dispatch, and never dispatched later. */
	= | {readonly kind: 'refused-before-dispatch'}
	/** No claim was decided in time; the entry gave the call up and never dispatches it. */
		| {readonly kind: 'claim-undecided'}
	/** No connection to the upstream was made, so no byte left. */
		| {readonly kind: 'never-connected'}
	/** The upstream said that it refused the call before running it. */
		| {readonly kind: 'refused-by-upstream'}
		| {readonly kind: 'written-in-part'}
		| {readonly kind: 'written-whole'}
		| {readonly kind: 'answered-in-part'}
		| {readonly kind: 'answered-whole'}
	/** Not sent to the entry that owns the key, since no connection was made. */
		| {readonly kind: 'owner-not-connected'}
	/** Sent to the entry that owns the key, which did not answer. */
		| {readonly kind: 'owner-silent'}
	/** Not sent to the entry that owns the key, since it is not a member; it left no record of the key. */
		| {readonly kind: 'owner-gone'}
	/** Another call with the key has not ended within this one's time. */
		| {readonly kind: 'in-flight'}
		| {readonly kind: 'key-expired'}
	/** Claims expired before this entry read them. */
		| {readonly kind: 'log-gap'}
	/** The outcome was recorded when an earlier call with the key ended. */
		| {readonly kind: 'recorded'; readonly outcome: Outcome};

/** What is known about earlier calls with the same key. */
export type KeyHistory
	/** Without a key each call is an operation of its own. */
	= | {readonly kind: 'keyless'}
	/** Only this entry may dispatch the key, and it has not done so before. */
		| {readonly kind: 'first-use'}
	/** The caller states that this is its first call with the key. */
		| {readonly kind: 'declared-first'}
	/** An earlier call with the key may have run. */
		| {readonly kind: 'unsettled'};

/** Decides the outcome from what is known. */
export function resolveOutcome(evidence: CallEvidence, history: KeyHistory): Outcome {
	switch (evidence.kind) {
		case 'refused-before-dispatch':
		case 'claim-undecided':
		case 'never-connected':
		case 'refused-by-upstream':
		case 'owner-not-connected':
		case 'owner-gone': {
			return hasNoEarlierRun(history) ? 'not-run' : 'unknown';
		}

		case 'written-in-part':
		case 'written-whole':
		case 'answered-in-part':
		case 'owner-silent':
		case 'in-flight':
		case 'key-expired':
		case 'log-gap': {
			return 'unknown';
		}

		case 'answered-whole': {
			return 'ran';
		}

		case 'recorded': {
			return evidence.outcome;
		}

		default: {
			return assertNever(evidence);
		}
	}
}

function hasNoEarlierRun(history: KeyHistory): boolean {
	switch (history.kind) {
		case 'keyless':
		case 'first-use':
		case 'declared-first': {
			return true;
		}

		case 'unsettled': {
			return false;
		}

		default: {
			return assertNever(history);
		}
	}
}
