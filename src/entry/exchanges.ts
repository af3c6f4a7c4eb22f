/**
Tracks the exchanges of an HTTP server. An exchange is a request with its response.

An exchange ends exactly once: when its response has been passed to the system, when its connection closes, or when its
caller stops sending before the response is complete. Everything that is held for a request is released at that end, and
at no other event, since Node.js emits `close` on a response only if its turn on the connection has come.
*/
import type * as http from 'node:http';
import type * as net from 'node:net';

/** How an exchange ended. */
export type ExchangeEnd = 'responded' | 'caller-left';

/** A request with its response. */
export type Exchange = {
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	/** Connection of the request. The request itself loses it when its body is destroyed unread. */
	readonly socket: net.Socket;
	/** Calls a listener when the exchange ends; at once if it has ended. */
	onEnd(listener: (end: ExchangeEnd) => void): void;
	hasEnded(): boolean;
};

/** The exchanges of a server that have not ended. */
export type Exchanges = {
	begin(request: http.IncomingMessage, response: http.ServerResponse): Exchange;
	count(): number;
	countOn(socket: net.Socket): number;
	listOn(socket: net.Socket): readonly Exchange[];
};

type OpenExchange = Exchange & {end(end: ExchangeEnd): void};

/** Tracks exchanges; all that are begun on a connection end with it. */
export function createExchanges(): Exchanges {
	const openBySocket = new Map<net.Socket, Set<OpenExchange>>();
	let openCount = 0;

	function track(socket: net.Socket): Set<OpenExchange> {
		const tracked = openBySocket.get(socket);
		if (tracked) {
			return tracked;
		}

		const open = new Set<OpenExchange>();
		openBySocket.set(socket, open);
		socket.once('end', () => {
			// The server ends its side as well, so only responses that are complete can still be sent.
			for (const exchange of [...open].filter(({response}) => !response.writableEnded)) {
				exchange.end('caller-left');
			}
		});
		socket.once('close', () => {
			openBySocket.delete(socket);
			for (const exchange of open) {
				exchange.end(getEndAtClose(exchange.response));
			}
		});
		return open;
	}

	return {
		begin(request, response) {
			const {socket} = request;
			const open = socket.closed ? undefined : track(socket);
			const listeners: Array<(end: ExchangeEnd) => void> = [];
			let ended: ExchangeEnd | undefined;
			const exchange: OpenExchange = {
				request,
				response,
				socket,
				onEnd(listener) {
					if (ended) {
						listener(ended);
					} else {
						listeners.push(listener);
					}
				},
				hasEnded: () => ended !== undefined,
				end(end) {
					if (ended) {
						return;
					}

					ended = end;
					open?.delete(exchange);
					openCount--;
					for (const listener of listeners.splice(0)) {
						listener(end);
					}
				},
			};
			openCount++;
			open?.add(exchange);
			response.once('close', () => {
				exchange.end(getEndAtClose(response));
			});
			if (!open) {
				exchange.end('caller-left');
			}

			return exchange;
		},
		count: () => openCount,
		countOn: socket => openBySocket.get(socket)?.size ?? 0,
		listOn: socket => [...openBySocket.get(socket) ?? []],
	};
}

function getEndAtClose({writableFinished}: http.ServerResponse): ExchangeEnd {
	return writableFinished ? 'responded' : 'caller-left';
}
