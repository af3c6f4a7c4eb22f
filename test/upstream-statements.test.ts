/** Tests that gateways heed what upstreams state about themselves: that they leave, or that they want no requests for a time. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import type * as platformUpstream from '../stand-ins/platform-upstream.ts';
import * as fleetModule from './support/fleet.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;
/** Time after the statement of an upstream that it leaves from which it receives no requests, in milliseconds, from the rules. */
const drainMilliseconds = 2000;
let fleet: fleetModule.Fleet;

beforeEach(async () => {
	fleet = await fleetModule.startFleet();
});

afterEach(async () => {
	await fleet.close();
});

const countServed = (answers: readonly fleetModule.FleetAnswer[]) => answers.filter(({status}) => status === 200).length;

test('an upstream that states that it leaves receives no more requests until it registers anew, whatever it states later', async () => {
	const [leaving] = await fleet.startUpstreams();
	const running = await fleet.startGateways(6);
	const stopLoad = fleetModule.startLoad(running, 80);
	await timers.setTimeout(1000);
	leaving!.setStatements({'server-leaving': '1'});
	const statedAt = performance.now();
	await timers.setTimeout(500);
	// While this process stands still the upstream has no response to state it in.
	await gateways.waitUntil(() => leaving!.endedRequests.some(({receivedAt, hasResponded}) => hasResponded && receivedAt >= statedAt));
	leaving!.setStatements({});
	const withdrawnAt = performance.now();
	await timers.setTimeout(4500);
	const answers = await stopLoad();
	// The gateways that receive the statement late pass it on late.
	const from = withdrawnAt + drainMilliseconds;
	expect(leaving!.receivedRequests.filter(({receivedAt}) => receivedAt >= from)).toEqual([]);
	expect(leaving!.checkTimes.filter(time => time >= from)).toEqual([]);
	expect(countServed(answers)).toBeGreaterThanOrEqual(0.98 * answers.length);

	gateways.register(fleet.store, leaving!, {zone: 'riverside', born: 2000, seq: 2});
	const before = leaving!.receivedRequests.length;
	await fleetModule.startLoadFor(running, 80, 3000);
	expect(leaving!.receivedRequests.length).toBeGreaterThan(before);
});

test('gateways that hear only from the others that an upstream leaves send it nothing', async () => {
	const [leaving] = await fleet.startUpstreams();
	// The first and the last gateway are in the failure domain of the upstream.
	const running = await fleet.startGateways(4);
	leaving!.setStatements({'server-leaving': '1'});
	await fleetModule.startLoadFor(running.slice(0, 1), 40, 1000);
	expect(leaving!.receivedRequests.length).toBeGreaterThan(0);
	await timers.setTimeout(1000);
	const before = leaving!.receivedRequests.length;
	const answers = await fleetModule.startLoadFor(running.slice(3), 40, 1000);
	expect(leaving!.receivedRequests.length).toBe(before);
	expect(countServed(answers)).toBe(answers.length);
});

/** Counts the most requests that one gateway sent between half a second after a rejection and the end of the time that it stated. */
function countInWorstPause(upstream: platformUpstream.PlatformUpstream, answers: readonly fleetModule.FleetAnswer[], pauseMilliseconds: number): number {
	const gatewayByRequest = new Map(answers.map(({id, gateway}) => [id, gateway]));
	const counts = upstream.receivedRequests.filter(({hasRun}) => !hasRun).map(({requestId, receivedAt}) => {
		const gateway = gatewayByRequest.get(requestId);
		return upstream.receivedRequests.filter(other =>
			gatewayByRequest.get(other.requestId) === gateway && other.receivedAt > receivedAt + 500 && other.receivedAt < receivedAt + pauseMilliseconds).length;
	});
	return Math.max(0, ...counts);
}

test('an upstream that rejects requests with a retry-after time receives at most two from each gateway until then, and others serve them', async () => {
	const [rejecting] = await fleet.startUpstreams();
	const running = await fleet.startGateways(6);
	const stopLoad = fleetModule.startLoad(running, 80);
	await timers.setTimeout(1000);
	rejecting!.setStatements({'retry-after': '4'});
	rejecting!.setBehavior({kind: 'refuse'});
	await timers.setTimeout(6000);
	rejecting!.setBehavior({kind: 'answer', milliseconds: 1});
	const before = rejecting!.executedRequestIds.length;
	await timers.setTimeout(7000);
	const answers = await stopLoad();
	expect(countInWorstPause(rejecting!, answers, 4000)).toBeLessThanOrEqual(2);
	expect(countServed(answers)).toBeGreaterThanOrEqual(0.98 * answers.length);
	expect(rejecting!.executedRequestIds.length).toBeGreaterThan(before);
});

test('while all upstreams of a service want no requests, requests are rejected with the time after which one does', async () => {
	const upstreams = await fleet.startUpstreams();
	const running = await fleet.startGateways(3);
	for (const upstream of upstreams) {
		upstream.setStatements({'retry-after': '3'});
		upstream.setBehavior({kind: 'refuse'});
	}

	await fleetModule.startLoadFor(running, 60, 1000);
	const received = upstreams.map(upstream => upstream.receivedRequests.length);
	for (const upstream of upstreams) {
		upstream.setBehavior({kind: 'answer', milliseconds: 1});
	}

	const rejected = await fleetModule.startLoadFor(running, 60, 700);
	expect(rejected.map(({status}) => status)).toEqual(rejected.map(() => 503));
	expect(rejected.every(({headers}) => Number(headers['retry-after']) > 0.3 && Number(headers['retry-after']) <= 6)).toBe(true);
	expect(upstreams.map(upstream => upstream.receivedRequests.length)).toEqual(received);
	await timers.setTimeout(3000);
	const answers = await fleetModule.startLoadFor(running, 60, 3000);
	expect(countServed(answers)).toBeGreaterThanOrEqual(0.5 * answers.length);
});
