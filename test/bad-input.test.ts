/** Sends malformed, incomplete and oversized requests to one entry. */
import * as net from 'node:net';
import * as undici from 'undici';
import * as vitest from 'vitest';
import {rowSchema} from '../src/decisions/table/rows.ts';
import {type Fleet, startFleet} from '../stand-ins/fleet.ts';

const {
	afterAll, beforeAll, expect, test,
} = vitest;

let fleet: Fleet;
let address: string;

beforeAll(async () => {
	fleet = await startFleet({
		entryCount: 1,
		failureDomains: ['north'],
		seed: 3,
		services: [{
			service: 'desk',
			upstreamCount: 2,
			slotsPerUpstream: 2,
			rows: [rowSchema.parse({
				kind: 'operation', service: 'desk', operation: 'price', method: 'POST', pathPrefix: '/price', idempotent: true,
			})],
		}],
		entrySettings: {
			limits: {
				headersTimeoutMilliseconds: 500, requestTimeoutMilliseconds: 1000, bodyBytes: 100_000, bufferedBodyBytes: 1000, heldBodyBytes: 65_536,
			},
		},
	});
	address = fleet.entries[0]!.address;
});

afterAll(async () => {
	await fleet.stop();
});

/** Sends raw bytes and resolves to all data that is received until the connection closes. */
async function sendRaw(text: string): Promise<string> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		let response = '';
		const socket = net.connect({host, port: Number(port)}, () => {
			socket.write(text);
		});
		socket.on('data', chunk => {
			response += String(chunk);
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(response);
		});
	});
}

async function expectStillServing(): Promise<void> {
	const response = await undici.request(`http://${address}/desk/price`, {method: 'POST', body: 'x'});
	expect(response.statusCode).toBe(200);
	await response.body.dump();
}

const malformedRequests = [
	{name: 'a request that is not HTTP', text: 'nonsense\r\n\r\n', status: '400'},
	{name: 'a request with content-length and chunked encoding', text: 'POST /desk/price HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n', status: '400'},
	{name: 'a request with two content-length headers', text: 'POST /desk/price HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde', status: '400'},
	{name: 'a transfer encoding that does not end with chunked', text: 'POST /desk/price HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked, gzip\r\n\r\n0\r\n\r\n', status: '400'},
	{name: 'a header with a space before the colon', text: 'POST /desk/price HTTP/1.1\r\nhost: a\r\ncontent-length : 0\r\n\r\n', status: '400'},
	{name: 'oversized headers', text: `GET / HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`, status: '431'},
	{name: 'incomplete headers', text: 'POST /desk/price HTTP/1.1\r\nhost: a\r\n', status: '408'},
	{name: 'an incomplete body', text: 'POST /desk/price HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc', status: '408'},
	{name: 'an absolute request target', text: 'POST http://other/desk/price HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\nconnection: close\r\n\r\n', status: '400'},
	{name: 'a content-length above the limit', text: 'POST /desk/price HTTP/1.1\r\nhost: a\r\ncontent-length: 200000\r\n\r\n', status: '413'},
	{name: 'an upgrade request', text: 'GET /desk/price HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n', status: '400'},
	{name: 'a CONNECT request', text: 'CONNECT other:80 HTTP/1.1\r\nhost: a\r\n\r\n', status: '400'},
];

/**
Status codes that only parsed requests receive. A request that cannot be parsed may repeat a call with a key that was
executed, so its outcome is `unknown`, and only a parsed request is reported as `not-run`.
*/
const parsedStatuses = new Set(['413']);

test.each(malformedRequests)('$name is rejected with status $status and the provable outcome, and the entry keeps serving', async ({name, text, status}) => {
	const answer = await sendRaw(text);
	expect(answer).toMatch(new RegExp(String.raw`^HTTP/1\.1 ${status} `, 'v'));
	const isParsed = parsedStatuses.has(status) || name === 'an absolute request target';
	expect(answer).toContain(`fescuering-outcome: ${isParsed ? 'not-run' : 'unknown'}\r\n`);
	await expectStillServing();
});

test('a chunked body above the size limit is not accepted, and the entry keeps serving', async () => {
	const chunk = `1000\r\n${'x'.repeat(0x10_00)}\r\n`;
	const answer = await sendRaw(`POST /desk/price HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${chunk.repeat(40)}0\r\n\r\n`);
	expect(answer).not.toMatch(/^HTTP\/1\.1 2/v);
	await expectStillServing();
});

const rejectedCalls = [
	{path: '/other/price', headers: {}, status: 404},
	{path: '/desk/other', headers: {}, status: 404},
	{path: '/desk/price', headers: {'fescuering-timeout-milliseconds': 'soon'}, status: 400},
	{path: '/desk/price', headers: {'fescuering-depth': '8'}, status: 508},
	{path: '/desk/price', headers: {'idempotency-key': 'x'.repeat(300)}, status: 400},
];

test.each(rejectedCalls)('a call to $path with headers $headers is rejected with status $status', async ({path, headers, status}) => {
	const response = await undici.request(`http://${address}${path}`, {method: 'POST', body: 'x', headers});
	expect(response.statusCode).toBe(status);
	expect(response.headers['content-type']).toBe('application/problem+json');
	expect(response.headers['fescuering-outcome']).toBe('not-run');
	await response.body.dump();
});

test('incomplete bodies use no more than the configured memory, and calls without a body still succeed', async () => {
	const [host, port] = address.split(':');
	const sockets = Array.from({length: 66}, () => net.connect({host, port: Number(port)}));
	const firstRefusal = new Promise(resolve => {
		for (const socket of sockets) {
			socket.once('data', resolve);
		}
	});
	for (const socket of sockets) {
		socket.on('error', () => undefined);
		socket.write('POST /desk/price HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\nabc');
	}

	expect(String(await firstRefusal)).toMatch(/^HTTP\/1\.1 503 /v);
	const refused = await undici.request(`http://${address}/desk/price`, {method: 'POST', body: 'x'.repeat(1000)});
	expect(refused.statusCode).toBe(503);
	expect(refused.headers['retry-after']).toBe('1');
	await refused.body.dump();
	const empty = await undici.request(`http://${address}/desk/price`, {method: 'POST'});
	expect(empty.statusCode).toBe(200);
	await empty.body.dump();
	for (const socket of sockets) {
		socket.destroy();
	}
});

test('a body above the buffer limit is streamed to the upstream', async () => {
	const body = 'x'.repeat(90_000);
	const response = await undici.request(`http://${address}/desk/price`, {method: 'POST', body});
	expect(response.statusCode).toBe(200);
	await response.body.dump();
});
