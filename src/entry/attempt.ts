/** Sends one call to an upstream on one connection and reports each step. */
import type * as http from 'node:http';
import type * as undici from 'undici';
import {type CallBody} from './call.ts';

export type AttemptRequest = {
	readonly method: string;
	readonly path: string;
	/** Alternating names and values. */
	readonly headers: string[];
	readonly body: CallBody;
};

/** Steps of an attempt in their order; exactly one of `onEnd` and `onFailed` comes last. */
export type AttemptListener = {
	/** From now on bytes of the request may have left. */
	onSent(): void;
	onHead(statusCode: number, headers: http.IncomingHttpHeaders): void;
	/** Returns false to pause the answer until `resume`. */
	onData(chunk: Uint8Array): boolean;
	/** The answer is whole. */
	onEnd(): void;
	onFailed(error: Error): void;
};

export type Attempt = {
	/** Gives the attempt up; `onFailed` follows. */
	abort(): void;
	/** Goes on with a paused answer. */
	resume(): void;
};

const firstFinalStatusCode = 200;

/** Starts an attempt. */
export function startAttempt(client: undici.Client, request: AttemptRequest, listener: AttemptListener): Attempt {
	let controller: undici.Dispatcher.DispatchController | undefined;
	let isOver = false;
	const abortError = new Error('The attempt was given up.');

	const fail = (error: Error) => {
		if (!isOver) {
			isOver = true;
			listener.onFailed(error);
		}
	};

	client.dispatch({
		method: request.method,
		path: request.path,
		headers: request.headers,
		body: getBody(request.body),
	}, {
		onRequestStart(started) {
			controller = started;
			if (isOver) {
				started.abort(abortError);
			} else {
				listener.onSent();
			}
		},
		onResponseStart(_controller, statusCode, headers) {
			if (!isOver && statusCode >= firstFinalStatusCode) {
				listener.onHead(statusCode, headers);
			}
		},
		onResponseData(_controller, chunk) {
			if (!isOver && !listener.onData(chunk)) {
				controller?.pause();
			}
		},
		onResponseEnd() {
			if (!isOver) {
				isOver = true;
				listener.onEnd();
			}
		},
		onResponseError(_controller, error) {
			fail(error);
		},
	});

	return {
		abort() {
			if (isOver) {
				return;
			}

			if (controller) {
				controller.abort(abortError);
			}

			fail(abortError);
		},
		resume() {
			controller?.resume();
		},
	};
}

function getBody(body: CallBody) {
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
