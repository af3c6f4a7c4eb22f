/** Tests that requests which were passed on are answered on kept connections, with real processes. */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as platformUpstream from '../stand-ins/platform-upstream.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';
import * as rawCaller from './support/raw-caller.ts';

const {afterEach, beforeEach, expect, test} = vitest;

/** Number of requests above which the gateway accepts no more on a connection until some are answered. */
const maximumRequestsPerConnection = 256;
let standIns: gatewayProcess.StandIns;

beforeEach(async () => {
	standIns = await gatewayProcess.startStandIns();
});

afterEach(gatewayProcess.close);

const hasPassedOn = (count: number) => new Set(standIns.upstream.receivedRequests.map(({requestId}) => requestId)).size >= count;

/** What an upstream sends for a request: after some time, an answer with or without a length. */
type Script = {readonly path: string; readonly milliseconds: number; readonly hasLength: boolean; readonly bytes?: number};

/** Replaces the upstream by one that answers by the path of the request. */
async function startScriptedUpstream(scripts: readonly Script[]): Promise<{readonly received: readonly string[]}> {
	const received: string[] = [];
	const server = http.createServer((request, response) => {
		request.resume();
		if (request.url === '/healthz') {
			response.writeHead(200, {'instance-id': 'i-2', 'upstream-load': '0,0,8,100'}).end();
			return;
		}

		const {milliseconds, hasLength, bytes = 100} = scripts.find(({path}) => path === request.url)!;
		const id = String(request.headers['attempt-id']);
		received.push(id);
		setTimeout(() => {
			response.useChunkedEncodingByDefault = false;
			response.writeHead(200, {
				'attempt-id': id, 'upstream-signature': 's', 'instance-id': 'i-2', ...(hasLength ? {'content-length': bytes} : {connection: 'close'}),
			}).end('x'.repeat(bytes));
		}, milliseconds);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	gatewayProcess.addCleanup(async () => {
		server.closeAllConnections();
		server.close();
	});
	const address = server.address();
	standIns.store.put('keyed.servers', 'i-1', undefined);
	standIns.store.put('keyed.servers', 'i-2', {
		service: 'desk', addr: `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`, zone: 'riverside', version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, seq: 1, born: 1000,
	});
	return {received};
}

// Guards against requests at work that end with their connection because the answer before them closes it during a stop.
test('requests sent ahead are answered although the process is told to stop', async () => {
	standIns.upstream.setBehavior({kind: 'answer', milliseconds: 500});
	const gateway = await gatewayProcess.startReady(standIns.store);
	const caller = rawCaller.connect(gateway.front);
	caller.socket.write(['a', 'b', 'c'].map(id => rawCaller.createRequest(id)).join(''));
	await gateways.waitUntil(() => hasPassedOn(3));
	gateway.signal('SIGTERM');
	await caller.closed;
	expect(caller.listAnswered()).toEqual(['a', 'b', 'c']);
	expect(caller.listStatuses()).toEqual([200, 200, 200]);
	expect(await gateway.exited).toEqual({code: 0});
});

// Guards against requests that aren't idempotent, run, and end without an answer.
test('requests sent ahead that are not idempotent are answered although SIGTERM and SIGHUP arrive together', async () => {
	const upstream = await startScriptedUpstream([{path: '/credit/1', milliseconds: 300, hasLength: true}, {path: '/credit/2', milliseconds: 700, hasLength: true}]);
	const gateway = await gatewayProcess.startReady(standIns.store);
	const caller = rawCaller.connect(gateway.front);
	caller.socket.write(['1', '2'].map(id => rawCaller.createRequest(id, {path: `/credit/${id}`, method: 'POST', body: 'x'})).join(''));
	await gateways.waitUntil(() => upstream.received.length === 2);
	gateway.signal('SIGTERM');
	gateway.signal('SIGHUP');
	await caller.closed;
	expect(caller.listAnswered()).toEqual(['1', '2']);
	expect(upstream.received).toEqual(['1', '2']);
	expect(await gateway.exited).toEqual({code: 0});
});

// Guards against requests at work that end with their connection because the answer before them has no length.
test('requests behind an answer without a length are answered', async () => {
	await startScriptedUpstream([{path: '/price/1', milliseconds: 300, hasLength: false}, {path: '/price/2', milliseconds: 500, hasLength: true}, {path: '/price/3', milliseconds: 100, hasLength: true}]);
	const gateway = await gatewayProcess.startReady(standIns.store);
	const caller = rawCaller.connect(gateway.front);
	caller.socket.write(['1', '2', '3'].map(id => rawCaller.createRequest(id, {path: `/price/${id}`})).join(''));
	await gateways.waitUntil(() => caller.listAnswered().length === 3 || caller.socket.destroyed);
	expect(caller.listAnswered()).toEqual(['1', '2', '3']);
	expect(caller.listStatuses()).toEqual([200, 200, 200]);
	expect(caller.getText().split('x'.repeat(100))).toHaveLength(4);
	caller.socket.destroy();
});

// Guards against a running request that ends with its connection because what follows it on the connection can't be handled.
test.each([
	{name: 'a body in malformed chunks', text: `POST /credit/1 HTTP/1.1\r\nHost: ${gateways.host}\r\nAttempt-Id: bad\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n`},
	{name: 'a malformed head', text: 'nonsense\r\n\r\n'},
	{name: 'a tunnel', text: 'CONNECT elsewhere:443 HTTP/1.1\r\nHost: elsewhere\r\n\r\n'},
	{name: 'a protocol upgrade', text: `GET /price/1 HTTP/1.1\r\nHost: ${gateways.host}\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n`},
])('a running request is answered although $name follows it', async ({text}) => {
	standIns.upstream.setBehavior({kind: 'answer', milliseconds: 300});
	const gateway = await gatewayProcess.startReady(standIns.store);
	const caller = rawCaller.connect(gateway.front);
	caller.socket.write(rawCaller.createRequest('a'));
	await gateways.waitUntil(() => hasPassedOn(1));
	caller.socket.write(text);
	await gateways.waitUntil(() => caller.listAnswered().includes('a') || caller.socket.destroyed);
	expect(caller.listAnswered()[0]).toBe('a');
	expect(caller.listStatuses()[0]).toBe(200);
	expect(gateway.hasEnded()).toBe(false);
});

// Guards against requests at work that are reset because their caller sent too many ahead.
test('requests that were passed on are answered although too many follow them', async () => {
	standIns.upstream.setBehavior({kind: 'answer', milliseconds: 300});
	const gateway = await gatewayProcess.startReady(standIns.store);
	const caller = rawCaller.connect(gateway.front);
	caller.socket.write(['a', 'b'].map(id => rawCaller.createRequest(id)).join(''));
	await gateways.waitUntil(() => hasPassedOn(2));
	caller.socket.write(Array.from({length: maximumRequestsPerConnection}, (_value, index) => rawCaller.createRequest(`more-${index}`, {path: '/unknown'})).join(''));
	await gateways.waitUntil(() => caller.listAnswered().length >= 2 || caller.socket.destroyed);
	expect(caller.listAnswered().slice(0, 2)).toEqual(['a', 'b']);
});

// Guards against an answer that is lost because its caller sends more while the connection closes: the system then resets it.
test('an answer that is on its way arrives whole although its caller sends more while the connection closes', async () => {
	const bytes = 1_000_000;
	await startScriptedUpstream([{
		path: '/price/1', milliseconds: 200, hasLength: true, bytes,
	}]);
	const gateway = await gatewayProcess.startReady(standIns.store);
	const caller = rawCaller.connect(gateway.front);
	caller.socket.write(rawCaller.createRequest('a'));
	caller.socket.pause();
	await timers.setTimeout(50);
	gateway.signal('SIGTERM');
	await gateways.waitUntil(() => gateway.hasLogged('request-ended'));
	await timers.setTimeout(100);
	for (const id of ['b', 'c']) {
		caller.socket.write(rawCaller.createRequest(id));
		await timers.setTimeout(50);
	}

	caller.socket.resume();
	await caller.closed;
	expect(caller.getText().length).toBeGreaterThan(bytes);
	expect(await gateway.exited).toEqual({code: 0});
});

// Guards against a refusal that is lost because its caller still sends the body.
test('a refusal arrives although its caller is still sending the body', async () => {
	const gateway = await gatewayProcess.startReady(standIns.store);
	const caller = rawCaller.connect(gateway.front);
	caller.socket.write(`POST /credit/1 HTTP/1.1\r\nHost: ${gateways.host}\r\nAttempt-Id: a\r\nContent-Length: 50000000\r\n\r\n`);
	caller.socket.pause();
	for (let count = 0; count < 30; count++) {
		caller.socket.write('x'.repeat(100_000));
		await timers.setTimeout(10);
	}

	caller.socket.resume();
	await caller.closed;
	expect(caller.listStatuses()).toEqual([413]);
});

/** Publishes a configuration in which idle connections are closed after a time. */
function setIdleTimeout(milliseconds: number): void {
	const configuration = gateways.createConfiguration(5);
	standIns.store.put('keyed.op', 'config', {...configuration, limits: {...configuration.limits, idleTimeoutMs: milliseconds}});
}

/** Starts a process that runs a script on SIGUSR2. */
async function startWithScript(script: string): Promise<gatewayProcess.GatewayProcess> {
	const gateway = gatewayProcess.start({
		host: gatewayProcess.createHost(), storeAddress: standIns.store.address, nodeOptions: ['--import', `data:text/javascript,process.on("SIGUSR2",()=>{${script}})`],
	});
	await gateways.waitUntil(async () => gatewayProcess.isReady(gateway));
	return gateway;
}

// Guards against a request in time that is reset because the timer of the idle connection fires before the request is read.
test('a request that arrives before the idle timeout is answered by a process that is busy until after it', async () => {
	setIdleTimeout(1000);
	const gateway = await startWithScript('const end=performance.now()+2500;while(performance.now()<end);');
	const caller = rawCaller.connect(gateway.front);
	caller.socket.write(rawCaller.createRequest('a'));
	await gateways.waitUntil(() => caller.listAnswered().length === 1);
	gateway.signal('SIGUSR2');
	await timers.setTimeout(300);
	caller.socket.write(rawCaller.createRequest('b', {deadlineMilliseconds: 10_000}));
	await gateways.waitUntil(() => caller.listStatuses().length === 2 || caller.socket.destroyed);
	expect(caller.listAnswered()).toEqual(['a', 'b']);
});

// Guards against a request that is reset unread because the notice of a stop is over when the process wakes.
test('a request that arrives while a stopping process stands still is answered', async () => {
	const gateway = await gatewayProcess.startReady(standIns.store);
	const caller = rawCaller.connect(gateway.front);
	caller.socket.write(rawCaller.createRequest('a'));
	await gateways.waitUntil(() => caller.listAnswered().length === 1);
	gateway.signal('SIGTERM');
	await gateways.waitUntil(() => gateway.hasLogged('gateway-leaving'));
	gateway.signal('SIGSTOP');
	await timers.setTimeout(200);
	caller.socket.write(rawCaller.createRequest('b'));
	await timers.setTimeout(1000);
	gateway.signal('SIGCONT');
	await caller.closed;
	expect(caller.listStatuses()).toHaveLength(2);
	expect(await gateway.exited).toEqual({code: 0});
});

// Guards against requests of all callers that end without an answer because one part of the process fails.
test('requests at work are answered although an uncaught error ends the process', async () => {
	standIns.upstream.setBehavior({kind: 'answer', milliseconds: 500});
	const gateway = await startWithScript('throw new Error("failed part")');
	const callers = ['a', 'b'].map(id => {
		const caller = rawCaller.connect(gateway.front);
		caller.socket.write(rawCaller.createRequest(id));
		return caller;
	});
	await gateways.waitUntil(() => hasPassedOn(2));
	gateway.signal('SIGUSR2');
	await Promise.all(callers.map(async ({closed}) => closed));
	expect(callers.flatMap(caller => caller.listStatuses())).toEqual([200, 200]);
	expect(await gateway.exited).toEqual({code: 1});
	expect(gateway.hasLogged('gateway-crashed')).toBe(true);
});

// Guards against a request that waits for an upstream during a stop and is cut at its end, although nothing has run.
test('a request that no upstream has taken is refused when a stop leaves no time for it', async () => {
	const configuration = gateways.createConfiguration(5);
	standIns.store.put('keyed.op', 'config', {
		...configuration, listeners: configuration.listeners.map(listener => ({...listener, rules: listener.rules.map(rule => ({...rule, targetLatencyMs: 9000, action: {...rule.action, timeoutMs: 20_000}}))})),
	});
	const upstream = await platformUpstream.startPlatformUpstream('i-2', 1);
	gatewayProcess.addCleanup(upstream.close);
	upstream.setBehavior({kind: 'answer', milliseconds: 5000});
	standIns.store.put('keyed.servers', 'i-1', undefined);
	gateways.register(standIns.store, upstream, {slots: 1});
	const gateway = await gatewayProcess.startReady(standIns.store);
	const send = (id: string) => {
		const caller = rawCaller.connect(gateway.front);
		caller.socket.write(rawCaller.createRequest(id, {
			path: '/credit/1', method: 'POST', body: 'x', deadlineMilliseconds: 20_000,
		}));
		return caller;
	};

	send('running');
	await gateways.waitUntil(() => upstream.executedRequestIds.length === 1);
	const held = send('held');
	await timers.setTimeout(200);
	gateway.signal('SIGTERM');
	await held.closed;
	expect(held.listStatuses()).toEqual([503]);
	expect(upstream.executedRequestIds).toEqual(['running']);
	expect(await gateway.exited).toEqual({code: 0});
});
