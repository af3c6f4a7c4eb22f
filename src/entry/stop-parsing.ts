/**
Ends the parsing of what an HTTP server has read from a connection.

Load pattern: a caller sends rows of the shortest requests. The server reads 64 KiB at a time and makes objects of all
requests in it, some thousands, before anything else happens, also if the first of them have shown that there are too many.
*/
import type * as stream from 'node:stream';

/** Result for the parser of Node.js by which it takes what follows a head for another protocol. */
const otherProtocol = 2;

/** Makes the head that is parsed next on a connection the last one. What follows is neither parsed nor kept. */
export function stopParsing(socket: stream.Duplex): void {
	const parser: unknown = Reflect.get(socket, 'parser');
	if (typeof parser === 'object' && parser !== null) {
		Reflect.set(parser, 'onIncoming', () => otherProtocol);
	}
}
