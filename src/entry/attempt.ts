/** Sends a call to an upstream on one connection and reports the progress of the attempt. */
import type * as http from 'node:http';
import type * as undici from 'undici';
import {assertNever} from '../decisions/assert-never.ts';
import * as statusCodes from '../decisions/outcomes/status-code.ts';
import * as attemptError from './attempt-error.ts';
import {type CallBody} from './call.ts';
import type * as connectionPool from './connection-pool.ts';

/** Request that an attempt sends. */
export type AttemptRequest = {
	readonly method: string;
	readonly path: string;
	/** Alternating header names and values. */
	readonly headers: string[];
	readonly body: CallBody;
};

/** Receives the events of an attempt in the order of the methods. The last event is either `onEnd` or `onFailed`. */
export type AttemptListener = {
	/** Called before the request is written; from then on, bytes of it may have been sent. */
	onSent(): void;
	/** Called for each interim response, such as 103, if it is given. */
	onInterim?(): void;
	onHead(statusCode: number, headers: http.IncomingHttpHeaders): void;
	/** Returns false to pause the answer until `resume` is called. */
	onData(chunk: Uint8Array): boolean;
	/** Called at the end of the answer. It is incomplete if it ends with its connection and the connection was reset. */
	onEnd(isComplete: boolean): void;
	onFailed(error: Error): void;
};

/** Attempt in progress. */
export type Attempt = {
	/** Aborts the attempt and calls `onFailed`, unless the attempt has already finished. */
	abort(): void;
	/** Resumes a paused answer. */
	resume(): void;
};

const headMethod = 'HEAD';
const statusCodesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** Starts an attempt on a connection; the listener receives its events. */
export function startAttempt(connection: Pick<connectionPool.Connection, 'client' | 'reading' | 'isBroken'>, request: AttemptRequest, listener: AttemptListener): Attempt {
	let controller: undici.Dispatcher.DispatchController | undefined;
	let isFinished = false;
	let isDelimited = false;
	const abortError = new Error('The attempt was aborted.');

	const finish = () => {
		isFinished = true;
		connection.reading.release();
	};

	const fail = (error: Error) => {
		if (!isFinished) {
			finish();
			listener.onFailed(error);
		}
	};

	connection.client.dispatch({
		method: request.method,
		path: request.path,
		headers: request.headers,
		body: getDispatchBody(request.body),
	}, {
		onRequestStart(requestController) {
			controller = requestController;
			if (isFinished) {
				requestController.abort(abortError);
			} else {
				listener.onSent();
			}
		},
		onResponseStart(responseController, statusCode, headers) {
			if (isFinished) {
				return;
			}

			const kind = statusCodes.classifyStatus(statusCode);
			switch (kind) {
				case 'invalid': {
					// Aborting here keeps the client from parsing on, which ends in an assertion for some of these.
					const error = new attemptError.InvalidStatusError(statusCode);
					responseController.abort(error);
					fail(error);
					break;
				}

				case 'interim': {
					listener.onInterim?.();
					break;
				}

				case 'final': {
					isDelimited = isAnswerDelimited(request.method, statusCode, headers);
					listener.onHead(statusCode, headers);
					break;
				}

				default: {
					assertNever(kind);
				}
			}
		},
		onResponseData(_controller, chunk) {
			if (!isFinished && !listener.onData(chunk)) {
				connection.reading.hold();
			}
		},
		onResponseEnd() {
			if (!isFinished) {
				finish();
				listener.onEnd(isDelimited || !connection.isBroken);
			}
		},
		onResponseError(_controller, error) {
			fail(error);
		},
	});

	return {
		abort() {
			if (isFinished) {
				return;
			}

			if (controller) {
				controller.abort(abortError);
			}

			fail(abortError);
		},
		resume() {
			if (!isFinished) {
				connection.reading.release();
			}
		},
	};
}

/** Whether an answer has no body, whatever its headers say (RFC 9112, section 6.3). */
export function isBodyless(method: string, statusCode: number): boolean {
	return method === headMethod || statusCodesWithoutBody.has(statusCode);
}

/** Whether an answer delimits its own end; otherwise it ends with its connection (RFC 9112, section 6.3). */
export function isAnswerDelimited(method: string, statusCode: number, headers: http.IncomingHttpHeaders): boolean {
	if (isBodyless(method, statusCode)) {
		return true;
	}

	const codings = headers['transfer-encoding'];
	return codings === undefined ? headers['content-length'] !== undefined : /(?:^|[\s,])chunked\s*$/iv.test(String(codings));
}

function getDispatchBody(body: CallBody) {
	switch (body.kind) {
		case 'none': {
			return null;
		}

		case 'buffered': {
			return body.bytes;
		}

		case 'streamed': {
			return body.stream;
		}
	}
}
