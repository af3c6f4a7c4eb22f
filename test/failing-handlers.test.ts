/** Tests that an error thrown while a caller's request is handled ends that request and nothing else. */
import type * as net from 'node:net';
import * as vitest from 'vitest';
import * as freePorts from '../bench/faults/free-ports.ts';
import * as headerHost from '../platform/headers.ts';
import type * as connectionPool from '../src/entry/connection-pool.ts';
import type * as selectionModule from '../src/gateway/selection.ts';
import type * as types from '../src/gateway/types.ts';
import * as platformUpstream from '../stand-ins/platform-upstream.ts';
import * as storeStandIn from '../stand-ins/store.ts';
import * as calls from './support/calls.ts';
import * as gateways from './support/gateways.ts';
import * as hostileUpstream from './support/hostile-upstream.ts';
import * as rawCaller from './support/raw-caller.ts';

const {afterEach, expect, test} = vitest;

const cleanups: Array<() => Promise<void>> = [];

afterEach(async () => {
	for (const cleanup of cleanups.splice(0).toReversed()) {
		await cleanup();
	}
});

/** Throws an error once, if it is armed. */
type Fault = {readonly arm: () => void; readonly hasFired: () => boolean; readonly fire: () => void};

function createFault(): Fault {
	let state: 'disarmed' | 'armed' | 'fired' = 'disarmed';
	return {
		arm() {
			state = 'armed';
		},
		hasFired: () => state === 'fired',
		fire() {
			if (state === 'armed') {
				state = 'fired';
				throw new Error('injected');
			}
		},
	};
}

/** Creates headers of which one function throws. */
type ChangeHeaders = (headers: types.HeaderHost, fault: Fault) => Partial<types.HeaderHost>;

/** Fires at the n-th time that the headers of the failing request are read. */
function createReadRequest(headers: types.HeaderHost, fault: Fault, turn: number): Partial<types.HeaderHost> {
	let count = 0;
	return {
		readRequest(requestHeaders) {
			const metadata = headers.readRequest(requestHeaders);
			if (metadata.id === 'thrown' && ++count === turn) {
				fault.fire();
			}

			return metadata;
		},
	};
}

const readResponse: ChangeHeaders = (headers, fault) => ({
	readResponse(responseHeaders) {
		const metadata = headers.readResponse(responseHeaders);
		if (metadata.requestId === 'thrown') {
			fault.fire();
		}

		return metadata;
	},
});

const noChange: ChangeHeaders = () => ({});

const failures: ReadonlyArray<{readonly name: string; readonly path: string; readonly status: number; readonly runs: number; readonly changeHeaders: ChangeHeaders; readonly event?: string}> = [
	{
		name: 'its head is read', path: '/price/1', status: 500, runs: 0, changeHeaders: (headers, fault) => createReadRequest(headers, fault, 1),
	},
	{
		name: 'its headers are forwarded', path: '/price/1', status: 500, runs: 0, changeHeaders: (headers, fault) => ({
			isReplacedHeader(name) {
				fault.fire();
				return headers.isReplacedHeader(name);
			},
		}),
	},
	{
		name: 'it is sent', path: '/credit/1', status: 503, runs: 0, changeHeaders: (headers, fault) => ({
			createUpstreamHeaders(...values) {
				fault.fire();
				return headers.createUpstreamHeaders(...values);
			},
		}),
	},
	{
		name: 'the answer is read', path: '/credit/1', status: 502, runs: 1, changeHeaders: readResponse,
	},
	{
		name: 'its answer is written', path: '/credit/1', status: 502, runs: 1, changeHeaders: (headers, fault) => createReadRequest(headers, fault, 2),
	},
	{
		name: 'its end is logged', path: '/credit/1', status: 200, runs: 1, changeHeaders: noChange, event: 'request-ended',
	},
];

/** Time for which the upstream works on each request. */
const milliseconds = 200;

