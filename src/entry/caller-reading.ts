/**
Controls from which connections of callers a server reads.

The parser pays for each chunk of a body, whatever its size, and reads up to 64 KiB from a connection at a time, several
times in a row while more has arrived. So the body of one caller can take tens of milliseconds, and those of a crowd take
them one after the other before anything else is read. A connection whose costly body is refused is not read any more. While
bodies come in small chunks, the connections that may bring more of them are read a few at a time. So they are while
requests come in rows: a read may bring thousands of short ones.
*/
import type * as http from 'node:http';
import type * as net from 'node:net';
import process from 'node:process';
import * as readingQueue from '../decisions/admission/reading-queue.ts';
import type * as exchangesModule from './exchanges.ts';

/** Controls the reading from the connections of a server. */
export type CallerReading = {
	/** Discards the rest of a costly body, and stops reading from its connection. */
	discard(request: http.IncomingMessage): void;
	/** Lets others be read before the rest of a costly body: from now on, connections are read a few at a time, except those whose requests are all complete. */
	yieldReading(request: http.IncomingMessage): void;
	/** Number of connections that wait until they are read. */
	countDeferred(): number;
};

/** Time after the last costly body for which new connections are read in turn as well, in milliseconds. */
const crowdMilliseconds = 1000;
/** Number of unanswered requests of a connection after which others are read first; callers send a few ahead. */
const rowLength = 64;
const ignore = () => undefined;

/** Controls the reading from all connections that a server accepts from now on; `getNow` returns the present time in milliseconds of a monotonic clock. */
export function createCallerReading(server: http.Server, exchanges: exchangesModule.Exchanges, getNow: () => number): CallerReading {
	const sockets = new Set<net.Socket>();
	const queue = readingQueue.createReadingQueue<net.Socket>();
	/** Connections that are read in this turn. */
	let current: readonly net.Socket[] = [];
	/** Connections that are not read any more. */
	const stopped = new WeakSet<net.Socket>();
	let isTurnScheduled = false;
	let crowdedUntil = Number.NEGATIVE_INFINITY;

	server.on('connection', (socket: net.Socket) => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
			queue.remove(socket);
		});
		if (getNow() < crowdedUntil) {
			// Node.js begins to read in the next tick.
			process.nextTick(defer, socket);
		}
	});

	/** The close of a connection that only waits for its responses has to be noticed at once. */
	function isWaiting(socket: net.Socket): boolean {
		const open = exchanges.listOn(socket);
		return open.length > 0 && open.every(({request}) => request.complete);
	}

	function stop(socket: net.Socket): void {
		for (const {request} of exchanges.listOn(socket)) {
			// Node.js reads on from the connection whenever the request asks for more.
			request._read = ignore;
		}

		socket.pause();
	}

	function readOn(socket: net.Socket): void {
		for (const {request} of exchanges.listOn(socket)) {
			Reflect.deleteProperty(request, '_read');
		}

		socket.resume();
	}

	function defer(socket: net.Socket): void {
		if (socket.destroyed) {
			return;
		}

		queue.add(socket);
		stop(socket);
		if (!isTurnScheduled) {
			isTurnScheduled = true;
			setImmediate(runTurn);
		}
	}

	function runTurn(): void {
		const startedAt = getNow();
		current = queue.takeTurn();
		for (const socket of current) {
			readOn(socket);
		}

		// The event loop reads from them before its next turn.
		setImmediate(() => {
			setImmediate(() => {
				current = [];
				isTurnScheduled = queue.size() > 0;
				if (isTurnScheduled) {
					setTimeout(runTurn, readingQueue.getPauseAfterTurn(getNow() - startedAt));
				}
			});
		});
	}

	function yieldReading({socket: costly}: http.IncomingMessage): void {
		crowdedUntil = getNow() + crowdMilliseconds;
		for (const socket of sockets) {
			const isDue = socket === costly || (!current.includes(socket) && !isWaiting(socket));
			if (isDue && !queue.has(socket) && !stopped.has(socket)) {
				defer(socket);
			}
		}
	}

	server.on('request', (request: http.IncomingMessage) => {
		if (exchanges.countOn(request.socket) === rowLength) {
			yieldReading(request);
		}
	});

	return {
		discard(request) {
			const {socket} = request;
			request.on('data', ignore);
			request.resume();
			queue.remove(socket);
			stopped.add(socket);
			stop(socket);
		},
		yieldReading,
		countDeferred: queue.size,
	};
}
