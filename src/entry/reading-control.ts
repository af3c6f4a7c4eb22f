/**
Holds back the reading from a socket whose reader takes its data with `read`.

The HTTP client can pause by itself, but a connection that ends while it is paused makes it throw an error that nobody can
catch. Held back like this, it reads the rest of the data and the end of the connection later.
*/
import type * as net from 'node:net';
import * as process from 'node:process';

/** Controls the reading from one socket. */
export type ReadingControl = {
	/** Leaves further data in the socket, whose limited buffer makes the other side wait. */
	hold(): void;
	/** Lets the reader read on. */
	release(): void;
};

/** Creates the control; the socket is read without a limit until `hold` is called. */
export function createReadingControl(socket: net.Socket): ReadingControl {
	const read = socket.read.bind(socket);
	let isHeld = false;
	socket.read = (size?: number): unknown => isHeld && size !== 0 ? null : read(size);

	return {
		hold() {
			isHeld = true;
		},
		release() {
			if (!isHeld) {
				return;
			}

			isHeld = false;
			// The caller may run inside the reader.
			process.nextTick(() => {
				if (!isHeld && !socket.destroyed) {
					socket.emit('readable');
				}
			});
		},
	};
}
