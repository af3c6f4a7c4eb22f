/** Tests of the allowances of workspaces over several gateway processes. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as platformUpstream from '../stand-ins/platform-upstream.ts';
import * as storeStandIn from '../stand-ins/store.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, expect, test} = vitest;
const allowance = {ratePerS: 10, burst: 5};
/** Requests of a workspace that may run in any five seconds, from the rules. */
const maximumInWindow = (((allowance.ratePerS * 5) + allowance.burst) * 1.1) + 20;
const windowMilliseconds = 5000;
const hosts = Array.from({length: 3}, gatewayProcess.createHost);
const seeds = hosts.map(host => `${host}:8146`);

afterEach(gatewayProcess.close);

async function startFleet() {
	const store = await storeStandIn.startStore();
	const upstream = await platformUpstream.startPlatformUpstream('i-1', 1000);
	gatewayProcess.addCleanup(store.close);
	gatewayProcess.addCleanup(upstream.close);
	store.put('keyed.op', 'config', {...gateways.createConfiguration(4), tenants: [{name: 'club', apiKeys: ['club-key'], ...allowance}]});
	gateways.register(store, upstream, {slots: 1000});
	const processes = hosts.map(host => gatewayProcess.start({host, storeAddress: store.address, seeds}));
	for (const process of processes) {
		await gateways.waitUntil(async () => gateways.isReady(process).catch(() => false));
	}

	return {store, upstream, processes};
}

// Guards against limits that open when the entries that count are not heard.
test('an entry that hears none of the others admits no more than the allowance', async () => {
	const {upstream, processes} = await startFleet();
	for (const alone of processes) {
		await timers.setTimeout(3000);
		const others = processes.filter(process => process !== alone);
		const before = upstream.executedRequestIds.length;
		for (const other of others) {
			other.signal('SIGSTOP');
		}

		const answers: Array<Promise<unknown>> = [];
		for (let round = 0; round < 50; round++) {
			answers.push(...Array.from({length: 15}, async () => gateways.send(alone.front, '/price/1', 'GET', '', {authorization: 'Bearer club-key'})));
			await timers.setTimeout(80);
		}

		await Promise.all(answers);
		expect(upstream.executedRequestIds.length - before).toBeLessThanOrEqual(maximumInWindow);
		for (const other of others) {
			other.signal('SIGCONT');
		}
	}
});

/** Returns the largest number of requests that ran in any window. */
function countInWorstWindow(upstream: platformUpstream.PlatformUpstream): number {
	const times = upstream.receivedRequests.filter(({hasRun}) => hasRun).map(({receivedAt}) => receivedAt).toSorted((left, right) => left - right);
	return Math.max(0, ...times.map((start, index) => times.slice(index).filter(at => at < start + windowMilliseconds).length));
}

// Guards against an allowance that is given out twice when those who count it end, freeze and come back.
test('an allowance holds while the entries that count it are killed, started and paused', async () => {
	const {store, upstream, processes} = await startFleet();
	const [first, second, third] = processes;
	const traffic = {isOver: false};
	const answers: Array<Promise<number>> = [];
	const sendAll = async () => {
		for (let count = 0; !traffic.isOver; count++) {
			const {front} = processes[count % processes.length]!;
			answers.push(gateways.send(front, '/price/1', 'GET', '', {authorization: 'Bearer club-key'}).then(({status}) => status, () => 0));
			await timers.setTimeout(8);
		}
	};

	await timers.setTimeout(2000);
	const sending = sendAll();
	await timers.setTimeout(2000);
	first!.signal('SIGKILL');
	await first!.exited;
	await timers.setTimeout(1000);
	gatewayProcess.start({host: hosts[0]!, storeAddress: store.address, seeds});
	second!.signal('SIGSTOP');
	await timers.setTimeout(3000);
	second!.signal('SIGCONT');
	third!.signal('SIGSTOP');
	await timers.setTimeout(1500);
	third!.signal('SIGCONT');
	await timers.setTimeout(4000);
	traffic.isOver = true;
	await sending;
	const statuses = new Set(await Promise.all(answers));
	expect(countInWorstWindow(upstream)).toBeLessThanOrEqual(maximumInWindow);
	expect(countInWorstWindow(upstream)).toBeGreaterThanOrEqual(allowance.ratePerS);
	expect(statuses.has(200)).toBe(true);
	expect(statuses.has(429)).toBe(true);
});
