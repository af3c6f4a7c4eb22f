/** HTTP server for callers and operators. It limits the size of requests and hands valid calls to its host. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as smallChunks from '../decisions/admission/small-chunks.ts';
import {type TableView} from '../decisions/table/service-view.ts';
import {type KeyHistory, resolveOutcome} from '../decisions/outcomes/resolve-outcome.ts';
import {type Tracing} from '../observability/tracing.ts';
import {type AnswerSink, type Call, type CallBody} from './call.ts';
import {type Classification, classifyRequest} from './classify-request.ts';
import {getForwardedRequestHeaders, headerNames} from './headers.ts';
import {createGuardedSink} from './guarded-sink.ts';
import {createHttpSink} from './http-sink.ts';
import {
	createProblemAnswer, type Problem, problemDescriptions, type ProblemKind, writeProblem,
} from './problem.ts';
import * as bodyCollector from './body-collector.ts';
import {
	getReservedBytes, hasBody, type ReceivedBody, receiveBody, type ReceiveLimits,
} from './receive-body.ts';
import * as callerReading from './caller-reading.ts';
import * as closingConnections from './closing-connections.ts';
import * as exchangesModule from './exchanges.ts';
import * as idleConnections from './idle-connections.ts';
import * as refusedConnectionsModule from './refused-connections.ts';
import {type CallExecution} from './service-runner.ts';

/** Answer of a route that the entry itself serves, e.g. the entry list or the metrics. */
export type BuiltInAnswer = {
	readonly statusCode: number;
	readonly contentType: string;
	readonly body: string;
};

/** Handles the requests for one path, regardless of their query. */
export type BuiltInRoute = (request: http.IncomingMessage) => BuiltInAnswer | Promise<BuiltInAnswer>;

/** Functions of the entry that the caller server uses. */
export type CallerServerHost = {
	readonly entryName: string;
	readonly tracing: Tracing;
	readonly builtInRoutes: ReadonlyMap<string, BuiltInRoute>;
	/** Current time of a monotonic clock, in milliseconds. */
	getNow(): number;
	/** View of the table in force; undefined until the first table is loaded. */
	getView(): TableView | undefined;
	/** Whether the entry is leaving, so that connections of callers are closed. */
	isLeaving(): boolean;
	/** Whether a caller whose entry list has this version should fetch the list again. */
	isEntryListStale(version: string | undefined): boolean;
	/** Records that a handler threw an error. */
	recordFailure(error: unknown, id: number | undefined): void;
	/** Whether a call can be finished before a planned stop of this entry. */
	canFinish(call: Pick<Call, 'service' | 'operation' | 'deadlineAt'>): boolean;
	/** Executes a call. */
	handle(call: Call, sink: AnswerSink): CallExecution;
};

/** Limits on the requests and connections of callers. */
export type CallerServerLimits = ReceiveLimits & {
	readonly headerBytes: number;
	readonly headersTimeoutMilliseconds: number;
	readonly requestTimeoutMilliseconds: number;
	readonly keepAliveMilliseconds: number;
	readonly connections: number;
	/** Maximum number of bytes of bodies that are buffered at the same time, over all calls. */
	readonly heldBodyBytes: number;
};

/** HTTP server with the number of its open requests. */
export type CallerServer = {
	readonly server: http.Server;
	/** Number of requests whose answers have not been sent completely. */
	countOpenRequests(): number;
	/** Number of connections that have been told the end, but are still open. */
	countClosing(): number;
	/** Accepts no more connections, and closes each connection once it has no request; resolves when those without one are being closed. */
	stop(): Promise<void>;
};

/** Interval at which the headers and request timeouts of connections are checked. */
const connectionsCheckIntervalMilliseconds = 1000;
const refusedRetryAfterMilliseconds = 1000;
/** Problems that end without a change to the request; the answer contains a `retry-after` header. */
const temporaryProblemKinds: ReadonlySet<ProblemKind> = new Set<ProblemKind>(['not-ready', 'queue-full', 'leaving']);

