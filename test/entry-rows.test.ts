/** Tests of calls that are sent ahead on one connection to an entry. */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import {rowSchema} from '../src/decisions/table/rows.ts';
import {type Fleet, startFleet} from '../stand-ins/fleet.ts';

const {afterEach, beforeEach, expect, test} = vitest;
let fleet: Fleet;
beforeEach(async () => {
	fleet = await startFleet({
		entryCount: 1,
		failureDomains: ['north'],
		seed: 7,
		services: [{
			service: 'desk', upstreamCount: 2, slotsPerUpstream: 4, behavior: {durationMilliseconds: {default: 400}, durationKind: 'fixed'},
			rows: [rowSchema.parse({
				kind: 'operation', service: 'desk', operation: 'price', method: 'POST', pathPrefix: '/price', idempotent: false,
			})],
		}],
		entrySettings: {leaving: {noticeMilliseconds: 500, graceMilliseconds: 5000}},
	});
});
afterEach(async () => fleet.stop());

function connect() {
	const [host, port] = fleet.entries[0]!.address.split(':');
	const socket = net.connect({host, port: Number(port)});
	const connection = {
		socket, text: '', closed: new Promise<void>(resolve => {
			socket.once('close', () => {
				resolve();
			});
		}),
	};
	socket.on('error', error => {
		connection.text += `[${String(error)}]`;
	});
	socket.on('data', chunk => {
		connection.text += String(chunk);
	});
	return connection;
}

const call = (path: string, body = 'x', length = body.length) => `POST ${path} HTTP/1.1\r\nHost: desk\r\nContent-Length: ${length}\r\n\r\n${body}`;
const statuses = (text: string) => [...text.matchAll(/HTTP\/1.1 (?<status>\d{3}) /gv)].map(match => Number(match.groups!.status));

// Guards against a running call that ends with its connection because a call behind it is refused.
test.each([
	{name: 'a refused request with a body', text: call('/nothing/here')},
	{name: 'a refused request without a body', text: 'GET /nothing/here HTTP/1.1\r\nHost: desk\r\n\r\n'},
	{name: 'a refused request with part of its body', text: call('/nothing/here', 'x', 100)},
])('a running call is answered although $name follows it', async ({text}) => {
	const connection = connect();
	connection.socket.write(call('/desk/price?a'));
	await timers.setTimeout(100);
	connection.socket.write(text);
	await timers.setTimeout(1500);
	connection.socket.destroy();
	expect(statuses(connection.text)).toEqual([200, 404]);
});

// Guards against a running call that is cut because the HTTP server itself answers a request without a host before it, and closes.
test('calls around one without a host are answered', async () => {
	const connection = connect();
	connection.socket.write(`${call('/desk/price?a')}GET /desk/price HTTP/1.1\r\n\r\n${call('/desk/price?b')}`);
	await timers.setTimeout(1500);
	connection.socket.destroy();
	expect(statuses(connection.text)).toEqual([200, 400, 200]);
});
