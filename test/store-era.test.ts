/** Tests of three processes whose store returns from an older copy. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as platformUpstream from '../stand-ins/platform-upstream.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;
const heartbeatMilliseconds = 500;
const requestIntervalMilliseconds = 20;
/** More than the requests that wait at once when this process, in which the upstreams run, stands still for a second. */
const slots = 64;
/** Time after the return in which the calls to the store are counted, and the calls that a process may make in it: each second two reads of the registry and two of the configuration, by the one entry that reads. */
const countedMilliseconds = 8000;
const readsPerSecond = 4;
/** Calls of each process after a loss: both streams are read anew, once on its own account and once for its news that grow old meanwhile. */
const extraCallsPerProcess = 8;

let standIns: gatewayProcess.StandIns;
let entries: readonly gatewayProcess.GatewayProcess[];
const beating = new Map<string, {readonly upstream: platformUpstream.PlatformUpstream; sequence: number}>();

function beat(id: string): void {
	const heart = beating.get(id)!;
	heart.sequence++;
	gateways.register(standIns.store, heart.upstream, {seq: heart.sequence, slots});
}

async function startUpstream(id: string): Promise<platformUpstream.PlatformUpstream> {
	const upstream = await platformUpstream.startPlatformUpstream(id, slots);
	gatewayProcess.addCleanup(upstream.close);
	beating.set(id, {upstream, sequence: 0});
	beat(id);
	return upstream;
}

function stopUpstream(id: string): void {
	beating.delete(id);
	standIns.store.put('keyed.servers', id, undefined);
}

beforeEach(async () => {
	beating.clear();
	standIns = await gatewayProcess.startStandIns(slots);
	beating.set('i-1', {upstream: standIns.upstream, sequence: 1});
	const timer = setInterval(() => {
		for (const id of beating.keys()) {
			beat(id);
		}
	}, heartbeatMilliseconds);
	gatewayProcess.addCleanup(async () => {
		clearInterval(timer);
	});
	const first = await gatewayProcess.startReady(standIns.store);
	entries = [first, await gatewayProcess.startReady(standIns.store, [first.peers]), await gatewayProcess.startReady(standIns.store, [first.peers])];
});

afterEach(gatewayProcess.close);

/** Sends requests to all entries in turn until it is stopped; resolves to the answers that were not expected, with their log lines. */
function startRequests(path: string, expectedStatus: number) {
	const unexpected: Array<() => string> = [];
	const pending: Array<Promise<void>> = [];
	let count = 0;
	const timer = setInterval(() => {
		const entry = entries[count++ % entries.length]!;
		pending.push(gateways.send(entry.front, path).then(({status, id}) => {
			if (status !== expectedStatus) {
				unexpected.push(() => `${status} ${entry.listLogged(id).join(' ')}`);
			}
		}, (error: unknown) => {
			unexpected.push(() => `${entry.host} ${String(error)}`);
		}));
	}, requestIntervalMilliseconds);
	return async () => {
		clearInterval(timer);
		await Promise.all(pending);
		return {count, unexpected: unexpected.map(describe => describe())};
	};
}

const hasInForce = (version: number) => entries.every(entry => entry.countLogged('configuration-in-force', `version=${version} `) === 1);

/** Publishes a configuration without one route and removes an upstream, and waits until all entries know. */
async function changeBeforeLoss(): Promise<platformUpstream.PlatformUpstream> {
	const second = await startUpstream('i-2');
	await gateways.waitUntil(() => entries.every(entry => entry.countLogged('upstream-changed', 'upstream=i-2 ') === 1));
	await timers.setTimeout(1500);
	standIns.store.put('keyed.op', 'config', gateways.createConfiguration(5, ['/price/', '/fresh/']));
	stopUpstream('i-2');
	await gateways.waitUntil(() => hasInForce(5) && entries.every(entry => entry.countLogged('upstream-changed', 'change=removed upstream=i-2 ') === 1));
	return second;
}

// Guards against a loss in the store that takes back what entries have acted on, or that lets all of them read at once.
test('a configuration and a removal of the last second before a loss stay in force, and requests are served throughout', async () => {
	const second = await changeBeforeLoss();
	await timers.setTimeout(200);
	const receivedBefore = second.receivedRequests.length;
	const stopRequests = [startRequests('/fresh/1', 200), startRequests('/credit/1', 404)];
	await standIns.store.returnFromCopy({awayMilliseconds: 700, lostMilliseconds: 1200, rewriteMilliseconds: 1500});
	const callsBefore = standIns.store.countCalls();
	await timers.setTimeout(countedMilliseconds);
	const calls = standIns.store.countCalls() - callsBefore;
	for (const stop of stopRequests) {
		const {count, unexpected} = await stop();
		expect(count).toBeGreaterThan(100);
		expect(unexpected.join('\n')).toBe('');
	}

	expect(second.receivedRequests.length).toBe(receivedBefore);
	expect(calls).toBeLessThanOrEqual((readsPerSecond * (countedMilliseconds / 1000)) + (extraCallsPerProcess * entries.length));
	standIns.store.put('keyed.op', 'config', gateways.createConfiguration(6));
	await gateways.waitUntil(() => hasInForce(6));
	expect(entries.map(entry => entry.countLogged('store-era-changed', 'previousEra=1 era=2 '))).toEqual([1, 1, 1]);
});

// Guards against entries that lose an upstream which the copy doesn't have yet, and against a second loss that undoes what was kept in the first.
test('two losses in a row keep an upstream that the copies lack, and its new records are followed', async () => {
	await startUpstream('i-3');
	await gateways.waitUntil(() => entries.every(entry => entry.countLogged('upstream-changed', 'change=joined upstream=i-3 ') === 1));
	for (const awayMilliseconds of [100, 400]) {
		await standIns.store.returnFromCopy({awayMilliseconds, lostMilliseconds: 3000, rewriteMilliseconds: 0});
	}

	await timers.setTimeout(3500);
	for (const entry of entries) {
		expect(entry.countLogged('upstream-changed', 'change=removed ')).toBe(0);
	}

	stopUpstream('i-3');
	await gateways.waitUntil(() => entries.every(entry => entry.countLogged('upstream-changed', 'change=removed upstream=i-3 ') === 1));
	expect(entries.map(entry => entry.countLogged('store-era-changed', ' era=3 '))).toEqual([1, 1, 1]);
});

// Guards against a header that ends reading, or that is logged with each answer.
test.each(['none', '0', undefined])('an era that reads %s after a good one costs one line, and records are followed', async text => {
	standIns.store.setEraText(text);
	standIns.store.put('keyed.op', 'config', gateways.createConfiguration(7));
	await gateways.waitUntil(() => hasInForce(7));
	await timers.setTimeout(1500);
	// Entries that follow another one read the store only now and then.
	expect(Math.max(...entries.map(entry => entry.countLogged('store-era-invalid', 'problem=')))).toBe(1);
	expect(entries.map(entry => entry.countLogged('store-era-changed', 'era='))).toEqual([0, 0, 0]);
	expect(entries.some(entry => entry.hasEnded())).toBe(false);
});
