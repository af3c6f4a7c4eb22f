import * as http from 'node:http';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as callerReading from './caller-reading.ts';
import * as exchangesModule from './exchanges.ts';

const {afterEach, expect, test} = vitest;
const head = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
const get = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const smallChunks = '1\r\nx\r\n'.repeat(400_000);
const cleanups: Array<() => void> = [];

afterEach(() => {
	for (const cleanup of cleanups.splice(0)) {
		cleanup();
	}
});

async function startServer(handle: (exchange: exchangesModule.Exchange, reading: callerReading.CallerReading) => void): Promise<{port: number; reading: callerReading.CallerReading}> {
	const exchanges = exchangesModule.createExchanges();
	const server = http.createServer((request, response) => {
		handle(exchanges.begin(request, response), reading);
	});
	const reading = callerReading.createCallerReading(server, exchanges, () => performance.now());
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	cleanups.push(() => {
		server.closeAllConnections();
		server.close();
	});
	const address = server.address();
	return {port: typeof address === 'object' && address ? address.port : 0, reading};
}

function connect(port: number, text: string): net.Socket {
	const socket = net.connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.write(text);
	cleanups.push(() => {
		socket.destroy();
	});
	return socket;
}

async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await timers.setTimeout(5);
	}
}

const receiveData = async (socket: net.Socket) => new Promise<void>(resolve => {
	socket.once('data', () => {
		resolve();
	});
});

test('the connection of a discarded body is not read any more', async () => {
	let discarded: http.IncomingMessage | undefined;
	const {port} = await startServer(({request}, reading) => {
		request.once('data', () => {
			discarded = request;
			reading.discard(request);
		});
	});
	connect(port, head + smallChunks);
	await waitUntil(() => discarded !== undefined);
	await timers.setTimeout(20);
	const {socket} = discarded!;
	const {bytesRead} = socket;
	await timers.setTimeout(200);
	expect(socket.bytesRead).toBe(bytesRead);
});

test('while bodies are costly, connections are read in turn, and each of them is read', async () => {
	const {port, reading} = await startServer(({request, response}, control) => {
		if (request.method === 'GET') {
			response.end('ok');
			return;
		}

		request.on('data', () => {
			control.yieldReading(request);
		});
	});
	connect(port, `${head}1\r\nx\r\n`);
	await timers.setTimeout(50);
	const sockets = Array.from({length: 30}, () => connect(port, get));
	await Promise.all(sockets.map(async socket => receiveData(socket)));
	for (const socket of sockets) {
		socket.write(get);
	}

	await Promise.all(sockets.map(async socket => receiveData(socket)));
	await waitUntil(() => reading.countDeferred() === 0);
});

test('a connection that only waits for its response is read while others are deferred, so that its close is noticed', async () => {
	let ended: string | undefined;
	const {port} = await startServer((exchange, control) => {
		const {request} = exchange;
		if (request.method === 'GET') {
			exchange.onEnd(end => {
				ended = end;
			});
			return;
		}

		request.on('data', () => {
			control.yieldReading(request);
		});
	});
	const waiting = connect(port, get);
	await timers.setTimeout(50);
	connect(port, `${head}1\r\nx\r\n`);
	await timers.setTimeout(50);
	waiting.destroy();
	await waitUntil(() => ended !== undefined);
	expect(ended).toBe('caller-left');
});

// Guards against memory for the rows of short requests of a whole crowd, all of which are read before any is answered.
test('connections that bring rows of requests are read in turn, and all are answered', async () => {
	const rowLength = 100;
	let deferred = 0;
	const {port, reading} = await startServer(({response}, control) => {
		setImmediate(() => {
			response.end('ok');
		});
		deferred = Math.max(deferred, control.countDeferred());
	});
	const sockets = Array.from({length: 30}, () => connect(port, get.repeat(rowLength)));
	await Promise.all(sockets.map(async socket => new Promise<void>(resolve => {
		let text = '';
		socket.on('data', chunk => {
			text += String(chunk);
			if (text.match(/HTTP\/1\.1 200 /gv)?.length === rowLength) {
				resolve();
			}
		});
	})));
	expect(deferred).toBeGreaterThan(0);
	await waitUntil(() => reading.countDeferred() === 0);
});
