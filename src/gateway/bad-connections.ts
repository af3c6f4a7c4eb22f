/** Refuses connections of callers on which no more requests can be handled: what arrives is malformed, its head is late, or there are too many. */
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as closingConnections from '../entry/closing-connections.ts';
import type * as exchangesModule from '../entry/exchanges.ts';
import * as refusedConnections from '../entry/refused-connections.ts';
import type * as call from '../entry/call.ts';
import * as frontRefusals from './front-refusals.ts';

/** Dependencies of the refusals. */
export type BadConnectionsHost = {
	readonly exchanges: Pick<exchangesModule.Exchanges, 'listOn'>;
	readonly closing: closingConnections.ClosingConnections<net.Socket>;
	readonly headers: frontRefusals.RefusalHeadersHost['headers'];
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	recordRefusal(reason: frontRefusals.FrontRefusal, id: string | undefined, statusCode: number): void;
};

/** Refuses bad connections of a server. */
export type BadConnections = {
	/** Refuses a connection on which too many requests are not answered yet. Those that were read before are answered. */
	refuseExcess(socket: net.Socket): void;
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
/** Status for a method that asks for a tunnel. */
const tunnelStatus = 501;
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
			// A process that is late finds the timer due before it reads what has arrived.
			setImmediate(() => {
				if (socket.bytesRead === 0) {
					host.closing.close(socket);
				}
			});
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
	server.on('connect', (_request: http.IncomingMessage, socket: net.Socket) => {
		// The server has removed its own listeners.
		socket.on('error', () => {
			socket.destroy();
		});
		refuse(socket, 'malformed-request', tunnelStatus);
	});

	function refuse(socket: net.Socket, reason: frontRefusals.FrontRefusal, statusCode: number, headers: call.HeaderPairs = []): void {
		if (host.closing.isClosing(socket)) {
			return;
		}

		host.recordRefusal(reason, undefined, statusCode);
		const lines = [
			`HTTP/1.1 ${statusCode} ${http.STATUS_CODES[statusCode] ?? ''}`,
			...headers.map(([name, value]) => `${name}: ${value}`),
			'Connection: close',
			'Content-Length: 0',
		];
		refused.refuse(socket, `${lines.join('\r\n')}\r\n\r\n`);
	}

	return {
		refuseExcess(socket) {
			refuse(socket, 'too-many-requests-on-connection', frontRefusals.unavailableStatus, host.headers.createRetryHeaders(frontRefusals.retryAfterMilliseconds));
		},
		setIdleTimeout(milliseconds) {
			idleTimeoutMilliseconds = milliseconds;
		},
	};
}
