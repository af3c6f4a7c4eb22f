import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as connectionPool from './connection-pool.ts';

const {expect, test} = vitest;

test('closing a pool closes all of its idle connections, also those that were never used', async () => {
	const sockets = new Set<net.Socket>();
	const server = net.createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	const pool = connectionPool.createConnectionPool({
		address: `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`,
		connectTimeoutMilliseconds: 1000,
		idleMilliseconds: 10_000,
		trustMilliseconds: 10_000,
		spares: 0,
		getLimit: () => 4,
		getNow: () => performance.now(),
	});
	const connections = await Promise.all(Array.from({length: 4}, async () => new Promise<connectionPool.Connection>(resolve => {
		pool.acquire(false, connection => {
			resolve(connection!);
		});
	})));
	for (const connection of connections) {
		pool.release(connection);
	}

	expect(pool.count()).toBe(4);
	pool.close();
	expect(pool.count()).toBe(0);
	while (sockets.size > 0) {
		await timers.setTimeout(5);
	}

	server.close();
});
