/** The HTTP server for callers: finds the route, receives the request, and writes the response. */
import * as http from 'node:http';
import type * as smallChunks from '../decisions/admission/small-chunks.ts';
import type * as trafficMemory from '../decisions/admission/traffic-memory.ts';
import * as routeTable from '../decisions/configuration/route-table.ts';
import type * as configuration from '../decisions/configuration/types.ts';
import * as responseDelivery from '../decisions/outcomes/response-delivery.ts';
import * as exhaustiveness from '../decisions/assert-never.ts';
import {type RandomSource} from '../decisions/random.ts';
import * as attempt from '../entry/attempt.ts';
import {type CallBody} from '../entry/call.ts';
import type * as exchanges from '../entry/exchanges.ts';
import {hasBody} from '../entry/receive-body.ts';
import type * as allowances from './allowances.ts';
import {type ResponseTarget, type RunningCall} from './call-runner.ts';
import * as forwardedHeaders from './forwarded-headers.ts';
import * as frontRefusals from './front-refusals.ts';
import * as badConnectionsModule from './bad-connections.ts';
import * as callerIdentification from './caller-identification.ts';
import * as callStarter from './call-starter.ts';
import * as callerConnections from './caller-connections.ts';
import {type ActiveConfiguration} from './platform-state.ts';
import type * as portLimits from './port-limits.ts';
import * as requestBoundary from './request-boundary.ts';
import * as requestReception from './request-reception.ts';
import * as responseOrder from './response-order.ts';
import {type GatewayResponse, type GatewayRequest, type HeaderHost} from './types.ts';
import * as unstartedRequests from './unstarted-requests.ts';

/** Properties of a request that are determined before its body is received. */
type RequestContext = Omit<GatewayRequest, 'method' | 'path' | 'headers' | 'body'>;

/** Dependencies of the server for callers. */
export type FrontServerHost = {
	readonly headers: HeaderHost;
	readonly random: RandomSource;
	readonly memory: trafficMemory.TrafficMemory;
	readonly ports: portLimits.PortLimits;
	readonly smallChunks: smallChunks.SmallChunkWatch;
	getActiveConfiguration(): ActiveConfiguration | undefined;
	/** Whether the platform state of this entry is too old to conclude that a route does not exist. */
	isStale(): boolean;
	/** Whether connections of callers should close after the next response. */
	isLeaving(): boolean;
	/** Whether a request can be finished before a planned stop of this entry. */
	canFinish(request: RequestContext): boolean;
	/** Mean time of the work of such requests, in milliseconds. */
	getExpectedMilliseconds(request: RequestContext): number;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Decides whether the allowance of a workspace has room for a request, at once or soon. The listener is called once, unless the returned function withdraws the request before. */
	admit(workspace: configuration.Workspace, listener: (admission: allowances.Admission) => void): () => void;
	/** Time after which a caller that was not admitted should return, in milliseconds. */
	getAllowanceRetryMilliseconds(): number;
	startCall(request: GatewayRequest, target: ResponseTarget): RunningCall;
	recordRefusal(reason: frontRefusals.FrontRefusal, id: string | undefined, statusCode: number): void;
	/** Records that a handler threw an error. */
	recordFailure(error: unknown, id: string | undefined): void;
	/** Records that a request arrived while another one of its connection was in progress. */
	recordRequestAhead(): void;
	/** Records that a connection ended with requests that were not answered, although its caller had not left. */
	recordCut(cut: callerConnections.CutConnection): void;
};

/** The server for callers. */
export type FrontServer = {
	readonly server: http.Server;
	/** Counts the exchanges that have not ended. */
	countOpen(): number;
	/** Counts the exchanges whose response is written, but not yet taken by the system. */
	countWritten(): number;
	/** Counts the connections that wait until they are read, because others are costly to read. */
	countDeferred(): number;
	/** Accepts no more connections, and closes each connection once it has no request; resolves when those without one are being closed. */
	stop(): Promise<void>;
	/** Counts the connections that have been told the end, but are still open. */
	countClosing(): number;
	/** Refuses the requests that no upstream has received and that a planned stop leaves no time for. */
	refuseUnstarted(): void;
	/** Resets the connections whose requests are not finished. */
	reset(): void;
	/** Applies the timeouts of a configuration to everything that callers send from now on. */
	setLimits(limits: configuration.CallerLimits): void;
};

