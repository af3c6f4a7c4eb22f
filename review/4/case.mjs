/** An upstream whose entry is removed three seconds after the store is back from an outage. */
import process from 'node:process';
import * as gatewaysModule from '../lib/gateways.mjs';
import {createDesiredState, runCase, zones} from '../lib/run-case.mjs';

const drainMilliseconds = 2000;
const stableWindowMilliseconds = 3000;
/** Length of an outage; a day of the site has 8 s. */
const outageMilliseconds = 3200;
/** Time for which an upstream serves after its entry was removed, beyond the time that it must. */
const servesOnMilliseconds = 4000;
const gatewayCount = 10;
const upstreamCount = 2;
const rounds = 11;
/** Time after the bound for which requests are counted, before the next outage begins. */
const countedMilliseconds = 800;

await runCase(process.argv[2], async ({isTroubled, note, store, upstreams, requests, arrivals, startGateway, waitUntilReady, startTraffic, sleep}) => {
	const hosts = await gatewaysModule.findNetwork(gatewayCount);
	const seeds = hosts.slice(0, 3).map(host => gatewaysModule.getControlAddress(host));
	store.put('keyed.op', 'config', createDesiredState({
		routes: [{
			prefix: '/lohu930/', kind: 'idempotent', service: 'wuno96b', timeoutMs: 1200, targetLatencyMs: 200,
		}],
		services: ['wuno96b'],
	}));
	let serial = 0;
	const startUpstream = async zone => upstreams.start({
		id: `i-payout${++serial}`, service: 'wuno96b', zone, behave: () => ({status: 200, milliseconds: 54}),
	});
	const serving = [];
	for (let index = 0; index < upstreamCount; index++) {
		serving.push(await startUpstream(zones[index % 3]));
	}

	const started = await Promise.all(hosts.map(async (host, index) => {
		const door = await store.openDoor('127.0.0.1');
		const name = `edge-${zones[index % 3]}-${index + 1}`;
		return startGateway({
			name, host, zone: zones[index % 3], seeds, isFirstStart: true, storeAddress: door.address,
		});
	}));
	await waitUntilReady(started);
	const stopTraffic = startTraffic(50, () => ({path: '/lohu930/2f', deadline: 1200, isIdempotent: true}));
	await sleep(4000);

	const removals = [];
	for (let round = 0; round < rounds; round++) {
		if (isTroubled) {
			note('store-down');
			store.goDown();
		}

		await sleep(outageMilliseconds);
		store.goUp();
		note('store-up');
		await sleep(stableWindowMilliseconds + 50);
		const leaving = serving.shift();
		serving.push(await startUpstream(leaving.zone));
		const at = leaving.removeEntry();
		note('entry-removed', {upstream: leaving.id});
		removals.push({upstream: leaving.id, at});
		setTimeout(() => {
			note('upstream-ends', {upstream: leaving.id});
			leaving.close();
		}, drainMilliseconds + servesOnMilliseconds);
		await sleep(drainMilliseconds + countedMilliseconds);
	}

	await stopTraffic();
	const gatewayOf = new Map(requests.map(({id, gateway}) => [id, gateway]));
	const lines = [];
	let late = 0;
	for (const {upstream, at} of removals) {
		// Only until the next outage begins, so that the store was without any disruption all the while.
		const after = arrivals.filter(arrival => arrival.upstream === upstream && arrival.at > at + drainMilliseconds && arrival.at < at + drainMilliseconds + countedMilliseconds);
		late += after.length;
		const machines = [...new Set(after.map(({requestId}) => gatewayOf.get(requestId)))].join(' ') || 'none';
		lines.push(`${upstream}: entry removed at ${(at / 1000).toFixed(3)}, requests more than ${drainMilliseconds} ms later: ${after.length}, of machines ${machines}`);
	}

	return {holds: late === 0, lines: [`requests=${requests.length} served=${requests.filter(({status}) => status === 200).length} late=${late}`, ...lines]};
});
