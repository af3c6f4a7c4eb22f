/** Tests that nothing is sent to an upstream for a caller that has left, or whose time is over. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import type * as retryDecision from '../src/decisions/outcomes/retry-decision.ts';
import type * as connectionPool from '../src/entry/connection-pool.ts';
import type * as types from '../src/gateway/types.ts';
import type * as upstreamsModule from '../src/gateway/upstreams.ts';
import * as callSupport from './support/calls.ts';
import * as hostileUpstream from './support/hostile-upstream.ts';

const {afterEach, expect, test} = vitest;
/** Time in which a request that was sent reaches its upstream, in milliseconds. */
const arrivalMilliseconds = 100;

afterEach(hostileUpstream.close);

/** Starts an upstream and takes all connections that its pool may open. */
async function startBusyUpstream(): Promise<{upstream: upstreamsModule.Upstream; connections: readonly connectionPool.Connection[]; getRequestCount: () => number}> {
	let requests = 0;
	const upstream = await hostileUpstream.start(() => {
		requests++;
	});
	const connections = await Promise.all(Array.from({length: 7}, async () => new Promise<connectionPool.Connection>(resolve => {
		upstream.pool.acquire(false, connection => {
			resolve(connection!);
		});
	})));
	return {upstream, connections, getRequestCount: () => requests};
}

function createRequest(kind: types.GatewayRequest['route']['kind']): types.GatewayRequest {
	const request = hostileUpstream.createRequest('a');
	return {...request, route: {...request.route, kind}};
}

// Guards against requests that are sent when a connection becomes free, although their callers have left meanwhile.
test.each(['idempotent', 'non-idempotent'] as const)('an %s request that waits for a connection is not sent after its caller has left', async kind => {
	const {upstream, connections, getRequestCount} = await startBusyUpstream();
	const running = callSupport.startCallAt(upstream, createRequest(kind), () => undefined);
	running.cancel();
	upstream.pool.release(connections[0]!);
	await timers.setTimeout(arrivalMilliseconds);
	expect(getRequestCount()).toBe(0);
	expect(upstream.record.getState(hostileUpstream.getNow()).inFlight).toBe(0);
});

// Guards against requests that reach an upstream after their deadline because their timers fire late.
test('a request that gets its connection after its deadline is not sent, and its upstream has not failed', async () => {
	const {upstream, connections, getRequestCount} = await startBusyUpstream();
	const request = createRequest('idempotent');
	let now = request.receivedAt;
	const ended = new Promise<retryDecision.AttemptEnd>(resolve => {
		hostileUpstream.startAttempt(upstream, request, () => now, resolve);
	});
	now = request.deadlineAt + 1;
	upstream.pool.release(connections[0]!);
	expect(await ended).toEqual({kind: 'not-sent', reason: 'expired'});
	await timers.setTimeout(arrivalMilliseconds);
	expect(getRequestCount()).toBe(0);
});
