/** Receives the bodies of requests within the memory of the entry, and gives up those that are late. */
import type * as http from 'node:http';
import type * as smallChunks from '../decisions/admission/small-chunks.ts';
import type * as trafficMemory from '../decisions/admission/traffic-memory.ts';
import * as bodyCollector from '../entry/body-collector.ts';
import {type CallBody} from '../entry/call.ts';
import type * as exchanges from '../entry/exchanges.ts';
import * as receiveBody from '../entry/receive-body.ts';
import * as portLimits from './port-limits.ts';

/** Why a body is not received any more. */
export type ReceptionRefusal = 'body-late' | 'small-chunks' | 'memory-full' | 'body-too-large';

/** Result of receiving a request. The memory of a complete one is kept until its exchange has ended. */
export type ReceptionResult
	= | {readonly kind: 'complete'; readonly body: CallBody}
		| {readonly kind: 'refused'; readonly reason: ReceptionRefusal}
		/** The connection closed before the body was complete. */
		| {readonly kind: 'cut'};

/** Dependencies of the reception. */
export type RequestReceptionHost = {
	readonly memory: trafficMemory.TrafficMemory;
	readonly smallChunks: smallChunks.SmallChunkWatch;
	/** Lets other connections be read before the next part of a costly body. */
	yieldReading(request: http.IncomingMessage): void;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

/** Limits on one request. */
export type RequestLimits = {
	/** Maximum size of the body, in bytes. */
	readonly bodyBytes: number;
	/** Size of the header section, in bytes. */
	readonly headerBytes: number;
	/** Whether other requests of the connection are in progress. */
	readonly isBehindOthers: boolean;
	readonly receivedAt: number;
	/** Time from which on the request can't be served any more. */
	readonly deadlineAt: number;
};

/** Receives requests. */
export type RequestReception = {
	/** Receives the body of a request. The listener is called once, unless the exchange ends first. */
	receive(exchange: exchanges.Exchange, limits: RequestLimits, listener: (result: ReceptionResult) => void): void;
	/** Discards what was received of a request and what follows; its listener isn't called any more. */
	abandon(exchange: exchanges.Exchange): void;
	/** Sets the time without any bytes after which a body is given up, in milliseconds. */
	setIdleTimeout(milliseconds: number): void;
	close(): void;
};

/** Largest body that is buffered, so that its request can be sent again, in bytes. */
const maximumBufferedBodyBytes = 1_048_576;
/** Memory that a streamed body holds beside what was buffered, in bytes: what is read ahead may be in chunks of one byte. */
const streamBytes = 4 * 1024 * 1024;
/** Memory of a request without its body, in bytes, and for each byte of its headers. */
const requestBytes = 8192;
const bytesPerHeaderByte = 2;
/** Interval at which bodies are checked against their deadlines, in milliseconds. */
const checkIntervalMilliseconds = 500;

/** A request whose body is being received. */
type ReceivingRequest = {
	readonly deadlineAt: number;
	/** Time at which the latest part of the body arrived. */
	movedAt: number;
	body: receiveBody.BodyReception | undefined;
	abandon(): void;
	refuse(reason: ReceptionRefusal): void;
};

/** Creates the reception of an entry. */
export function createRequestReception(host: RequestReceptionHost): RequestReception {
	const blocks = bodyCollector.createBlockPool();
	const receiving = new Map<exchanges.Exchange, ReceivingRequest>();
	let idleTimeoutMilliseconds = Number.POSITIVE_INFINITY;

	function refuseLateBodies(): void {
		const now = host.getNow();
		for (const request of receiving.values()) {
			if (now >= request.deadlineAt || now - request.movedAt >= idleTimeoutMilliseconds) {
				request.refuse('body-late');
			}
		}
	}

	const timer = setInterval(refuseLateBodies, checkIntervalMilliseconds);

	return {
		receive(exchange, limits, listener) {
			const {receivedAt, deadlineAt} = limits;
			const headBytes = (limits.isBehindOthers ? 0 : portLimits.connectionBytes) + requestBytes + (bytesPerHeaderByte * limits.headerBytes);
			const state: ReceivingRequest = {
				deadlineAt,
				movedAt: receivedAt,
				body: undefined,
				abandon() {
					receiving.delete(exchange);
					state.body?.abandon();
					claim.free();
				},
				refuse(reason) {
					if (receiving.has(exchange)) {
						state.abandon();
						listener({kind: 'refused', reason});
					}
				},
			};
			const claim = host.memory.claim('callers', receivedAt, () => {
				state.refuse('memory-full');
			});
			receiving.set(exchange, state);
			const endCut = () => {
				if (receiving.delete(exchange)) {
					state.body?.abandon();
					listener({kind: 'cut'});
				}
			};

			exchange.onEnd(() => {
				claim.free();
				endCut();
			});
			claim.resize(headBytes, receivedAt);
			if (!receiving.has(exchange)) {
				return;
			}

			const keepMemory = (bodyBytes: number) => {
				claim.resize(headBytes + bodyBytes, host.getNow());
				return claim.keep();
			};

			state.body = receiveBody.receiveBody({...host, blocks}, exchange.request, {bodyBytes: limits.bodyBytes, bufferedBodyBytes: maximumBufferedBodyBytes}, {
				mayKeep: (size, isStreamed) => keepMemory(isStreamed ? size + streamBytes : size),
				onProgress(heldBytes) {
					state.movedAt = host.getNow();
					claim.resize(headBytes + heldBytes, state.movedAt);
				},
				onReceived(received) {
					switch (received.kind) {
						case 'too-large': {
							state.refuse('body-too-large');
							break;
						}

						case 'memory-full':
						case 'small-chunks': {
							state.refuse(received.kind);
							break;
						}

						case 'cut': {
							endCut();
							break;
						}

						case 'body': {
							if (received.body.kind === 'none' && !keepMemory(0)) {
								state.refuse('memory-full');
								break;
							}

							receiving.delete(exchange);
							listener({kind: 'complete', body: received.body});
							break;
						}
					}
				},
			});
		},
		abandon(exchange) {
			receiving.get(exchange)?.abandon();
		},
		setIdleTimeout(milliseconds) {
			idleTimeoutMilliseconds = milliseconds;
		},
		close() {
			clearInterval(timer);
		},
	};
}