/** Creates the server without starting it. Its owner has to start and stop it. */
export function createCallerServer(host: CallerServerHost, limits: CallerServerLimits): CallerServer {
	let nextCallId = 1;
	const exchanges = exchangesModule.createExchanges();
	let totalReservedBytes = 0;
	const server = http.createServer({
		maxHeaderSize: limits.headerBytes,
		headersTimeout: limits.headersTimeoutMilliseconds,
		requestTimeout: limits.requestTimeoutMilliseconds,
		keepAliveTimeout: limits.keepAliveMilliseconds,
		connectionsCheckingInterval: connectionsCheckIntervalMilliseconds,
		noDelay: true,
		requireHostHeader: false, // The server would close the connection, although calls behind this one run.
	}, handleRequest);
	server.maxConnections = limits.connections;
	const reading = callerReading.createCallerReading(server, exchanges, host.getNow);
	const bodyReceiver = {
		blocks: bodyCollector.createBlockPool(), smallChunks: smallChunks.createSmallChunkWatch(), yieldReading: reading.yieldReading, getNow: host.getNow,
	};
	const closing = closingConnections.closeInSteps(server);
	const idle = idleConnections.trackIdleConnections(server, {closing, countOn: exchanges.countOn});
	/** Connections whose last response was announced. */
	const closed = new WeakSet<net.Socket>();
	const refusedConnections = refusedConnectionsModule.createRefusedConnections<net.Socket>({listOn: exchanges.listOn, closing, answersIncomplete: true});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: net.Socket) => {
		if (error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		refusedConnections.refuse(socket, createSocketAnswer(clientErrorKinds[error.code ?? ''] ?? 'malformed-request'));
	});
	server.on('upgrade', refuseTunnel);
	server.on('connect', refuseTunnel);

	function refuseTunnel(_request: http.IncomingMessage, socket: net.Socket): void {
		// The server has removed its own listeners.
		socket.on('error', () => {
			socket.destroy();
		});
		refusedConnections.refuse(socket, createSocketAnswer('malformed-request'));
	}

	function handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
		if (closing.isClosing(request.socket) || closed.has(request.socket)) {
			request.resume();
			return;
		}

		const exchange = exchanges.begin(request, response);
		exchange.onEnd(() => {
			if (exchanges.countOn(request.socket) === 0) {
				idle.recordIdle(request.socket);
			}
		});
		const path = getPath(request.url ?? '');
		const route = host.builtInRoutes.get(path);
		if (route) {
			answerBuiltInRoute(request, response, route).catch((error: unknown) => {
				host.recordFailure(error, undefined);
				if (response.headersSent) {
					response.destroy();
				} else {
					response.writeHead(problemDescriptions['handler-failed'].statusCode, {'content-length': '0'}).end();
				}
			});
			return;
		}

		handleCall(exchange);
	}

	function handleCall(exchange: exchangesModule.Exchange): void {
		const {request, response} = exchange;
		const receivedAt = host.getNow();
		let execution: CallExecution | undefined;
		let callId: number | undefined;
		let isRefused = false;
		let hasFailed = false;
		const httpSink = createHttpSink(response, {
			entryName: host.entryName,
			isLast: () => isLast(exchange, isRefused),
			isEntryListStale: () => host.isEntryListStale(getSingleValue(request.headers[headerNames.entriesVersion])),
		});
		const {sink, detach} = createGuardedSink(httpSink, guard);
		exchange.onEnd(end => {
			if (end === 'caller-left') {
				guard(() => execution?.cancel());
			}
		});
		guard(receiveCall);

		function guard(run: () => void): void {
			try {
				run();
			} catch (error) {
				host.recordFailure(error, callId);
				detach();
				endFailed();
			}
		}

		/** Answers a call whose handling has failed; one that was handed over may have run. */
		function endFailed(): void {
			if (exchange.hasEnded()) {
				return;
			}

			if (response.headersSent || hasFailed) {
				httpSink.abort();
				return;
			}

			hasFailed = true;
			guard(() => {
				execution?.cancel();
				request.resume();
				writeProblem(httpSink, callId === undefined ? createRefusal('handler-failed', getKeyHistory(request)) : {kind: 'upstream-failed', outcome: resolveOutcome({kind: 'written-whole'}, getKeyHistory(request))});
			});
		}

		function refuseCall(kind: ProblemKind): void {
			isRefused = true;
			refuse(request, sink, kind);
		}

		function receiveCall(): void {
			if (request.headers.host === undefined) {
				refuseCall('malformed-request');
				return;
			}

			const view = host.getView();
			if (!view) {
				refuseCall('not-ready');
				return;
			}

			const classification = classifyRequest({method: request.method ?? '', url: request.url ?? '', headers: request.headers}, view);
			if (classification.isErr()) {
				refuseCall(classification.error);
				return;
			}

			const reservedBytes = getReservedBytes(request, limits);
			if (totalReservedBytes + reservedBytes > limits.heldBodyBytes) {
				refuseCall('queue-full');
				return;
			}

			totalReservedBytes += reservedBytes;
			exchange.onEnd(() => {
				totalReservedBytes -= reservedBytes;
			});
			receiveBody(bodyReceiver, request, limits, {
				onReceived(received) {
					guard(() => {
						handleBody(classification.value, received);
					});
				},
			});
		}

		function handleBody(classification: Classification, received: ReceivedBody): void {
			switch (received.kind) {
				case 'too-large': {
					refuseCall('body-too-large');
					break;
				}

				case 'memory-full':
				case 'small-chunks': {
					if (received.kind === 'small-chunks') {
						reading.discard(request);
					}

					refuseCall('queue-full');

					break;
				}

				case 'cut': {
					sink.abort();
					break;
				}

				case 'body': {
					if (exchange.hasEnded()) {
						break;
					}

					if (!host.canFinish({...classification, deadlineAt: receivedAt + classification.timeoutMilliseconds})) {
						refuseCall('leaving');
						break;
					}

					const call = createCall(request, classification, received.body, receivedAt);
					callId = call.id;
					execution = host.handle(call, sink);
					break;
				}
			}
		}
	}

	/** Whether a response closes its connection: callers are told to use others or nothing behind its request can be read, and no request behind it is in progress. */
	function isLast({request, socket}: exchangesModule.Exchange, isRefused: boolean): boolean {
		const isUnread = hasBody(request) && !request.complete;
		const isClosing = host.isLeaving() || (isRefused && isUnread);
		if (!isClosing || refusedConnections.isRefused(socket) || exchanges.listOn(socket).at(-1)?.request !== request) {
			return false;
		}

		closed.add(socket);
		// The rest of a body that is streamed is still needed.
		if (isRefused || !isUnread) {
			closing.stopReading(socket);
		}

		return true;
	}

	function createCall(request: http.IncomingMessage, classification: Classification, body: CallBody, receivedAt: number): Call {
		const traceparent = request.headers[headerNames.traceparent];
		const {timeoutMilliseconds, ...rest} = classification;
		return {
			...rest,
			id: nextCallId++,
			method: request.method ?? '',
			headers: getForwardedRequestHeaders(request.rawHeaders),
			body,
			receivedAt,
			deadlineAt: receivedAt + timeoutMilliseconds,
			hop: host.tracing.startHop('caller-to-entry', typeof traceparent === 'string' ? traceparent : undefined, {
				service: classification.service,
				operation: classification.operation.operation,
			}),
		};
	}

	return {
		server, countOpenRequests: exchanges.count, countClosing: closing.count, stop: idle.stop,
	};
}

