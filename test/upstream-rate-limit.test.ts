/** Tests that the gateways of a fleet together keep the rate limit that an upstream states. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as fleetModule from './support/fleet.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;
const windowMilliseconds = 4000;
/** Time after the first statement from which the limit must hold, in milliseconds, from the rules. */
const stabilizationMilliseconds = 3000;
/** Time for which a request is held for lack of capacity, in milliseconds: the latency objective of its route. */
const holdMilliseconds = 400;
let fleet: fleetModule.Fleet;

beforeEach(async () => {
	fleet = await fleetModule.startFleet();
});

afterEach(async () => {
	await fleet.close();
});

/** Returns the largest number of times within any window after a time. */
function countInWorstWindow(times: readonly number[], from: number): number {
	const sorted = times.filter(time => time >= from).toSorted((left, right) => left - right);
	return Math.max(0, ...sorted.map((start, index) => sorted.slice(index).filter(time => time < start + windowMilliseconds).length));
}

const getAllowedCount = (requestsPerSecond: number) => (1.5 * requestsPerSecond * windowMilliseconds / 1000) + 5;

test('the requests of all gateways to an upstream with a rate limit stay within the limit', async () => {
	const [limited] = await fleet.startUpstreams();
	const running = await fleet.startGateways(6);
	const stopLoad = fleetModule.startLoad(running, 80);
	await timers.setTimeout(1000);
	limited!.setStatements({'server-limit': '2.2'});
	const statedAt = performance.now();
	await timers.setTimeout(stabilizationMilliseconds + (2 * windowMilliseconds));
	const answers = await stopLoad();
	const from = statedAt + stabilizationMilliseconds;
	expect(countInWorstWindow(limited!.receivedRequests.map(({receivedAt}) => receivedAt), from)).toBeLessThanOrEqual(getAllowedCount(2.2));
	// Load checks need the capacity of the upstream as well.
	expect(countInWorstWindow(limited!.checkTimes, from)).toBeLessThanOrEqual(getAllowedCount(2.2));
	expect(answers.filter(({status}) => status === 200).length).toBeGreaterThanOrEqual(0.98 * answers.length);
});

test('if all upstreams of a service have a rate limit, the limits are used and other requests are rejected without being held', async () => {
	const upstreams = await fleet.startUpstreams();
	const running = await fleet.startGateways(6);
	for (const upstream of upstreams) {
		upstream.setStatements({'server-limit': '5'});
	}

	// The first requests tell the gateways of the limits.
	await fleetModule.startLoadFor(running, 80, stabilizationMilliseconds);
	const from = performance.now();
	const milliseconds = 2 * windowMilliseconds;
	const answers = await fleetModule.startLoadFor(running, 80, milliseconds);
	for (const upstream of upstreams) {
		expect(countInWorstWindow(upstream.receivedRequests.map(({receivedAt}) => receivedAt), from)).toBeLessThanOrEqual(getAllowedCount(5));
	}

	const served = answers.filter(({status}) => status === 200);
	const rejected = answers.filter(({status}) => status === 503);
	expect(served.length + rejected.length).toBe(answers.length);
	expect(served.length).toBeGreaterThanOrEqual(0.8 * 3 * 5 * milliseconds / 1000);
	expect(rejected.filter(answer => answer.milliseconds < holdMilliseconds).length).toBeGreaterThanOrEqual(0.9 * rejected.length);
	expect(rejected.every(({headers}) => Number(headers['retry-after']) > 0)).toBe(true);
	const executed = new Set(upstreams.flatMap(({executedRequestIds}) => executedRequestIds));
	expect(rejected.filter(({id}) => executed.has(id))).toEqual([]);
});

test('while a third of the upstreams have a rate limit, the others serve seven tenths of what they can', async () => {
	const upstreams = await fleet.startUpstreams(4);
	for (const upstream of upstreams) {
		upstream.setBehavior({kind: 'answer', milliseconds: 200});
	}

	const running = await fleet.startGateways(6);
	// All upstreams of one failure domain.
	const limited = upstreams.filter((_upstream, index) => index % 3 === 0);
	for (const upstream of limited) {
		upstream.setStatements({'server-limit': '1.7'});
	}

	// Eight upstreams with four slots serve 160 requests per second.
	await fleetModule.startLoadFor(running, 112, stabilizationMilliseconds);
	const from = performance.now();
	const answers = await fleetModule.startLoadFor(running, 112, 2 * windowMilliseconds);
	for (const upstream of limited) {
		expect(countInWorstWindow(upstream.receivedRequests.map(({receivedAt}) => receivedAt), from)).toBeLessThanOrEqual(getAllowedCount(1.7));
	}

	expect(answers.filter(({status}) => status === 200).length).toBeGreaterThanOrEqual(0.98 * answers.length);
});

test('an upstream whose rate limit has ended is used again', async () => {
	const [limited] = await fleet.startUpstreams();
	const running = await fleet.startGateways(3);
	limited!.setStatements({'server-limit': '2'});
	await fleetModule.startLoadFor(running, 60, stabilizationMilliseconds);
	limited!.setStatements({});
	await fleetModule.startLoadFor(running, 60, windowMilliseconds);
	const before = limited!.receivedRequests.length;
	const answers = await fleetModule.startLoadFor(running, 60, 2000);
	// A third of the requests is its share.
	expect(limited!.receivedRequests.length - before).toBeGreaterThanOrEqual(answers.length / 6);
});

test('a gateway that sends nothing to the upstream hears of its rate limit from the others', async () => {
	const [limited] = await fleet.startUpstreams();
	const [first] = await fleet.startGateways(2);
	const lines: string[] = [];
	const record = (event: string, fields: Readonly<Record<string, unknown>> = {}) => {
		lines.push(`${event} ${JSON.stringify(fields)}`);
	};

	const third = await gateways.startGateway({
		name: 'edge-3', storeAddress: fleet.store.address, seeds: [first!.peers], logger: {
			error: record, warn: record, info: record, debug: record,
		},
	});
	fleet.addCleanup(third.gateway.leave);
	limited!.setStatements({'server-limit': '2'});
	await fleetModule.startLoadFor([first!], 40, 1000);
	await gateways.waitUntil(() => lines.some(line => line.includes('upstream-statement-changed') && line.includes('"requestsPerSecond":2')));
});

test.each(['abc', '-1', '0', 'NaN', '1e9', '2, 3'])('the value %s is no rate limit and changes nothing', async value => {
	const [limited] = await fleet.startUpstreams();
	const running = await fleet.startGateways(1);
	limited!.setStatements({'server-limit': value});
	const answers = await fleetModule.startLoadFor(running, 60, 1000);
	expect(limited!.receivedRequests.length).toBeGreaterThanOrEqual(answers.length / 6);
});
