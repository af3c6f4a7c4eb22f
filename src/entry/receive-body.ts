/** Receives the body of a request. Small bodies are buffered, larger ones are passed on as a stream. */
import type * as http from 'node:http';
import * as stream from 'node:stream';
import type * as smallChunks from '../decisions/admission/small-chunks.ts';
import * as bodyCollector from './body-collector.ts';
import {type CallBody} from './call.ts';

/** Limits on the body of a request, in bytes. */
export type ReceiveLimits = {
	/** Maximum size of a body. */
	readonly bodyBytes: number;
	/** Bodies up to this size are buffered. */
	readonly bufferedBodyBytes: number;
};

/** Dependencies of all bodies that a server receives. */
export type BodyReceiverHost = {
	readonly blocks: bodyCollector.BlockPool;
	readonly smallChunks: smallChunks.SmallChunkWatch;
	/** Lets other connections be read before the next part of a costly body. */
	yieldReading(request: http.IncomingMessage): void;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

/** Receives the progress and the result of a body. */
export type BodyListener = {
	/** Called with the memory that the body holds, in bytes, after each chunk of a body that is not complete. */
	onProgress?(heldBytes: number): void;
	/** Returns whether a body that is complete, or is passed on as a stream from now on, may be kept; it is discarded otherwise. */
	mayKeep?(size: number, isStreamed: boolean): boolean;
	/** Called once, unless the body is abandoned first; a streamed body may still be incomplete then. */
	onReceived(received: ReceivedBody): void;
};

/** A body that is being received. */
export type BodyReception = {
	/** Discards what was received and what follows. */
	abandon(): void;
};

/** Result of receiving a body. */
export type ReceivedBody
	= | {readonly kind: 'body'; readonly body: CallBody}
		| {readonly kind: 'too-large'}
		/** There is no memory to keep the body. */
		| {readonly kind: 'memory-full'}
		/** The body arrives in chunks so small that it keeps the entry from serving others. */
		| {readonly kind: 'small-chunks'}
		/** The connection closed before the body was complete. */
		| {readonly kind: 'cut'};

const receivedAll: BodyReception = {abandon: () => undefined};

/** Returns the maximum number of bytes that are buffered for the body of a request, according to its headers. */
export function getReservedBytes(request: http.IncomingMessage, limits: ReceiveLimits): number {
	if (request.headers['transfer-encoding'] !== undefined) {
		return limits.bufferedBodyBytes;
	}

	return Math.min(getContentLength(request) ?? 0, limits.bufferedBodyBytes);
}

/** Whether a body follows the head of a request. */
export function hasBody(request: http.IncomingMessage): boolean {
	const length = getContentLength(request);
	return length === undefined ? request.headers['transfer-encoding'] !== undefined : length > 0;
}

/** Receives the body of a request. */
export function receiveBody(host: BodyReceiverHost, request: http.IncomingMessage, limits: ReceiveLimits, listener: BodyListener): BodyReception {
	const length = getContentLength(request);
	if (length !== undefined && length > limits.bodyBytes) {
		listener.onReceived({kind: 'too-large'});
		return receivedAll;
	}

	if (!hasBody(request)) {
		request.resume();
		listener.onReceived({kind: 'body', body: {kind: 'none'}});
		return receivedAll;
	}

	const collector = bodyCollector.createBodyCollector(host.blocks);
	const chunkedBody = host.smallChunks.startBody();
	const removeListeners = () => {
		request.off('data', onData);
		request.off('end', onEnd);
		request.off('close', onClose);
	};

	const end = (received: ReceivedBody) => {
		removeListeners();
		collector.discard();
		listener.onReceived(received);
	};

	/** Copies the body only once it is clear that it is kept. */
	const keep = (createBody: () => CallBody, isStreamed: boolean) => {
		const mayKeep = listener.mayKeep?.(collector.getSize(), isStreamed) ?? true;
		end(mayKeep ? {kind: 'body', body: createBody()} : {kind: 'memory-full'});
	};

	const onData = (chunk: Uint8Array) => {
		collector.append(chunk);
		if (collector.getSize() > limits.bufferedBodyBytes) {
			keep(() => {
				request.pause();
				return {kind: 'streamed', stream: createBodyStream(request, [collector.takeBytes()], limits.bodyBytes), length};
			}, true);
			return;
		}

		const verdict = chunkedBody.recordChunk(chunk.length, host.getNow());
		if (verdict === 'refuse') {
			end({kind: 'small-chunks'});
			host.yieldReading(request);
			return;
		}

		if (verdict === 'yield') {
			host.yieldReading(request);
		}

		listener.onProgress?.(collector.getHeldBytes());
	};

	const onEnd = () => {
		keep(() => ({kind: 'buffered', bytes: collector.takeBytes()}), false);
	};

	const onClose = () => {
		end({kind: 'cut'});
	};

	request.on('data', onData);
	request.on('end', onEnd);
	request.on('close', onClose);
	return {
		abandon() {
			removeListeners();
			collector.discard();
			request.resume();
		},
	};
}

function getContentLength(request: http.IncomingMessage): number | undefined {
	const value = request.headers['content-length'];
	return value === undefined ? undefined : Number(value);
}

/** Creates a stream of the chunks that were already read, which it removes as it sends them, and the rest of the body; it fails when the body exceeds `maximumBytes`. */
function createBodyStream(request: http.IncomingMessage, unread: Uint8Array[], maximumBytes: number): stream.Readable {
	async function * generate() {
		let size = 0;
		for (let chunk = unread.shift(); chunk; chunk = unread.shift()) {
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
