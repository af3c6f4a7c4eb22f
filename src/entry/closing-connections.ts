/**
Closes connections of an HTTP server without losing what is on its way.

The system resets a connection that is closed while bytes of the caller are unread, or that receives more afterwards, and a
reset may overtake a response. So a connection is closed in steps (RFC 9112, section 9.6): nothing that arrives is handled
any more, the end is sent behind what was written, and what arrives is discarded until the caller closes its side as well,
or some time has passed.
*/
import type * as net from 'node:net';
import type * as stream from 'node:stream';
import * as stopParsing from './stop-parsing.ts';

/** Connections of one server that are being closed. */
export type ClosingConnections<Socket> = {
	/** Whether nothing that arrives on a connection is handled any more. */
	isClosing(socket: Socket): boolean;
	/** Discards what arrives on a connection from now on. Requests that were read keep their responses. */
	stopReading(socket: Socket): void;
	/** Closes a connection once everything that was written to it has been passed to the system. */
	close(socket: Socket): void;
	/** Number of connections that have been told the end, but are still open. */
	count(): number;
};

/** Time after the end was sent for which the caller may still send, in milliseconds. */
const lingerMilliseconds = 1000;
const ignore = () => undefined;

/** Creates the tracker without connections; the listener is called when a connection begins to close. */
export function createClosingConnections<Socket extends stream.Duplex>(onClosing: (socket: Socket) => void = ignore): ClosingConnections<Socket> {
	const unread = new WeakSet<Socket>();
	const ending = new Set<Socket>();

	/** Takes the connection from the parser of the server, which reads it by listening to its data. */
	function stopReading(socket: Socket): void {
		if (unread.has(socket)) {
			return;
		}

		unread.add(socket);
		stopParsing.stopParsing(socket);
		// The server reads the socket natively until somebody else listens to its data.
		socket.on('data', ignore);
		socket.removeAllListeners('data');
		socket.on('data', ignore);
		socket.resume();
	}

	function linger(socket: Socket): void {
		const timer = setTimeout(() => {
			socket.destroy();
		}, lingerMilliseconds);
		socket.once('close', () => {
			clearTimeout(timer);
		});
	}

	return {
		isClosing: socket => unread.has(socket),
		stopReading,
		close(socket) {
			if (ending.has(socket) || socket.destroyed) {
				return;
			}

			stopReading(socket);
			ending.add(socket);
			onClosing(socket);
			socket.once('close', () => {
				ending.delete(socket);
			});
			socket.end();
			if (socket.writableLength === 0) {
				linger(socket);
			} else {
				socket.once('finish', () => {
					linger(socket);
				});
			}
		},
		count: () => ending.size,
	};
}

/** Closes the connections of a server in steps where Node.js would destroy them after their last response. */
export function closeInSteps(server: net.Server, onClosing?: (socket: net.Socket) => void): ClosingConnections<net.Socket> {
	const closing = createClosingConnections<net.Socket>(onClosing);
	server.on('connection', (socket: net.Socket) => {
		socket.destroySoon = () => {
			closing.close(socket);
		};
	});
	return closing;
}
