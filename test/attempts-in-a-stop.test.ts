/** Tests that a call sends nothing during a stop that may outlast it, and goes on with what it has sent. */
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import type * as connectionPool from '../src/entry/connection-pool.ts';
import type * as callRunner from '../src/gateway/call-runner.ts';
import type * as selection from '../src/gateway/selection.ts';
import type * as types from '../src/gateway/types.ts';
import type * as upstreamsModule from '../src/gateway/upstreams.ts';
import * as callSupport from './support/calls.ts';
import * as gateways from './support/gateways.ts';
import * as hostileUpstream from './support/hostile-upstream.ts';

const {afterEach, expect, test} = vitest;
/** Time in which a request that was sent reaches its upstream, in milliseconds. */
const arrivalMilliseconds = 100;
/** Time after which a call whose upstream is silent would have sent its hedge, in milliseconds. */
const hedgeMilliseconds = 400;
/** Expected time of an attempt, in milliseconds, that lets a call send a hedge soon or not before its deadline. */
const expectedMilliseconds = {soon: 10, never: 20_000};
const deadlineMilliseconds = 10_000;

afterEach(hostileUpstream.close);

/** A call, and what its caller and its upstream see. */
type StartedCall = {
	readonly running: callRunner.RunningCall;
	readonly responses: types.GatewayResponse[];
	readonly failures: unknown[];
	stop(): void;
};

function createRequest(kind: types.GatewayRequest['route']['kind']): types.GatewayRequest {
	const request = hostileUpstream.createRequest('a');
	return {...request, deadlineAt: request.receivedAt + deadlineMilliseconds, route: {...request.route, kind, timeoutMilliseconds: deadlineMilliseconds}};
}

/** Selects an upstream at once. */
function createSelector(upstream: upstreamsModule.Upstream, hedge: keyof typeof expectedMilliseconds): selection.Selector {
	return {
		select(_request, listener) {
			listener(createSelection(upstream, hedge));
			return () => undefined;
		},
		hasHeldRequests: () => false,
		onAttemptEnded: () => undefined,
		close: () => undefined,
	};
}

const createSelection = (upstream: upstreamsModule.Upstream, hedge: keyof typeof expectedMilliseconds): selection.Selection => ({
	kind: 'selected', upstream, connection: undefined, expectedMilliseconds: expectedMilliseconds[hedge], checks: 0,
});

/** Starts a call that can be finished until the stop begins. */
function startCall(upstream: upstreamsModule.Upstream, kind: types.GatewayRequest['route']['kind'], selector = createSelector(upstream, 'never')): StartedCall {
	const responses: types.GatewayResponse[] = [];
	const failures: unknown[] = [];
	let isStopping = false;
	const running = callSupport.startCallAt(upstream, createRequest(kind), response => {
		responses.push(response);
	}, {
		canFinish: () => !isStopping,
		recordFailure(error) {
			failures.push(error);
		},
		selector,
	});
	return {
		running, responses, failures, stop() {
			isStopping = true;
		},
	};
}

/** Starts an upstream that leaves requests unanswered; the test answers them. */
async function startSilentUpstream(): Promise<{upstream: upstreamsModule.Upstream; sockets: net.Socket[]}> {
	const sockets: net.Socket[] = [];
	const upstream = await hostileUpstream.start(socket => {
		sockets.push(socket);
	});
	return {upstream, sockets};
}

function answer(socket: net.Socket, statusLine: string, headers: readonly string[] = []): void {
	socket.write(['HTTP/1.1 ' + statusLine, 'attempt-id: a', 'upstream-signature: s', 'content-length: 2', ...headers, '', 'ok'].join('\r\n'));
}

const listStatuses = ({responses}: StartedCall) => responses.map(({statusCode}) => statusCode);

/** Selects an upstream for the first attempt at once, and for each other one when the test does. */
function createLateSelector(upstream: upstreamsModule.Upstream): {selector: selection.Selector; late: Array<(selection: selection.Selection) => void>} {
	const late: Array<(selection: selection.Selection) => void> = [];
	let isFirst = true;
	return {
		late,
		selector: {
			...createSelector(upstream, 'soon'),
			select(_request, listener) {
				if (isFirst) {
					isFirst = false;
					listener(createSelection(upstream, 'soon'));
				} else {
					late.push(listener);
				}

				return () => undefined;
			},
		},
	};
}

// Guards against a second attempt that the end of the stop cuts, while its caller waits for it and could be served elsewhere.
test('an idempotent request whose attempt fails during a stop that it may outlast is answered at once', async () => {
	const {upstream, sockets} = await startSilentUpstream();
	const call = startCall(upstream, 'idempotent');
	call.stop();
	await gateways.waitUntil(() => sockets.length === 1);
	sockets[0]!.resetAndDestroy();
	await gateways.waitUntil(() => call.responses.length === 1);
	expect(listStatuses(call)).toEqual([502]);
	await timers.setTimeout(arrivalMilliseconds);
	expect(sockets).toHaveLength(1);
	expect(call.failures).toEqual([]);
});

test('an upstream\'s own error is passed on during a stop that a second attempt may outlast', async () => {
	const {upstream, sockets} = await startSilentUpstream();
	const call = startCall(upstream, 'idempotent');
	call.stop();
	await gateways.waitUntil(() => sockets.length === 1);
	answer(sockets[0]!, '500 Failed');
	await gateways.waitUntil(() => call.responses.length === 1);
	expect(call.responses).toMatchObject([{statusCode: 500, isOwn: false}]);
	await timers.setTimeout(arrivalMilliseconds);
	expect(sockets).toHaveLength(1);
});

