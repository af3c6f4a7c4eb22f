/**
Pool of connections to one upstream. Each connection is an undici client that sends at most one call at a time.

The pool opens spare connections in advance. It closes connections that stay idle for too long, and idle connections
without activity since another connection to the upstream became silent. It never exceeds the limit of connections
that the entry has for the upstream.
*/
import type * as net from 'node:net';
import type * as undici from 'undici';
import {splitAddress} from './address.ts';
import * as readingControl from './reading-control.ts';
import * as undiciParts from './undici-parts.ts';

export type ConnectionPoolOptions = {
	/** Host and port of the upstream. */
	readonly address: string;
	readonly connectTimeoutMilliseconds: number;
	/** Time after which an idle connection is closed. */
	readonly idleMilliseconds: number;
	/** A connection is trusted for this time after its last activity. */
	readonly trustMilliseconds: number;
	/** Number of idle connections to keep open in advance. */
	readonly spares: number;
	/** Local address of the connections; the system chooses one if it is undefined. */
	readonly localAddress?: string | undefined;
	/** Maximum number of connections that this entry may have; it can change, and is read at each use. */
	getLimit(): number;
	/** Current time of a monotonic clock, in milliseconds. */
	getNow(): number;
};

/** Connection that the pool opened. */
export type Connection = {
	readonly client: undici.Client;
	/** The client owns the socket from its first call on. */
	readonly socket: net.Socket;
	readonly reading: readingControl.ReadingControl;
	/** Time at which the connection was opened or last received data from the upstream. */
	lastActiveAt: number;
	isClosed: boolean;
	/** Whether the connection was reset or failed, rather than closed normally. */
	isBroken: boolean;
};

/** Receives a connection, or undefined when no connection could be opened. */
export type ConnectionListener = (connection: Connection | undefined) => void;

/** Pool of connections to one upstream. */
export type ConnectionPool = {
	/** Passes a connection to the listener, now or later; a trusted connection is new or was active within `trustMilliseconds`. Returns a function that cancels the request. */
	acquire(isTrustRequired: boolean, listener: ConnectionListener): () => void;
	/** Returns a connection to the pool after a complete answer. */
	release(connection: Connection): void;
	/** Closes a connection whose call failed. */
	discard(connection: Connection): void;
	/** Closes idle connections without activity since the given time, at which another connection became silent. */
	closeInactiveSince(time: number): void;
	/** Closes connections that have been idle for longer than `idleMilliseconds`. */
	closeExpired(): void;
	/** Number of connections that are open or being opened. */
	count(): number;
	/** Closes idle connections and opens no new ones; connections in use are closed when they are returned. */
	close(): void;
};

/** Request for a connection that has not been served. */
type Waiter = {readonly listener: ConnectionListener};

