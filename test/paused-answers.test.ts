/** Tests of answers whose receiver pauses them, on connections that end meanwhile. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as attempts from '../src/entry/attempt.ts';
import type * as upstreamsModule from '../src/gateway/upstreams.ts';
import * as gateways from './support/gateways.ts';
import * as hostileUpstream from './support/hostile-upstream.ts';

const {afterEach, expect, test} = vitest;

afterEach(hostileUpstream.close);

type Received = {bytes: number; ends: string[]; attempt: attempts.Attempt | undefined};

/** Starts an attempt that pauses the answer at each piece of its body. */
function startPaused(upstream: upstreamsModule.Upstream): Received {
	const received: Received = {bytes: 0, ends: [], attempt: undefined};
	upstream.pool.acquire(false, connection => {
		received.attempt = attempts.startAttempt(connection!, {
			method: 'GET', path: '/', headers: ['host', 'desk.example'], body: {kind: 'none'},
		}, {
			onSent: () => undefined,
			onHead: () => undefined,
			onData(chunk) {
				received.bytes += chunk.length;
				return false;
			},
			onEnd(isComplete) {
				received.ends.push(isComplete ? 'complete' : 'incomplete');
				upstream.pool.release(connection!);
			},
			onFailed() {
				received.ends.push('failed');
				upstream.pool.discard(connection!);
			},
		});
	});
	return received;
}

async function resumeUntilEnd(received: Received): Promise<void> {
	for (let count = 0; count < 300 && received.ends.length === 0; count++) {
		received.attempt!.resume();
		await timers.setTimeout(5);
	}
}

const heads = [
	{name: 'without a length', head: 'HTTP/1.1 200 OK\r\n\r\n', bodyBytes: 4},
	{name: 'without a length, larger than the buffers', head: 'HTTP/1.1 200 OK\r\n\r\n', bodyBytes: 1_000_000},
	{name: 'with a length, on a connection that closes', head: 'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1000000\r\n\r\n', bodyBytes: 1_000_000},
	{name: 'of HTTP/1.0', head: 'HTTP/1.0 200 OK\r\n\r\n', bodyBytes: 200_000},
];

// Guards against a process that ends by an assertion of the client: a slow caller pauses an answer, and the upstream closes its connection.
test.each(heads)('an answer $name arrives whole although it was paused when its connection ended', async ({head, bodyBytes}) => {
	const upstream = await hostileUpstream.start(socket => {
		socket.write(head);
		socket.end(new Uint8Array(bodyBytes));
	});
	const received = startPaused(upstream);
	await timers.setTimeout(100);
	expect(received.bytes).toBeLessThan(Math.max(5, bodyBytes));
	await resumeUntilEnd(received);
	expect(received).toMatchObject({bytes: bodyBytes, ends: ['complete']});
});

test.each(heads)('an answer $name is not complete if its connection was reset while it was paused', async ({head}) => {
	const upstream = await hostileUpstream.start(socket => {
		socket.write(`${head}half`);
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 50);
	});
	const received = startPaused(upstream);
	await timers.setTimeout(150);
	await resumeUntilEnd(received);
	expect(received.ends).not.toContain('complete');
	expect(received.ends).toHaveLength(1);
});

test('a paused answer holds back its upstream, and its connection is used again', async () => {
	let writtenBytes = 0;
	const bodyBytes = 32_000_000;
	const upstream = await hostileUpstream.start(socket => {
		socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${bodyBytes}\r\n\r\n`);
		const part = new Uint8Array(100_000);
		const writeMore = () => {
			while (writtenBytes < bodyBytes) {
				writtenBytes += part.length;
				if (!socket.write(part)) {
					socket.once('drain', writeMore);
					return;
				}
			}
		};

		writtenBytes = 0;
		writeMore();
	});
	const first = startPaused(upstream);
	await timers.setTimeout(200);
	expect(writtenBytes).toBeLessThan(bodyBytes / 2);
	expect(first.bytes).toBeLessThan(1_000_000);
	const resuming = setInterval(() => {
		first.attempt!.resume();
	}, 1);
	while (first.ends.length === 0) {
		await timers.setTimeout(10);
	}

	clearInterval(resuming);
	expect(first).toMatchObject({bytes: bodyBytes, ends: ['complete']});
	const second = startPaused(upstream);
	await gateways.waitUntil(() => second.bytes > 0);
	expect(upstream.pool.count()).toBe(1);
	second.attempt!.abort();
});
