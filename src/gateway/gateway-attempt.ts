/** One attempt to run a request at one upstream: sends it, buffers the response until it is complete, and classifies it. */
import type * as http from 'node:http';
import type * as trafficMemory from '../decisions/admission/traffic-memory.ts';
import * as responseProgress from '../decisions/outcomes/response-progress.ts';
import {type AttemptEnd} from '../decisions/outcomes/retry-decision.ts';
import * as attempt from '../entry/attempt.ts';
import * as attemptError from '../entry/attempt-error.ts';
import * as bodyCollector from '../entry/body-collector.ts';
import {type Connection} from '../entry/connection-pool.ts';
import {type SelectedUpstream} from './selection.ts';
import type * as statementRecorder from './statement-recorder.ts';
import type * as upstreams from './upstreams.ts';
import {type ResponseMetadata, type GatewayRequest, type HeaderHost} from './types.ts';

/** A complete response of an upstream. */
export type AttemptResponse = {
	readonly statusCode: number;
	readonly headers: http.IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** Whether the response delimits its own end; otherwise it ended with its connection, and may be truncated. */
	readonly hasOwnEnd: boolean;
};

/** Dependencies of an attempt. */
export type GatewayAttemptHost = {
	readonly headers: HeaderHost;
	/** Memory for the responses of all attempts, among others. */
	readonly memory: trafficMemory.TrafficMemory;
	/** Blocks that the bodies of responses are collected in. */
	readonly blocks: bodyCollector.BlockPool;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Records that handling a request threw an error. */
	recordFailure(error: unknown, id: string): void;
	/** Records what an upstream stated about itself in its response. */
	recordStatements(upstream: upstreams.Upstream, metadata: ResponseMetadata, exchange: statementRecorder.Exchange): void;
};

/** A request and what its earlier attempts have shown. */
export type AttemptRequest = GatewayRequest & {
	/** Connections on which an upstream refused the request; a late second copy of the refusal would be taken for the response. */
	readonly refusedOn: Set<Connection>;
	/** Number of upstreams that may run the request because of this attempt; more than one only if it goes to another entry. */
	readonly maximumExecutions: number;
};

/** Receives the progress of an attempt. */
export type GatewayAttemptListener = {
	/** The first bytes of the request were sent; from now on the upstream may run it. */
	onSent(): void;
	/** The attempt ended. Called exactly once, after `onSent`; an end of kind `answered` comes with the response. */
	onEnd(end: AttemptEnd, response: AttemptResponse | undefined): void;
};

/** Controls one attempt. */
export type GatewayAttempt = {
	start(): void;
	/** Whether the upstream may have received bytes of the request. */
	isSent(): boolean;
	/** Number of bytes of the response's body that were read. */
	countReceivedBytes(): number;
	/** Ends the attempt; aborts a request that was sent, so that the upstream stops its work. */
	giveUp(): void;
};

const firstFailureStatus = 300;
const misdirectedStatus = 421;
/** Maximum size of a response body, in bytes; the largest of the users' responses is below a tenth of it. */
const maximumResponseBytes = 4 * 1024 * 1024;
/** Interval at which the progress of a response is observed, in milliseconds. */
const progressIntervalMilliseconds = 50;
/** Minimum remaining time with which a request is sent, in milliseconds. */
const minimumDeadlineMilliseconds = 1;

