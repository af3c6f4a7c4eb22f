/** Tests that a response which ends with its connection is complete only if the connection was not reset. */
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as headerHost from '../platform/headers.ts';
import * as loadCheck from '../src/gateway/load-check.ts';
import type * as upstreams from '../src/gateway/upstreams.ts';
import * as hostileUpstream from './support/hostile-upstream.ts';

const {afterEach, expect, test} = vitest;

afterEach(hostileUpstream.close);

const head = 'HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nUpstream-Signature: s\r\n';

/** Writes bytes and resets the connection at once, so that the reader finds the bytes and the reset together. */
function writeAndReset(socket: net.Socket, text: string): void {
	socket.write(text);
	socket.resetAndDestroy();
}

// Each order guards against half of a response being passed on as complete: the runtime reports a reset that it reads together with bytes as a normal end.
const resetOrders: ReadonlyArray<{readonly name: string; respond(socket: net.Socket): void}> = [
	{
		name: 'with the whole response',
		respond(socket) {
			writeAndReset(socket, `${head}\r\nhalf of`);
		},
	},
	{
		name: 'with the last bytes',
		respond(socket) {
			socket.write(`${head}\r\nhalf`);
			setTimeout(writeAndReset, 50, socket, ' of');
		},
	},
	{
		name: 'after the last bytes',
		respond(socket) {
			socket.write(`${head}\r\nhalf of`);
			setTimeout(writeAndReset, 50, socket, '');
		},
	},
	{
		name: 'with the head',
		respond(socket) {
			writeAndReset(socket, `${head}\r\n`);
		},
	},
	{
		name: 'with the response after an interim response',
		respond(socket) {
			socket.write('HTTP/1.1 100 Continue\r\n\r\n');
			setTimeout(writeAndReset, 50, socket, `${head}\r\nhalf of`);
		},
	},
	{
		name: 'together with an interim response and the response',
		respond(socket) {
			writeAndReset(socket, `HTTP/1.1 100 Continue\r\n\r\n${head}\r\nhalf of`);
		},
	},
	{
		name: 'with the response in a coding that is not chunked',
		respond(socket) {
			writeAndReset(socket, `${head}Transfer-Encoding: gzip\r\n\r\nhalf of`);
		},
	},
];

test.each(resetOrders)('a response that ends with its connection is broken if the reset arrives $name', async ({respond}) => {
	const upstream = await hostileUpstream.start(respond);
	const {end} = await hostileUpstream.attempt(upstream, 'a');
	expect(end.kind).toBe('broken');
});

const delimitedResponses = [
	{name: 'its length', text: `${head}Content-Length: 4\r\n\r\nbody`, body: 'body'},
	{name: 'its chunks', text: `${head}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n`, body: 'body'},
	{name: 'its status', text: head.replace('200 OK', '204 No Content') + '\r\n', body: ''},
];

// Guards against failing an answer that the upstream has given in full.
test.each(delimitedResponses)('a response that is complete by $name stays complete if the reset arrives with it', async ({text, body}) => {
	const upstream = await hostileUpstream.start(socket => {
		writeAndReset(socket, text);
	});
	const {answer} = await hostileUpstream.attempt(upstream, 'a');
	expect(new TextDecoder().decode(answer?.body)).toBe(body);
});

test('a response that ends with its connection stays complete if the reset arrives after the end', async () => {
	const upstream = await hostileUpstream.start(socket => {
		socket.end(`${head}\r\nall of it`);
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 100);
	});
	const {answer} = await hostileUpstream.attempt(upstream, 'a');
	expect(new TextDecoder().decode(answer?.body)).toBe('all of it');
	await timers.setTimeout(150);
});

// Guards against losing the proof that a request has not run, which the head alone gives.
test('a refusal whose body is reset still states that the request has not run', async () => {
	const upstream = await hostileUpstream.start(socket => {
		writeAndReset(socket, 'HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a\r\nNot-Executed: 1\r\n\r\nfull');
	});
	const {end} = await hostileUpstream.attempt(upstream, 'a');
	expect(end).toEqual({kind: 'not-run'});
});

async function checkLoad(upstream: upstreams.Upstream): Promise<loadCheck.CheckResult['kind']> {
	return new Promise(resolve => {
		loadCheck.startLoadCheck({
			headers: headerHost.createHeaderHost(), getNow: hostileUpstream.getNow, getHealthPath: () => '/healthz', recordCheck: () => undefined, recordStatements: () => undefined,
		}, upstream, ({kind}) => {
			resolve(kind);
		});
	});
}

// Guards against selecting an upstream by the response to a load check that was reset.
test('a response to a load check that ends with its connection is no answer if the connection was reset', async () => {
	const upstream = await hostileUpstream.start(socket => {
		writeAndReset(socket, 'HTTP/1.1 200 OK\r\nInstance-Id: u-1\r\n\r\nhalf of');
	});
	expect(await checkLoad(upstream)).toBe('silent');
	expect(upstream.pool.count()).toBe(0);
});
