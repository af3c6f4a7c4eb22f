/** Tracks the connections of callers, so that a stop closes those that are idle and no others. */
import type * as http from 'node:http';
import * as net from 'node:net';
import * as callerReading from '../entry/caller-reading.ts';
import * as exchangesModule from '../entry/exchanges.ts';
import type * as portLimits from './port-limits.ts';

/** Connections of callers to one server. */
export type CallerConnections = {
	readonly reading: callerReading.CallerReading;
	readonly exchanges: Pick<exchangesModule.Exchanges, 'listOn'>;
	beginExchange(request: http.IncomingMessage, response: http.ServerResponse): exchangesModule.Exchange;
	/** Number of exchanges that have not ended. */
	countExchanges(): number;
	/** Number of exchanges on one connection that have not ended. */
	countExchangesOn(socket: net.Socket): number;
	/** Accepts no more connections, and closes each connection once it has no request. */
	stop(): void;
	/** Resets the connections that still have requests, so that a response that ends with its connection isn't taken for complete. */
	reset(): void;
};

type ConnectionState = {
	/** Number of bytes that were received when the last exchange ended. */
	receivedBytes: number;
};

/** Tracks the connections of a server from now on, and limits those without a request; `getNow` returns the present time in milliseconds of a monotonic clock. */
export function trackConnections(server: http.Server, port: portLimits.LimitedPort, getNow: () => number): CallerConnections {
	const connections = new Map<net.Socket, ConnectionState>();
	const exchanges = exchangesModule.createExchanges();
	let isStopping = false;

	server.on('connection', (socket: net.Socket) => {
		connections.set(socket, {receivedBytes: 0});
		socket.once('close', () => {
			connections.delete(socket);
		});
	});

	function closeIfIdle(socket: net.Socket, state: ConnectionState): void {
		// A connection that has received part of a request is kept.
		if (isStopping && exchanges.countOn(socket) === 0 && socket.bytesRead === state.receivedBytes) {
			socket.destroySoon();
		}
	}

	return {
		reading: callerReading.createCallerReading(server, exchanges, getNow),
		exchanges,
		beginExchange(request, response) {
			const {socket} = request;
			const exchange = exchanges.begin(request, response);
			port.beginUse(socket);
			exchange.onEnd(() => {
				const state = connections.get(socket);
				if (!state) {
					return;
				}

				state.receivedBytes = socket.bytesRead;
				closeIfIdle(socket, state);
				if (exchanges.countOn(socket) === 0) {
					port.endUse(socket);
				}
			});
			return exchange;
		},
		countExchanges: exchanges.count,
		countExchangesOn: exchanges.countOn,
		stop() {
			isStopping = true;
			// `http.Server.close` also closes connections whose responses were written, but not yet taken by the system.
			net.Server.prototype.close.call(server);
			for (const [socket, state] of connections) {
				closeIfIdle(socket, state);
			}
		},
		reset() {
			for (const socket of connections.keys()) {
				if (exchanges.countOn(socket) > 0) {
					socket.resetAndDestroy();
				}
			}
		},
	};
}
