/** A call that an entry executes, and the sink that receives its answer. All times are in milliseconds of one monotonic clock. */
import type * as stream from 'node:stream';
import {type Outcome} from '../decisions/outcomes/types.ts';
import {type OperationRow} from '../decisions/table/rows.ts';
import {type Hop} from '../observability/tracing.ts';

/** Headers as pairs of a lower-case name and a value, without hop-by-hop headers. */
export type HeaderPairs = ReadonlyArray<readonly [string, string]>;

/** Body of a request. A stream can be sent only once. */
export type CallBody
	= | {readonly kind: 'none'}
		| {readonly kind: 'buffered'; readonly bytes: Uint8Array}
		| {readonly kind: 'streamed'; readonly stream: stream.Readable; readonly length: number | undefined};

/** Call that was received, validated and assigned to an operation. */
export type Call = {
	readonly id: number;
	readonly service: string;
	readonly operation: OperationRow;
	readonly method: string;
	/** Path and query after the service name, starting with a slash. */
	readonly path: string;
	/** Headers to forward to the upstream. */
	readonly headers: HeaderPairs;
	readonly body: CallBody;
	/** Value of the `idempotency-key` header. */
	readonly idempotencyKey: string | undefined;
	/** Number of calls that enclose this one. */
	readonly depth: number;
	/** False when a sender further up the chain of nested calls retries. */
	readonly isRetryAllowed: boolean;
	readonly receivedAt: number;
	readonly deadlineAt: number;
	readonly hop: Hop;
};

/** Status code, headers and outcome, which precede the body of an answer. */
export type AnswerHead = {
	readonly statusCode: number;
	readonly headers: HeaderPairs;
	readonly outcome: Outcome;
};

/** Receives the answer to one call. `end` or `abort` is the last method called. */
export type AnswerSink = {
	start(head: AnswerHead): void;
	/** Returns false when the writer should pause until the drain listener is called. */
	write(chunk: Uint8Array): boolean;
	/** Completes the answer. */
	end(): void;
	/** Terminates an answer that can't be completed, so that the receiver can't mistake it for a complete one. */
	abort(): void;
	/** Sets the listener that is called when the sink accepts data again. */
	setDrainListener(listener: () => void): void;
};
