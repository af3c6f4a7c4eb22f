/** Closes the connections of an HTTP server that have no request, without losing one that is about to be read. */
import type * as http from 'node:http';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import type * as closingConnections from './closing-connections.ts';

/** Dependencies of the idle connections of a server. */
export type IdleConnectionsHost = {
	readonly closing: closingConnections.ClosingConnections<net.Socket>;
	/** Number of exchanges on one connection that have not ended. */
	countOn(socket: net.Socket): number;
};

/** Connections of one server that may have no request. */
export type IdleConnections = {
	/** Records that the last exchange on a connection has ended. */
	recordIdle(socket: net.Socket): void;
	/** Accepts no more connections, and closes each connection once it has no request; resolves when those without one are being closed. */
	stop(): Promise<void>;
};

/** Number of connections that wait in the system at most: the default of Node.js. */
const maximumWaiting = 511;

/** Tracks the connections of a server from now on, and closes them when they have been idle for the timeout of the server. */
export function trackIdleConnections(server: http.Server, {closing, countOn}: IdleConnectionsHost): IdleConnections {
	/** Number of bytes that each open connection had received when its last exchange ended. */
	const receivedBytes = new Map<net.Socket, number>();
	let isStopping = false;
	let acceptedCount = 0;

	server.on('timeout', closeIfUnused);
	server.on('connection', (socket: net.Socket) => {
		acceptedCount++;
		receivedBytes.set(socket, 0);
		socket.once('close', () => {
			receivedBytes.delete(socket);
		});
	});

	/** Closes a connection without a request, unless something arrives in the present turn of the event loop: a process that is late finds a timer due and the next request unread. */
	function closeIfUnused(socket: net.Socket): void {
		const {bytesRead} = socket;
		setImmediate(() => {
			if (countOn(socket) === 0 && socket.bytesRead === bytesRead) {
				closing.close(socket);
			}
		});
	}

	/** Accepts the connections that wait in the system, which resets them otherwise: a process that is late finds the end of the notice due before them. */
	async function acceptWaiting(): Promise<void> {
		let lastCount = -1;
		for (let turns = 0; turns < maximumWaiting && acceptedCount !== lastCount; turns++) {
			lastCount = acceptedCount;
			// One connection is accepted in each turn of the event loop.
			await timers.setImmediate();
		}
	}

	return {
		recordIdle(socket) {
			if (!receivedBytes.has(socket)) {
				return;
			}

			receivedBytes.set(socket, socket.bytesRead);
			if (isStopping) {
				closeIfUnused(socket);
			}
		},
		async stop() {
			isStopping = true;
			await acceptWaiting();
			// `http.Server.close` also closes connections whose responses were written, but not yet taken by the system.
			net.Server.prototype.close.call(server);
			for (const [socket, bytes] of receivedBytes) {
				// A connection that has received part of a request is kept.
				if (socket.bytesRead === bytes) {
					closeIfUnused(socket);
				}
			}

			await timers.setImmediate();
		},
	};
}