/** Creates an empty pool. */
export function createConnectionPool(options: ConnectionPoolOptions): ConnectionPool {
	const idleConnections: Connection[] = [];
	const waiters: Waiter[] = [];
	const origin = `http://${options.address}`;
	const {host: hostname, port} = splitAddress(options.address);
	const connect = undiciParts.buildConnector({timeout: options.connectTimeoutMilliseconds, keepAlive: true, keepAliveInitialDelay: 1000});
	let openCount = 0;
	let openingCount = 0;
	let isClosed = false;

	function acquire(isTrustRequired: boolean, listener: ConnectionListener): () => void {
		const connection = takeIdleConnection(isTrustRequired);
		if (connection) {
			openSpareConnection();
			listener(connection);
			return () => undefined;
		}

		const waiter: Waiter = {listener};
		waiters.push(waiter);
		makeRoom();
		openConnectionsForWaiters();
		return () => {
			const index = waiters.indexOf(waiter);
			if (index !== -1) {
				waiters.splice(index, 1);
			}
		};
	}

	function takeIdleConnection(isTrustRequired: boolean): Connection | undefined {
		const activeSince = isTrustRequired ? options.getNow() - options.trustMilliseconds : Number.NEGATIVE_INFINITY;
		const index = idleConnections.findLastIndex(connection => connection.lastActiveAt >= activeSince);
		return index === -1 ? undefined : idleConnections.splice(index, 1)[0];
	}

	/** Closes the longest idle connection, which the current request can't use, if the limit is reached. */
	function makeRoom(): void {
		const oldest = idleConnections[0];
		if (oldest && openCount + openingCount >= options.getLimit()) {
			closeConnection(oldest);
		}
	}

	function openConnectionsForWaiters(): void {
		const missingCount = waiters.length - openingCount;
		for (let index = 0; index < missingCount && openCount + openingCount < options.getLimit(); index++) {
			openConnection();
		}
	}

	function openSpareConnection(): void {
		if (idleConnections.length + openingCount < options.spares && openCount + openingCount < options.getLimit() && !isClosed) {
			openConnection();
		}
	}

	function openConnection(): void {
		openingCount++;
		try {
			connect({
				hostname, host: options.address, protocol: 'http:', port: String(port), localAddress: options.localAddress ?? null,
			}, handleConnect);
		} catch (error) {
			// The connector throws for an address that can't be one.
			queueMicrotask(() => {
				handleConnect(error instanceof Error ? error : new Error(String(error)), null);
			});
		}
	}

	function handleConnect(...[error, socket]: undici.buildConnector.CallbackArgs): void {
		openingCount--;
		if (error) {
			failUnservedWaiter();
			return;
		}

		if (isClosed) {
			socket.destroy();
			failUnservedWaiter();
			return;
		}

		openCount++;
		assignConnection(createConnection(socket));
	}

	/** Fails the oldest request for a connection when there are more requests than connections being opened. */
	function failUnservedWaiter(): void {
		if (openingCount >= waiters.length) {
			return;
		}

		waiters.shift()?.listener(undefined);
	}

	function createConnection(socket: net.Socket): Connection {
		const client = undiciParts.createClient(origin, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: options.idleMilliseconds * 2,
			keepAliveMaxTimeout: options.idleMilliseconds * 2,
			connect(_connectOptions, callback) {
				// The client ignores a callback that is invoked before this function has returned.
				queueMicrotask(() => {
					if (socket.destroyed) {
						callback(new Error('The connection is closed.'), null);
					} else {
						callback(null, socket);
					}
				});
			},
		});
		const connection: Connection = {
			client, socket, reading: readingControl.createReadingControl(socket), lastActiveAt: options.getNow(), isClosed: false, isBroken: false,
		};
		socket.once('error', () => {
			connection.isBroken = true;
		});
		// The client's listener must find the result, so this one runs first.
		socket.prependOnceListener('end', () => {
			connection.isBroken ||= !isPeerKnown(socket);
		});
		socket.once('close', () => {
			closeConnection(connection);
		});
		return connection;
	}

	function closeConnection(connection: Connection): void {
		if (connection.isClosed) {
			return;
		}

		connection.isClosed = true;
		openCount--;
		const index = idleConnections.indexOf(connection);
		if (index !== -1) {
			idleConnections.splice(index, 1);
		}

		void connection.client.destroy().catch(() => undefined);
		connection.socket.destroy();
		openConnectionsForWaiters();
	}

	/** Passes a connection that was active just now to the oldest waiter; without one, the connection becomes idle. */
	function assignConnection(connection: Connection): void {
		const waiter = waiters.shift();
		if (waiter) {
			waiter.listener(connection);
		} else if (isClosed) {
			closeConnection(connection);
		} else {
			idleConnections.push(connection);
		}
	}

	return {
		acquire,
		release(connection) {
			if (!connection.isClosed) {
				connection.lastActiveAt = options.getNow();
				assignConnection(connection);
			}
		},
		discard: closeConnection,
		closeInactiveSince(time) {
			for (const connection of idleConnections.filter(({lastActiveAt: lastHeardAt}) => lastHeardAt < time)) {
				closeConnection(connection);
			}
		},
		closeExpired() {
			const idleSince = options.getNow() - options.idleMilliseconds;
			for (const connection of idleConnections.filter(({lastActiveAt: lastHeardAt}) => lastHeardAt < idleSince)) {
				closeConnection(connection);
			}
		},
		count: () => openCount + openingCount,
		close() {
			isClosed = true;
			for (const connection of idleConnections.splice(0)) {
				closeConnection(connection);
			}
		},
	};
}

/**
Whether the system still knows the peer of a socket, which is not the case after a reset.

libuv reports a reset that it finds together with the last bytes as a normal end. The address is cached once it has been
read, so it must not be read earlier.
*/
function isPeerKnown(socket: net.Socket): boolean {
	return socket.remoteAddress !== undefined;
}
