/** Tests of how a gateway attempt classifies the responses of an upstream. */
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import {createHeaderHost} from '../platform/headers.ts';
import {type CheckResult, startLoadCheck} from '../src/gateway/load-check.ts';
import {type Upstream} from '../src/gateway/upstreams.ts';
import * as callSupport from './support/calls.ts';
import * as hostileUpstream from './support/hostile-upstream.ts';

const {afterEach, expect, test} = vitest;
const {attempt, createRequest, getNow, start: startUpstream} = hostileUpstream;

afterEach(hostileUpstream.close);

async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await timers.setTimeout(5);
	}
}

const createResponseHead = (id: string, rest: string) => `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nUpstream-Signature: s\r\n${rest}\r\n`;

test('a response without a content-length whose connection is reset is broken', async () => {
	let socket: net.Socket | undefined;
	const upstream = await startUpstream(opened => {
		socket = opened;
	}, true);
	const {end} = await attempt(upstream, 'a', async () => {
		await waitUntil(() => socket !== undefined);
		socket!.write(`${createResponseHead('a', '')}half of`);
		await timers.setTimeout(100);
		// The upstream has not read the request; closing a socket with unread data resets the connection.
		socket!.destroy();
	});
	expect(end).toEqual({kind: 'broken', reason: 'reset-within-answer'});
});

test('a response without a content-length whose connection closes normally is complete', async () => {
	const upstream = await startUpstream(socket => {
		socket.end(`${createResponseHead('a', '')}all of it`);
	});
	const {end, answer} = await attempt(upstream, 'a');
	expect(end).toEqual({kind: 'answered', statusCode: 200});
	expect(answer!.hasOwnEnd).toBe(false);
	expect(String.fromCodePoint(...answer!.body)).toBe('all of it');
});

test('a response that is shorter than its content-length is broken', async () => {
	const upstream = await startUpstream(socket => {
		socket.end(`${createResponseHead('a', 'Content-Length: 100\r\n')}half of`);
	});
	const {end} = await attempt(upstream, 'a');
	expect(end.kind).toBe('broken');
});

test('a response to another request is broken', async () => {
	const upstream = await startUpstream(socket => {
		socket.write(`${createResponseHead('late', 'Content-Length: 2\r\n')}ok`);
	});
	const {end} = await attempt(upstream, 'a');
	expect(end).toEqual({kind: 'broken', reason: 'foreign-answer'});
});

test('a response without a signature is broken, and a not-executed response is reported as not-run', async () => {
	const unsigned = await startUpstream(socket => {
		socket.write('HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\nok');
	});
	expect((await attempt(unsigned, 'a')).end).toEqual({kind: 'broken', reason: 'unsigned-answer'}); // eslint-disable-line unicorn/no-await-expression-member
	const full = await startUpstream(socket => {
		socket.write('HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n');
	});
	expect((await attempt(full, 'a')).end).toEqual({kind: 'not-run'}); // eslint-disable-line unicorn/no-await-expression-member
});

test('a not-executed response without the identifier of the request is no proof that it has not run', async () => {
	// The late second copy of a rejected load check, which has no identifier.
	for (const statusLine of ['503 Service Unavailable\r\nNot-Executed: 1', '421 Misdirected Request']) {
		const upstream = await startUpstream(socket => {
			socket.write(`HTTP/1.1 ${statusLine}\r\nContent-Length: 0\r\n\r\n`);
		});
		const {end} = await attempt(upstream, 'a');
		expect(end).toEqual({kind: 'broken', reason: 'unidentified-answer'});
	}
});

async function checkLoad(upstream: Upstream): Promise<CheckResult['kind']> {
	return new Promise(resolve => {
		startLoadCheck({
			headers: createHeaderHost(), getNow, getHealthPath: () => '/healthz', recordCheck: () => undefined, recordStatements: () => undefined,
		}, upstream, ({kind}) => {
			resolve(kind);
		});
	});
}

test('the late second copy of an answer is no answer to a load check, and its connection is not used again', async () => {
	let closedConnections = 0;
	const upstream = await startUpstream(socket => {
		socket.once('close', () => {
			closedConnections++;
		});
		socket.write(`${createResponseHead('earlier', 'Content-Length: 2\r\nUpstream-Load: 0,0,4,100\r\n')}ok`);
	});
	expect(await checkLoad(upstream)).toBe('silent');
	await waitUntil(() => closedConnections === 1);
	expect(upstream.pool.count()).toBe(0);
	expect(upstream.record.getState(getNow()).reading).toBeUndefined();
});

