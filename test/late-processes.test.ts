/** Tests of gateway processes that stand still while something arrives, and find their timers due when they go on. */
import * as timers from 'node:timers/promises';
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

// Guards against connections that the system has accepted and that are reset because the notice of a stop is over when the process goes on.
test('a request on a new connection is answered although a stopping process stood still while it arrived', async () => {
	const gateway = await gatewayProcess.startReady(standIns.store);
	gateway.signal('SIGTERM');
	await gateways.waitUntil(() => gateway.hasLogged('gateway-leaving'));
	gateway.signal('SIGSTOP');
	await timers.setTimeout(200);
	const callers = ['a', 'b', 'c'].map(id => {
		const caller = rawCaller.connect(gateway.front);
		caller.socket.write(rawCaller.createRequest(id));
		return caller;
	});
	await timers.setTimeout(1100);
	gateway.signal('SIGCONT');
	await Promise.all(callers.map(async ({closed}) => closed));
	expect(callers.map(caller => caller.listStatuses().length)).toEqual([1, 1, 1]);
	expect(await gateway.exited).toEqual({code: 0});
});

// Guards against an answer that has arrived and is replaced by the entry's own because the deadline is due when the process goes on.
test.each([100, 400_000, 2_000_000])('an answer of %d bytes that was sent in time is delivered although the process stood still until after the deadline', async bytes => {
	standIns.upstream.setBehavior({kind: 'choose', chooseResponse: () => ({milliseconds: 500, bytes, end: 'length'})});
	const gateway = await gatewayProcess.startReady(standIns.store);
	const caller = rawCaller.connect(gateway.front);
	caller.socket.write(rawCaller.createRequest('a', {path: '/credit/1', method: 'POST', body: 'x'}));
	await gateways.waitUntil(() => standIns.upstream.receivedRequests.length === 1);
	gateway.signal('SIGSTOP');
	await timers.setTimeout(2500);
	gateway.signal('SIGCONT');
	await gateways.waitUntil(() => caller.listStatuses().length === 1 || caller.socket.destroyed);
	expect(caller.listStatuses()).toEqual([200]);
	expect(caller.listAnswered()).toEqual(['a']);
});
