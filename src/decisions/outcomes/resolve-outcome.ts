/**
Decides which outcome to report to a caller. No other code decides this.

An outcome refers to the operation and not only to the single call: a repeated call that was refused is `not-run` only
if no earlier call with its key can have run either.
*/
import {assertNever} from '../assert-never.ts';
import {type Outcome} from './types.ts';

/** How far a call progressed, as observed by the entry that answers it. */
export type CallEvidence
	/** An entry refused the call before any dispatch and never dispatches it later. */
	= | {readonly kind: 'refused-before-dispatch'}
	/** The claim was not decided in time; the entry abandoned the call and never dispatches it. */
		| {readonly kind: 'claim-undecided'}
	/** No connection to the upstream was established, so no byte was sent. */
		| {readonly kind: 'never-connected'}
	/** The upstream reported that it refused the call before running it. */
		| {readonly kind: 'refused-by-upstream'}
		| {readonly kind: 'written-in-part'}
		| {readonly kind: 'written-whole'}
		| {readonly kind: 'answered-in-part'}
		| {readonly kind: 'answered-whole'}
	/** The call was not sent to the entry that owns the key, since no connection was established. */
		| {readonly kind: 'owner-not-connected'}
	/** The call was sent to the entry that owns the key, which did not answer. */
		| {readonly kind: 'owner-silent'}
	/** The call was not sent to the entry that owns the key, since it is no longer a member; it left no record of the key. */
		| {readonly kind: 'owner-gone'}
	/** Another call with the key did not finish before the deadline of this call. */
		| {readonly kind: 'in-flight'}
		| {readonly kind: 'key-expired'}
	/** Claims expired from the log before this entry read them. */
		| {readonly kind: 'log-gap'}
	/** The outcome was recorded when an earlier call with the key finished. */
		| {readonly kind: 'recorded'; readonly outcome: Outcome};

/** Whether an earlier call with the same key can have run. */
export type KeyHistory
	/** The call has no key, so it is an operation of its own. */
	= | {readonly kind: 'keyless'}
	/** Only this entry may dispatch the key, and it has not done so before. */
		| {readonly kind: 'first-use'}
	/** The caller declares that this is its first call with the key. */
		| {readonly kind: 'declared-first'}
	/** An earlier call with the key may have run. */
		| {readonly kind: 'unsettled'};

/** Resolves the outcome of a call from its evidence and the history of its key. */
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