// Guards against a process that one failing request of a caller ends, and all others with it.
test.each(failures)('an error while $name ends one request', async ({path, status, runs, changeHeaders, event}) => {
	const store = await storeStandIn.startStore();
	const upstreams = await Promise.all(['i-1', 'i-2'].map(async id => platformUpstream.startPlatformUpstream(id)));
	cleanups.push(store.close, ...upstreams.map(({close}) => close));
	store.put('keyed.op', 'config', gateways.createConfiguration(4));
	for (const upstream of upstreams) {
		upstream.setBehavior({kind: 'answer', milliseconds});
		gateways.register(store, upstream);
	}

	const listReceived = () => upstreams.flatMap(({receivedRequests}) => receivedRequests.map(({requestId}) => requestId));
	const fault = createFault();
	const lines: string[] = [];
	const log = (name: string, fields: Readonly<Record<string, unknown>> = {}) => {
		lines.push(`${name} ${String(fields.port)} ${String(fields.id)} ${String(fields.reason).split('\n', 1)[0]}`);
		if (name === event && fields.id === 'thrown') {
			fault.fire();
		}
	};

	const [metricsPort] = await freePorts.findFreePorts(1);
	const gateway = await gateways.startGateway({
		name: 'failing', storeAddress: store.address, metricsPort: metricsPort!, logger: {
			error: log, warn: log, info: log, debug: log,
		}, changeHeaders: headers => ({...headers, ...changeHeaders(headers, fault)}),
	});
	cleanups.push(gateway.gateway.leaveAtOnce);
	await gateways.waitUntil(async () => gateways.isReady(gateway));
	const caller = rawCaller.connect(gateway.front);
	const other = rawCaller.connect(gateway.front);
	caller.socket.write(rawCaller.createRequest('before'));
	other.socket.write(rawCaller.createRequest('other'));
	await gateways.waitUntil(() => new Set(listReceived()).size === 2);
	fault.arm();
	caller.socket.write(rawCaller.createRequest('thrown', {path, method: 'POST', body: 'x'}));
	await gateways.waitUntil(fault.hasFired);
	caller.socket.write(rawCaller.createRequest('after'));
	await gateways.waitUntil(() => caller.listStatuses().length === 3 || caller.socket.destroyed);
	await gateways.waitUntil(() => other.listStatuses().length === 1 || other.socket.destroyed);
	expect(caller.listStatuses(), lines.join('\n')).toEqual([200, status, 200]);
	expect(other.listAnswered()).toEqual(['other']);
	expect(listReceived().filter(id => id === 'thrown')).toHaveLength(runs);
	expect(lines.filter(line => line.startsWith('handler-failed'))).toEqual(['handler-failed callers thrown Error: injected']);
	const {body} = await gateways.send(`127.0.0.1:${metricsPort}`, '/metrics');
	expect(body).toContain('fescuering_gateway_failed_handlers_total{port="callers"} 1');
	expect(body).toContain('fescuering_gateway_running_calls 0');
	expect(body).toContain('fescuering_gateway_open_requests 0');
	caller.socket.destroy();
	other.socket.destroy();
});

const respondSoundly = (socket: net.Socket) => {
	socket.write('HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nUpstream-Signature: s\r\nContent-Length: 0\r\n\r\n');
};

// Guards against an idempotent request that fails although another attempt can answer it.
test('an error while the answer to an idempotent request is read lets it be sent again', async () => {
	let received = 0;
	const upstream = await hostileUpstream.start(socket => {
		received++;
		respondSoundly(socket);
	});
	const fault = createFault();
	fault.arm();
	const headers = headerHost.createHeaderHost();
	const reasons: string[] = [];
	const {statusCode} = await new Promise<types.GatewayResponse>(resolve => {
		calls.startCallAt(upstream, hostileUpstream.createRequest('a'), resolve, {
			headers: {
				...headers, readResponse(responseHeaders) {
					fault.fire();
					return headers.readResponse(responseHeaders);
				},
			},
			recordFailure(error) {
				reasons.push(String(error));
			},
		});
	});
	expect([statusCode, received]).toEqual([200, 2]);
	expect(reasons).toEqual(['Error: injected']);
	expect(upstream.pool.count()).toBe(1);
	hostileUpstream.close();
});

// Guards against a selection that reports its result although it threw, and against a call without an answer.
test('a selector that throws ends its request as not run, and what it selects later is released', async () => {
	const upstream = await hostileUpstream.start(respondSoundly);
	const reasons: unknown[] = [];
	let selectLate: ((selection: selectionModule.Selection) => void) | undefined;
	const selector = {
		select(_request: unknown, listener: (selection: selectionModule.Selection) => void) {
			selectLate = listener;
			throw new Error('injected');
		},
		hasHeldRequests: () => false,
		onAttemptEnded: () => undefined,
		close: () => undefined,
	};
	const responses: types.GatewayResponse[] = [];
	const respond = (response: types.GatewayResponse) => {
		responses.push(response);
	};

	calls.startCallAt(upstream, hostileUpstream.createRequest('thrown'), respond, {
		selector, recordFailure(error, id) {
			reasons.push([String(error), id]);
		},
	});
	expect(responses.map(({statusCode}) => statusCode)).toEqual([503]);
	expect(reasons).toEqual([['Error: injected', 'thrown']]);
	const connection = await new Promise<connectionPool.Connection | undefined>(resolve => {
		upstream.pool.acquire(false, resolve);
	});
	selectLate!({
		kind: 'selected', upstream, connection, expectedMilliseconds: 10, checks: 0,
	});
	calls.startCallAt(upstream, hostileUpstream.createRequest('a'), respond);
	await gateways.waitUntil(() => responses.length === 2);
	expect(responses[1]!.statusCode).toBe(200);
	expect(upstream.pool.count()).toBe(1);
	hostileUpstream.close();
});
