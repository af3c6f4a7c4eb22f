/** Tests of requests that arrive while a process stops and whose work may last longer than its grace period, with real processes. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';
import * as stayingCallers from './support/staying-callers.ts';

const {afterEach, beforeEach, expect, test} = vitest;

const graceSeconds = 6;
const routeTimeoutMilliseconds = 10_000;
const upstreamSlots = 80;
const longWorkMilliseconds = 4500;
let standIns: gatewayProcess.StandIns;

beforeEach(async () => {
	standIns = await gatewayProcess.startStandIns(upstreamSlots);
	standIns.store.put('keyed.op', 'config', gateways.createConfiguration(5, undefined, routeTimeoutMilliseconds));
});

afterEach(gatewayProcess.close);

/** Lets one request in eight take longer than the time that a stop leaves. */
function setWork(shortMilliseconds: number): void {
	standIns.upstream.setBehavior({
		kind: 'choose', chooseResponse: path => ({milliseconds: path.includes('long') ? longWorkMilliseconds : shortMilliseconds, bytes: 0, end: 'length'}),
	});
}

function createPathChooser(prefix: string): () => string {
	let count = 0;
	return () => {
		count++;
		return `${prefix}${count % 8 === 5 ? 'long' : 'short'}-${count}`;
	};
}

// Guards against requests that are taken on although they may outlast the stop, run, and end without an answer.
test.each([
	{workMilliseconds: 300, chunkMilliseconds: 60, secondsBefore: 2.2},
	{workMilliseconds: 850, chunkMilliseconds: 15, secondsBefore: 2.2},
	{workMilliseconds: 300, chunkMilliseconds: 15, secondsBefore: 0.2},
])('no request that is not idempotent and arrives after SIGTERM is cut at the end of the stop: work of $workMilliseconds ms, chunks each $chunkMilliseconds ms, $secondsBefore s after the start', async ({workMilliseconds, chunkMilliseconds, secondsBefore}) => {
	setWork(workMilliseconds);
	const gateway = await gatewayProcess.startReady(standIns.store, [], {graceSeconds});
	const callers = stayingCallers.startCallers(gateway.front, {
		count: 60, method: 'POST', deadlineMilliseconds: 20_000, chunkMilliseconds, choosePath: createPathChooser('/credit/'),
	});
	await timers.setTimeout(secondsBefore * 1000);
	gateway.signal('SIGTERM');
	await gateways.waitUntil(() => gateway.hasLogged('gateway-leaving'));
	const leavingAt = performance.now();
	await gateway.exited;
	await callers.stop();
	const executed = new Set(standIns.upstream.executedRequestIds);
	const lost = callers.requests.filter(({id, beganAt, status}) => beganAt >= leavingAt && status === undefined && executed.has(id));
	expect(lost.map(({sentAt, endedAt}) => [sentAt, endedAt].map(time => Math.round((time ?? 0) - leavingAt)))).toEqual([]);
	const answered = callers.requests.filter(({beganAt, status}) => beganAt >= leavingAt && status !== undefined);
	expect(answered.length).toBeGreaterThan(0);
	expect(executed.size).toBe(standIns.upstream.executedRequestIds.length);
});
