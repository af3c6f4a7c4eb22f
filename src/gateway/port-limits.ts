/**
Limits the connections of the ports of an entry, in number and in memory.

When a port has too many connections, or the entry has too little memory, the connection that holds most and moves least
is closed, if possible one without a response on its way.
*/
import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as trafficMemory from '../decisions/admission/traffic-memory.ts';
import {hasBody} from '../entry/receive-body.ts';
import * as stopParsing from '../entry/stop-parsing.ts';

/** Dependencies of the limits. */
export type PortLimitsHost = {
	readonly memory: trafficMemory.TrafficMemory;
	/** Maximum number of sockets of the process. */
	readonly maximumSockets: number;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Called when a connection is closed to make room, or because of a row of requests. */
	onClosed(group: trafficMemory.ClaimGroup): void;
};

/** The connections of one port. */
export type LimitedPort = {
	/** Keeps a connection open, whatever it holds, until `endUse`; its owner claims memory for what it holds meanwhile. */
	beginUse(socket: net.Socket): void;
	/** Limits a connection again; what it receives from now on belongs to its next request. */
	endUse(socket: net.Socket): void;
	/** Records that a connection is closed behind a response; what arrives on it is discarded. */
	beginClosing(socket: net.Socket, response: Exclude<trafficMemory.ResponseOnItsWay, 'none'>): void;
	/** Lets a connection that is being closed give way as soon as one that holds nothing. */
	endProtection(socket: net.Socket): void;
	/** Number of open connections. */
	countConnections(): number;
	close(): void;
};

/** Ports of an entry. */
export type PortName = Exclude<trafficMemory.ClaimGroup, 'peer-messages' | 'responses'>;

/** Limited ports of an entry. */
export type PortLimits = {
	limitPort(server: net.Server, name: PortName): LimitedPort;
	/** Limits a port that answers requests without reading their bodies: it closes connections on which a body follows, or a row of requests. Its server handles requests already. */
	limitBodylessPort(server: http.Server, name: PortName): LimitedPort;
	/** Number of open connections of all ports. */
	countConnections(): number;
	close(): void;
};

/** Memory that a connection holds between two requests, in bytes: the socket, the parser and the start of a head. */
export const connectionBytes = 16_384;
/** Memory for each byte of a head that is being received, in bytes: it is kept as short strings. */
const bytesPerHeadByte = 4;
/** Interval at which the movement on connections is observed, in milliseconds. */
const observationMilliseconds = 500;
/** Share of the sockets of the process that each port may use; the rest is for upstreams and the store. All other entries may follow one, and ask it for permits. */
const socketShares: Readonly<Record<PortName, number>> = {
	callers: 0.35, directory: 0.1, peers: 0.3, readiness: 0.02, metrics: 0.02,
};
const minimumConnections = 4;
/** Maximum number of unanswered requests on a connection of a port without bodies; its callers send one at a time. */
const maximumRequestsAhead = 8;

type Connection = {
	claim: trafficMemory.MemoryClaim | undefined;
	/** Number of bytes that were received at the last observation. */
	observedBytes: number;
	/** Number of bytes that belong to earlier requests. */
	earlierBytes: number;
	isClosing: boolean;
	onItsWay: trafficMemory.ResponseOnItsWay;
};

function setOnItsWay(connection: Connection, response: trafficMemory.ResponseOnItsWay): void {
	connection.onItsWay = response;
	connection.claim?.setOnItsWay(response);
}

/** Creates the limits of an entry. */
export function createPortLimits(host: PortLimitsHost): PortLimits {
	const ports: LimitedPort[] = [];

	function limitPort(server: net.Server, name: PortName): LimitedPort {
		const maximumConnections = Math.max(minimumConnections, Math.floor(socketShares[name] * host.maximumSockets));
		const connections = new Map<net.Socket, Connection>();

		function claim(socket: net.Socket): trafficMemory.MemoryClaim {
			const now = host.getNow();
			const created = host.memory.claim(name, now, () => {
				socket.destroy();
				host.onClosed(name);
			});
			created.resize(connectionBytes, now);
			return created;
		}

		function observe(): void {
			const now = host.getNow();
			for (const [socket, connection] of connections) {
				if (!connection.isClosing && socket.bytesRead !== connection.observedBytes) {
					connection.observedBytes = socket.bytesRead;
					connection.claim?.resize(connectionBytes + (bytesPerHeadByte * getHeadBytes(socket, connection)), now);
				}
			}
		}

		function getHeadBytes(socket: net.Socket, {earlierBytes}: Connection): number {
			return name === 'callers' ? socket.bytesRead - earlierBytes : 0;
		}

		server.on('connection', (socket: net.Socket) => {
			if (connections.size >= maximumConnections && !host.memory.closeOne(name, host.getNow())) {
				socket.destroy();
				host.onClosed(name);
				return;
			}

			const connection: Connection = {
				claim: undefined, observedBytes: 0, earlierBytes: 0, isClosing: false, onItsWay: 'none',
			};
			connections.set(socket, connection);
			socket.once('close', () => {
				connections.delete(socket);
				connection.claim?.free();
			});
			connection.claim = claim(socket);
		});
		const timer = setInterval(observe, observationMilliseconds);
		const port: LimitedPort = {
			beginUse(socket) {
				const connection = connections.get(socket);
				connection?.claim?.free();
				if (connection) {
					connection.claim = undefined;
				}
			},
			endUse(socket) {
				const connection = connections.get(socket);
				if (connection && !connection.claim && !socket.destroyed) {
					connection.earlierBytes = socket.bytesRead;
					connection.claim = claim(socket);
					connection.claim.setOnItsWay(connection.onItsWay);
				}
			},
			beginClosing(socket, response) {
				const connection = connections.get(socket);
				if (connection) {
					connection.isClosing = true;
					setOnItsWay(connection, response);
				}
			},
			endProtection(socket) {
				const connection = connections.get(socket);
				if (connection) {
					setOnItsWay(connection, 'none');
				}
			},
			countConnections: () => connections.size,
			close() {
				clearInterval(timer);
			},
		};
		ports.push(port);
		return port;
	}

	return {
		limitPort,
		limitBodylessPort(server, name) {
			const handlers = server.listeners('request');
			const unanswered = new WeakMap<net.Socket, number>();
			server.removeAllListeners('request');
			server.on('request', (request: http.IncomingMessage, response: http.ServerResponse) => {
				const {socket} = request;
				const count = (unanswered.get(socket) ?? 0) + 1;
				if (count > maximumRequestsAhead) {
					stopParsing.stopParsing(socket);
					socket.destroy();
					host.onClosed(name);
					return;
				}

				unanswered.set(socket, count);
				response.once('finish', () => {
					unanswered.set(socket, unanswered.get(socket)! - 1);
				});
				if (hasBody(request)) {
					response.setHeader('connection', 'close');
				}

				for (const handle of handlers) {
					Reflect.apply(handle, server, [request, response]);
				}
			});
			return limitPort(server, name);
		},
		countConnections: () => ports.reduce((sum, port) => sum + port.countConnections(), 0),
		close() {
			for (const port of ports) {
				port.close();
			}
		},
	};
}