/** Answers a call that is not executed. */
function refuse(request: http.IncomingMessage, sink: AnswerSink, kind: ProblemKind): void {
	const history: KeyHistory = kind === 'malformed-key' ? {kind: 'keyless'} : getKeyHistory(request);
	writeProblem(sink, createRefusal(kind, history));
	// A paused request would keep the chunks that were read already.
	request.resume();
}

/** Returns the key history of a request that is refused before its key is looked up. */
function getKeyHistory({headers}: http.IncomingMessage): KeyHistory {
	if (headers[headerNames.idempotencyKey] === undefined) {
		return {kind: 'keyless'};
	}

	return {kind: headers[headerNames.attempt] === '1' ? 'declared-first' : 'unsettled'};
}

/** Creates the problem of a request that was refused before dispatch. */
function createRefusal(kind: ProblemKind, history: KeyHistory): Problem {
	return {kind, outcome: resolveOutcome({kind: 'refused-before-dispatch'}, history), retryAfterMilliseconds: temporaryProblemKinds.has(kind) ? refusedRetryAfterMilliseconds : undefined};
}

async function answerBuiltInRoute(request: http.IncomingMessage, response: http.ServerResponse, route: BuiltInRoute): Promise<void> {
	request.resume();
	if (request.method !== 'GET' && request.method !== 'HEAD') {
		response.writeHead(405, {allow: 'GET, HEAD'}).end();
		return;
	}

	const answer = await route(request);
	response.writeHead(answer.statusCode, {'content-type': answer.contentType, 'cache-control': 'no-store'});
	response.end(answer.body);
}

function getSingleValue(value: string | readonly string[] | undefined): string | undefined {
	return typeof value === 'string' ? value : undefined;
}

function getPath(url: string): string {
	const index = url.indexOf('?');
	return index === -1 ? url : url.slice(0, index);
}

/** Problem kinds by the error code of Node.js. */
const clientErrorKinds: Readonly<Record<string, ProblemKind>> = {
	HPE_HEADER_OVERFLOW: 'headers-too-large', // eslint-disable-line @typescript-eslint/naming-convention
	ERR_HTTP_REQUEST_TIMEOUT: 'request-timeout', // eslint-disable-line @typescript-eslint/naming-convention
};

/** Creates the answer with a problem for a connection without a response object; the connection ends with it. */
function createSocketAnswer(kind: ProblemKind): string {
	const {head, body} = createProblemAnswer(createRefusal(kind, {kind: 'unsettled'}));
	const lines = [
		`HTTP/1.1 ${head.statusCode} ${http.STATUS_CODES[head.statusCode] ?? ''}`,
		...head.headers.map(([name, value]) => `${name}: ${value}`),
		`${headerNames.outcome}: ${head.outcome}`,
		'connection: close',
	];
	return `${lines.join('\r\n')}\r\n\r\n${new TextDecoder().decode(body)}`;
}
