import * as stream from 'node:stream';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as closingConnections from './closing-connections.ts';

const {afterEach, beforeEach, expect, test, vi} = vitest;

beforeEach(() => {
	vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
});

afterEach(() => {
	vi.useRealTimers();
});

/** Connection of a caller that doesn't close its side. */
async function createClosing() {
	const late: unknown[] = [];
	const socket = new stream.Duplex({
		allowHalfOpen: true, read: () => undefined, write(_chunk, _encoding, done) {
			done();
		},
	});
	const closing = closingConnections.createClosingConnections<stream.Duplex>({
		onLate(connection) {
			late.push(connection);
		},
	});
	closing.close(socket);
	await timers.setImmediate();
	return {socket, closing, late};
}

async function pass(milliseconds: number): Promise<void> {
	await vi.advanceTimersByTimeAsync(milliseconds);
	await timers.setImmediate();
	await timers.setImmediate();
}

test('a connection whose caller sends nothing is closed after a second', async () => {
	const {socket, closing, late} = await createClosing();
	await pass(999);
	expect(socket.destroyed).toBe(false);
	await pass(1);
	expect(socket.destroyed).toBe(true);
	expect(closing.count()).toBe(0);
	expect(late).toEqual([]);
});

// Guards against a response that is lost because its caller first sends the rest of its body.
test('a connection stays open while its caller sends, and is closed a second after', async () => {
	const {socket, late} = await createClosing();
	for (let part = 0; part < 8; part++) {
		await pass(450);
		socket.push('part');
	}

	await pass(400);
	expect(socket.destroyed).toBe(false);
	expect(late.length).toBeGreaterThan(0);
	await pass(2000);
	expect(socket.destroyed).toBe(true);
});

// Guards against connections that callers keep open for as long as they like.
test('a connection whose caller sends without end is closed after ten seconds', async () => {
	const {socket} = await createClosing();
	for (let part = 0; part < 99; part++) {
		socket.push('part');
		await pass(100);
	}

	expect(socket.destroyed).toBe(false);
	await pass(100);
	expect(socket.destroyed).toBe(true);
});

// Guards against a process that finds the timer due before it reads what was sent in time.
test('a connection whose caller has sent stays open although the process reads it late', async () => {
	const {socket} = await createClosing();
	setTimeout(() => {
		setImmediate(() => {
			socket.push('part');
		});
	}, 999);
	vi.advanceTimersByTime(1000);
	await pass(0);
	expect(socket.destroyed).toBe(false);
});
