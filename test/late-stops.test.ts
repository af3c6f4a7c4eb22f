/** Tests of stops of processes that stand still or are late, with real processes. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';
import * as rawCaller from './support/raw-caller.ts';

const {afterEach, beforeEach, expect, test} = vitest;

const routeTimeoutMilliseconds = 10_000;
let standIns: gatewayProcess.StandIns;

beforeEach(async () => {
	standIns = await gatewayProcess.startStandIns();
	standIns.store.put('keyed.op', 'config', gateways.createConfiguration(5, undefined, routeTimeoutMilliseconds));
});

afterEach(gatewayProcess.close);

const createUnsafeRequest = (id: string) => rawCaller.createRequest(id, {
	path: '/credit/1', method: 'POST', body: 'x', deadlineMilliseconds: routeTimeoutMilliseconds,
});

// Guards against answers that have arrived and are lost because the end of the stop is due when the process goes on.
test.each([
	{goesOnAt: 1770, bytes: 100},
	{goesOnAt: 1770, bytes: 2_000_000},
	{goesOnAt: 1860, bytes: 100},
	{goesOnAt: 1860, bytes: 400_000},
])('answers of $bytes bytes that arrived are delivered although the process stood still until $goesOnAt ms after SIGTERM', async ({goesOnAt, bytes}) => {
	standIns.upstream.setBehavior({kind: 'choose', chooseResponse: () => ({milliseconds: 1500, bytes, end: 'length'})});
	const gateway = await gatewayProcess.startReady(standIns.store);
	const callers = ['a', 'b', 'c'].map(id => {
		const caller = rawCaller.connect(gateway.front);
		caller.socket.write(createUnsafeRequest(id));
		return caller;
	});
	await gateways.waitUntil(() => standIns.upstream.receivedRequests.length === callers.length);
	gateway.signal('SIGTERM');
	const signalledAt = performance.now();
	const waitUntil = async (milliseconds: number) => timers.setTimeout(signalledAt + milliseconds - performance.now());
	await waitUntil(1300);
	gateway.signal('SIGSTOP');
	await waitUntil(goesOnAt);
	expect(callers.flatMap(caller => caller.listStatuses())).toEqual([]);
	gateway.signal('SIGCONT');
	await gateway.exited;
	await Promise.all(callers.map(async ({closed}) => closed));
	expect(callers.flatMap(caller => caller.listAnswered())).toEqual(['a', 'b', 'c']);
	expect(callers.flatMap(caller => caller.listStatuses())).toEqual([200, 200, 200]);
	expect(callers.every(caller => caller.getText().length > bytes)).toBe(true);
});

/** Makes a process busy for some time at SIGUSR2. */
const busyOption = 'data:text/javascript,process.on("SIGUSR2",()=>{const end=performance.now()+700;while(performance.now()<end);})';

// Guards against a process that is killed at the end of its grace period with what it had to say, because it counts from when it handles SIGTERM.
test.each(['stands still', 'is busy'] as const)('a process that %s when SIGTERM arrives ends within its grace period', async trouble => {
	standIns.upstream.setBehavior({kind: 'answer', milliseconds: routeTimeoutMilliseconds});
	const gateway = gatewayProcess.start({host: gatewayProcess.createHost(), storeAddress: standIns.store.address, nodeOptions: ['--import', busyOption]});
	await gateways.waitUntil(async () => gatewayProcess.isReady(gateway));
	const caller = rawCaller.connect(gateway.front);
	caller.socket.write(createUnsafeRequest('a'));
	await gateways.waitUntil(() => standIns.upstream.receivedRequests.length === 1);
	gateway.signal(trouble === 'is busy' ? 'SIGUSR2' : 'SIGSTOP');
	await timers.setTimeout(50);
	gateway.signal('SIGTERM');
	const graceOver = timers.setTimeout(gatewayProcess.graceSeconds * 1000, 'killed');
	await timers.setTimeout(600);
	gateway.signal('SIGCONT');
	expect(await Promise.race([gateway.exited, graceOver])).toEqual({code: 0});
	await gateways.waitUntil(() => gateway.hasLogged('connection-cut') && gateway.hasLogged('gateway-stopped'));
});

// Guards against answers that callers lose because their connection is reset while they send the rest of a body, which many read nothing during.
test('a caller that is refused at a stop and reads only when its body is sent receives the refusal', async () => {
	const gateway = await gatewayProcess.startReady(standIns.store, [], {graceSeconds: 6});
	const callers = [2000, 3000].map(milliseconds => {
		const caller = rawCaller.connect(gateway.front);
		caller.socket.pause();
		caller.socket.write('POST /credit/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a\r\nDeadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n');
		return {caller, milliseconds};
	});
	await timers.setTimeout(200);
	gateway.signal('SIGTERM');
	await Promise.all(callers.map(async ({caller: {socket}, milliseconds}) => {
		const endsAt = performance.now() + milliseconds;
		while (performance.now() < endsAt && !socket.destroyed) {
			socket.write('4\r\nbody\r\n');
			await timers.setTimeout(100);
		}

		socket.write('0\r\n\r\n');
		socket.resume();
	}));
	await Promise.all(callers.map(async ({caller: {closed}}) => closed));
	expect(callers.map(({caller}) => caller.listStatuses())).toEqual([[503], [503]]);
	expect(standIns.upstream.receivedRequests).toEqual([]);
	expect(await gateway.exited).toEqual({code: 0});
});

/** Size of an answer that the system takes whole although its caller reads nothing, in bytes. */
const largeBytes = 1_000_000;

// Guards against an answer that the system has taken and that is lost with its process, because its connection is reset for another request.
test.each(['is the only one', 'is followed by one at work', 'is followed by one that arrives'])('an answer that the system has taken is delivered after the process has ended: it %s', async others => {
	standIns.upstream.setBehavior({kind: 'choose', chooseResponse: path => path.startsWith('/price') ? {milliseconds: 1, bytes: largeBytes, end: 'length'} : {milliseconds: 10_000, bytes: 0, end: 'length'}});
	const gateway = await gatewayProcess.startReady(standIns.store);
	const caller = rawCaller.connect(gateway.front);
	caller.socket.pause();
	caller.socket.write(rawCaller.createRequest('first'));
	await timers.setTimeout(300);
	if (others === 'is followed by one at work') {
		caller.socket.write(createUnsafeRequest('second'));
	} else if (others === 'is followed by one that arrives') {
		caller.socket.write('POST /credit/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: second\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n');
	}

	await timers.setTimeout(200);
	gateway.signal('SIGTERM');
	expect(await gateway.exited).toEqual({code: 0});
	expect(caller.getText()).toBe('');
	caller.socket.resume();
	await caller.closed;
	expect(caller.listStatuses()[0]).toBe(200);
	expect(caller.getText().length).toBeGreaterThan(largeBytes);
});
