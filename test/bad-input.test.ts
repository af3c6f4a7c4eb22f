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
		entries: 1,
		failureDomains: ['north'],
		seed: 3,
		services: [{
			service: 'desk',
			upstreams: 2,
			slots: 2,
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

/** Sends raw bytes and resolves to everything that is answered until the connection closes. */
async function sendRaw(text: string): Promise<string> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		let answer = '';
		const socket = net.connect({host, port: Number(port)}, () => {
			socket.write(text);
		});
		socket.on('data', chunk => {
			answer += String(chunk);
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(answer);
		});
	});
}

async function expectStillServing(): Promise<void> {
	const response = await undici.request(`http://${address}/desk/price`, {method: 'POST', body: 'x'});
	expect(response.statusCode).toBe(200);
	await response.body.dump();
}

const refusals = [
	{name: 'no HTTP', text: 'nonsense\r\n\r\n', status: '400'},
	{name: 'length and chunked at once', text: 'POST /desk/price HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n', status: '400'},
	{name: 'two lengths', text: 'POST /desk/price HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde', status: '400'},
	{name: 'chunked is not last', text: 'POST /desk/price HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked, gzip\r\n\r\n0\r\n\r\n', status: '400'},
	{name: 'space before the colon', text: 'POST /desk/price HTTP/1.1\r\nhost: a\r\ncontent-length : 0\r\n\r\n', status: '400'},
	{name: 'oversize headers', text: `GET / HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`, status: '431'},
	{name: 'headers that never end', text: 'POST /desk/price HTTP/1.1\r\nhost: a\r\n', status: '408'},
	{name: 'a body that never ends', text: 'POST /desk/price HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc', status: '408'},
	{name: 'absolute target', text: 'POST http://other/desk/price HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\nconnection: close\r\n\r\n', status: '400'},
	{name: 'too large by its length', text: 'POST /desk/price HTTP/1.1\r\nhost: a\r\ncontent-length: 200000\r\n\r\n', status: '413'},
	{name: 'upgrade', text: 'GET /desk/price HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n', status: '400'},
	{name: 'connect', text: 'CONNECT other:80 HTTP/1.1\r\nhost: a\r\n\r\n', status: '400'},
];

/** What can't be parsed may repeat a call with a key that ran, so only a parsed request is told `not-run`. */
const parsedStatuses = new Set(['413']);

test.each(refusals)('$name is refused with the outcome that can be proved, and nothing else is disturbed', async ({name, text, status}) => {
	const answer = await sendRaw(text);
	expect(answer).toMatch(new RegExp(String.raw`^HTTP/1\.1 ${status} `, 'v'));
	const isParsed = parsedStatuses.has(status) || name === 'absolute target';
	expect(answer).toContain(`fescuering-outcome: ${isParsed ? 'not-run' : 'unknown'}\r\n`);
	await expectStillServing();
});

test('a chunked body past the bound is cut off', async () => {
	const chunk = `1000\r\n${'x'.repeat(0x10_00)}\r\n`;
	const answer = await sendRaw(`POST /desk/price HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${chunk.repeat(40)}0\r\n\r\n`);
	expect(answer).not.toMatch(/^HTTP\/1\.1 2/v);
	await expectStillServing();
});

const wrongCalls = [
	{path: '/other/price', headers: {}, status: 404},
	{path: '/desk/other', headers: {}, status: 404},
	{path: '/desk/price', headers: {'fescuering-timeout-milliseconds': 'soon'}, status: 400},
	{path: '/desk/price', headers: {'fescuering-depth': '8'}, status: 508},
	{path: '/desk/price', headers: {'idempotency-key': 'x'.repeat(300)}, status: 400},
];

test.each(wrongCalls)('$path with $headers is answered with $status', async ({path, headers, status}) => {
	const response = await undici.request(`http://${address}${path}`, {method: 'POST', body: 'x', headers});
	expect(response.statusCode).toBe(status);
	expect(response.headers['content-type']).toBe('application/problem+json');
	expect(response.headers['fescuering-outcome']).toBe('not-run');
	await response.body.dump();
});

test('bodies that never end take no more memory than is set, and calls without a body go on', async () => {
	const [host, port] = address.split(':');
	const sockets = Array.from({length: 66}, () => net.connect({host, port: Number(port)}));
	const oneIsRefused = new Promise(resolve => {
		for (const socket of sockets) {
			socket.once('data', resolve);
		}
	});
	for (const socket of sockets) {
		socket.on('error', () => undefined);
		socket.write('POST /desk/price HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\nabc');
	}

	expect(String(await oneIsRefused)).toMatch(/^HTTP\/1\.1 503 /v);
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

test('a large body is streamed whole', async () => {
	const body = 'x'.repeat(90_000);
	const response = await undici.request(`http://${address}/desk/price`, {method: 'POST', body});
	expect(response.statusCode).toBe(200);
	await response.body.dump();
});
