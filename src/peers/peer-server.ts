/** HTTP/2 server on the peer port, shared by all services between entries. */
import * as http2 from 'node:http2';
import type * as net from 'node:net';
import * as connect from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {ResultAsync} from 'neverthrow';
import * as deployments from './deployments.ts';

/** Registers the routes of one service on the peer port. */
export type PeerRoutes = (router: connect.ConnectRouter) => void;

export type PeerServerOptions = {
	readonly host: string;
	/** 0 selects a free port. */
	readonly port: number;
	readonly routes: readonly PeerRoutes[];
	/** Maximum size of a received message in bytes. */
	readonly readMaxBytes?: number;
	/** Maximum number of unanswered requests of one session; unlimited if undefined. */
	readonly maximumStreams?: number;
	/** Refuses the requests of other deployments, and tells of each; all are accepted if undefined. */
	readonly deployment?: {readonly name: string; onForeign(deployment: string): void} | undefined;
	/** Called for each request before its message is read. */
	onRequest?(request: http2.Http2ServerRequest): void;
	/** Records that handling a request threw an error, by the method of the service if it was called. */
	recordFailure(error: unknown, method: string | undefined): void;
};

/** The peer port couldn't be opened. */
export type PeerServerError = {
	readonly kind: 'address-unavailable';
	readonly message: string;
	readonly cause: unknown;
};

export type PeerServer = {
	readonly server: net.Server;
	/** Port that the server listens on. */
	readonly port: number;
	/** Stops listening, waits for calls in flight, and aborts those still running after the grace period. */
	close(graceMilliseconds: number): Promise<void>;
};

const defaultReadMaxBytes = 16 * 1024 * 1024;
/** Maximum number of requests that a session begins in a turn, in multiples of those that may be unanswered: entries give up some and ask again while this one is late. */
const turnStreams = 2;
const misdirectedStatus = 421;

/** Creates a server with the given services and starts to listen on the peer port. */
export function createPeerServer(options: PeerServerOptions): ResultAsync<PeerServer, PeerServerError> {
	return ResultAsync.fromPromise(listen(options), error => ({
		kind: 'address-unavailable' as const,
		message: error instanceof Error ? error.message : String(error),
		cause: error,
	}));
}

async function listen(options: PeerServerOptions): Promise<PeerServer> {
	const settings = options.maximumStreams === undefined ? {} : {maxConcurrentStreams: options.maximumStreams};
	const handle = connectNodeAdapter({
		readMaxBytes: options.readMaxBytes ?? defaultReadMaxBytes,
		interceptors: [createFailureInterceptor(options)],
		routes(router) {
			for (const addRoutes of options.routes) {
				addRoutes(router);
			}
		},
	});
	const server = http2.createServer({settings}, (request, response) => {
		try {
			if (refuseForeign(request, response, options.deployment)) {
				return;
			}

			options.onRequest?.(request);
			handle(request, response);
		} catch (error) {
			options.recordFailure(error, undefined);
			request.stream.close(http2.constants.NGHTTP2_INTERNAL_ERROR);
		}
	});
	if (options.maximumStreams !== undefined) {
		closeSessionsWithRows(server, turnStreams * options.maximumStreams);
	}

	const sessions = trackSessions(server);
	const sockets = trackSockets(server);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(options.port, options.host, resolve);
	});
	server.removeAllListeners('error');
	server.on('error', () => undefined);
	const address = server.address();
	return {
		server,
		port: typeof address === 'object' && address ? address.port : options.port,
		close: async graceMilliseconds => closeServer(server, sessions, sockets, graceMilliseconds),
	};
}

/** Refuses a request of another deployment. Returns whether it was refused. */
function refuseForeign(request: http2.Http2ServerRequest, response: http2.Http2ServerResponse, deployment: PeerServerOptions['deployment']): boolean {
	const foreign = deployment && deployments.getForeignDeployment(request.headers, deployment.name);
	if (foreign === undefined) {
		return false;
	}

	deployment!.onForeign(foreign);
	response.writeHead(misdirectedStatus).end();
	return true;
}

/** Records what methods throw without meaning it as their answer; the library answers it as an internal error of its request. */
function createFailureInterceptor({recordFailure}: PeerServerOptions): connect.Interceptor {
	return next => async request => {
		try {
			return await next(request);
		} catch (error) {
			if (!(error instanceof connect.ConnectError)) {
				recordFailure(error, request.method.name);
			}

			throw error;
		}
	};
}

/** Closes each session that begins too many requests in a turn of the event loop; more than may be unanswered begin only if some are reset. */
function closeSessionsWithRows(server: http2.Http2Server, maximumRequests: number): void {
	server.on('session', session => {
		let begun = 0;
		session.on('stream', () => {
			begun++;
			if (begun === 1) {
				setImmediate(() => {
					begun = 0;
				});
			}

			if (begun > maximumRequests) {
				session.destroy();
			}
		});
	});
}

function trackSessions(server: http2.Http2Server): ReadonlySet<http2.ServerHttp2Session> {
	const sessions = new Set<http2.ServerHttp2Session>();
	server.on('session', session => {
		sessions.add(session);
		session.on('error', () => undefined);
		session.once('close', () => {
			sessions.delete(session);
		});
	});
	return sessions;
}

function trackSockets(server: http2.Http2Server): ReadonlySet<net.Socket> {
	const sockets = new Set<net.Socket>();
	server.on('connection', (socket: net.Socket) => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	return sockets;
}

async function closeServer(server: http2.Http2Server, sessions: ReadonlySet<http2.ServerHttp2Session>, sockets: ReadonlySet<net.Socket>, graceMilliseconds: number): Promise<void> {
	const closed = new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
	for (const session of sessions) {
		session.close();
	}

	const timer = setTimeout(() => {
		for (const session of sessions) {
			session.destroy();
		}

		// A session that is destroyed still waits until its peer has read what was sent, which a stopped process never does.
		for (const socket of sockets) {
			socket.destroy();
		}
	}, graceMilliseconds);
	await closed;
	clearTimeout(timer);
}
