/** Tracks the connections of callers and their requests, so that a stop closes those that are idle and no others. */
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as callerReading from '../entry/caller-reading.ts';
import * as closingConnections from '../entry/closing-connections.ts';
import * as exchangesModule from '../entry/exchanges.ts';
import * as idleConnections from '../entry/idle-connections.ts';
import type * as portLimits from './port-limits.ts';

/** Why a connection ended although a request on it was not answered; `server` if the HTTP server closed it by itself. */
export type CutReason = 'response-not-taken' | 'stop-over' | 'connection-failed' | 'server';

/** A connection that ended, although its caller had not left, with requests that were not answered. */
export type CutConnection = {
	readonly reason: CutReason;
	/** Number of requests that were not answered. */
	readonly open: number;
	/** Number of those that were passed on. */
	readonly passedOn: number;
};

/** Dependencies of the connections. */
export type CallerConnectionsHost = {
	readonly port: portLimits.LimitedPort;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Called when a request arrives while another one of its connection is in progress. */
	onRequestAhead(): void;
	onCut(cut: CutConnection): void;
};

/** Connections of callers to one server. */
export type CallerConnections = {
	readonly reading: callerReading.CallerReading;
	readonly closing: closingConnections.ClosingConnections<net.Socket>;
	readonly exchanges: Pick<exchangesModule.Exchanges, 'listOn'>;
	beginExchange(request: http.IncomingMessage, response: http.ServerResponse): exchangesModule.Exchange;
	/** Records that the request of an exchange is passed on, so that its caller must be told how it ended. */
	recordPassedOn(exchange: exchangesModule.Exchange): void;
	isPassedOn(exchange: exchangesModule.Exchange): boolean;
	/** Resets a connection, whatever is in progress on it. */
	cut(socket: net.Socket, reason: CutReason): void;
	/** Number of exchanges that have not ended. */
	countExchanges(): number;
	/** Number of exchanges whose response is written, but not yet taken by the system. */
	countWritten(): number;
	/** Number of exchanges on one connection that have not ended. */
	countExchangesOn(socket: net.Socket): number;
	/** Accepts no more connections, and closes each connection once it has no request; resolves when those without one are being closed. */
	stop(): Promise<void>;
	/** Ends the connections that still have requests. Those with a response that has begun are reset, so that one that ends with its connection isn't taken for complete. */
	reset(): void;
};

type ConnectionState = {
	/** Why the entry closes the connection. */
	cutReason: CutReason;
	/** Whether the caller has closed the connection, or it failed. */
	hasCallerLeft: boolean;
	/** Whether a request of the connection was passed on. */
	hasPassedOn: boolean;
};

/** Codes of errors by which a connection shows that its caller has reset it. */
const resetCodes: ReadonlySet<string | undefined> = new Set(['ECONNRESET', 'EPIPE']);

/** Tracks the connections of a server from now on, and limits those without a request. */
export function trackConnections(server: http.Server, host: CallerConnectionsHost): CallerConnections {
	const {port, getNow} = host;
	const connections = new Map<net.Socket, ConnectionState>();
	const exchanges = exchangesModule.createExchanges();
	const passedOn = new WeakSet<exchangesModule.Exchange>();
	const closing = closingConnections.closeInSteps(server, {
		onClosing(socket) {
			port.beginClosing(socket, connections.get(socket)?.hasPassedOn ? 'answer' : 'refusal');
		},
		onLate: port.endProtection,
	});
	const idle = idleConnections.trackIdleConnections(server, {closing, countOn: exchanges.countOn});

	server.on('connection', (socket: net.Socket) => {
		const state: ConnectionState = {cutReason: 'server', hasCallerLeft: false, hasPassedOn: false};
		connections.set(socket, state);
		socket.once('end', () => {
			state.hasCallerLeft = true;
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			if (state.cutReason !== 'server') {
				return;
			}

			if (resetCodes.has(error.code)) {
				state.hasCallerLeft = true;
			} else {
				state.cutReason = 'connection-failed';
			}
		});
		socket.once('close', () => {
			connections.delete(socket);
			reportCut(socket, state);
		});
	});

	function reportCut(socket: net.Socket, {cutReason: reason, hasCallerLeft}: ConnectionState): void {
		const open = exchanges.listOn(socket);
		if (open.length > 0 && !hasCallerLeft) {
			host.onCut({reason, open: open.length, passedOn: open.filter(exchange => passedOn.has(exchange)).length});
		}
	}

	function recordCutReason(socket: net.Socket, reason: CutReason): void {
		const state = connections.get(socket);
		if (state) {
			state.cutReason = reason;
		}
	}

	function cut(socket: net.Socket, reason: CutReason): void {
		recordCutReason(socket, reason);
		socket.resetAndDestroy();
	}

	/** Ends a connection at the end of a stop. A reset would also discard the responses to earlier requests that the system has taken and not sent yet. */
	function endStopped(socket: net.Socket): void {
		if (exchanges.listOn(socket).some(({response}) => response.headersSent)) {
			cut(socket, 'stop-over');
			return;
		}

		recordCutReason(socket, 'stop-over');
		socket.destroy();
	}

	return {
		reading: callerReading.createCallerReading(server, exchanges, getNow),
		closing,
		exchanges,
		beginExchange(request, response) {
			const {socket} = request;
			const exchange = exchanges.begin(request, response);
			if (exchanges.countOn(socket) > 1) {
				host.onRequestAhead();
			}

			port.beginUse(socket);
			exchange.onEnd(() => {
				if (!connections.has(socket) || exchanges.countOn(socket) > 0) {
					return;
				}

				port.endUse(socket);
				idle.recordIdle(socket);
			});
			return exchange;
		},
		recordPassedOn(exchange) {
			passedOn.add(exchange);
			const state = connections.get(exchange.socket);
			if (state) {
				state.hasPassedOn = true;
			}
		},
		isPassedOn: exchange => passedOn.has(exchange),
		cut,
		countExchanges: exchanges.count,
		countWritten: () => [...connections.keys()].reduce((sum, socket) => sum + exchanges.listOn(socket).filter(({response}) => response.writableEnded).length, 0),
		countExchangesOn: exchanges.countOn,
		stop: idle.stop,
		reset() {
			for (const socket of connections.keys()) {
				if (exchanges.countOn(socket) > 0) {
					endStopped(socket);
				}
			}
		},
	};
}
