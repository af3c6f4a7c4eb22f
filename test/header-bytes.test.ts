/** Tests of answers whose headers hold bytes beyond ASCII, through a real process. */
import * as net from 'node:net';
import * as vitest from 'vitest';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';
import * as rawCaller from './support/raw-caller.ts';

const {afterEach, expect, test} = vitest;

afterEach(gatewayProcess.close);

/** Starts an upstream that writes each response with these bytes in a header. */
async function startUpstream(headerValue: Uint8Array): Promise<string> {
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', (chunk: Uint8Array) => {
			const text = new TextDecoder('latin1').decode(chunk);
			if (text.startsWith('GET /healthz')) {
				socket.write('HTTP/1.1 200 OK\r\nInstance-Id: i-2\r\nUpstream-Load: 0,0,8,100\r\nContent-Length: 0\r\n\r\n');
				return;
			}

			const {id} = (/attempt-id: (?<id>\S+)/iv.exec(text)!.groups!);
			socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nUpstream-Signature: s\r\nX-Place: `);
			socket.write(headerValue);
			socket.write('\r\nContent-Length: 4\r\n\r\nbody');
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	gatewayProcess.addCleanup(async () => {
		server.close();
	});
	const address = server.address();
	return `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
}

// Guards against requests that run and get no answer because a header of the answer can't be written.
test.each([
	{name: 'text in UTF-8', bytes: new TextEncoder().encode('Poznań, কলকাতা')},
	{name: 'text in ISO 8859-1', bytes: Uint8Array.of(0x63, 0x61, 0x66, 0xE9)},
	{name: 'all bytes that a header may hold', bytes: Uint8Array.from({length: 223}, (_value, index) => index + 33).filter(byte => byte !== 0x7F)},
])('an answer with $name in a header is passed on unchanged', async ({bytes}) => {
	const standIns = await gatewayProcess.startStandIns();
	standIns.store.put('keyed.servers', 'i-1', undefined);
	standIns.store.put('keyed.servers', 'i-2', {
		service: 'desk', addr: await startUpstream(bytes), zone: 'riverside', version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, seq: 1, born: 1000,
	});
	const gateway = await gatewayProcess.startReady(standIns.store);
	const caller = rawCaller.connect(gateway.front);
	caller.socket.write(rawCaller.createRequest('a', {path: '/credit/1', method: 'POST', body: 'x'}));
	await gateways.waitUntil(() => caller.listStatuses().length > 0 || caller.socket.destroyed);
	expect(caller.listStatuses()).toEqual([200]);
	const value = /x-place: (?<value>[^\r]*)\r/v.exec(caller.getText())!.groups!.value!;
	expect(value).toBe(new TextDecoder('latin1').decode(bytes));
	expect(gateway.hasLogged('gateway-crashed')).toBe(false);
});
