/** Calls between entries as the rest of the entry sees them. */
import {type HandoverRecord} from '../decisions/outcomes/claim-fold.ts';
import {type Outcome} from '../decisions/outcomes/types.ts';

/** A call with its whole body. */
export type ForwardedCall = {
	/** Incarnation that owns the key. */
	readonly incarnation: string;
	readonly method: string;
	/** Path with the query, as the caller sent it. */
	readonly path: string;
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: Uint8Array;
	readonly timeoutMilliseconds: number;
	/** Only asks what is known of the key. */
	readonly isLookup: boolean;
};

/** An answer with its whole body. */
export type WholeAnswer = {
	readonly statusCode: number;
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: Uint8Array;
	readonly outcome: Outcome;
};

export type ForwardResult
	= | {readonly kind: 'answered'; readonly answer: WholeAnswer}
	/** No byte of the call left. */
		| {readonly kind: 'not-connected'}
	/** The call may have arrived, but no answer came. */
		| {readonly kind: 'silent'}
	/** Another incarnation listens on that address now. */
		| {readonly kind: 'other-incarnation'};

export type ForwardingHost = {
	readonly incarnation: string;
	/** Runs a call whose key this incarnation owns; also resolves when the sender has gone away. */
	run(call: ForwardedCall): Promise<WholeAnswer>;
	/** Takes a part of the key table of an entry that left. */
	takeHandover(record: HandoverRecord): void;
};

/** Largest request or answer body that is forwarded. */
export const maximumForwardedBytes = 4 * 1024 * 1024;