test.each([
	{kind: 'idempotent', status: 503},
	{kind: 'non-idempotent', status: 503},
] as const)('a request ($kind) that its upstream has not run is refused at once during a stop that it may outlast', async ({kind, status}) => {
	const {upstream, sockets} = await startSilentUpstream();
	const {selector, late} = createLateSelector(upstream);
	const call = startCall(upstream, kind, selector);
	call.stop();
	await gateways.waitUntil(() => sockets.length === 1);
	answer(sockets[0]!, '503 Full', ['not-executed: 1']);
	await gateways.waitUntil(() => call.responses.length === 1);
	expect(listStatuses(call)).toEqual([status]);
	expect(late).toEqual([]);
});

// Guards against hedges that the end of the stop cuts, and that cost the upstreams work for nothing.
test('no hedge is sent during a stop that it may outlast, and the first attempt is answered', async () => {
	const {upstream, sockets} = await startSilentUpstream();
	const call = startCall(upstream, 'idempotent', createSelector(upstream, 'soon'));
	call.stop();
	await gateways.waitUntil(() => sockets.length === 1);
	await timers.setTimeout(hedgeMilliseconds);
	expect(sockets).toHaveLength(1);
	answer(sockets[0]!, '200 OK');
	await gateways.waitUntil(() => call.responses.length === 1);
	expect(listStatuses(call)).toEqual([200]);
});

test('a hedge that is selected after the stop began is not sent, and doesn\'t end the attempt beside it', async () => {
	const {upstream, sockets} = await startSilentUpstream();
	const {selector, late} = createLateSelector(upstream);
	const call = startCall(upstream, 'idempotent', selector);
	await gateways.waitUntil(() => late.length === 1);
	call.stop();
	late[0]!(createSelection(upstream, 'soon'));
	await timers.setTimeout(arrivalMilliseconds);
	expect(call.responses).toEqual([]);
	expect(sockets).toHaveLength(1);
	answer(sockets[0]!, '200 OK');
	await gateways.waitUntil(() => call.responses.length === 1);
	expect(listStatuses(call)).toEqual([200]);
});

test('a request whose attempt fails while its hedge is being selected is answered once it isn\'t sent', async () => {
	const {upstream, sockets} = await startSilentUpstream();
	const {selector, late} = createLateSelector(upstream);
	const call = startCall(upstream, 'idempotent', selector);
	await gateways.waitUntil(() => late.length === 1);
	call.stop();
	sockets[0]!.resetAndDestroy();
	await gateways.waitUntil(() => upstream.record.getState(hostileUpstream.getNow()).inFlight === 0);
	late[0]!(createSelection(upstream, 'soon'));
	await gateways.waitUntil(() => call.responses.length === 1);
	expect(listStatuses(call)).toEqual([502]);
	expect(sockets).toHaveLength(1);
});

/** Starts an upstream and takes all connections that its pool may open. */
async function startBusyUpstream(): Promise<{upstream: upstreamsModule.Upstream; connections: readonly connectionPool.Connection[]; sockets: net.Socket[]}> {
	const {upstream, sockets} = await startSilentUpstream();
	const connections = await Promise.all(Array.from({length: 7}, async () => new Promise<connectionPool.Connection>(resolve => {
		upstream.pool.acquire(false, connection => {
			resolve(connection!);
		});
	})));
	return {upstream, connections, sockets};
}

// Guards against requests that wait for a connection to their upstream until the end of the stop cuts them, although nothing of them was sent.
test.each(['idempotent', 'non-idempotent'] as const)('a request (%s) that waits for a connection is refused during a stop that it may outlast, and not sent', async kind => {
	const {upstream, connections, sockets} = await startBusyUpstream();
	const call = startCall(upstream, kind);
	call.running.refuseUnsent();
	expect(call.responses).toEqual([]);
	call.stop();
	call.running.refuseUnsent();
	expect(listStatuses(call)).toEqual([503]);
	upstream.pool.release(connections[0]!);
	await timers.setTimeout(arrivalMilliseconds);
	expect(sockets).toEqual([]);
	expect(upstream.record.getState(hostileUpstream.getNow()).inFlight).toBe(0);
});

test('a request that waits for the connection of its second attempt is answered during a stop that it may outlast', async () => {
	const {upstream, connections, sockets} = await startBusyUpstream();
	const call = startCall(upstream, 'idempotent');
	upstream.pool.release(connections[0]!);
	await gateways.waitUntil(() => sockets.length === 1);
	const taken = new Promise(resolve => {
		upstream.pool.acquire(false, resolve);
	});
	sockets[0]!.resetAndDestroy();
	await taken;
	call.stop();
	call.running.refuseUnsent();
	expect(listStatuses(call)).toEqual([502]);
	await timers.setTimeout(arrivalMilliseconds);
	expect(sockets).toHaveLength(1);
});

test('a request at its upstream is not refused during a stop, whatever hedge waits beside it', async () => {
	const {upstream, connections, sockets} = await startBusyUpstream();
	const call = startCall(upstream, 'idempotent', createSelector(upstream, 'soon'));
	upstream.pool.release(connections[0]!);
	await gateways.waitUntil(() => sockets.length === 1);
	await gateways.waitUntil(() => upstream.record.getState(hostileUpstream.getNow()).inFlight === 2);
	call.stop();
	call.running.refuseUnsent();
	expect(call.responses).toEqual([]);
	upstream.pool.release(connections[1]!);
	await timers.setTimeout(arrivalMilliseconds);
	expect(sockets).toHaveLength(1);
	answer(sockets[0]!, '200 OK');
	await gateways.waitUntil(() => call.responses.length === 1);
	expect(listStatuses(call)).toEqual([200]);
});