/** Creates an attempt; call `start` to begin. */
export function createGatewayAttempt(host: GatewayAttemptHost, request: AttemptRequest, selected: SelectedUpstream, listener: GatewayAttemptListener): GatewayAttempt {
	const {upstream} = selected;
	const {pool, registration, record} = upstream;
	const body = bodyCollector.createBodyCollector(host.blocks);
	let interimResponses = 0;
	let finalParts = 0;
	let progressTimer: NodeJS.Timeout | undefined;
	let claim: trafficMemory.MemoryClaim | undefined;
	let responseHead: {readonly statusCode: number; readonly headers: http.IncomingHttpHeaders; readonly metadata: ResponseMetadata} | undefined;
	let runningAttempt: attempt.Attempt | undefined;
	let cancelAcquire: (() => void) | undefined;
	let isSent = false;
	let isOver = false;

	function finish(end: AttemptEnd, response?: AttemptResponse): void {
		if (!isOver) {
			isOver = true;
			clearInterval(progressTimer);
			body.discard();
			claim?.free();
			listener.onEnd(end, response);
		}
	}

	/** Runs a part of the attempt; an error ends the attempt, and nothing else. */
	function guard(connection: Connection, run: () => void): void {
		try {
			run();
		} catch (error) {
			host.recordFailure(error, request.id);
			pool.discard(connection);
			finish({kind: isSent ? 'broken' : 'not-sent', reason: 'handler-failed'});
			runningAttempt?.abort();
		}
	}

	function use(connection: Connection): void {
		guard(connection, () => {
			useGuarded(connection);
		});
	}

	function useGuarded(connection: Connection): void {
		if (request.refusedOn.has(connection)) {
			pool.discard(connection);
			acquire();
		} else {
			send(connection);
		}
	}

	function acquire(): void {
		cancelAcquire = pool.acquire(true, connection => {
			if (isOver) {
				if (connection) {
					pool.release(connection);
				}
			} else if (connection) {
				use(connection);
			} else {
				finish({kind: 'not-sent', reason: 'unreachable'});
			}
		});
	}

	function createAddedHeaders(milliseconds: number): readonly string[] {
		return upstream.kind === 'relay' ? host.headers.createRelayHeaders(milliseconds, request.maximumExecutions) : host.headers.createUpstreamHeaders(registration.id, milliseconds, request.workspace?.name);
	}

	function send(connection: Connection): void {
		const milliseconds = Math.floor(request.deadlineAt - host.getNow());
		if (milliseconds < minimumDeadlineMilliseconds) {
			pool.release(connection);
			finish({kind: 'not-sent', reason: 'expired'});
			return;
		}

		runningAttempt = attempt.startAttempt(connection, {
			method: request.method,
			path: request.path,
			headers: [...request.headers.flat(), ...createAddedHeaders(milliseconds)],
			body: request.body,
		}, {
			onSent() {
				isSent = true;
				guard(connection, () => {
					handleSent(connection);
				});
			},
			onInterim() {
				interimResponses++;
			},
			onHead(statusCode, headers) {
				guard(connection, () => {
					handleHead(statusCode, headers);
				});
			},
			onData(chunk) {
				guard(connection, () => {
					handleData(connection, chunk);
				});
				return true;
			},
			onEnd(isComplete) {
				guard(connection, () => {
					connection.lastActiveAt = host.getNow();
					classifyResponse(connection, isComplete);
				});
			},
			onFailed(error) {
				pool.discard(connection);
				finish(isSent ? {kind: 'broken', reason: attemptError.getFailureReason(error)} : {kind: 'not-sent', reason: 'unreachable'});
			},
		});
	}

	function handleSent(connection: Connection): void {
		claim = host.memory.claim('responses', host.getNow(), () => {
			failAttempt(connection, 'memory-full');
		});
		watchProgress(connection);
		listener.onSent();
	}

	function handleHead(statusCode: number, headers: http.IncomingHttpHeaders): void {
		const metadata = host.headers.readResponse(headers);
		finalParts++;
		responseHead = {statusCode, headers, metadata};
		if (upstream.kind === 'upstream' && metadata.requestId === request.id && statusCode !== misdirectedStatus) {
			host.recordStatements(upstream, metadata, {kind: 'request', statusCode});
		}
	}

	function handleData(connection: Connection, chunk: Uint8Array): void {
		if (isOver) {
			return;
		}

		body.append(chunk);
		finalParts++;
		if (body.getSize() > maximumResponseBytes) {
			failAttempt(connection, 'answer-too-large');
		} else {
			claim?.resize(body.getHeldBytes(), host.getNow());
		}
	}

	/** Fails the attempt if the response has no end, or comes too late. A request that can't be sent again has nothing to gain by that before its deadline. */
	function watchProgress({socket}: Connection): void {
		if (request.route.kind !== 'idempotent') {
			return;
		}

		const progress = responseProgress.createResponseProgress({
			bytes: socket.bytesRead, expectedMilliseconds: selected.expectedMilliseconds, startedAt: host.getNow(), deadlineAt: request.deadlineAt,
		});
		progressTimer = setInterval(() => {
			const length = responseHead?.headers['content-length'];
			const isEndless = progress.observe({
				bytes: socket.bytesRead, interimResponses, finalParts, bodyBytes: body.getSize(), bodyLength: length === undefined ? undefined : Number(length),
			}, host.getNow());
			if (isEndless) {
				finish({kind: 'broken', reason: 'endless-answer'});
				runningAttempt?.abort();
			}
		}, progressIntervalMilliseconds);
	}

	function failAttempt(connection: Connection, reason: string): void {
		pool.discard(connection);
		finish({kind: 'broken', reason});
	}

	/**
	Classifies a response that has ended. A response to another request shows nothing about this one.

	A response without an identifier may be a late copy of the response to a load check, so it proves nothing either. The
	head alone states that the request was not run, so this holds even if the response is incomplete.
	*/
	function classifyResponse(connection: Connection, isComplete: boolean): void {
		const {statusCode, headers, metadata} = responseHead!;
		if (metadata.requestId !== undefined && metadata.requestId !== request.id) {
			failAttempt(connection, 'foreign-answer');
			return;
		}

		if (metadata.load) {
			record.recordReading({...metadata.load, readAt: host.getNow()});
		}

		if (metadata.requestId === undefined) {
			failAttempt(connection, 'unidentified-answer');
			return;
		}

		if (metadata.isNotRun || statusCode === misdirectedStatus) {
			request.refusedOn.add(connection);
			pool.release(connection);
			finish({kind: 'not-run'});
			return;
		}

		if (!metadata.isSigned && statusCode < firstFailureStatus) {
			failAttempt(connection, 'unsigned-answer');
			return;
		}

		if (!isComplete) {
			failAttempt(connection, 'reset-within-answer');
			return;
		}

		pool.release(connection);
		finish({kind: 'answered', statusCode}, {
			statusCode, headers, body: body.takeBytes(), hasOwnEnd: attempt.isAnswerDelimited(request.method, statusCode, headers),
		});
	}

	return {
		start() {
			record.recordStart(host.getNow());
			if (selected.connection) {
				use(selected.connection);
			} else {
				acquire();
			}
		},
		isSent: () => isSent,
		countReceivedBytes: body.getSize,
		giveUp() {
			if (isOver) {
				return;
			}

			cancelAcquire?.();
			finish(isSent ? {kind: 'broken', reason: 'given-up'} : {kind: 'not-sent', reason: 'given-up'});
			runningAttempt?.abort();
		},
	};
}
