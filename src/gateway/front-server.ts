/** The HTTP server for callers: finds the route, receives the request, and writes the response. */
import * as http from 'node:http';
import type * as stream from 'node:stream';
import * as routeTable from '../decisions/configuration/route-table.ts';
import type * as configuration from '../decisions/configuration/types.ts';
import {type RandomSource} from '../decisions/random.ts';
import * as attempt from '../entry/attempt.ts';
import {getForwardedHeaders} from '../entry/headers.ts';
import {type ReceivedBody, receiveBody} from '../entry/receive-body.ts';
import {type ResponseTarget, type RunningCall} from './call-runner.ts';
import * as callerConnections from './caller-connections.ts';
import {type ActiveConfiguration} from './platform-state.ts';
import {type GatewayResponse, type GatewayRequest, type HeaderHost} from './types.ts';

/** Why the server refused a request, or dropped it, before any upstream was selected. */
export type FrontRefusal = 'no-configuration' | 'news-stale' | 'unknown-route' | 'no-identity' | 'headers-too-large' | 'body-too-large' | 'memory-full' | 'stopping' | 'too-many-relayed' | 'body-cut';

/** Properties of a request that are determined before its body is received. */
type RequestContext = Omit<GatewayRequest, 'method' | 'path' | 'headers' | 'body'>;

/** Dependencies of the server for callers. */
export type FrontServerHost = {
	readonly headers: HeaderHost;
	readonly random: RandomSource;
	getActiveConfiguration(): ActiveConfiguration | undefined;
	/** Whether the platform state of this entry is too old to conclude that a route does not exist. */
	isStale(): boolean;
	/** Whether connections of callers should close after the next response. */
	isLeaving(): boolean;
	/** Whether a request can be finished before a planned stop of this entry. */
	canFinish(request: RequestContext): boolean;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	startCall(request: GatewayRequest, target: ResponseTarget): RunningCall;
	recordRefusal(reason: FrontRefusal, id: string | undefined, statusCode: number): void;
};

/** The server for callers. */
export type FrontServer = {
	readonly server: http.Server;
	/** Counts the requests whose responses are not finished. */
	countOpen(): number;
	/** Accepts no more connections, and closes each connection once it has no request. */
	stop(): void;
	/** Resets the connections whose requests are not finished. */
	reset(): void;
	/** Applies the timeouts of a configuration to everything that callers send from now on. */
	setLimits(limits: configuration.CallerLimits): void;
};

/** Largest header section that the HTTP parser accepts, in bytes; configurations set a lower limit. */
const maximumHeaderBytes = 65_536;
/** Largest body that is buffered, so that its request can be sent again, in bytes. */
const maximumBufferedBodyBytes = 1_048_576;
/** Maximum total size of all buffered bodies, in bytes; a fifth of the memory of the users' smallest instances. */
const maximumTotalBufferedBytes = 48 * 1024 * 1024;
/** Assumed size of a body with a transfer encoding, whose length is not known in advance, in bytes. */
const assumedBodyBytes = 65_536;
/** Maximum number of requests in progress that other entries pass on, so that they leave room for the own callers. */
const maximumRelayedRequests = 64;
/** Time after which a refused caller should retry, in milliseconds. */
const retryAfterMilliseconds = 300;
/** Time after which a caller should retry that another entry can serve at once, in milliseconds. */
const retryElsewhereMilliseconds = 20;
/** Interval at which connections are checked against the timeouts, in milliseconds. */
const connectionsCheckIntervalMilliseconds = 1000;
const unavailableStatus = 503;
const refusalStatuses: Readonly<Record<Exclude<FrontRefusal, 'body-cut'>, number>> = {
	'no-configuration': 503,
	'news-stale': 503,
	'unknown-route': 404,
	'no-identity': 400,
	'headers-too-large': 431,
	'body-too-large': 413,
	'memory-full': 503,
	stopping: 503,
	'too-many-relayed': 503,
};

