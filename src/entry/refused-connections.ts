/**
Refuses connections of an HTTP server as a whole, because what arrives on them is no request or comes too slowly.

The answer to such a connection promises that nothing has run, so nothing that arrives on it afterwards may be handled:
the parser still reads a request that was on its way. Requests before it keep their responses.
*/
import type * as http from 'node:http';
import type * as stream from 'node:stream';
import type * as closingConnections from './closing-connections.ts';
import type * as exchangesModule from './exchanges.ts';

/** What is needed of an exchange. */
export type OpenExchange = Pick<exchangesModule.Exchange, 'onEnd' | 'hasEnded'> & {
	readonly request: Pick<http.IncomingMessage, 'complete'>;
	readonly response: Pick<http.ServerResponse, 'headersSent'>;
};

/** Connections of one server that were refused. */
export type RefusedConnections<Socket> = {
	/** Whether nothing that arrives on a connection may be handled any more. */
	isRefused(socket: Socket): boolean;
	/** Refuses a connection: writes an answer behind the responses that are not complete yet, and closes it soon. */
	refuse(socket: Socket, answer: string): void;
};

/** Dependencies of the refused connections of a server. */
export type RefusedConnectionsHost<Socket> = {
	/** Whether an answer is true for a request whose body is incomplete and may have been passed on in part. */
	readonly answersIncomplete: boolean;
	readonly closing: closingConnections.ClosingConnections<Socket>;
	listOn(socket: Socket): readonly OpenExchange[];
};

/** Creates the refused connections of a server. */
export function createRefusedConnections<Socket extends stream.Duplex>(host: RefusedConnectionsHost<Socket>): RefusedConnections<Socket> {
	const refused = new WeakSet<Socket>();

	function answerAndClose(socket: Socket, answer: string): void {
		if (socket.writable) {
			socket.write(answer);
		}

		host.closing.close(socket);
	}

	/** Calls a function once all exchanges have ended with a response. */
	function afterResponses(socket: Socket, open: readonly OpenExchange[], listener: () => void): void {
		for (const exchange of open) {
			exchange.onEnd(end => {
				if (end === 'caller-left') {
					socket.destroy();
				} else if (open.every(({hasEnded}) => hasEnded())) {
					listener();
				}
			});
		}
	}

	return {
		isRefused: socket => refused.has(socket),
		refuse(socket, answer) {
			if (refused.has(socket)) {
				return;
			}

			refused.add(socket);
			host.closing.stopReading(socket);
			const open = host.listOn(socket);
			const complete = open.filter(({request}) => request.complete);
			const isIncomplete = complete.length < open.length;
			const isAnswerable = open.length === 1 && host.answersIncomplete && !open[0]!.response.headersSent;
			if (isIncomplete && !isAnswerable) {
				// The rest of its body can't be told from what follows.
				if (complete.length === 0) {
					socket.destroy();
				} else {
					afterResponses(socket, complete, () => {
						host.closing.close(socket);
					});
				}

				return;
			}

			if (open.length === 0 || isIncomplete) {
				answerAndClose(socket, answer);
				return;
			}

			afterResponses(socket, open, () => {
				answerAndClose(socket, answer);
			});
		},
	};
}
