/** Tests of connections that the HTTP server or a timer would close while a request on them is due, with real processes. */
import * as vitest from 'vitest';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';
import * as rawCaller from './support/raw-caller.ts';

const {afterEach, beforeEach, expect, test} = vitest;
let standIns: gatewayProcess.StandIns;

beforeEach(async () => {
	standIns = await gatewayProcess.startStandIns();
});

afterEach(gatewayProcess.close);

const createUnsafeRequest = (id: string) => rawCaller.createRequest(id, {path: '/credit/1', method: 'POST', body: 'x'});

// Guards against a running request that is cut because the HTTP server itself answers a request without a host before it, and closes.
test('a request that was passed on is answered although the one before it names no host', async () => {
	standIns.upstream.setBehavior({kind: 'answer', milliseconds: 300});
	const gateway = await gatewayProcess.startReady(standIns.store);
	const caller = rawCaller.connect(gateway.front);
	caller.socket.write(`${createUnsafeRequest('a')}GET /price/1 HTTP/1.1\r\nAttempt-Id: b\r\n\r\n${createUnsafeRequest('c')}`);
	await gateways.waitUntil(() => caller.listStatuses().length === 3 || caller.socket.destroyed);
	expect(caller.listStatuses()).toEqual([200, 400, 200]);
	expect(standIns.upstream.receivedRequests.map(({requestId}) => requestId).toSorted()).toEqual(['a', 'c']);
});
