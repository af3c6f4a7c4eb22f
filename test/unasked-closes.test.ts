/** Tests of connections that the HTTP server or a timer would close while a request on them is due, with real processes. */
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

const createUnsafeRequest = (id: string, options: {readonly deadlineMilliseconds?: number} = {}) => rawCaller.createRequest(id, {
	path: '/credit/1', method: 'POST', body: 'x', ...options,
});

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

// Guards against a first request that is reset unread because the timer of its new connection fires on a process that is late.
test('a first request that arrives in time is answered by a process that is busy until after the time', async () => {
	const configuration = gateways.createConfiguration(5);
	standIns.store.put('keyed.op', 'config', {...configuration, limits: {...configuration.limits, headerTimeoutMs: 1000, idleTimeoutMs: 3000}});
	const script = 'const end=performance.now()+1500;while(performance.now()<end);';
	const gateway = gatewayProcess.start({
		host: gatewayProcess.createHost(), storeAddress: standIns.store.address, nodeOptions: ['--import', `data:text/javascript,process.on("SIGUSR2",()=>{${script}})`],
	});
	await gateways.waitUntil(async () => gatewayProcess.isReady(gateway));
	const caller = rawCaller.connect(gateway.front);
	await timers.setTimeout(2500);
	gateway.signal('SIGUSR2');
	await timers.setTimeout(100);
	caller.socket.write(rawCaller.createRequest('a', {deadlineMilliseconds: 10_000}));
	await gateways.waitUntil(() => caller.listStatuses().length === 1 || caller.socket.destroyed);
	expect(caller.listAnswered()).toEqual(['a']);
});

// Guards against requests that wait for an upstream and end without an answer when the grace period ends.
test('requests that no upstream has received are refused before the end of the grace period', async () => {
	const configuration = gateways.createConfiguration(5);
	standIns.store.put('keyed.op', 'config', {
		...configuration,
		listeners: configuration.listeners.map(({host, rules}) => ({
			host, rules: rules.map(rule => ({...rule, targetLatencyMs: 8000, action: {...rule.action, timeoutMs: 20_000}})),
		})),
	});
	const gateway = await gatewayProcess.startReady(standIns.store);
	standIns.upstream.setBehavior({kind: 'answer', milliseconds: 5000});
	const callers = Array.from({length: 12}, (_value, index) => {
		const caller = rawCaller.connect(gateway.front);
		caller.socket.write(createUnsafeRequest(String(index), {deadlineMilliseconds: 20_000}));
		return caller;
	});
	await timers.setTimeout(300);
	gateway.signal('SIGTERM');
	await Promise.all(callers.map(async ({closed}) => closed));
	const received = new Set(standIns.upstream.receivedRequests.map(({requestId}) => requestId));
	const held = callers.filter((_caller, index) => !received.has(String(index)));
	expect(held.length).toBeGreaterThan(0);
	expect(held.map(caller => caller.listStatuses())).toEqual(held.map(() => [503]));
	expect(await gateway.exited).toEqual({code: 0});
});
