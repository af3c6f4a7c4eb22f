/** Pool of client connections to other entries, with one HTTP/2 connection per address. */
import type * as http2 from 'node:http2';
import {type Transport} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import * as deployments from './deployments.ts';

export type PeerTransportOptions = {
	/** Deployment that is named in each request; none if undefined. */
	readonly deployment?: string | undefined;
	/** A connection without data for this long is verified by a ping before its next use. */
	readonly pingIntervalMilliseconds?: number;
	/** A connection that doesn't answer a ping within this time is closed. */
	readonly pingTimeoutMilliseconds?: number;
	/** A connection without calls for this long is closed. */
	readonly idleTimeoutMilliseconds?: number;
};

export type PeerTransports = {
	/** Gets the transport to an address such as `10.0.0.7:7100`. */
	get(address: string): Transport;
	/** Aborts the connection to an address and its calls in flight; the next use opens a new connection. */
	discard(address: string): void;
	/** Aborts all connections and their calls in flight. */
	close(): void;
};

const defaultPingIntervalMilliseconds = 2000;
const defaultPingTimeoutMilliseconds = 1000;
const defaultIdleTimeoutMilliseconds = 15_000;

/** Members of a session manager that a transport uses. */
type SessionManager = Pick<Http2SessionManager, 'authority' | 'request' | 'notifyResponseByteRead'>;

type Connection = {
	readonly sessionManager: Http2SessionManager;
	readonly transport: Transport;
};

/**
Creates a connection pool.

Clients whose calls must not be aborted by the `discard` of another client create a pool each.
*/
export function createPeerTransports(options: PeerTransportOptions = {}): PeerTransports {
	const connections = new Map<string, Connection>();

	function discard(address: string): void {
		connections.get(address)?.sessionManager.abort();
		connections.delete(address);
	}

	return {
		get(address) {
			const connection = connections.get(address) ?? createConnection(address, options);
			connections.set(address, connection);
			return connection.transport;
		},
		discard,
		close() {
			for (const address of connections.keys()) {
				discard(address);
			}
		},
	};
}

function createConnection(address: string, options: PeerTransportOptions): Connection {
	const baseUrl = `http://${address}`;
	const sessionManager = new Http2SessionManager(baseUrl, {
		pingIntervalMs: options.pingIntervalMilliseconds ?? defaultPingIntervalMilliseconds,
		pingTimeoutMs: options.pingTimeoutMilliseconds ?? defaultPingTimeoutMilliseconds,
		idleConnectionTimeoutMs: options.idleTimeoutMilliseconds ?? defaultIdleTimeoutMilliseconds,
	});
	const transport = createConnectTransport({
		baseUrl, httpVersion: '2', sessionManager: createSafeSessionManager(sessionManager), useBinaryFormat: true, interceptors: options.deployment === undefined ? [] : [deployments.createNamingInterceptor(options.deployment)],
	});
	return {sessionManager, transport};
}

/**
Wraps a session manager so that each session has an error listener for its whole lifetime.

The session manager removes its own listener when it abandons a session, but the session may still emit an error, e.g.
after the other entry has closed it. Without a listener, that error would terminate the process.
*/
function createSafeSessionManager(manager: Http2SessionManager): SessionManager {
	const sessionsWithListener = new WeakSet<http2.Http2Session>();
	return {
		authority: manager.authority,
		async request(method, path, headers, options) {
			const stream = await manager.request(method, path, headers, options);
			const {session} = stream;
			if (session && !sessionsWithListener.has(session)) {
				sessionsWithListener.add(session);
				session.on('error', () => undefined);
			}

			return stream;
		},
		notifyResponseByteRead(stream) {
			manager.notifyResponseByteRead(stream);
		},
	};
}
