/** Refuses connections of callers on which no request can be read: what arrives is malformed, or its head is late. */
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as closingConnections from '../entry/closing-connections.ts';
import type * as exchangesModule from '../entry/exchanges.ts';
import * as refusedConnections from '../entry/refused-connections.ts';
import type * as frontRefusals from './front-refusals.ts';

/** Dependencies of the refusals. */
export type BadConnectionsHost = {
	readonly exchanges: Pick<exchangesModule.Exchanges, 'listOn'>;
	readonly closing: closingConnections.ClosingConnections<net.Socket>;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	recordRefusal(reason: frontRefusals.FrontRefusal, id: string | undefined, statusCode: number): void;
};

/** Refuses bad connections of a server. */
export type BadConnections = {
	/** Sets the time after which a connection without any bytes is closed, in milliseconds. */
	setIdleTimeout(milliseconds: number): void;
};

const timeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Status codes for requests that can't be parsed, by the error code of Node.js. */
const clientErrorStatuses: Readonly<Record<string, number>> = {
	HPE_HEADER_OVERFLOW: 431, // eslint-disable-line @typescript-eslint/naming-convention
	HPE_CHUNK_EXTENSIONS_OVERFLOW: 413, // eslint-disable-line @typescript-eslint/naming-convention
	[timeoutCode]: 408,
};
const malformedStatus = 400;
/** Longest time of a timer. */
const maximumTimerMilliseconds = 2_147_483_647;

/** Refuses the bad connections of a server from now on. */
export function refuseBadConnections(server: http.Server, host: BadConnectionsHost): BadConnections {
	const refused = refusedConnections.createRefusedConnections<net.Socket>({listOn: host.exchanges.listOn, closing: host.closing, answersIncomplete: false});
	const acceptedAt = new WeakMap<net.Socket, number>();
	let idleTimeoutMilliseconds = Number.POSITIVE_INFINITY;

	/** Closes a connection that brings no bytes in time. Its request may be on its way, so it gets no status. */
	function closeIfUntouched(socket: net.Socket): void {
		const age = host.getNow() - (acceptedAt.get(socket) ?? Number.NEGATIVE_INFINITY);
		const timer = setTimeout(() => {
			if (socket.bytesRead === 0) {
				socket.destroy();
			}
		}, Math.max(0, Math.min(idleTimeoutMilliseconds, maximumTimerMilliseconds) - age));
		socket.once('close', () => {
			clearTimeout(timer);
		});
	}

	server.on('connection', (socket: net.Socket) => {
		acceptedAt.set(socket, host.getNow());
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: net.Socket) => {
		if (error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		// Node.js counts the time for a head from the accept of the connection, also before its first byte.
		if (error.code === timeoutCode && socket.bytesRead === 0) {
			closeIfUntouched(socket);
			return;
		}

		refuse(socket, error.code === timeoutCode ? 'head-late' : 'malformed-request', clientErrorStatuses[error.code ?? ''] ?? malformedStatus);
	});

	function refuse(socket: net.Socket, reason: frontRefusals.FrontRefusal, statusCode: number): void {
		if (host.closing.isClosing(socket)) {
			return;
		}

		host.recordRefusal(reason, undefined, statusCode);
		refused.refuse(socket, `HTTP/1.1 ${statusCode} ${http.STATUS_CODES[statusCode] ?? ''}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
	}

	return {
		setIdleTimeout(milliseconds) {
			idleTimeoutMilliseconds = milliseconds;
		},
	};
}
