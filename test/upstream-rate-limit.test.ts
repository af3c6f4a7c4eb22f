/** Tests that the gateways of a fleet together keep the rate limit that an upstream states. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as platformUpstream from '../stand-ins/platform-upstream.ts';
import * as storeStandIn from '../stand-ins/store.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;
const failureDomains = ['riverside', 'hillside', 'lakeside'];
const windowMilliseconds = 4000;
/** Time after the first statement from which the limit must hold, in milliseconds, from the rules. */
const stabilizationMilliseconds = 3000;
/** Time for which a request is held for lack of capacity, in milliseconds: the latency objective of its route. */
const holdMilliseconds = 400;
const cleanups: Array<() => Promise<void>> = [];
let store: storeStandIn.StoreStandIn;

beforeEach(async () => {
	store = await storeStandIn.startStore();
	cleanups.push(store.close);
	store.put('keyed.op', 'config', gateways.createConfiguration(4));
});

afterEach(async () => {
	for (const cleanup of cleanups.splice(0).toReversed()) {
		await cleanup();
	}
});

/** Starts one upstream in each failure domain. */
async function startUpstreams(): Promise<readonly platformUpstream.PlatformUpstream[]> {
	return Promise.all(failureDomains.map(async (zone, index) => {
		const upstream = await platformUpstream.startPlatformUpstream(`i-${index + 1}`);
		cleanups.push(upstream.close);
		gateways.register(store, upstream, {zone});
		return upstream;
	}));
}

/** Starts gateways that are spread over the failure domains and know each other. */
async function startFleet(count: number): Promise<readonly gateways.RunningGateway[]> {
	const fleet: gateways.RunningGateway[] = [];
	for (let index = 0; index < count; index++) {
		const running = await gateways.startGateway({
			name: `edge-${index + 1}`, storeAddress: store.address, seeds: fleet.slice(0, 1).map(({peers}) => peers), failureDomain: failureDomains[index % failureDomains.length],
		});
		cleanups.push(running.gateway.leave);
		fleet.push(running);
	}

	await gateways.waitUntil(async () => {
		const states = await Promise.all(fleet.map(async running => gateways.isReady(running)));
		return states.every(Boolean);
	});
	return fleet;
}

/** Sends requests at a steady rate to the gateways in turn until it is stopped. */
function startLoad(fleet: readonly gateways.RunningGateway[], requestsPerSecond: number) {
	const answers: Array<Promise<gateways.Answer & {readonly milliseconds: number}>> = [];
	const timer = setInterval(() => {
		const sentAt = performance.now();
		const answer = gateways.send(fleet[answers.length % fleet.length]!.front, '/price/1');
		answers.push(answer.then(result => ({...result, milliseconds: performance.now() - sentAt})));
	}, 1000 / requestsPerSecond);
	return async () => {
		clearInterval(timer);
		return Promise.all(answers);
	};
}

async function startLoadFor(fleet: readonly gateways.RunningGateway[], requestsPerSecond: number, milliseconds: number) {
	const stopLoad = startLoad(fleet, requestsPerSecond);
	await timers.setTimeout(milliseconds);
	return stopLoad();
}

/** Returns the largest number of times within any window after a time. */
function countInWorstWindow(times: readonly number[], from: number): number {
	const sorted = times.filter(time => time >= from).toSorted((left, right) => left - right);
	return Math.max(0, ...sorted.map((start, index) => sorted.slice(index).filter(time => time < start + windowMilliseconds).length));
}

const getAllowedCount = (requestsPerSecond: number) => (1.5 * requestsPerSecond * windowMilliseconds / 1000) + 5;

test('the requests of all gateways to an upstream with a rate limit stay within the limit', async () => {
	const [limited] = await startUpstreams();
	const fleet = await startFleet(6);
	const stopLoad = startLoad(fleet, 80);
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
	const upstreams = await startUpstreams();
	const fleet = await startFleet(6);
	for (const upstream of upstreams) {
		upstream.setStatements({'server-limit': '5'});
	}

	// The first requests tell the gateways of the limits.
	await startLoadFor(fleet, 80, stabilizationMilliseconds);
	const from = performance.now();
	const milliseconds = 2 * windowMilliseconds;
	const answers = await startLoadFor(fleet, 80, milliseconds);
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

test('an upstream whose rate limit has ended is used again', async () => {
	const [limited] = await startUpstreams();
	const fleet = await startFleet(3);
	limited!.setStatements({'server-limit': '2'});
	await startLoadFor(fleet, 60, stabilizationMilliseconds);
	limited!.setStatements({});
	await startLoadFor(fleet, 60, windowMilliseconds);
	const before = limited!.receivedRequests.length;
	const answers = await startLoadFor(fleet, 60, 2000);
	// A third of the requests is its share.
	expect(limited!.receivedRequests.length - before).toBeGreaterThanOrEqual(answers.length / 6);
});

test('a gateway that sends nothing to the upstream hears of its rate limit from the others', async () => {
	const [limited] = await startUpstreams();
	const [first] = await startFleet(2);
	const lines: string[] = [];
	const record = (event: string, fields: Readonly<Record<string, unknown>> = {}) => {
		lines.push(`${event} ${JSON.stringify(fields)}`);
	};

	const third = await gateways.startGateway({
		name: 'edge-3', storeAddress: store.address, seeds: [first!.peers], logger: {
			error: record, warn: record, info: record, debug: record,
		},
	});
	cleanups.push(third.gateway.leave);
	limited!.setStatements({'server-limit': '2'});
	await startLoadFor([first!], 40, 1000);
	await gateways.waitUntil(() => lines.some(line => line.includes('upstream-statement-changed') && line.includes('"requestsPerSecond":2')));
});

test.each(['abc', '-1', '0', 'NaN', '1e9', '2, 3'])('the value %s is no rate limit and changes nothing', async value => {
	const [limited] = await startUpstreams();
	const fleet = await startFleet(1);
	limited!.setStatements({'server-limit': value});
	const answers = await startLoadFor(fleet, 60, 1000);
	expect(limited!.receivedRequests.length).toBeGreaterThanOrEqual(answers.length / 6);
});
