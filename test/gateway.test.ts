/** Tests of gateways with the real platform adapter against stand-ins for the store and the upstreams. */
import * as buffer from 'node:buffer';
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as z from 'zod';
import {findFreePorts} from '../bench/faults/free-ports.ts';
import {createResponseBody, type PlatformUpstream, startPlatformUpstream} from '../stand-ins/platform-upstream.ts';
import {startStore, type StoreStandIn} from '../stand-ins/store.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;
const {createConfiguration, isReady, send, waitUntil} = gateways;
const resolveAnswerSchema = z.object({addrs: z.array(z.string())});
type RunningGateway = gateways.RunningGateway;
const cleanups: Array<() => Promise<void>> = [];
let store: StoreStandIn;

beforeEach(async () => {
	store = await startStore();
	cleanups.push(store.close);
});

afterEach(async () => {
	for (const cleanup of cleanups.splice(0).toReversed()) {
		await cleanup();
	}
});

function register(upstream: PlatformUpstream, state = 'ready', sequence = 1) {
	gateways.register(store, upstream, {state, seq: sequence});
}

async function startUpstream(id: string): Promise<PlatformUpstream> {
	const upstream = await startPlatformUpstream(id);
	cleanups.push(upstream.close);
	return upstream;
}

async function startGateway(name: string, seeds: readonly string[] = [], peers?: string): Promise<RunningGateway> {
	const running = await gateways.startGateway({
		name, storeAddress: store.address, seeds, peers,
	});
	cleanups.push(running.gateway.leave);
	return running;
}

async function startGatewayWithUpstreams(): Promise<{running: RunningGateway; first: PlatformUpstream; second: PlatformUpstream}> {
	const first = await startUpstream('i-1');
	const second = await startUpstream('i-2');
	store.put('keyed.op', 'config', createConfiguration(4));
	register(first);
	register(second);
	const running = await startGateway('edge-1');
	await waitUntil(async () => isReady(running));
	return {running, first, second};
}

test('an upstream of the route answers a request, and the directory lists the gateway address', async () => {
	const {running} = await startGatewayWithUpstreams();
	const answer = await send(running.front, '/price/42');
	expect(answer.status).toBe(200);
	const digest = crypto.createHash('sha256').digest('hex');
	expect(answer.body).toBe(createResponseBody(String(answer.headers['upstream-signature']).replace('signed-by-', ''), answer.id, digest));
	const directory = await send(running.directory, '/api/resolve?name=desk.example&region=east&zone=riverside');
	expect(JSON.parse(directory.body)).toEqual({addrs: [running.front], ttlS: 1});
	const unknown = await send(running.front, '/other/1');
	expect(unknown.status).toBe(404);
});

test('a gateway without a configuration refuses requests, and serves them once the store responds', async () => {
	store.setFault({kind: 'silent'});
	const upstream = await startUpstream('i-1');
	store.put('keyed.op', 'config', createConfiguration(4));
	register(upstream);
	const running = await startGateway('edge-1');
	const refused = await send(running.front, '/price/1');
	expect(refused.status).toBe(503);
	expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
	store.setFault({kind: 'none'});
	await waitUntil(async () => isReady(running));
	const answer = await send(running.front, '/price/1');
	expect(answer.status).toBe(200);
});

test('a non-idempotent request whose response is lost is not retried and fails with status 502', async () => {
	const {running, first, second} = await startGatewayWithUpstreams();
	first.setBehavior({kind: 'lose'});
	second.setBehavior({kind: 'lose'});
	const answer = await send(running.front, '/credit/1', 'POST', 'body');
	expect(answer.status).toBe(502);
	expect([...first.executedRequestIds, ...second.executedRequestIds]).toEqual([answer.id]);
});

test('a non-idempotent request that an upstream refused before execution is sent to another upstream', async () => {
	const {running, first, second} = await startGatewayWithUpstreams();
	// The retry budget of a process that has just started comes only from its own requests.
	for (let count = 0; count < 40; count++) {
		await send(running.front, '/price/1');
	}

	first.setBehavior({kind: 'refuse'});
	const before = second.executedRequestIds.length;
	for (let count = 0; count < 4; count++) {
		const answer = await send(running.front, '/credit/1', 'POST', 'body');
		expect(answer.status).toBe(200);
	}

	expect(second.executedRequestIds.length).toBe(before + 4);
});

test('a newer configuration takes effect, and an older or invalid configuration does not', async () => {
	const {running} = await startGatewayWithUpstreams();
	store.put('keyed.op', 'config', createConfiguration(9, ['/price/', '/added/']));
	await waitUntil(async () => {
		const answer = await send(running.front, '/added/1');
		return answer.status === 200;
	});
	store.put('keyed.op', 'config', createConfiguration(5));
	store.put('keyed.op', 'config', {version: '0000000a', listeners: 'none'});
	store.put('keyed.op', 'config', createConfiguration(11, ['/price/', '/added/', '/last/']));
	await waitUntil(async () => {
		const answer = await send(running.front, '/last/1');
		return answer.status === 200;
	});
	const dropped = await send(running.front, '/credit/1', 'POST', 'body');
	expect(dropped.status).toBe(404);
});

