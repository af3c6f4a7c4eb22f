/** Tests of callers that send requests ahead on a connection and leave, with real processes. */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as platformUpstream from '../stand-ins/platform-upstream.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;

const connectionCount = 300;
const requestsPerConnection = 5;
/** Number of connections that are opened together, and the time after which the next ones follow, in milliseconds. */
const waveSize = 50;
const waveMilliseconds = 200;
/** Time after which a caller leaves, in milliseconds. */
const stayMilliseconds = 150;
const workMilliseconds = 400;
const lateMilliseconds = 500;
const maximumLateArrivals = 3;

let standIns: gatewayProcess.StandIns;

beforeEach(async () => {
	standIns = await gatewayProcess.startStandIns();
	const configuration = gateways.createConfiguration(5);
	standIns.store.put('keyed.op', 'config', {
		...configuration,
		listeners: configuration.listeners.map(listener => ({...listener, rules: listener.rules.map(rule => ({...rule, action: {...rule.action, timeoutMs: 6000}}))})),
	});
});

afterEach(gatewayProcess.close);

function createRequest(id: string, path = '/price/1', deadlineMilliseconds = 6000): string {
	return `GET ${path} HTTP/1.1\r\nHost: ${gateways.host}\r\nAttempt-Id: ${id}\r\nDeadline-Ms: ${deadlineMilliseconds}\r\n\r\n`;
}

/** Sends requests ahead and leaves; resolves to the time at which the caller left. */
async function sendAheadAndLeave(address: string, name: string): Promise<number> {
	const [host, port] = address.split(':');
	const socket = net.connect(Number(port), host);
	socket.on('error', () => undefined);
	socket.write(Array.from({length: requestsPerConnection}, (_value, index) => createRequest(`${name}-${index}`)).join(''));
	await timers.setTimeout(stayMilliseconds);
	socket.destroy();
	return performance.now();
}

// Guards against requests that run, hold memory and keep a process from stopping because their caller left while their responses waited behind another one.
test('requests that were sent ahead end with their connection', async () => {
	const upstreams = [standIns.upstream];
	for (const id of ['i-2', 'i-3']) {
		const upstream = await platformUpstream.startPlatformUpstream(id);
		gatewayProcess.addCleanup(upstream.close);
		gateways.register(standIns.store, upstream);
		upstreams.push(upstream);
	}

	for (const upstream of upstreams) {
		upstream.setBehavior({kind: 'answer', milliseconds: workMilliseconds});
	}

	const gateway = await gatewayProcess.startReady(standIns.store);
	const leaving: Array<Promise<readonly [string, number]>> = [];
	for (let index = 0; index < connectionCount; index++) {
		const name = `c${index}`;
		leaving.push(sendAheadAndLeave(gateway.front, name).then(leftAt => [name, leftAt] as const));
		if (index % waveSize === waveSize - 1) {
			await timers.setTimeout(waveMilliseconds);
		}
	}

	const leftAt = new Map(await Promise.all(leaving));
	await gateways.waitUntil(async () => await gatewayProcess.readMetric(gateway, 'fescuering_gateway_open_requests') === 0);
	await timers.setTimeout(2 * lateMilliseconds);
	const arrivals = upstreams.flatMap(upstream => upstream.receivedRequests);
	const late = arrivals.filter(({requestId, receivedAt}) => receivedAt > leftAt.get(requestId.split('-')[0]!)! + lateMilliseconds);
	expect(late.length).toBeLessThanOrEqual(maximumLateArrivals);
	const {status} = await gateways.send(gateway.front, '/credit/1', 'POST', 'x'.repeat(60_000));
	expect(status).toBe(200);
	gateway.signal('SIGTERM');
	expect(await gateway.exited).toEqual({code: 0});
	expect(gateway.countLogged('request-refused', 'reason=memory-full')).toBe(0);
	expect(gateway.countLogged('gateway-stopped', 'cutOff=0')).toBe(1);
});

// Guards against a caller that fills the slots of upstreams with requests whose responses can't be delivered yet.
test('of many requests sent ahead on a connection a few run at a time, and all are answered in order', async () => {
	const requestCount = 30;
	const atOnce = 8;
	const upstream = await platformUpstream.startPlatformUpstream('i-4', requestCount);
	gatewayProcess.addCleanup(upstream.close);
	upstream.setBehavior({kind: 'answer', milliseconds: workMilliseconds});
	standIns.store.put('keyed.servers', 'i-1', undefined);
	gateways.register(standIns.store, upstream, {slots: requestCount});
	const gateway = await gatewayProcess.startReady(standIns.store);
	const [host, port] = gateway.front.split(':');
	const socket = net.connect(Number(port), host);
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	socket.write(Array.from({length: requestCount}, (_value, index) => createRequest(`ahead-${index}`)).join(''));
	const listAnswered = () => [...text.matchAll(/attempt-id: (?<id>ahead-\d+)/gv)].map(match => match.groups!.id);
	await gateways.waitUntil(() => listAnswered().length === requestCount);
	socket.destroy();
	expect(listAnswered()).toEqual(Array.from({length: requestCount}, (_value, index) => `ahead-${index}`));
	const getArrival = (index: number) => upstream.receivedRequests.find(({requestId}) => requestId === `ahead-${index}`)!.receivedAt;
	expect(getArrival(atOnce) - getArrival(0)).toBeGreaterThan(0.9 * workMilliseconds);
});
