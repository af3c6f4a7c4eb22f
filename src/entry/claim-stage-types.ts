/** Types of the claim stage: calls with an idempotency key and the decisions on them. */
import {type IdempotencyKey} from '../decisions/outcomes/idempotency-key.ts';
import {type StoredAnswer} from '../decisions/outcomes/key-table.ts';
import {type CallEvidence, type KeyHistory, resolveOutcome} from '../decisions/outcomes/resolve-outcome.ts';
import {type Outcome} from '../decisions/outcomes/types.ts';
import {type ForwardedCall, type BufferedAnswer} from '../peers/forwarding-types.ts';

/** A non-idempotent call with an idempotency key. */
export type KeyedCall = {
	readonly key: IdempotencyKey;
	/** Whether the caller declares that it has never sent this key before. */
	readonly isDeclaredFirst: boolean;
	/** Milliseconds of the host's monotonic clock. */
	readonly deadlineAt: number;
	/** Reads the whole call for forwarding; resolves to undefined when the body is too large or incomplete. */
	readCall(): Promise<Pick<ForwardedCall, 'method' | 'path' | 'headers' | 'body'> | undefined>;
};

/** Permission to dispatch a call once. The recipient must call `finish`. */
export type ClaimTicket = {
	readonly history: KeyHistory;
	/** Must be called before any byte is sent; another attempt is allowed only with proof that the previous one did not run. */
	markDispatched(): void;
	/** Records the final outcome of the call. The answer is kept for repeated calls. */
	finish(outcome: Outcome, answer: StoredAnswer | undefined): void;
};

/** Result of a call that this entry does not dispatch. */
export type SettledCall = {
	readonly evidence: CallEvidence;
	readonly history: KeyHistory;
	readonly outcome: Outcome;
	/** Answer of the first call with the key; undefined when none is kept. */
	readonly answer: StoredAnswer | undefined;
};

/** Decision on a call with an idempotency key. */
export type KeyedCallDecision
	/** This entry dispatches the call. */
	= | {readonly kind: 'run'; readonly ticket: ClaimTicket}
	/** The entry that owns the key answered; its answer is relayed unchanged. */
		| {readonly kind: 'relay'; readonly answer: BufferedAnswer}
	/** The call is answered without a dispatch. */
		| {readonly kind: 'settled'; readonly settled: SettledCall};

/** Creates the result of a call that this entry does not dispatch. */
export function createSettledCall(evidence: CallEvidence, history: KeyHistory, answer?: StoredAnswer): SettledCall {
	return {
		evidence, history, outcome: resolveOutcome(evidence, history), answer,
	};
}

/** Gets the history of the key as the caller declares it. */
export function getDeclaredHistory(call: KeyedCall): KeyHistory {
	return {kind: call.isDeclaredFirst ? 'declared-first' : 'unsettled'};
}
