/**
Connections to one upstream: each is an undici client with at most one call at a time.

Connections are opened ahead of need, dropped when idle for long or when another one turned out to be silent, and
never exceed the limit that the entry has for the upstream.
*/
import type * as net from 'node:net';
import type * as undici from 'undici';
import {splitAddress} from './address.ts';
import * as undiciParts from './undici-parts.ts';

export type ConnectionPoolOptions = {
	/** Host and port of the upstream. */
	readonly address: string;
	readonly connectTimeoutMilliseconds: number;
	readonly idleMilliseconds: number;
	readonly trustMilliseconds: number;
	readonly spares: number;
	/** Connections that this entry may have; read at each use. */
	getLimit(): number;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

export type Connection = {
	readonly client: undici.Client;
	/** Last time at which the upstream was heard on this connection. */
	lastHeardAt: number;
	isClosed: boolean;
	/** Whether the connection was reset or failed, rather than closed in order. */
	isBroken: boolean;
};

/** Receives a connection, or undefined when none could be opened. */
export type ConnectionListener = (connection: Connection | undefined) => void;

export type ConnectionPool = {
	/** Gets a connection, now or later; a trusted one is new or was heard lately. Returns a function that takes the request back. */
	acquire(isTrustNeeded: boolean, listener: ConnectionListener): () => void;
	/** Gives a connection back after a whole answer. */
	release(connection: Connection): void;
	/** Closes a connection whose call did not end well. */
	discard(connection: Connection): void;
	/** Closes idle connections that were not heard since a connection went silent at the given time. */
	dropUnheardSince(time: number): void;
	/** Closes connections that were idle for long. */
	closeIdle(): void;
	/** Open connections and those being opened. */
	count(): number;
	/** Closes idle connections and refuses new ones; connections in use close when they are given back. */
	close(): void;
};

type Waiter = {readonly listener: ConnectionListener; isWithdrawn: boolean};

/** Creates an empty pool. */
export function createConnectionPool(options: ConnectionPoolOptions): ConnectionPool {
	const idle: Connection[] = [];
	const waiters: Waiter[] = [];
	const origin = `http://${options.address}`;
	const {host: hostname, port} = splitAddress(options.address);
	const connect = undiciParts.buildConnector({timeout: options.connectTimeoutMilliseconds, keepAlive: true, keepAliveInitialDelay: 1000});
	let open = 0;
	let opening = 0;
	let isClosed = false;

	function acquire(isTrustNeeded: boolean, listener: ConnectionListener): () => void {
		const waiter: Waiter = {listener, isWithdrawn: false};
		const connection = takeIdle(isTrustNeeded);
		if (connection) {
			openSpares();
			listener(connection);
			return () => undefined;
		}

		waiters.push(waiter);
		makePlace();
		openForWaiters();
		return () => {
			waiter.isWithdrawn = true;
		};
	}

	function takeIdle(isTrustNeeded: boolean): Connection | undefined {
		const heardAfter = isTrustNeeded ? options.getNow() - options.trustMilliseconds : Number.NEGATIVE_INFINITY;
		const index = idle.findLastIndex(connection => connection.lastHeardAt >= heardAfter);
		return index === -1 ? undefined : idle.splice(index, 1)[0];
	}

	/** Closes an idle connection that no waiter trusts, where the limit leaves no place for a new one. */
	function makePlace(): void {
		const oldest = idle[0];
		if (oldest && open + opening >= options.getLimit()) {
			forget(oldest);
		}
	}

	function openForWaiters(): void {
		const wanted = countWaiters() - opening;
		for (let index = 0; index < wanted && open + opening < options.getLimit(); index++) {
			openConnection();
		}
	}

	function openSpares(): void {
		if (idle.length + opening < options.spares && open + opening < options.getLimit() && !isClosed) {
			openConnection();
		}
	}

	function countWaiters(): number {
		let count = 0;
		for (const waiter of waiters) {
			if (!waiter.isWithdrawn) {
				count++;
			}
		}

		return count;
	}

	function openConnection(): void {
		opening++;
		connect({
			hostname, host: options.address, protocol: 'http:', port: String(port),
		}, (error, socket) => {
			opening--;
			if (error ?? isClosed) {
				socket?.destroy();
				failWaiters();
				return;
			}

			open++;
			hand(createConnection(socket));
		});
	}

	/** Without any connection left to hope for, the longest waiting call learns that it was not sent. */
	function failWaiters(): void {
		if (opening >= countWaiters()) {
			return;
		}

		takeWaiter()?.listener(undefined);
	}

	function createConnection(socket: net.Socket): Connection {
		const client = undiciParts.createClient(origin, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: options.idleMilliseconds * 2,
			keepAliveMaxTimeout: options.idleMilliseconds * 2,
			connect(_connectOptions, callback) {
				// The client ignores an answer that comes before this function has returned.
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
			client, lastHeardAt: options.getNow(), isClosed: false, isBroken: false,
		};
		socket.once('error', () => {
			connection.isBroken = true;
		});
		socket.once('close', () => {
			forget(connection);
		});
		return connection;
	}

	function forget(connection: Connection): void {
		if (connection.isClosed) {
			return;
		}

		connection.isClosed = true;
		open--;
		const index = idle.indexOf(connection);
		if (index !== -1) {
			idle.splice(index, 1);
		}

		void connection.client.destroy().catch(() => undefined);
		openForWaiters();
	}

	function takeWaiter(): Waiter | undefined {
		let waiter = waiters.shift();
		while (waiter?.isWithdrawn) {
			waiter = waiters.shift();
		}

		return waiter;
	}

	/** Gives a connection that was heard just now to the longest waiting call, or keeps it. */
	function hand(connection: Connection): void {
		const waiter = takeWaiter();
		if (waiter) {
			waiter.listener(connection);
		} else if (isClosed) {
			forget(connection);
		} else {
			idle.push(connection);
		}
	}

	return {
		acquire,
		release(connection) {
			if (!connection.isClosed) {
				connection.lastHeardAt = options.getNow();
				hand(connection);
			}
		},
		discard: forget,
		dropUnheardSince(time) {
			for (const connection of idle.filter(({lastHeardAt}) => lastHeardAt < time)) {
				forget(connection);
			}
		},
		closeIdle() {
			const heardBefore = options.getNow() - options.idleMilliseconds;
			for (const connection of idle.filter(({lastHeardAt}) => lastHeardAt < heardBefore)) {
				forget(connection);
			}
		},
		count: () => open + opening,
		close() {
			isClosed = true;
			for (const connection of idle) {
				forget(connection);
			}
		},
	};
}
