/** Types of calls forwarded between entries, independent of their wire form. */
import {type HandoverRecord} from '../decisions/outcomes/claim-fold.ts';
import {type Outcome} from '../decisions/outcomes/types.ts';

/** A call with its body fully buffered. */
export type ForwardedCall = {
	/** Incarnation that owns the key. */
	readonly incarnation: string;
	readonly method: string;
	/** Path with the query, as the caller sent it. */
	readonly path: string;
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: Uint8Array;
	readonly timeoutMilliseconds: number;
	/** Whether to return only the recorded state of the key, without executing the call. */
	readonly isLookup: boolean;
};

/** An answer with its body fully buffered. */
export type BufferedAnswer = {
	readonly statusCode: number;
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: Uint8Array;
	readonly outcome: Outcome;
};

export type ForwardResult
	= | {readonly kind: 'answered'; readonly answer: BufferedAnswer}
	/** No byte of the call was sent. */
		| {readonly kind: 'not-connected'}
	/** No answer was received; the call may have reached the peer. */
		| {readonly kind: 'silent'}
	/** Another incarnation now listens on the address. */
		| {readonly kind: 'other-incarnation'};

/** Functions of the entry that the forwarding service calls. */
export type ForwardingHost = {
	readonly incarnation: string;
	/** Executes a call whose key this incarnation owns; resolves even if the sender has disconnected. */
	executeCall(call: ForwardedCall): Promise<BufferedAnswer>;
	/** Applies a part of the key table that a leaving entry handed over. */
	applyHandover(record: HandoverRecord): void;
};

/** Largest request or answer body that is forwarded, in bytes. */
export const maximumForwardedBodyBytes = 4 * 1024 * 1024;
