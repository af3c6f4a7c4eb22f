/** Tests which connection is closed when a port has too many. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as trafficMemory from '../src/decisions/admission/traffic-memory.ts';
import * as callerConnections from '../src/gateway/caller-connections.ts';
import * as portLimits from '../src/gateway/port-limits.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';
import * as rawCaller from './support/raw-caller.ts';

const {afterEach, expect, test} = vitest;

/** Number of connections that the port of the test accepts. */
const maximumConnections = 4;

afterEach(gatewayProcess.close);

/** Starts a server that closes the connection of a request in steps, after an answer of an upstream or a refusal of its own. */
async function startServer() {
	let now = 0;
	const sockets: net.Socket[] = [];
	let closedForRoom = 0;
	const server = http.createServer((request, response) => {
		const exchange = connections.beginExchange(request, response);
		if (request.url === '/answer') {
			connections.recordPassedOn(exchange);
		}

		connections.closing.stopReading(request.socket);
		response.writeHead(200, {'content-length': 1, connection: 'close'}).end('x');
	});
	const limits = portLimits.createPortLimits({
		memory: trafficMemory.createTrafficMemory(100_000_000), maximumSockets: 12, getNow: () => now,
		onClosed() {
			closedForRoom++;
		},
	});
	const connections = callerConnections.trackConnections(server, {
		port: limits.limitPort(server, 'callers'), getNow: () => now, onRequestAhead: () => undefined, onCut: () => undefined,
	});
	server.on('connection', (socket: net.Socket) => {
		sockets.push(socket);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	const target = `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
	gatewayProcess.addCleanup(async () => {
		limits.close();
		server.close();
		server.closeAllConnections();
	});

	async function connect(): Promise<rawCaller.RawCaller> {
		const count = sockets.length;
		now++;
		const caller = rawCaller.connect(target, {allowHalfOpen: true});
		gatewayProcess.addCleanup(async () => {
			caller.socket.destroy();
		});
		await gateways.waitUntil(() => sockets.length > count);
		return caller;
	}

	return {
		connect,
		/** Opens connections that are being closed behind an answer. */
		async connectClosing(count: number, path: string): Promise<readonly rawCaller.RawCaller[]> {
			const callers: rawCaller.RawCaller[] = [];
			for (let index = 0; index < count; index++) {
				const caller = await connect();
				callers.push(caller);
				caller.socket.write(`GET ${path} HTTP/1.1\r\nHost: test\r\n\r\n`);
				await gateways.waitUntil(() => caller.listStatuses().length === 1);
			}

			return callers;
		},
		countClosedForRoom: () => closedForRoom,
		listDestroyed: () => sockets.map(({destroyed}) => destroyed),
	};
}

// Guards against an answer on its way that is reset with its connection, although others hold nothing.
test('a connection that is being closed behind an answer gives way after those that hold nothing', async () => {
	const host = await startServer();
	await host.connectClosing(1, '/answer');
	for (let count = 1; count <= maximumConnections; count++) {
		await host.connect();
	}

	expect(host.countClosedForRoom()).toBe(1);
	expect(host.listDestroyed()).toEqual([false, true, false, false, false]);
});

test('a new connection gives way if all others have an answer of an upstream on its way', async () => {
	const host = await startServer();
	await host.connectClosing(maximumConnections, '/answer');
	await host.connect();
	expect(host.countClosedForRoom()).toBe(1);
	expect(host.listDestroyed()).toEqual([false, false, false, false, true]);
});

// Guards against a crowd of refused callers that keeps others out.
test('a connection that is being closed behind a refusal gives way to a new one', async () => {
	const host = await startServer();
	await host.connectClosing(maximumConnections, '/refusal');
	await host.connect();
	expect(host.countClosedForRoom()).toBe(1);
	expect(host.listDestroyed()).toEqual([true, false, false, false, false]);
});

// Guards against a crowd that is told the end and keeps others out by sending on.
test('a connection that is being closed behind an answer gives way to a new one once its caller has sent on for a while', async () => {
	const host = await startServer();
	const callers = await host.connectClosing(maximumConnections, '/answer');
	for (let part = 0; part < 14; part++) {
		callers[0]!.socket.write('x');
		callers[1]!.socket.write('x');
		await timers.setTimeout(100);
	}

	expect(host.listDestroyed()).toEqual([false, false, true, true]);
	await host.connectClosing(2, '/answer');
	expect(host.countClosedForRoom()).toBe(0);
	await host.connect();
	expect(host.countClosedForRoom()).toBe(1);
	expect(host.listDestroyed()).toEqual([true, false, true, true, false, false, false]);
});
