/** Tests of upstreams that answer before they have read a long body, with real processes. */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';
import * as rawCaller from './support/raw-caller.ts';

const {afterEach, expect, test} = vitest;
const bodyBytes = 20_000_000;
const earlyMilliseconds = 100;
const lateMilliseconds = 600;

afterEach(gatewayProcess.close);

/** Starts a gateway before an upstream that reads only the start of each long body, and answers it early or resets it. */
async function start(endEarly: (response: http.ServerResponse) => void): Promise<{readonly gateway: gatewayProcess.GatewayProcess; readonly received: readonly string[]}> {
	const received: string[] = [];
	const server = http.createServer((request, response) => {
		if (request.url === '/healthz') {
			response.writeHead(200, {'instance-id': 'i-2', 'upstream-load': '0,0,8,100'}).end();
			return;
		}

		const isLong = Number(request.headers['content-length']) === bodyBytes;
		const id = String(request.headers['attempt-id']);
		received.push(id);
		response.setHeader('attempt-id', id);
		request.once('data', () => {
			request.pause();
		});
		setTimeout(() => {
			if (isLong) {
				endEarly(response);
			} else {
				response.writeHead(200, {'upstream-signature': 's', 'content-length': 1}).end('x');
			}
		}, isLong ? earlyMilliseconds : lateMilliseconds);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {store} = await gatewayProcess.startStandIns();
	gatewayProcess.addCleanup(async () => {
		server.closeAllConnections();
		server.close();
	});
	const configuration = gateways.createConfiguration(5);
	store.put('keyed.op', 'config', {...configuration, limits: {...configuration.limits, maxBodyBytes: 2 * bodyBytes}});
	const address = server.address();
	store.put('keyed.servers', 'i-1', undefined);
	store.put('keyed.servers', 'i-2', {
		service: 'desk', addr: `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`, zone: 'riverside', version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, seq: 1, born: 1000,
	});
	return {gateway: await gatewayProcess.startReady(store), received};
}

// Guards against an uncaught error, which ends the process, when the turn of a response comes after the rest of its body was given up.
test.each([
	{
		name: 'answered early', endEarly(response: http.ServerResponse) {
			response.writeHead(200, {'upstream-signature': 's', 'content-length': 1}).end('x');
		}, status: 200,
	},
	{
		name: 'reset', endEarly(response: http.ServerResponse) {
			response.socket?.resetAndDestroy();
		}, status: 502,
	},
])('a request with a long body behind a running one is answered in its turn although it is $name', async ({endEarly, status}) => {
	const {gateway, received} = await start(endEarly);
	const caller = rawCaller.connect(gateway.front);
	caller.socket.write(rawCaller.createRequest('a', {path: '/credit/1', method: 'POST', body: 'x'}));
	await gateways.waitUntil(() => received.includes('a'));
	caller.socket.write(`POST /credit/1 HTTP/1.1\r\nHost: ${gateways.host}\r\nAttempt-Id: long\r\nContent-Length: ${bodyBytes}\r\n\r\n`);
	caller.socket.write('x'.repeat(bodyBytes - 1));
	await gateways.waitUntil(() => caller.listStatuses().length === 2 || caller.socket.destroyed || gateway.hasLogged('gateway-crashed'));
	await timers.setTimeout(earlyMilliseconds);
	expect(caller.listStatuses()).toEqual([200, status]);
	expect(gateway.hasLogged('gateway-crashed')).toBe(false);
});
