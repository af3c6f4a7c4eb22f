/** Messages between the claim stage and the stages around it. */
import {type IdempotencyKey} from '../decisions/outcomes/idempotency-key.ts';
import {type StoredAnswer} from '../decisions/outcomes/key-table.ts';
import {type CallEvidence, type KeyHistory, resolveOutcome} from '../decisions/outcomes/resolve-outcome.ts';
import {type Outcome} from '../decisions/outcomes/types.ts';
import {type ForwardedCall, type WholeAnswer} from '../peers/forwarding-types.ts';

/** A non-idempotent call with a key. */
export type KeyedCall = {
	readonly key: IdempotencyKey;
	/** The caller states that it never sent this key before. */
	readonly isDeclaredFirst: boolean;
	/** Milliseconds of the host's monotonic clock. */
	readonly deadlineAt: number;
	/** Reads the whole call for forwarding; undefined when its body is too large. */
	readCall(): Promise<Pick<ForwardedCall, 'method' | 'path' | 'headers' | 'body'> | undefined>;
};

/** Permission to dispatch a call once. Its holder must call `finish`. */
export type ClaimTicket = {
	readonly history: KeyHistory;
	/** Must be called before a byte may leave; further attempts may follow only after proof that the last did not run. */
	markDispatched(): void;
	/** Ends the call for good. The answer is held for repeats. */
	finish(outcome: Outcome, answer: StoredAnswer | undefined): void;
};

/** What a call is told that is not dispatched here. */
export type SettledCall = {
	readonly evidence: CallEvidence;
	readonly history: KeyHistory;
	readonly outcome: Outcome;
	/** Answer of the first call with the key. */
	readonly answer: StoredAnswer | undefined;
};

export type ClaimDecision
	= | {readonly kind: 'run'; readonly ticket: ClaimTicket}
	/** The answer of the entry that owns the key, to be passed on as it is. */
		| {readonly kind: 'relay'; readonly answer: WholeAnswer}
		| {readonly kind: 'settled'; readonly settled: SettledCall};

/** Creates what a call is told that is not dispatched here. */
export function createSettled(evidence: CallEvidence, history: KeyHistory, answer?: StoredAnswer): SettledCall {
	return {
		evidence, history, outcome: resolveOutcome(evidence, history), answer,
	};
}

/** Gets what the caller says of earlier calls with its key. */
export function getCallerHistory(call: KeyedCall): KeyHistory {
	return {kind: call.isDeclaredFirst ? 'declared-first' : 'unsettled'};
}
