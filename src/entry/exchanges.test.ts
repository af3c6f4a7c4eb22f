import * as http from 'node:http';
import * as net from 'node:net';
import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as exchangesModule from './exchanges.ts';

const {expect, test} = vitest;

/** A socket without a connection. */
const createSocket = () => new net.Socket();

const createResponse = (socket: net.Socket) => new http.ServerResponse(new http.IncomingMessage(socket));

const begin = (exchanges: exchangesModule.Exchanges, response: http.ServerResponse) => exchanges.begin(response.req, response);

const setProperty = (target: net.Socket | http.ServerResponse, name: string) => Object.defineProperty(target, name, {value: true, configurable: true});

/** Emits what Node.js does when a response has been passed to the system. */
function finishResponse(response: http.ServerResponse): void {
	setProperty(response, 'writableEnded');
	setProperty(response, 'writableFinished');
	response.emit('close');
}

function closeSocket(socket: net.Socket): void {
	setProperty(socket, 'closed');
	socket.emit('close');
}

// Guards against requests that stay open for good because their responses wait behind another one when the caller leaves.
test('the close of a connection ends all its exchanges, also those whose responses never emit close', () => {
	const exchanges = exchangesModule.createExchanges();
	const socket = createSocket();
	const responses = [createResponse(socket), createResponse(socket), createResponse(socket)];
	const ends: string[] = [];
	const opened = responses.map(response => begin(exchanges, response));
	for (const exchange of opened) {
		exchange.onEnd(end => {
			ends.push(end);
		});
	}

	finishResponse(responses[0]!);
	setProperty(responses[1]!, 'writableEnded');
	closeSocket(socket);
	expect(ends).toEqual(['responded', 'caller-left', 'caller-left']);
	expect(exchanges.count()).toBe(0);
	opened[2]!.onEnd(end => {
		ends.push(`late ${end}`);
	});
	expect(ends.at(-1)).toBe('late caller-left');
});

test('a caller that ends its side gets the responses that are complete, and its other exchanges end', () => {
	const exchanges = exchangesModule.createExchanges();
	const socket = createSocket();
	const responses = [createResponse(socket), createResponse(socket)];
	const opened = responses.map(response => begin(exchanges, response));
	setProperty(responses[0]!, 'writableEnded');
	socket.emit('end');
	expect(opened.map(exchange => exchange.hasEnded())).toEqual([false, true]);
	finishResponse(responses[0]!);
	expect(exchanges.count()).toBe(0);
});

test('an exchange on a connection that is closed already ends at once', () => {
	const exchanges = exchangesModule.createExchanges();
	const socket = createSocket();
	closeSocket(socket);
	const exchange = begin(exchanges, createResponse(socket));
	expect(exchange.hasEnded()).toBe(true);
	expect(exchanges.count()).toBe(0);
});

const eventKinds = ['begin', 'write', 'finish', 'end', 'close'] as const;

test('in any order of events, each exchange ends exactly once, and nothing is open after the close', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.constantFrom(...eventKinds), {maxLength: 30}), kinds => {
		const exchanges = exchangesModule.createExchanges();
		const socket = createSocket();
		const queue: http.ServerResponse[] = [];
		const endCounts: number[] = [];
		const emit = (kind: typeof eventKinds[number]) => {
			switch (kind) {
				case 'begin': {
					const response = createResponse(socket);
					const index = endCounts.push(0) - 1;
					queue.push(response);
					begin(exchanges, response).onEnd(() => {
						endCounts[index]!++;
					});
					break;
				}

				case 'write': {
					const next = queue.find(response => !response.writableEnded);
					if (next) {
						setProperty(next, 'writableEnded');
					}

					break;
				}

				case 'finish': {
					const first = queue.shift();
					if (first) {
						finishResponse(first);
					}

					break;
				}

				case 'end': {
					socket.emit('end');
					break;
				}

				case 'close': {
					closeSocket(socket);
					queue.shift()?.emit('close');
					break;
				}
			}
		};

		for (const kind of [...kinds, 'close' as const]) {
			emit(kind);
		}

		expect(endCounts.every(count => count === 1)).toBe(true);
		expect(exchanges.count()).toBe(0);
		expect(exchanges.countOn(socket)).toBe(0);
	}), {seed: 48, numRuns: 500});
});

test('with a real server, nothing is open after callers that left at any moment', async () => {
	const exchanges = exchangesModule.createExchanges();
	let ended = 0;
	let begun = 0;
	const server = http.createServer((request, response) => {
		begun++;
		const exchange = exchanges.begin(request, response);
		exchange.onEnd(() => {
			ended++;
		});
		request.resume();
		setTimeout(() => {
			if (!exchange.hasEnded()) {
				response.end('x'.repeat(10_000));
			}
		}, begun % 7);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	const port = typeof address === 'object' && address ? address.port : 0;
	const closed = Array.from({length: 40}, async (_value, index) => new Promise<void>(resolve => {
		const socket = net.connect(port, '127.0.0.1');
		socket.on('error', () => undefined);
		const head = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n';
		socket.write(`${head}ab`.repeat(1 + (index % 6)) + (index % 3 === 0 ? head : ''));
		setTimeout(() => {
			if (index % 2 === 0) {
				socket.resetAndDestroy();
			} else {
				socket.end();
				socket.resume();
			}
		}, index % 11);
		socket.once('close', () => {
			resolve();
		});
	}));
	await Promise.all(closed);
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
	expect(exchanges.count()).toBe(0);
	expect(ended).toBe(begun);
});