test('a draining upstream receives no new requests even if the store has expired the record', async () => {
	const {running, first, second} = await startGatewayWithUpstreams();
	register(first, 'draining', 2);
	store.expireHistory('keyed.servers');
	await timers.setTimeout(1500);
	const before = first.executedRequestIds.length;
	for (let count = 0; count < 20; count++) {
		const answer = await send(running.front, '/price/1');
		expect(answer.status).toBe(200);
	}

	expect(first.executedRequestIds.length).toBe(before);
	expect(second.executedRequestIds.length).toBeGreaterThanOrEqual(20);
});

test('a malformed registration does not affect other registrations', async () => {
	const {running} = await startGatewayWithUpstreams();
	store.putBytes('keyed.servers', 'i-1', buffer.Buffer.from([0xFF, 0x00, 0x7B]));
	store.put('keyed.servers', 'i-9', {service: 7, addr: 'nowhere'});
	const third = await startUpstream('i-3');
	register(third);
	await waitUntil(async () => {
		await send(running.front, '/price/1');
		return third.executedRequestIds.length > 0;
	});
});

const oddRegistrations = [
	{name: 'with a port out of range', value: {addr: '127.0.0.1:80800'}},
	{name: 'with port 0', value: {addr: '127.0.0.1:0'}},
	{name: 'without a version', value: {version: undefined}},
	{name: 'with a number too large', value: {slots: 1e308}},
];

// Guards against processes that end, again after each start, because one registration of another writer can't be used.
test.each(oddRegistrations)('a registration $name names no upstream, and the others are followed', async ({value}) => {
	const upstream = await startUpstream('i-1');
	const [, port] = upstream.address.split(':');
	store.put('keyed.op', 'config', createConfiguration(4));
	register(upstream);
	store.put('keyed.servers', 'i-odd', {
		service: 'desk', addr: `127.0.0.1:${port}`, zone: 'riverside', version: 'v1', slots: 4, state: 'ready', coldLeftMs: 0, seq: 1, born: 1000, ...value,
	});
	const gateway = await startGateway('edge-1');
	await waitUntil(async () => isReady(gateway));
	for (let index = 0; index < 20; index++) {
		const {status} = await send(gateway.front, '/credit/1', 'POST');
		expect(status).toBe(200);
	}

	const next = await startUpstream('i-2');
	register(next);
	register(upstream, 'draining', 2);
	await waitUntil(async () => {
		await send(gateway.front, '/price/1');
		return next.executedRequestIds.length > 0;
	});
});

test('a registration with deep nesting names no upstream, and the others are followed', async () => {
	const depth = 100_000;
	store.put('keyed.op', 'config', createConfiguration(4));
	store.putBytes('keyed.servers', 'i-odd', buffer.Buffer.from(`{"service":"desk","zone":${'['.repeat(depth)}${']'.repeat(depth)}}`));
	const gateway = await startGateway('edge-1');
	register(await startUpstream('i-1'));
	await waitUntil(async () => isReady(gateway));
	const {status} = await send(gateway.front, '/price/1');
	expect(status).toBe(200);
});

