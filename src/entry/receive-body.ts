/** Receives the body of a request. Small bodies are buffered, larger ones are passed on as a stream. */
import type * as http from 'node:http';
import * as buffer from 'node:buffer';
import * as stream from 'node:stream';
import {type CallBody} from './call.ts';

/** Limits on the body of a request, in bytes. */
export type ReceiveLimits = {
	/** Maximum size of a body. */
	readonly bodyBytes: number;
	/** Bodies up to this size are buffered. */
	readonly bufferedBodyBytes: number;
};

/** Result of receiving a body. */
export type ReceivedBody
	= | {readonly kind: 'body'; readonly body: CallBody}
		| {readonly kind: 'too-large'}
		/** The connection closed before the body was complete. */
		| {readonly kind: 'cut'};

/** Returns the maximum number of bytes that are buffered for the body of a request, according to its headers. */
export function getReservedBytes(request: http.IncomingMessage, limits: ReceiveLimits): number {
	if (request.headers['transfer-encoding'] !== undefined) {
		return limits.bufferedBodyBytes;
	}

	return Math.min(getContentLength(request) ?? 0, limits.bufferedBodyBytes);
}

/** Receives the body of a request. The listener is called once; a streamed body may still be incomplete then. */
export function receiveBody(request: http.IncomingMessage, limits: ReceiveLimits, listener: (received: ReceivedBody) => void): void {
	const length = getContentLength(request);
	if (length !== undefined && length > limits.bodyBytes) {
		listener({kind: 'too-large'});
		return;
	}

	if (length === 0 || (length === undefined && request.headers['transfer-encoding'] === undefined)) {
		request.resume();
		listener({kind: 'body', body: {kind: 'none'}});
		return;
	}

	const chunks: Uint8Array[] = [];
	let size = 0;
	const removeListeners = () => {
		request.off('data', onData);
		request.off('end', onEnd);
		request.off('close', onClose);
	};

	const onData = (chunk: Uint8Array) => {
		chunks.push(chunk);
		size += chunk.length;
		if (size > limits.bufferedBodyBytes) {
			removeListeners();
			request.pause();
			listener({kind: 'body', body: {kind: 'streamed', stream: createBodyStream(request, chunks, limits.bodyBytes), length}});
		}
	};

	const onEnd = () => {
		removeListeners();
		listener({kind: 'body', body: {kind: 'buffered', bytes: chunks.length === 1 ? chunks[0]! : buffer.Buffer.concat(chunks)}});
	};

	const onClose = () => {
		removeListeners();
		listener({kind: 'cut'});
	};

	request.on('data', onData);
	request.on('end', onEnd);
	request.on('close', onClose);
}

function getContentLength(request: http.IncomingMessage): number | undefined {
	const value = request.headers['content-length'];
	return value === undefined ? undefined : Number(value);
}

/** Creates a stream of the chunks that were already read and the rest of the body; it fails when the body exceeds `maximumBytes`. */
function createBodyStream(request: http.IncomingMessage, chunks: readonly Uint8Array[], maximumBytes: number): stream.Readable {
	async function * generate() {
		let size = 0;
		for (const chunk of chunks) {
			size += chunk.length;
			yield chunk;
		}

		for await (const chunk of request as AsyncIterable<Uint8Array>) {
			size += chunk.length;
			if (size > maximumBytes) {
				throw new RangeError('The request body exceeds the maximum size.');
			}

			yield chunk;
		}
	}

	return stream.Readable.from(generate(), {objectMode: false});
}
