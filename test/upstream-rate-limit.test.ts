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