/** Upper limit of what an endless response may deliver before its connection is closed: the largest response, and what sockets buffer. */
const maximumEndlessBytes = 16 * 1024 * 1024;

/** Writes a start and then parts without end; returns a function that reports the written bytes once the connection is closed. */
function writeWithoutEnd(socket: net.Socket, start: string, part: string): () => number | undefined {
	let isClosed = false;
	let written = 0;
	const write = (text: string) => {
		written += text.length;
		return socket.write(text, 'latin1');
	};

	const writeMore = () => {
		while (write(part)) {
			// Writes until the socket's buffer is full or the socket is closed.
		}
	};

	socket.on('drain', writeMore);
	socket.once('close', () => {
		isClosed = true;
	});
	write(start);
	writeMore();
	return () => isClosed ? written : undefined;
}

const okHead = (id: string) => `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nUpstream-Signature: s\r\n`;
const endlessResponses = [
	{name: 'head', start: 'HTTP/1.1 200 OK\r\nX: ', part: 'a'.repeat(10_000)},
	{name: 'header fields', start: 'HTTP/1.1 200 OK\r\n', part: 'A: b\r\n'.repeat(1000)},
	{name: 'body in chunks', start: `${okHead('a')}Transfer-Encoding: chunked\r\n\r\n`, part: `2710\r\n${'x'.repeat(10_000)}\r\n`},
	{name: 'body until the connection closes', start: `${okHead('a')}\r\n`, part: 'x'.repeat(10_000)},
	{name: 'trailers', start: `${okHead('a')}Transfer-Encoding: chunked\r\n\r\n0\r\n`, part: 'A: b\r\n'.repeat(1000)},
	{name: 'bytes that are no response', start: '', part: '\u0000\u0001garbage'.repeat(1000)},
];

test.each(endlessResponses)('an endless response ($name) ends the attempt and its connection', async ({start, part}) => {
	let getWritten: (() => number | undefined) | undefined;
	const upstream = await startUpstream(socket => {
		getWritten ??= writeWithoutEnd(socket, start, part);
	});
	const {end} = await attempt(upstream, 'a');
	expect(end.kind).toBe('broken');
	await waitUntil(() => getWritten!() !== undefined);
	expect(getWritten!()).toBeLessThan(maximumEndlessBytes);
	expect(upstream.pool.count()).toBe(0);
});

test.each(endlessResponses)('an endless response ($name) to a load check ends the check and its connection', async ({start, part}) => {
	let getWritten: (() => number | undefined) | undefined;
	const upstream = await startUpstream(socket => {
		getWritten ??= writeWithoutEnd(socket, start.replace('Attempt-Id: a\r\n', ''), part);
	});
	expect(await checkLoad(upstream)).toBe('silent');
	await waitUntil(() => getWritten!() !== undefined);
	expect(getWritten!()).toBeLessThan(maximumEndlessBytes);
	expect(upstream.pool.count()).toBe(0);
});

test('an upstream that never answers is given up at the deadline, also after the caller of a non-idempotent request has left', async () => {
	let closedConnections = 0;
	let requests = 0;
	const upstream = await startUpstream(socket => {
		requests++;
		socket.once('close', () => {
			closedConnections++;
		});
	});
	const request = createRequest('a');
	const running = callSupport.startCallAt(upstream, {...request, route: {...request.route, kind: 'non-idempotent'}, deadlineAt: getNow() + 200}, () => undefined);
	await waitUntil(() => requests === 1);
	running.cancel();
	await timers.setTimeout(20);
	expect(closedConnections).toBe(0);
	await timers.setTimeout(500);
	expect(closedConnections).toBe(1);
	expect(upstream.record.getState(getNow()).inFlight).toBe(0);
});

test('a refusal that is written again on its connection is no proof that the repeated request has not run', async () => {
	let executions = 0;
	const upstream = await startUpstream((() => {
		const seen = new Set<net.Socket>();
		return socket => {
			const refusal = 'HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n';
			if (seen.size === 0) {
				socket.write(refusal);
			} else {
				executions++;
				socket.write(seen.has(socket) ? refusal : `${createResponseHead('a', 'Content-Length: 2\r\n')}ok`);
			}

			seen.add(socket);
		};
	})());
	const request = createRequest('a');
	const statusCode = await new Promise<number>(resolve => {
		callSupport.startCallAt(upstream, {...request, route: {...request.route, kind: 'non-idempotent'}}, response => {
			resolve(response.statusCode);
		});
	});
	expect(executions).toBe(1);
	expect(statusCode).toBe(200);
});