test('a response without a body keeps its connection and gets no length', async () => {
	const server = http.createServer((request, response) => {
		response.writeHead(request.url === '/healthz' ? 200 : 204, {'attempt-id': request.headers['attempt-id'] ?? '', 'upstream-signature': 's', 'instance-id': 'i-1'}).end();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	cleanups.push(async () => {
		server.closeAllConnections();
		server.close();
	});
	const address = server.address();
	store.put('keyed.op', 'config', createConfiguration(4));
	store.put('keyed.servers', 'i-1', {
		service: 'desk', addr: `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`, zone: 'riverside', version: 'v1', slots: 4, state: 'ready', coldLeftMs: 0, seq: 1, born: 1000,
	});
	const gateway = await startGateway('edge-1');
	await waitUntil(async () => isReady(gateway));
	const {status, headers} = await send(gateway.front, '/price/1', 'GET', '', {connection: 'keep-alive'});
	expect(status).toBe(204);
	expect(headers['content-length']).toBeUndefined();
	expect(headers.connection).not.toBe('close');
});

// Guards against a caller that takes away the header by which the upstream knows the request.
test('a Connection header that names headers of the request leaves those that identify it', async () => {
	const upstream = await startUpstream('i-1');
	store.put('keyed.op', 'config', createConfiguration(4));
	register(upstream);
	const gateway = await startGateway('edge-1');
	await waitUntil(async () => isReady(gateway));
	const {status, id} = await send(gateway.front, '/price/1', 'GET', '', {connection: 'attempt-id, host'});
	expect(status).toBe(200);
	expect(upstream.executedRequestIds).toEqual([id]);
});

test('a gateway that starts while the store refuses requests receives the configuration and upstreams from its peer', async () => {
	const {running} = await startGatewayWithUpstreams();
	store.setFault({kind: 'refuse', statusCode: 503});
	const second = await startGateway('edge-2', [running.peers]);
	await waitUntil(async () => isReady(second));
	const answer = await send(second.front, '/price/1');
	expect(answer.status).toBe(200);
});

test('gateways whose reads fail limit their requests to the store', async () => {
	const {running} = await startGatewayWithUpstreams();
	const second = await startGateway('edge-2', [running.peers]);
	await waitUntil(async () => isReady(second));
	store.setFault({kind: 'reset'});
	await timers.setTimeout(1000);
	const before = store.countCalls();
	await timers.setTimeout(4000);
	// Two gateways with two reads each, with pauses of 2 s, and as many again for changes of the reader.
	expect(store.countCalls() - before).toBeLessThanOrEqual(24);
});

test('a gateway that is stopping finishes its requests, becomes unready and closes client connections', async () => {
	const {running, first, second} = await startGatewayWithUpstreams();
	for (const upstream of [first, second]) {
		upstream.setBehavior({kind: 'answer', milliseconds: 200});
	}

	const pending = send(running.front, '/price/1');
	await timers.setTimeout(50);
	const stopped = running.gateway.leave();
	const ready = await send(running.ready, '/api/ready');
	expect(ready.status).toBe(503);
	// Its deadline is over before the stop is.
	const late = await send(running.front, '/price/2', 'GET', '', {'deadline-ms': '400'});
	expect(late.status).toBe(200);
	expect(late.headers.connection).toBe('close');
	expect((await pending).status).toBe(200); // eslint-disable-line unicorn/no-await-expression-member
	await stopped;
});

test('a request that arrives too late in the grace period to be finished is rejected at once, and not sent', async () => {
	const {running, first, second} = await startGatewayWithUpstreams();
	for (const upstream of [first, second]) {
		upstream.setBehavior({kind: 'answer', milliseconds: 700});
	}

	// The gateway learns how long such requests take.
	expect((await send(running.front, '/credit/1', 'POST', 'amount=1')).status).toBe(200); // eslint-disable-line unicorn/no-await-expression-member
	const executedBefore = first.executedRequestIds.length + second.executedRequestIds.length;
	const stopped = running.gateway.leave();
	await timers.setTimeout(300);
	const late = await send(running.front, '/credit/2', 'POST', 'amount=1');
	expect(late.status).toBe(503);
	expect(Number(late.headers['retry-after'])).toBeLessThanOrEqual(0.1);
	expect(late.headers.connection).toBe('close');
	await stopped;
	expect(first.executedRequestIds.length + second.executedRequestIds.length).toBe(executedBefore);
});

test('gateways discover gateways that start later, and only one of them reads the store', async () => {
	const upstream = await startUpstream('i-1');
	store.put('keyed.op', 'config', createConfiguration(4));
	register(upstream);
	const [seedPort] = await findFreePorts(1);
	const seed = `127.0.0.1:${seedPort}`;
	const first = await startGateway('edge-1', [seed]);
	const second = await startGateway('edge-2', [first.peers]);
	const countAddresses = async ({directory}: RunningGateway) => {
		const answer = await send(directory, '/api/resolve?name=desk.example&region=east&zone=riverside');
		return answer.status === 200 ? resolveAnswerSchema.parse(JSON.parse(answer.body)).addrs.length : 0;
	};

	await waitUntil(async () => await countAddresses(first) === 2 && await countAddresses(second) === 2);
	const third = await startGateway('edge-3', [], seed);
	await waitUntil(async () => await countAddresses(third) === 3 && await countAddresses(second) === 3);
	await timers.setTimeout(1000);
	const before = store.countCalls();
	await timers.setTimeout(3000);
	// The reader makes at most two reads in each half second.
	expect(store.countCalls() - before).toBeLessThanOrEqual(16);
});

test('only one gateway reads the store while no configuration is published', async () => {
	const first = await startGateway('edge-1');
	await startGateway('edge-2', [first.peers]);
	await startGateway('edge-3', [first.peers]);
	await timers.setTimeout(3000);
	const before = store.countCalls();
	await timers.setTimeout(3000);
	expect(store.countCalls() - before).toBeLessThanOrEqual(16);
});

test('the retry-after time is short if upstreams that are not full refused the request', async () => {
	const upstream = await startUpstream('i-1');
	upstream.setBehavior({kind: 'refuse'});
	store.put('keyed.op', 'config', createConfiguration(4));
	register(upstream);
	const {front, ready} = await startGateway('edge-1');
	await waitUntil(async () => {
		const {status} = await send(ready, '/api/ready');
		return status === 200;
	});
	const answer = await send(front, '/credit/x', 'POST', 'body');
	expect(answer.status).toBe(503);
	expect(Number(answer.headers['retry-after'])).toBeLessThan(0.1);
	expect(upstream.executedRequestIds).toEqual([]);
});
