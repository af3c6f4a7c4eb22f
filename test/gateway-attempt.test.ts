import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import {type AttemptEnd} from '../src/decisions/outcomes/retry-decision.ts';
import {createHeaderHost} from '../platform/headers.ts';
import {type AttemptResponse, createGatewayAttempt} from '../src/gateway/gateway-attempt.ts';
import {type GatewayRequest} from '../src/gateway/types.ts';
import {createUpstreams, type Upstream} from '../src/gateway/upstreams.ts';

const {afterEach, expect, test} = vitest;
const getNow = () => performance.now();
const cleanups: Array<() => void> = [];

afterEach(() => {
	for (const cleanup of cleanups.splice(0)) {
		cleanup();
	}
});

type Respond = (socket: net.Socket, requestText: string) => void;

/** Starts an upstream that answers each request as it is told; one that starts paused leaves requests unread. */
async function startUpstream(respond: Respond, isPaused = false): Promise<Upstream> {
	const server = net.createServer({pauseOnConnect: isPaused}, socket => {
		socket.on('error', () => undefined);
		if (isPaused) {
			respond(socket, '');
			return;
		}

		socket.on('data', chunk => {
			respond(socket, chunk.toString('latin1'));
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	const port = typeof address === 'object' && address ? address.port : 0;
	const upstreams = createUpstreams({getMaximumConnections: () => 10, countEntries: () => 1, getNow}, 'here');
	upstreams.update([{
		id: 'u-1', service: 'desk', address: `127.0.0.1:${port}`, failureDomain: 'here', slots: 4, state: 'ready', warmUpMilliseconds: 0, incarnation: 1, sequence: 1,
	}]);
	cleanups.push(() => {
		upstreams.close();
		server.close();
	});
	return upstreams.listUsable('desk')[0]!;
}

function createRequest(id: string): GatewayRequest {
	return {
		id,
		route: {
			name: 'price', host: 'desk.example', pathPrefix: '/price/', kind: 'idempotent', destinations: [{service: 'desk', weight: 1}], timeoutMilliseconds: 1000, objectiveMilliseconds: 300, maximumAttempts: 2, priority: 0,
		},
		service: 'desk',
		configurationVersion: 1,
		method: 'GET',
		path: '/price/1',
		headers: [['host', 'desk.example'], ['attempt-id', id]],
		body: {kind: 'none'},
		receivedAt: getNow(),
		deadlineAt: getNow() + 1000,
	};
}

async function untilTrue(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await timers.setTimeout(5);
	}
}

/** Makes an attempt; `afterSending` runs once the request has been written. */
async function attempt(upstream: Upstream, id: string, afterSending: () => Promise<void> = async () => undefined): Promise<{end: AttemptEnd; answer: AttemptResponse | undefined}> {
	return new Promise(resolve => {
		createGatewayAttempt({headers: createHeaderHost(), getNow}, createRequest(id), {
			kind: 'selected', upstream, connection: undefined, expectedMilliseconds: 10, checks: 0,
		}, {
			onSent() {
				setImmediate(() => {
					void afterSending();
				});
			},
			onEnd(end, answer) {
				resolve({end, answer});
			},
		}).start();
	});
}

const head = (id: string, rest: string) => `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nUpstream-Signature: s\r\n${rest}\r\n`;

test('an answer without a length whose connection is reset is broken', async () => {
	let socket: net.Socket | undefined;
	const upstream = await startUpstream(opened => {
		socket = opened;
	}, true);
	const {end} = await attempt(upstream, 'a', async () => {
		await untilTrue(() => socket !== undefined);
		socket!.write(`${head('a', '')}half of`);
		await timers.setTimeout(100);
		// The request lies unread in the upstream; closing a socket with unread bytes resets the connection.
		socket!.destroy();
	});
	expect(end).toEqual({kind: 'broken', reason: 'reset-within-answer'});
});

test('an answer without a length whose connection closes in order is whole', async () => {
	const upstream = await startUpstream(socket => {
		socket.end(`${head('a', '')}all of it`);
	});
	const {end, answer} = await attempt(upstream, 'a');
	expect(end).toEqual({kind: 'answered', statusCode: 200});
	expect(answer!.hasOwnEnd).toBe(false);
	expect(String.fromCodePoint(...answer!.body)).toBe('all of it');
});

test('an answer that is shorter than its length is broken', async () => {
	const upstream = await startUpstream(socket => {
		socket.end(`${head('a', 'Content-Length: 100\r\n')}half of`);
	});
	const {end} = await attempt(upstream, 'a');
	expect(end.kind).toBe('broken');
});

test('an answer to another request is broken', async () => {
	const upstream = await startUpstream(socket => {
		socket.write(`${head('late', 'Content-Length: 2\r\n')}ok`);
	});
	const {end} = await attempt(upstream, 'a');
	expect(end).toEqual({kind: 'broken', reason: 'foreign-answer'});
});

test('an answer without a signature is broken, and one that was not run says so', async () => {
	const unsigned = await startUpstream(socket => {
		socket.write('HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\nok');
	});
	expect((await attempt(unsigned, 'a')).end).toEqual({kind: 'broken', reason: 'unsigned-answer'}); // eslint-disable-line unicorn/no-await-expression-member
	const full = await startUpstream(socket => {
		socket.write('HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n');
	});
	expect((await attempt(full, 'a')).end).toEqual({kind: 'not-run'}); // eslint-disable-line unicorn/no-await-expression-member
});
