/** A call on its way through the entry, and where its answer goes. All times are milliseconds of one monotonic clock. */
import type * as stream from 'node:stream';
import {type Outcome} from '../decisions/outcomes/types.ts';
import {type OperationRow} from '../decisions/table/rows.ts';
import {type Hop} from '../observability/tracing.ts';

/** Names and values of headers, in lower case, without those that concern one connection only. */
export type HeaderPairs = ReadonlyArray<readonly [string, string]>;

/** Body of a request. A stream can be sent only once. */
export type CallBody
	= | {readonly kind: 'none'}
		| {readonly kind: 'buffered'; readonly bytes: Uint8Array}
		| {readonly kind: 'streamed'; readonly stream: stream.Readable; readonly length: number | undefined};

export type Call = {
	readonly id: number;
	readonly service: string;
	readonly operation: OperationRow;
	readonly method: string;
	/** Path and query below the service, starting with a slash. */
	readonly path: string;
	/** Headers to pass on to the upstream. */
	readonly headers: HeaderPairs;
	readonly body: CallBody;
	/** Value of the `idempotency-key` header. */
	readonly idempotencyKey: string | undefined;
	/** Number of calls that this one is nested in. */
	readonly depth: number;
	/** Whether the callers above allow retries. */
	readonly isRetryAllowed: boolean;
	readonly receivedAt: number;
	readonly deadlineAt: number;
	readonly hop: Hop;
};

/** First part of an answer. */
export type AnswerHead = {
	readonly statusCode: number;
	readonly headers: HeaderPairs;
	readonly outcome: Outcome;
};

/** Takes the answer of one call. After `end` or `abort` nothing more is given. */
export type AnswerSink = {
	start(head: AnswerHead): void;
	/** Returns false when the writer should wait until the drain listener is called. */
	write(chunk: Uint8Array): boolean;
	/** The answer is whole. */
	end(): void;
	/** The answer can't be completed, and must not look complete. */
	abort(): void;
	/** Sets what is called when the sink takes data again. */
	setDrainListener(listener: () => void): void;
};
