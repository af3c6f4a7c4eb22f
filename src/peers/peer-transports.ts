/** Client connections to other entries: one HTTP/2 connection for each address. */
import type * as http2 from 'node:http2';
import {type Transport} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';

export type PeerTransportOptions = {
	/** A connection without data for this long is checked by a ping before its next use. */
	readonly pingIntervalMilliseconds?: number;
	/** A connection whose ping stays unanswered for this long is closed. */
	readonly pingTimeoutMilliseconds?: number;
	/** A connection without calls for this long is closed. */
	readonly idleTimeoutMilliseconds?: number;
};

export type PeerTransports = {
	/** Gets the transport to an address such as `10.0.0.7:7100`. */
	get(address: string): Transport;
	/** Cuts the connection to an address, along with its calls in flight; the next use opens a new one. */
	discard(address: string): void;
	/** Cuts all connections. */
	close(): void;
};

const defaultPingIntervalMilliseconds = 2000;
const defaultPingTimeoutMilliseconds = 1000;
const defaultIdleTimeoutMilliseconds = 15_000;

/** What a transport needs of a session manager. */
type SessionManager = Pick<Http2SessionManager, 'authority' | 'request' | 'notifyResponseByteRead'>;

type Connection = {
	readonly sessionManager: Http2SessionManager;
	readonly transport: Transport;
};

/** Creates a pool of connections. Users whose calls must not be cut by another's `discard` create a pool each. */
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
		baseUrl, httpVersion: '2', sessionManager: createGuardedManager(sessionManager), useBinaryFormat: true,
	});
	return {sessionManager, transport};
}

/**
Keeps an error listener on each session for as long as it lives.

The session manager takes its own listener off when it leaves a session, although an error of the session may still
be on its way, e.g. after the other entry has closed it; without a listener that error would end the process.
*/
function createGuardedManager(manager: Http2SessionManager): SessionManager {
	const guarded = new WeakSet<http2.Http2Session>();
	return {
		authority: manager.authority,
		async request(method, path, headers, options) {
			const stream = await manager.request(method, path, headers, options);
			const {session} = stream;
			if (session && !guarded.has(session)) {
				guarded.add(session);
				session.on('error', () => undefined);
			}

			return stream;
		},
		notifyResponseByteRead(stream) {
			manager.notifyResponseByteRead(stream);
		},
	};
}
