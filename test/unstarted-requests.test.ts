/** Tests that a stop refuses the requests that no upstream has received, with real processes. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as platformUpstream from '../stand-ins/platform-upstream.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';
import * as rawCaller from './support/raw-caller.ts';

const {afterEach, beforeEach, expect, test} = vitest;

/** Number of requests of one connection that run at the same time. */
const maximumRunning = 8;
const workspaces = Array.from({length: 12}, (_value, index) => `club-${index}`);

/** Creates a configuration in which requests may take longer than a stop. */
function createConfiguration(version: number) {
	const configuration = gateways.createConfiguration(version);
	return {
		...configuration,
		listeners: configuration.listeners.map(listener => ({
			...listener, rules: listener.rules.map(rule => ({...rule, targetLatencyMs: 9000, action: {...rule.action, timeoutMs: 20_000}})),
		})),
	};
}

let standIns: gatewayProcess.StandIns;

beforeEach(async () => {
	standIns = await gatewayProcess.startStandIns();
	standIns.store.put('keyed.op', 'config', createConfiguration(5));
});

afterEach(gatewayProcess.close);

const createUnsafeRequest = (id: string) => rawCaller.createRequest(id, {
	path: '/credit/1', method: 'POST', body: 'x', deadlineMilliseconds: 20_000,
});

const closes = (caller: rawCaller.RawCaller) => /connection: close/iv.test(caller.getText().split('HTTP/1.1').at(-1)!);

// Guards against a request that waits behind others of its connection until the end of the grace period, although nothing has run.
test('a request that waits behind running ones of its connection is refused before they end, and told so in its turn', async () => {
	const upstream = await platformUpstream.startPlatformUpstream('i-2', 2 * maximumRunning);
	gatewayProcess.addCleanup(upstream.close);
	upstream.setBehavior({kind: 'answer', milliseconds: 1500});
	standIns.store.put('keyed.servers', 'i-1', undefined);
	gateways.register(standIns.store, upstream, {slots: 2 * maximumRunning});
	const gateway = await gatewayProcess.startReady(standIns.store);
	const caller = rawCaller.connect(gateway.front);
	const running = Array.from({length: maximumRunning}, (_value, index) => String(index));
	caller.socket.write([...running, 'waiting'].map(id => createUnsafeRequest(id)).join(''));
	await gateways.waitUntil(() => upstream.receivedRequests.length >= maximumRunning);
	gateway.signal('SIGTERM');
	await gateways.waitUntil(() => gateway.countLogged('request-refused', 'reason=stopping') === 1 || caller.socket.destroyed);
	expect(caller.listStatuses()).toEqual([]);
	await caller.closed;
	expect(caller.listStatuses()).toEqual([...running.map(() => 200), 503]);
	expect(caller.listAnswered()).toEqual(running);
	expect(closes(caller)).toBe(true);
	expect(upstream.receivedRequests.map(({requestId}) => requestId).toSorted()).toEqual(running);
	expect(await gateway.exited).toEqual({code: 0});
});

// Guards against a request that waits for an admission when the grace period ends.
test('requests that wait for an admission are refused before the grace period ends', async () => {
	standIns.store.put('keyed.op', 'config', {
		...createConfiguration(6), tenants: workspaces.map(name => ({
			name, apiKeys: [`${name}-key`], ratePerS: 10, burst: 5,
		})),
	});
	standIns.upstream.setBehavior({kind: 'answer', milliseconds: 5000});
	const gateway = await gatewayProcess.startReady(standIns.store);
	const others = [await gatewayProcess.startReady(standIns.store, [gateway.peers]), await gatewayProcess.startReady(standIns.store, [gateway.peers])];
	await timers.setTimeout(1500);
	const running = rawCaller.connect(gateway.front);
	running.socket.write(createUnsafeRequest('running').replace('\r\n', `\r\nAuthorization: Bearer ${workspaces[0]!}-key\r\n`));
	await gateways.waitUntil(() => standIns.upstream.receivedRequests.length === 1);
	const callers = workspaces.map(name => {
		const caller = rawCaller.connect(gateway.front);
		caller.socket.write(`POST /credit/1 HTTP/1.1\r\nHost: ${gateways.host}\r\nAuthorization: Bearer ${name}-key\r\nAttempt-Id: ${name}\r\n`);
		return caller;
	});
	await timers.setTimeout(100);
	for (const other of others) {
		other.signal('SIGSTOP');
	}

	gateway.signal('SIGTERM');
	await gateways.waitUntil(() => gateway.countLogged('gateway-state', 'state=draining') === 1);
	await timers.setTimeout(400);
	for (const {socket} of callers) {
		socket.write('Content-Length: 1\r\nDeadline-Ms: 20000\r\n\r\nx');
	}

	await Promise.all(callers.map(async ({closed}) => closed));
	expect(callers.map(caller => caller.listStatuses())).toEqual(callers.map(() => [503]));
	expect(callers.every(caller => closes(caller))).toBe(true);
	expect(standIns.upstream.receivedRequests.map(({requestId}) => requestId)).toEqual(['running']);
	expect(await gateway.exited).toEqual({code: 0});
});

// Guards against a request whose caller learns at the end of the grace period, by a reset, that its body was waited for in vain.
test('a request whose body is still arriving is refused before the grace period ends', async () => {
	const gateway = await gatewayProcess.startReady(standIns.store);
	const caller = rawCaller.connect(gateway.front);
	caller.socket.write(`POST /credit/1 HTTP/1.1\r\nHost: ${gateways.host}\r\nAttempt-Id: a\r\nDeadline-Ms: 20000\r\nContent-Length: 100\r\n\r\nx`);
	await timers.setTimeout(200);
	gateway.signal('SIGTERM');
	const sending = setInterval(() => {
		caller.socket.write('x');
	}, 50);
	await caller.closed;
	clearInterval(sending);
	expect(caller.listStatuses()).toEqual([503]);
	expect(closes(caller)).toBe(true);
	expect(standIns.upstream.receivedRequests).toEqual([]);
	expect(await gateway.exited).toEqual({code: 0});
});
