/** The HTTP server for callers and operators: bounds what it receives and passes well-formed calls on. */
import * as http from 'node:http';
import type * as stream from 'node:stream';
import {type TableView} from '../decisions/table/service-view.ts';
import {type KeyHistory, resolveOutcome} from '../decisions/outcomes/resolve-outcome.ts';
import {type Tracing} from '../observability/tracing.ts';
import {type AnswerSink, type Call, type CallBody} from './call.ts';
import {type Classification, classify} from './classify.ts';
import {getForwardedRequestHeaders, headerNames} from './headers.ts';
import {createHttpSink} from './http-sink.ts';
import {
	createProblemAnswer, type Problem, type ProblemKind, writeProblem,
} from './problem.ts';
import {getReservedBytes, receiveBody, type ReceiveLimits} from './receive.ts';
import {type Execution} from './service-runner.ts';

/** Answer to a request that is no call, e.g. for the entries or the metrics. */
export type PlainAnswer = {
	readonly statusCode: number;
	readonly contentType: string;
	readonly body: string;
};

/** Answers requests below one fixed path. */
export type PlainRoute = (request: http.IncomingMessage) => PlainAnswer | Promise<PlainAnswer>;

export type CallerServerHost = {
	readonly entryName: string;
	readonly tracing: Tracing;
	readonly plainRoutes: ReadonlyMap<string, PlainRoute>;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Table in force; undefined before the first. */
	getView(): TableView | undefined;
	/** Whether connections of callers should close. */
	isLeaving(): boolean;
	/** Whether a caller that sent this version of the entries should ask again. */
	isEntriesAnswerOld(version: string | undefined): boolean;
	handle(call: Call, sink: AnswerSink): Execution;
};

export type CallerServerLimits = ReceiveLimits & {
	readonly headerBytes: number;
	readonly headersTimeoutMilliseconds: number;
	readonly requestTimeoutMilliseconds: number;
	readonly keepAliveMilliseconds: number;
	readonly connections: number;
	/** Bodies that are held at the same time, in bytes over all calls. */
	readonly heldBodyBytes: number;
};

export type CallerServer = {
	readonly server: http.Server;
	/** Requests whose answers have not left. */
	countOpen(): number;
};

/** Interval at which connections are checked against the timeouts. */
const connectionsCheckMilliseconds = 1000;
const refusedRetryAfterMilliseconds = 1000;
/** Problems that pass by themselves. */
const repeatableKinds: ReadonlySet<ProblemKind> = new Set<ProblemKind>(['not-ready', 'queue-full']);

