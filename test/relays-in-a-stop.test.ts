/** Tests that callers are told how requests ended that one gateway passes on to another while one of the two stops, with real processes. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as platformUpstream from '../stand-ins/platform-upstream.ts';
import * as storeStandIn from '../stand-ins/store.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;

const timeoutMilliseconds = 20_000;
const shortWorkMilliseconds = 600;
const slots = 100;
/** Local address of the gateway that is cut off from the upstreams, by which they know it. */
const cutOffAddress = '127.0.1.77';
/** Gives all outgoing connections of a process this address. */
const preload = `import net from 'node:net';
const {connect} = net.Socket.prototype;
net.Socket.prototype.connect = function (...values) {
	const options = Array.isArray(values[0]) ? values[0][0] : values[0];
	if (typeof options === 'object') options.localAddress ??= '${cutOffAddress}';
	return connect.apply(this, values);
};`;
let store: storeStandIn.StoreStandIn;
let upstreams: readonly platformUpstream.PlatformUpstream[];

beforeEach(async () => {
	store = await storeStandIn.startStore();
	gatewayProcess.addCleanup(store.close);
	store.put('keyed.op', 'config', gateways.createConfiguration(4, undefined, timeoutMilliseconds));
	upstreams = await Promise.all(['riverside', 'hillside', 'lakeside'].map(async (zone, index) => {
		const upstream = await platformUpstream.startPlatformUpstream(`i-${index + 1}`, slots);
		gatewayProcess.addCleanup(upstream.close);
		gateways.register(store, upstream, {zone, slots});
		upstream.setPartition(address => address === cutOffAddress ? 'reset' : 'none');
		return upstream;
	}));
	setWork(1);
});

afterEach(gatewayProcess.close);

function setWork(milliseconds: number): void {
	for (const upstream of upstreams) {
		upstream.setBehavior({kind: 'answer', milliseconds});
	}
}

const startPlain = async (seeds: readonly string[]) => gatewayProcess.startReady(store, seeds);

/** Starts a gateway that is cut off from the upstreams and passes its requests on. */
async function startCutOff(seeds: readonly string[]): Promise<gatewayProcess.GatewayProcess> {
	const gateway = gatewayProcess.start({
		host: gatewayProcess.createHost(), storeAddress: store.address, seeds, nodeOptions: [`--import=data:text/javascript,${encodeURIComponent(preload)}`],
	});
	await gateways.waitUntil(async () => gatewayProcess.isReady(gateway));
	await gateways.waitUntil(async () => {
		const {status} = await gateways.send(gateway.front, '/price/1');
		return status === 200 && gateway.hasLogged('upstreams-unreachable');
	});
	return gateway;
}

/** Sends a request and returns its status; undefined if its connection ends without an answer. */
async function send(gateway: gatewayProcess.GatewayProcess, id: string, method: 'GET' | 'POST'): Promise<number | undefined> {
	try {
		const {status} = await gateways.send(gateway.front, method === 'POST' ? '/credit/1' : '/price/1', method, '', {'attempt-id': id, 'deadline-ms': String(timeoutMilliseconds)});
		return status;
	} catch {
		return undefined;
	}
}

const sendSeveral = (gateway: gatewayProcess.GatewayProcess, name: string, method: 'GET' | 'POST') => Array.from({length: 6}, async (_value, index) => send(gateway, `${name}-${index}`, method));
const listRun = (name: string) => upstreams.flatMap(({executedRequestIds}) => executedRequestIds).filter(id => id.startsWith(`${name}-`));
const waitUntilRunning = async (name: string) => gateways.waitUntil(() => new Set(listRun(name)).size === 6);
const count = (length: number, status: number | undefined) => Array.from({length}, () => status);

// Guards against requests whose callers hear nothing because the gateway that the request was passed on to is gone.
// The other gateway may have used all attempts of a request that is idempotent, so it is not sent once more either.
test.each([
	{method: 'POST', others: 0},
	{method: 'POST', others: 1},
	{method: 'GET', others: 1},
] as const)('requests ($method) that were passed on to a gateway that is killed are answered 502 beside $others others', async ({method, others}) => {
	const target = await startPlain([]);
	const cutOff = await startCutOff([target.peers]);
	setWork(timeoutMilliseconds);
	const ends = sendSeveral(cutOff, 'a', method);
	await waitUntilRunning('a');
	for (let index = 0; index < others; index++) {
		await startPlain([target.peers]);
	}

	await timers.setTimeout(300);
	target.signal('SIGKILL');
	expect(await Promise.all(ends)).toEqual(count(6, 502));
	expect(listRun('a').length).toBeLessThanOrEqual(method === 'POST' ? 6 : 12);
});

test('requests that were passed on to a gateway that stops are answered if they end in time, and get 502 otherwise', async () => {
	const target = await startPlain([]);
	const cutOff = await startCutOff([target.peers]);
	setWork(shortWorkMilliseconds);
	const short = sendSeveral(cutOff, 'short', 'POST');
	await waitUntilRunning('short');
	setWork(timeoutMilliseconds);
	const long = sendSeveral(cutOff, 'long', 'POST');
	await waitUntilRunning('long');
	target.signal('SIGTERM');
	expect(await Promise.all(short)).toEqual(count(6, 200));
	expect(await Promise.all(long)).toEqual(count(6, 502));
	expect(await target.exited).toEqual({code: 0});
	expect(listRun('long')).toHaveLength(6);
});

test('requests that are passed on to a gateway that stops are refused and do not run', async () => {
	const target = await startPlain([]);
	const cutOff = await startCutOff([target.peers]);
	setWork(timeoutMilliseconds);
	target.signal('SIGTERM');
	await gateways.waitUntil(() => target.hasLogged('gateway-leaving'));
	const refused = sendSeveral(cutOff, 'late', 'POST');
	expect(await Promise.all(refused)).toEqual(count(6, 503));
	expect(listRun('late')).toEqual([]);
	expect(await target.exited).toEqual({code: 0});
});

test('a gateway that stops while it passes requests on answers those that end in time, takes on none that may not, and ends', async () => {
	const target = await startPlain([]);
	const cutOff = await startCutOff([target.peers]);
	setWork(shortWorkMilliseconds);
	const short = sendSeveral(cutOff, 'short', 'POST');
	await waitUntilRunning('short');
	setWork(timeoutMilliseconds);
	cutOff.signal('SIGTERM');
	await gateways.waitUntil(() => cutOff.hasLogged('gateway-leaving'));
	const late = sendSeveral(cutOff, 'late', 'POST');
	expect(await Promise.all(late)).toEqual(count(6, 503));
	expect(await Promise.all(short)).toEqual(count(6, 200));
	expect(listRun('late')).toEqual([]);
	expect(await cutOff.exited).toEqual({code: 0});
	// The other gateway goes on, and holds nothing of what the first one had passed on.
	await gateways.waitUntil(async () => await gatewayProcess.readMetric(target, 'fescuering_gateway_running_calls') === 0);
});