/** Creates the server; the caller starts and stops it. */
export function createFrontServer(host: FrontServerHost): FrontServer {
	let bufferedBytes = 0;
	let relayedRequests = 0;
	const server = http.createServer({
		maxHeaderSize: maximumHeaderBytes,
		connectionsCheckingInterval: connectionsCheckIntervalMilliseconds,
		requestTimeout: 0,
		noDelay: true,
	}, receive);
	const connections = callerConnections.trackConnections(server);
	server.on('clientError', (error: NodeJS.ErrnoException, socket: stream.Duplex) => {
		if (error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
	});

	function receive(request: http.IncomingMessage, response: http.ServerResponse): void {
		const receivedAt = host.getNow();
		connections.trackRequest(request, response);
		const metadata = host.headers.readRequest(request.headers);
		if (metadata.relayedExecutions !== undefined) {
			relayedRequests++;
			response.once('close', () => {
				relayedRequests--;
			});
			if (relayedRequests > maximumRelayedRequests) {
				refuse(request, response, 'too-many-relayed', metadata.id);
				return;
			}
		}

		const activeConfiguration = host.getActiveConfiguration();
		if (!activeConfiguration) {
			refuse(request, response, 'no-configuration', metadata.id);
			return;
		}

		const {configuration: {version, limits}, routes} = activeConfiguration;
		const route = routes.resolve(request.headers.host ?? '', request.url ?? '');
		if (!route) {
			refuse(request, response, host.isStale() ? 'news-stale' : 'unknown-route', metadata.id);
			return;
		}

		if (metadata.id === undefined) {
			refuse(request, response, 'no-identity', metadata.id);
			return;
		}

		if (countHeaderBytes(request.rawHeaders) > limits.headerBytes) {
			refuse(request, response, 'headers-too-large', metadata.id);
			return;
		}

		const reserved = getReservedBytes(request);
		if (bufferedBytes + reserved > maximumTotalBufferedBytes) {
			refuse(request, response, 'memory-full', metadata.id);
			return;
		}

		bufferedBytes += reserved;
		response.once('close', () => {
			bufferedBytes -= reserved;
		});
		const {id} = metadata;
		receiveBody(request, {bodyBytes: limits.bodyBytes, bufferedBodyBytes: maximumBufferedBodyBytes}, received => {
			handleBody(request, response, received, {
				id,
				route: {...route, maximumAttempts: Math.min(route.maximumAttempts, metadata.relayedExecutions ?? route.maximumAttempts)},
				service: routeTable.chooseServiceByWeight(route, host.random),
				isRelayed: metadata.relayedExecutions !== undefined,
				configurationVersion: version,
				receivedAt,
				deadlineAt: receivedAt + Math.min(route.timeoutMilliseconds, metadata.deadlineMilliseconds ?? Number.POSITIVE_INFINITY),
			});
		});
	}

	function handleBody(request: http.IncomingMessage, response: http.ServerResponse, received: ReceivedBody, context: RequestContext): void {
		switch (received.kind) {
			case 'too-large': {
				refuse(request, response, 'body-too-large', context.id);
				break;
			}

			case 'cut': {
				host.recordRefusal('body-cut', context.id, 0);
				response.destroy();
				break;
			}

			case 'body': {
				if (!host.canFinish(context)) {
					refuse(request, response, 'stopping', context.id);
					break;
				}

				const running = host.startCall({
					...context,
					method: request.method ?? 'GET',
					path: request.url ?? '/',
					headers: createForwardedHeaders(request, received),
					body: received.body,
				}, {
					respond(gatewayResponse) {
						writeResponse(request, response, gatewayResponse);
					},
				});
				response.once('close', () => {
					if (!response.writableFinished) {
						running.cancel();
					}
				});
				break;
			}
		}
	}

	function createForwardedHeaders(request: http.IncomingMessage, received: ReceivedBody): GatewayRequest['headers'] {
		const forwarded = getForwardedHeaders(request.rawHeaders, {has: name => name === 'host' || name === 'expect' || name === 'content-length' || host.headers.isReplacedHeader(name)}, {has: host.headers.isIdentityHeader});
		const isStreamed = received.kind === 'body' && received.body.kind === 'streamed';
		const length = isStreamed ? request.headers['content-length'] : undefined;
		return [['host', request.headers.host ?? ''], ...forwarded, ...(length === undefined ? [] : [['content-length', length] as const])];
	}

	function refuse(request: http.IncomingMessage, response: http.ServerResponse, reason: keyof typeof refusalStatuses, id: string | undefined): void {
		const statusCode = refusalStatuses[reason];
		host.recordRefusal(reason, id, statusCode);
		request.resume();
		writeResponse(request, response, {
			statusCode,
			headers: statusCode === 503 ? host.headers.createRetryHeaders(reason === 'stopping' ? retryElsewhereMilliseconds : retryAfterMilliseconds) : [],
			body: new Uint8Array(),
			hasOwnEnd: true,
			isOwn: true,
		});
	}

	function writeResponse(request: http.IncomingMessage, response: http.ServerResponse, gatewayResponse: GatewayResponse): void {
		if (response.destroyed) {
			return;
		}

		// Only the upstream knows the length of the body that isn't sent.
		const isBodyless = attempt.isBodyless(request.method ?? '', gatewayResponse.statusCode);
		const headers = [...gatewayResponse.headers, ...createRelayedHeaders(request, gatewayResponse)].filter(([name]) => isBodyless || name !== 'content-length').flat();
		const isClosing = host.isLeaving() || !request.complete || !gatewayResponse.hasOwnEnd;
		// Without it, Node.js closes the connection after a response that has neither a length nor chunks.
		response.useChunkedEncodingByDefault = isBodyless;
		response.writeHead(gatewayResponse.statusCode, [
			...headers,
			...(isBodyless || !gatewayResponse.hasOwnEnd ? [] : ['content-length', String(gatewayResponse.body.length)]),
			...(isClosing ? ['connection', 'close'] : []),
		]);
		response.end(gatewayResponse.body);
	}

	/** Creates the additional headers of this entry's own response to a request that another entry passes on; upstreams' responses have them. */
	function createRelayedHeaders(request: http.IncomingMessage, {statusCode, isOwn}: GatewayResponse): GatewayResponse['headers'] {
		const {id, relayedExecutions} = host.headers.readRequest(request.headers);
		return relayedExecutions !== undefined && isOwn ? host.headers.createRelayedRefusalHeaders(id, statusCode === unavailableStatus) : [];
	}

	return {
		server,
		countOpen: connections.countRequests,
		stop: connections.stop,
		reset: connections.reset,
		setLimits({headerTimeoutMilliseconds, idleTimeoutMilliseconds}) {
			server.headersTimeout = headerTimeoutMilliseconds;
			server.keepAliveTimeout = idleTimeoutMilliseconds;
		},
	};
}

/** Computes the size of a header section as it was sent, in bytes, from alternating names and values. */
function countHeaderBytes(rawHeaders: readonly string[]): number {
	const separatorBytes = 2;
	return rawHeaders.reduce((sum, text) => sum + text.length + separatorBytes, 0);
}

function getReservedBytes(request: http.IncomingMessage): number {
	const length = request.headers['content-length'];
	if (length !== undefined) {
		return Math.min(Number(length), maximumBufferedBodyBytes);
	}

	return request.headers['transfer-encoding'] === undefined ? 0 : assumedBodyBytes;
}
