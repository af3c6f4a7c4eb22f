/**
Delivers the responses of each connection in the order of its requests.

How a response ends and whether it closes the connection depends on the requests behind it, so it is written only when all
responses before it have been passed to the system.
*/
import type * as net from 'node:net';
import type * as exchangesModule from '../entry/exchanges.ts';

/** Delivers responses in order. */
export type ResponseOrder = {
	/** Calls a function once all exchanges before this one on its connection have ended, unless the exchange ends first. */
	deliver(exchange: exchangesModule.Exchange, write: () => void): void;
};

/** Creates the order of the responses of a server. */
export function createResponseOrder(exchanges: Pick<exchangesModule.Exchanges, 'listOn'>): ResponseOrder {
	const waiting = new WeakMap<exchangesModule.Exchange, () => void>();

	function writeNext(socket: net.Socket): void {
		const first = exchanges.listOn(socket).at(0);
		const write = first && waiting.get(first);
		if (write && !socket.destroyed) {
			waiting.delete(first);
			write();
		}
	}

	return {
		deliver(exchange, write) {
			if (exchange.hasEnded()) {
				return;
			}

			const {socket} = exchange;
			exchange.onEnd(() => {
				writeNext(socket);
			});
			waiting.set(exchange, write);
			writeNext(socket);
		},
	};
}