/** Largest header section that the HTTP parser accepts, in bytes; configurations set a lower limit. */
const maximumHeaderBytes = 65_536;
/** Size of a response from which on its memory is claimed until its caller has taken it, in bytes. */
const claimedResponseBytes = 16_384;
/** Maximum number of requests on one connection that are not answered; callers send a few ahead. */
const maximumRequestsPerConnection = 256;
/** Maximum number of requests in progress that other entries pass on, so that they leave room for the own callers. */
const maximumRelayedRequests = 64;
/** Interval at which connections are checked against the timeouts, in milliseconds. */
const connectionsCheckIntervalMilliseconds = 1000;

/** Creates the server; the caller starts and stops it. */
export function createFrontServer(host: FrontServerHost): FrontServer {
	let relayedRequests = 0;
	const starter = callStarter.createCallStarter(host.getNow);
	const server = http.createServer({
		maxHeaderSize: maximumHeaderBytes,
		connectionsCheckingInterval: connectionsCheckIntervalMilliseconds,
		requestTimeout: 0,
		requireHostHeader: false, // The server would close the connection, although requests behind this one run.
		noDelay: true,
	}, handleRequest);
	const connections = callerConnections.trackConnections(server, {
		port: host.ports.limitPort(server, 'callers'), getNow: host.getNow, onRequestAhead: host.recordRequestAhead, onCut: host.recordCut,
	});
	const reception = requestReception.createRequestReception({...host, yieldReading: connections.reading.yieldReading});
	const badConnections = badConnectionsModule.refuseBadConnections(server, {...host, exchanges: connections.exchanges, closing: connections.closing});
	const order = responseOrder.createResponseOrder(connections.exchanges);
	const unstarted = unstartedRequests.createUnstartedRequests<RequestContext>();
	const runningCalls = new Set<RunningCall>();
	const {guard} = requestBoundary.createRequestBoundary({
		recordFailure: host.recordFailure,
		readId: ({request}) => host.headers.readRequest(request.headers).id,
		isPassedOn: connections.isPassedOn,
		respond(exchange, response) {
			unstarted.remove(exchange);
			respond(exchange, response);
		},
	});

	function handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
		if (connections.closing.isClosing(request.socket)) {
			request.resume();
			return;
		}

		if (connections.countExchangesOn(request.socket) >= maximumRequestsPerConnection) {
			badConnections.refuseExcess(request.socket);
			return;
		}

		const receivedAt = host.getNow();
		const exchange = connections.beginExchange(request, response);
		guard(exchange, () => {
			handleExchange(exchange, receivedAt);
		});
	}

	function handleExchange(exchange: exchanges.Exchange, receivedAt: number): void {
		const {request} = exchange;
		const metadata = host.headers.readRequest(request.headers);
		if (metadata.relayedExecutions !== undefined) {
			relayedRequests++;
			exchange.onEnd(() => {
				relayedRequests--;
			});
			if (relayedRequests > maximumRelayedRequests) {
				refuse(exchange, 'too-many-relayed', metadata.id);
				return;
			}
		}

		if (request.headers.host === undefined) {
			refuse(exchange, 'no-host', metadata.id);
			return;
		}

		const activeConfiguration = host.getActiveConfiguration();
		if (!activeConfiguration) {
			refuse(exchange, 'no-configuration', metadata.id);
			return;
		}

		const {configuration: {version, limits}, routes, keys} = activeConfiguration;
		const route = routes.resolve(request.headers.host, request.url ?? '');
		if (!route) {
			refuse(exchange, host.isStale() ? 'news-stale' : 'unknown-route', metadata.id);
			return;
		}

		if (metadata.id === undefined) {
			refuse(exchange, 'no-identity', metadata.id);
			return;
		}

		const caller = callerIdentification.identifyCaller(request, {
			headers: host.headers, keys, isPublic: route.isPublic, isStale: host.isStale(),
		});
		if (caller.kind !== 'identified') {
			refuse(exchange, caller.reason, metadata.id);
			return;
		}

		const headerBytes = forwardedHeaders.countHeaderBytes(request.rawHeaders);
		if (headerBytes > limits.headerBytes) {
			refuse(exchange, 'headers-too-large', metadata.id);
			return;
		}

		const {id} = metadata;
		const context: RequestContext = {
			id,
			route: {...route, maximumAttempts: Math.min(route.maximumAttempts, metadata.relayedExecutions ?? route.maximumAttempts)},
			service: routeTable.chooseServiceByWeight(route, host.random),
			workspace: caller.workspace,
			isRelayed: metadata.relayedExecutions !== undefined,
			configurationVersion: version,
			receivedAt,
			deadlineAt: receivedAt + Math.min(route.timeoutMilliseconds, metadata.deadlineMilliseconds ?? Number.POSITIVE_INFINITY),
		};
		const requestLimits = {
			bodyBytes: limits.bodyBytes, headerBytes, isBehindOthers: connections.countExchangesOn(request.socket) > 1, receivedAt, deadlineAt: context.deadlineAt,
		};
		admit(exchange, context, () => {
			reception.receive(exchange, requestLimits, result => {
				guard(exchange, () => {
					handleReceived(exchange, result, context);
				});
			});
		});
	}

	/** Goes on with a request once the allowance of its workspace has room for it, unless its caller leaves first. */
	function admit(exchange: exchanges.Exchange, context: RequestContext, proceed: () => void): void {
		const {id, workspace} = context;
		const waiting = {exchange, context, withdraw: () => undefined as void};
		unstarted.add(waiting);
		if (!workspace) {
			proceed();
			return;
		}

		const withdraw = host.admit(workspace, admission => {
			guard(exchange, () => {
				handleAdmission(admission);
			});
		});
		waiting.withdraw = withdraw;
		exchange.onEnd(withdraw);

		function handleAdmission(admission: allowances.Admission): void {
			switch (admission) {
				case 'admitted': {
					proceed();
					break;
				}

				case 'limited': {
					refuse(exchange, 'allowance-used', id);
					break;
				}

				case 'undecided': {
					refuse(exchange, 'allowance-undecided', id);
					break;
				}

				default: {
					exhaustiveness.assertNever(admission);
				}
			}
		}
	}

	function handleReceived(exchange: exchanges.Exchange, result: requestReception.ReceptionResult, context: RequestContext): void {
		switch (result.kind) {
			case 'refused': {
				refuse(exchange, result.reason, context.id);
				break;
			}

			case 'cut': {
				host.recordRefusal('body-cut', context.id, 0);
				exchange.response.destroy();
				break;
			}

			case 'complete': {
				starter.schedule(exchange, {...context, expectedMilliseconds: host.getExpectedMilliseconds(context)}, () => {
					guard(exchange, () => {
						start(exchange, result.body, context);
					});
				});
				break;
			}
		}
	}

	function start(exchange: exchanges.Exchange, body: CallBody, context: RequestContext): void {
		const {request} = exchange;
		if (!unstarted.remove(exchange)) {
			return;
		}

		if (!host.canFinish(context)) {
			refuse(exchange, 'stopping', context.id);
			return;
		}

		if (host.getNow() >= context.deadlineAt) {
			refuse(exchange, 'deadline-passed', context.id);
			return;
		}

		const headers = forwardedHeaders.createForwardedHeaders(host.headers, request, body, context.workspace !== undefined || host.getActiveConfiguration()?.keys.isActive === true);
		connections.recordPassedOn(exchange);
		const running = host.startCall({
			...context, method: request.method ?? 'GET', path: request.url ?? '/', headers, body,
		}, {
			respond(gatewayResponse) {
				respond(exchange, gatewayResponse);
			},
		});
		runningCalls.add(running);
		exchange.onEnd(end => {
			runningCalls.delete(running);
			if (end === 'caller-left') {
				running.cancel();
			}
		});
	}

	function refuse(exchange: exchanges.Exchange, reason: frontRefusals.AnsweredRefusal, id: string | undefined): void {
		const statusCode = frontRefusals.refusalStatuses[reason];
		unstarted.remove(exchange);
		host.recordRefusal(reason, id, statusCode);
		if (reason === 'small-chunks') {
			connections.reading.discard(exchange.request);
		} else {
			exchange.request.resume();
		}

		respond(exchange, {
			statusCode, headers: frontRefusals.createRefusalHeaders(host, reason), body: new Uint8Array(), hasOwnEnd: true, isOwn: true,
		});
	}

	function respond(exchange: exchanges.Exchange, gatewayResponse: GatewayResponse): void {
		guard(exchange, () => {
			claimResponse(exchange, gatewayResponse.body.length);
		});
		const write = () => {
			guard(exchange, () => {
				writeResponse(exchange, gatewayResponse);
			});
		};

		order.deliver(exchange, () => {
			if (!host.isLeaving()) {
				write();
				return;
			}

			// Requests that arrived together with this one are read first, since the last response closes the connection.
			setImmediate(write);
		});
	}

	function writeResponse(exchange: exchanges.Exchange, gatewayResponse: GatewayResponse): void {
		const {request, response, socket} = exchange;
		if (response.destroyed || exchange.hasEnded()) {
			return;
		}

		const {end, closesConnection} = responseDelivery.decideDelivery({
			isFollowed: connections.countExchangesOn(socket) > 1,
			// A request without a body isn't marked as complete yet when it is refused at once.
			isRequestUnread: hasBody(request) && !request.complete,
			isLeaving: host.isLeaving(),
			hasOwnEnd: gatewayResponse.hasOwnEnd,
		});
		if (closesConnection) {
			connections.closing.stopReading(socket);
		}

		// Only the upstream knows the length of the body that isn't sent.
		const isBodyless = attempt.isBodyless(request.method ?? '', gatewayResponse.statusCode);
		const headers = [...gatewayResponse.headers, ...createRelayedHeaders(request, gatewayResponse)].filter(([name]) => isBodyless || name !== 'content-length').flat();
		// Without it, Node.js closes the connection after a response that has neither a length nor chunks.
		response.useChunkedEncodingByDefault = isBodyless;
		response.writeHead(gatewayResponse.statusCode, [
			...headers,
			...(isBodyless || end === 'connection' ? [] : ['content-length', String(gatewayResponse.body.length)]),
			...(closesConnection ? ['connection', 'close'] : []),
		]);
		response.end(gatewayResponse.body);
	}

	/** Claims the memory of a large response until its caller has taken it. */
	function claimResponse(exchange: exchanges.Exchange, bytes: number): void {
		if (bytes < claimedResponseBytes || exchange.hasEnded()) {
			return;
		}

		const now = host.getNow();
		const claim = host.memory.claim('responses', now, () => {
			host.recordRefusal('response-not-taken', undefined, 0);
			connections.cut(exchange.socket, 'response-not-taken');
		});
		exchange.onEnd(claim.free);
		claim.resize(bytes, now);
	}

	/** Creates the additional headers of this entry's own response to a request that another entry passes on; upstreams' responses have them. */
	function createRelayedHeaders(request: http.IncomingMessage, {statusCode, isOwn}: GatewayResponse): GatewayResponse['headers'] {
		const {id, relayedExecutions} = host.headers.readRequest(request.headers);
		return relayedExecutions !== undefined && isOwn ? host.headers.createRelayedRefusalHeaders(id, statusCode === frontRefusals.unavailableStatus) : [];
	}

	return {
		server,
		countOpen: connections.countExchanges,
		countWritten: connections.countWritten,
		countDeferred: connections.reading.countDeferred,
		stop: connections.stop,
		countClosing: connections.closing.count,
		refuseUnstarted() {
			const now = host.getNow();
			for (const {exchange, context, withdraw} of unstarted.takeWhere(request => now >= request.deadlineAt || !host.canFinish(request))) {
				withdraw();
				reception.abandon(exchange);
				refuse(exchange, 'stopping', context.id);
			}

			for (const running of runningCalls) {
				running.refuseUnsent();
			}
		},
		reset() {
			reception.close();
			connections.reset();
		},
		setLimits(limits) {
			server.headersTimeout = limits.headerTimeoutMilliseconds;
			server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
			reception.setIdleTimeout(limits.idleTimeoutMilliseconds);
			badConnections.setIdleTimeout(limits.idleTimeoutMilliseconds);
		},
	};
}
