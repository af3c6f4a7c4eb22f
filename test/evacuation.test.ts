/** Tests of evacuated failure domains and cold upstreams: with gateways in this process, and with real ones where one of them is lost. */
import * as vitest from 'vitest';
import * as platformUpstream from '../stand-ins/platform-upstream.ts';
import * as storeStandIn from '../stand-ins/store.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;
const operatorTopic = 'keyed.op';
const coldRate = 5;
/** Largest number of requests that a cold upstream may get in any second, from the rules. */
const maximumInSecond = (1.5 * coldRate) + 8;
const secondMilliseconds = 1000;

let store: storeStandIn.StoreStandIn;
let riverside: platformUpstream.PlatformUpstream;
let hillside: platformUpstream.PlatformUpstream;

async function startUpstream(id: string, zone: string): Promise<platformUpstream.PlatformUpstream> {
	const upstream = await platformUpstream.startPlatformUpstream(id);
	gatewayProcess.addCleanup(upstream.close);
	gateways.register(store, upstream, {zone});
	return upstream;
}

beforeEach(async () => {
	store = await storeStandIn.startStore();
	gatewayProcess.addCleanup(store.close);
	const configuration = gateways.createConfiguration(4);
	store.put(operatorTopic, 'config', {...configuration, clusters: configuration.clusters.map(cluster => ({...cluster, coldS: 3, coldPerS: coldRate}))});
	riverside = await startUpstream('i-1', 'riverside');
	hillside = await startUpstream('i-2', 'hillside');
});

afterEach(gatewayProcess.close);

type LoggedGateway = gateways.RunningGateway & {
	/** Evacuated failure domains according to the latest line about them. */
	getEvacuated(): unknown;
};

async function startGateway(name: string, seeds: readonly string[] = []): Promise<LoggedGateway> {
	let evacuated: unknown;
	const logger = {
		error: () => undefined,
		warn: () => undefined,
		info(event: string, fields: Readonly<Record<string, unknown>> = {}) {
			if (event === 'evacuations-changed') {
				evacuated = fields.failureDomains;
			}
		},
		debug: () => undefined,
	};
	const running = await gateways.startGateway({
		name, storeAddress: store.address, seeds, logger,
	});
	gatewayProcess.addCleanup(running.gateway.leave);
	await gateways.waitUntil(async () => gateways.isReady(running));
	return {...running, getEvacuated: () => evacuated};
}

const countContacts = ({receivedRequests, checkTimes}: platformUpstream.PlatformUpstream) => receivedRequests.length + checkTimes.length;

async function sendRequests(front: string, count: number): Promise<readonly number[]> {
	const answers = await Promise.all(Array.from({length: count}, async () => gateways.send(front, '/price/1')));
	return answers.map(({status}) => status);
}

// Guards against requests and load checks that still go to a failure domain that operators have emptied.
test('an evacuated failure domain gets nothing from any entry, its callers are served, and it is used again afterwards', async () => {
	const first = await startGateway('edge-1');
	const second = await startGateway('edge-2', [first.peers]);
	await sendRequests(first.front, 4);
	expect(countContacts(riverside)).toBeGreaterThan(0);
	store.put(operatorTopic, 'evacuate/riverside', {});
	await gateways.waitUntil(() => first.getEvacuated() === 'riverside' && second.getEvacuated() === 'riverside');
	const contacts = countContacts(riverside);
	for (const {front} of [first, second]) {
		expect(new Set(await sendRequests(front, 4))).toEqual(new Set([200]));
	}

	expect(countContacts(riverside)).toBe(contacts);
	store.put(operatorTopic, 'evacuate/riverside', undefined);
	await gateways.waitUntil(() => first.getEvacuated() === 'none' && second.getEvacuated() === 'none');
	await sendRequests(second.front, 4);
	expect(countContacts(riverside)).toBeGreaterThan(contacts);
});

test('while all failure domains are evacuated, requests are refused at once and truthfully', async () => {
	const gateway = await startGateway('edge-1');
	store.put(operatorTopic, 'evacuate/riverside', {});
	store.put(operatorTopic, 'evacuate/hillside', {});
	await gateways.waitUntil(() => gateway.getEvacuated() === 'hillside,riverside');
	const answer = await gateways.send(gateway.front, '/credit/1', 'POST', 'body');
	expect(answer.status).toBe(503);
	expect(Number(answer.headers['retry-after'])).toBeGreaterThanOrEqual(1);
	expect(hillside.receivedRequests.length + riverside.receivedRequests.length).toBe(0);
});

test('an unreadable evacuation and one of an unknown failure domain change nothing for requests', async () => {
	const gateway = await startGateway('edge-1');
	store.put(operatorTopic, 'evacuate/riverside', 'nothing');
	store.put(operatorTopic, 'evacuate/unknown', {});
	await gateways.waitUntil(() => gateway.getEvacuated() === 'unknown');
	await sendRequests(gateway.front, 4);
	expect(countContacts(riverside)).toBeGreaterThan(0);
});

// Guards against an order that is lost with the entry that reads the log for the others.
test('an entry learns of an evacuation although the entry that it follows stands still, and is lost then', async () => {
	const reader = await gatewayProcess.startReady(store);
	const follower = await gatewayProcess.startReady(store, [reader.peers]);
	reader.signal('SIGSTOP');
	store.put(operatorTopic, 'evacuate/riverside', {});
	await gateways.waitUntil(() => follower.hasLogged('evacuations-changed'));
	reader.signal('SIGKILL');
	const contacts = countContacts(riverside);
	expect(new Set(await sendRequests(follower.front, 4))).toEqual(new Set([200]));
	expect(countContacts(riverside)).toBe(contacts);
});

// Guards against upstreams that fail because all entries return to them while they are cold.
test('a failure domain that returns cold gets no more than the rate of its upstreams from all entries together', async () => {
	const first = await startGateway('edge-1');
	const second = await startGateway('edge-2', [first.peers]);
	store.put(operatorTopic, 'evacuate/riverside', {});
	await gateways.waitUntil(() => first.getEvacuated() === 'riverside' && second.getEvacuated() === 'riverside');
	const before = riverside.receivedRequests.length;
	riverside.setCold(60_000);
	store.put(operatorTopic, 'evacuate/riverside', undefined);
	await gateways.waitUntil(() => first.getEvacuated() === 'none' && second.getEvacuated() === 'none');
	for (let round = 0; round < 25; round++) {
		await Promise.all([first, second].map(async ({front}) => sendRequests(front, 4)));
	}

	const times = riverside.receivedRequests.slice(before).filter(({hasRun}) => hasRun).map(({receivedAt}) => receivedAt);
	const worst = Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + secondMilliseconds).length));
	expect(worst).toBeLessThanOrEqual(maximumInSecond);
	expect(hillside.receivedRequests.length).toBeGreaterThan(100);
});

test('an upstream that is warm again is used without permits', async () => {
	const gateway = await startGateway('edge-1');
	riverside.setCold(60_000);
	await sendRequests(gateway.front, 4);
	riverside.setCold(undefined);
	gateways.register(store, riverside, {zone: 'riverside', seq: 2, born: 2000});
	const before = riverside.receivedRequests.length;
	await gateways.waitUntil(async () => {
		await sendRequests(gateway.front, 4);
		return riverside.receivedRequests.length >= before + 20;
	});
});