/** Creates the server; the caller starts and stops it. */
export function createCallerServer(host: CallerServerHost, limits: CallerServerLimits): CallerServer {
	let nextId = 1;
	let openRequests = 0;
	let heldBytes = 0;
	const server = http.createServer({
		maxHeaderSize: limits.headerBytes,
		headersTimeout: limits.headersTimeoutMilliseconds,
		requestTimeout: limits.requestTimeoutMilliseconds,
		keepAliveTimeout: limits.keepAliveMilliseconds,
		connectionsCheckingInterval: connectionsCheckMilliseconds,
		noDelay: true,
	}, receive);
	server.maxConnections = limits.connections;
	server.on('clientError', answerClientError);
	server.on('upgrade', (_request, socket) => {
		answerOnSocket(socket, 'malformed-request');
	});
	server.on('connect', (_request, socket) => {
		answerOnSocket(socket, 'malformed-request');
	});

	function receive(request: http.IncomingMessage, response: http.ServerResponse): void {
		openRequests++;
		const path = getPath(request.url ?? '');
		const route = host.plainRoutes.get(path);
		if (route) {
			response.once('close', () => {
				openRequests--;
			});
			void answerPlain(request, response, route);
			return;
		}

		receiveCall(request, response);
	}

	function receiveCall(request: http.IncomingMessage, response: http.ServerResponse): void {
		const receivedAt = host.getNow();
		let execution: Execution | undefined;
		const sink = createHttpSink(response, {
			entryName: host.entryName,
			isLeaving: host.isLeaving,
			isEntriesAnswerOld: () => host.isEntriesAnswerOld(getSingle(request.headers[headerNames.entriesVersion])),
		});
		response.once('close', () => {
			openRequests--;
			if (!response.writableFinished) {
				execution?.cancel();
			}
		});
		const view = host.getView();
		if (!view) {
			refuse(request, sink, 'not-ready');
			return;
		}

		const classification = classify({method: request.method ?? '', url: request.url ?? '', headers: request.headers}, view);
		if (classification.isErr()) {
			refuse(request, sink, classification.error);
			return;
		}

		const reservedBytes = getReservedBytes(request, limits);
		if (heldBytes + reservedBytes > limits.heldBodyBytes) {
			refuse(request, sink, 'queue-full');
			return;
		}

		heldBytes += reservedBytes;
		response.once('close', () => {
			heldBytes -= reservedBytes;
		});
		receiveBody(request, limits, received => {
			switch (received.kind) {
				case 'too-large': {
					refuse(request, sink, 'body-too-large');
					break;
				}

				case 'cut': {
					sink.abort();
					break;
				}

				case 'body': {
					execution = host.handle(createCall(request, classification.value, received.body, receivedAt), sink);
					break;
				}
			}
		});
	}

	function createCall(request: http.IncomingMessage, classification: Classification, body: CallBody, receivedAt: number): Call {
		const traceparent = request.headers[headerNames.traceparent];
		const {timeoutMilliseconds, ...rest} = classification;
		return {
			...rest,
			id: nextId++,
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

	return {server, countOpen: () => openRequests};
}

/** Answers a call that goes no further; what is left of its body is not read. */
function refuse(request: http.IncomingMessage, sink: AnswerSink, kind: ProblemKind): void {
	const isBodyLeft = !request.complete;
	const history: KeyHistory = kind === 'malformed-key' ? {kind: 'keyless'} : getKeyHistory(request);
	writeProblem(sink, createRefusal(kind, history));
	if (isBodyLeft) {
		request.pause();
		setImmediate(() => {
			request.socket.destroySoon();
		});
	}
}

/** Gets what is known of earlier calls with the key of a request that is refused unread. */
function getKeyHistory({headers}: http.IncomingMessage): KeyHistory {
	if (headers[headerNames.idempotencyKey] === undefined) {
		return {kind: 'keyless'};
	}

	return {kind: headers[headerNames.attempt] === '1' ? 'declared-first' : 'unsettled'};
}

function createRefusal(kind: ProblemKind, history: KeyHistory): Problem {
	return {kind, outcome: resolveOutcome({kind: 'refused-before-dispatch'}, history), retryAfterMilliseconds: repeatableKinds.has(kind) ? refusedRetryAfterMilliseconds : undefined};
}

async function answerPlain(request: http.IncomingMessage, response: http.ServerResponse, route: PlainRoute): Promise<void> {
	request.resume();
	if (request.method !== 'GET' && request.method !== 'HEAD') {
		response.writeHead(405, {allow: 'GET, HEAD'}).end();
		return;
	}

	const answer = await route(request);
	response.writeHead(answer.statusCode, {'content-type': answer.contentType, 'cache-control': 'no-store'});
	response.end(answer.body);
}

function getSingle(value: string | readonly string[] | undefined): string | undefined {
	return typeof value === 'string' ? value : undefined;
}

function getPath(url: string): string {
	const index = url.indexOf('?');
	return index === -1 ? url : url.slice(0, index);
}

/** Answers a request that could not be parsed or was not received in time. */
function answerClientError(error: NodeJS.ErrnoException, socket: stream.Duplex): void {
	if (error.code === 'ECONNRESET' || !socket.writable) {
		socket.destroy();
		return;
	}

	answerOnSocket(socket, clientErrorKinds[error.code ?? ''] ?? 'malformed-request');
}

const clientErrorKinds: Readonly<Record<string, ProblemKind>> = {
	HPE_HEADER_OVERFLOW: 'headers-too-large', // eslint-disable-line @typescript-eslint/naming-convention
	ERR_HTTP_REQUEST_TIMEOUT: 'request-timeout', // eslint-disable-line @typescript-eslint/naming-convention
};

function answerOnSocket(socket: stream.Duplex, kind: ProblemKind): void {
	const {head, body} = createProblemAnswer(createRefusal(kind, {kind: 'unsettled'}));
	const lines = [
		`HTTP/1.1 ${head.statusCode} ${http.STATUS_CODES[head.statusCode] ?? ''}`,
		...head.headers.map(([name, value]) => `${name}: ${value}`),
		`${headerNames.outcome}: ${head.outcome}`,
		'connection: close',
	];
	socket.write(`${lines.join('\r\n')}\r\n\r\n`);
	socket.end(body);
}
