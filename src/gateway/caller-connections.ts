/** Tracks the connections of callers, so that a stop closes those that are idle and no others. */
import type * as http from 'node:http';
import * as net from 'node:net';
import type * as portLimits from './port-limits.ts';

/** Connections of callers to one server. */
export type CallerConnections = {
	/** Counts a request until its response was passed to the system or the connection has closed. */
	trackRequest(request: http.IncomingMessage, response: http.ServerResponse): void;
	/** Number of tracked requests. */
	countRequests(): number;
	/** Number of tracked requests on one connection. */
	countRequestsOn(socket: net.Socket): number;
	/** Accepts no more connections, and closes each connection once it has no request. */
	stop(): void;
	/** Resets the connections that still have requests, so that a response that ends with its connection isn't taken for complete. */
	reset(): void;
};

type ConnectionState = {
	openRequests: number;
	/** Number of bytes that were received when the last request ended. */
	receivedBytes: number;
};

/** Tracks the connections of a server from now on, and limits those without a request. */
export function trackConnections(server: http.Server, port: portLimits.LimitedPort): CallerConnections {
	const connections = new Map<net.Socket, ConnectionState>();
	let openRequests = 0;
	let isStopping = false;

	server.on('connection', (socket: net.Socket) => {
		connections.set(socket, {openRequests: 0, receivedBytes: 0});
		socket.once('close', () => {
			connections.delete(socket);
		});
	});

	function closeIfIdle(socket: net.Socket, state: ConnectionState): void {
		// A connection that has received part of a request is kept.
		if (isStopping && state.openRequests === 0 && socket.bytesRead === state.receivedBytes) {
			socket.destroySoon();
		}
	}

	return {
		trackRequest({socket}, response) {
			const state = connections.get(socket);
			openRequests++;
			if (state) {
				state.openRequests++;
				port.beginUse(socket);
			}

			response.once('close', () => {
				openRequests--;
				if (state) {
					state.openRequests--;
					state.receivedBytes = socket.bytesRead;
					closeIfIdle(socket, state);
					if (state.openRequests === 0) {
						port.endUse(socket);
					}
				}
			});
		},
		countRequests: () => openRequests,
		countRequestsOn: socket => connections.get(socket)?.openRequests ?? 0,
		stop() {
			isStopping = true;
			// `http.Server.close` also closes connections whose responses were written, but not yet taken by the system.
			net.Server.prototype.close.call(server);
			for (const [socket, state] of connections) {
				closeIfIdle(socket, state);
			}
		},
		reset() {
			for (const [socket, state] of connections) {
				if (state.openRequests > 0) {
					socket.resetAndDestroy();
				}
			}
		},
	};
}
