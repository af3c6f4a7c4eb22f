/** Receives the body of a request: held whole when it is small, passed on as a stream when it is not. */
import type * as http from 'node:http';
import * as buffer from 'node:buffer';
import * as stream from 'node:stream';
import {type CallBody} from './call.ts';

export type ReceiveLimits = {
	/** Largest body. */
	readonly bodyBytes: number;
	/** Bodies up to this size are held. */
	readonly bufferedBodyBytes: number;
};

export type ReceivedBody
	= | {readonly kind: 'body'; readonly body: CallBody}
		| {readonly kind: 'too-large'}
		/** The connection ended before the body did. */
		| {readonly kind: 'cut'};

/** Gets the memory that a body can take, in bytes, from the headers of its request. */
export function getReservedBytes(request: http.IncomingMessage, limits: ReceiveLimits): number {
	if (request.headers['transfer-encoding'] !== undefined) {
		return limits.bufferedBodyBytes;
	}

	return Math.min(getLength(request) ?? 0, limits.bufferedBodyBytes);
}

/** Receives a body; the listener is called once. */
export function receiveBody(request: http.IncomingMessage, limits: ReceiveLimits, listener: (received: ReceivedBody) => void): void {
	const length = getLength(request);
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
	const stop = () => {
		request.off('data', onData);
		request.off('end', onEnd);
		request.off('close', onClose);
	};

	const onData = (chunk: Uint8Array) => {
		chunks.push(chunk);
		size += chunk.length;
		if (size > limits.bufferedBodyBytes) {
			stop();
			request.pause();
			listener({kind: 'body', body: {kind: 'streamed', stream: createRest(request, chunks, limits.bodyBytes), length}});
		}
	};

	const onEnd = () => {
		stop();
		listener({kind: 'body', body: {kind: 'buffered', bytes: chunks.length === 1 ? chunks[0]! : buffer.Buffer.concat(chunks)}});
	};

	const onClose = () => {
		stop();
		listener({kind: 'cut'});
	};

	request.on('data', onData);
	request.on('end', onEnd);
	request.on('close', onClose);
}

function getLength(request: http.IncomingMessage): number | undefined {
	const value = request.headers['content-length'];
	return value === undefined ? undefined : Number(value);
}

/** Joins the chunks that were read with the rest of the request; fails when the body exceeds its bound. */
function createRest(request: http.IncomingMessage, chunks: readonly Uint8Array[], bodyBytes: number): stream.Readable {
	async function * generate() {
		let size = 0;
		for (const chunk of chunks) {
			size += chunk.length;
			yield chunk;
		}

		for await (const chunk of request as AsyncIterable<Uint8Array>) {
			size += chunk.length;
			if (size > bodyBytes) {
				throw new RangeError('The body exceeds its bound.');
			}

			yield chunk;
		}
	}

	return stream.Readable.from(generate(), {objectMode: false});
}
