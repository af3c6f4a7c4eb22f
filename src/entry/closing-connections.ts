/**
Closes connections of an HTTP server without losing what is on its way.

The system resets a connection that is closed while bytes of the caller are unread, or that receives more afterwards, and a
reset may overtake a response. So a connection is closed in steps (RFC 9112, section 9.6): nothing that arrives is handled
any more, the end is sent behind what was written, and what arrives is discarded until the caller closes its side as well,
or sends nothing for some time. Many callers read nothing before they have sent their whole body.
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

/** Receives the progress of closing; all listeners are optional. */
export type ClosingListener<Socket> = {
	/** Called when a connection begins to close. */
	onClosing?(socket: Socket): void;
	/** Called when a caller still sends some time after it was told the end. */
	onLate?(socket: Socket): void;
};

/** Time in which a caller that has been told the end must send something, in milliseconds. */
const lingerMilliseconds = 1000;
/** Maximum number of these times for which a caller may still send. */
const maximumLingers = 10;
const ignore = () => undefined;

/** Creates the tracker without connections. */
export function createClosingConnections<Socket extends stream.Duplex>({onClosing = ignore, onLate = ignore}: ClosingListener<Socket> = {}): ClosingConnections<Socket> {
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
		let lingers = 0;
		let hasSent = false;
		let timer = setTimeout(endLinger, lingerMilliseconds);
		socket.on('data', () => {
			hasSent = true;
		});
		socket.once('close', () => {
			clearTimeout(timer);
		});

		/** A process that is late finds the timer due before it reads what was sent in time. */
		function endLinger(): void {
			setImmediate(() => {
				lingers++;
				if (!hasSent || lingers === maximumLingers) {
					socket.destroy();
				} else if (!socket.destroyed) {
					hasSent = false;
					timer = setTimeout(endLinger, lingerMilliseconds);
					onLate(socket);
				}
			});
		}
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
export function closeInSteps(server: net.Server, listener?: ClosingListener<net.Socket>): ClosingConnections<net.Socket> {
	const closing = createClosingConnections<net.Socket>(listener);
	server.on('connection', (socket: net.Socket) => {
		socket.destroySoon = () => {
			closing.close(socket);
		};
	});
	return closing;
}
