/** Answers without a length that are reset in the middle of their body, which reach clients as if they were whole. */
import process from 'node:process';
import * as gatewaysModule from '../lib/gateways.mjs';
import {createDesiredState, runCase, zones} from '../lib/run-case.mjs';

const gatewayCount = 6;
const upstreamCount = 10;
/** Share of the upstreams that break off answers, the share of their answers, and the time; the dose of the site for this variant. */
const garblingUpstreams = 0.5;
const garbledAnswers = 0.05;
const periodMilliseconds = 5000;
const pauseMilliseconds = 1000;
const periods = 8;

function createBody(id, requestId) {
	return `${id} ${requestId} `.padEnd(1500, 'credit balance ');
}

await runCase(process.argv[2], async ({isTroubled, note, store, upstreams, requests, startGateway, waitUntilReady, startTraffic, sleep}) => {
	const hosts = await gatewaysModule.findNetwork(gatewayCount);
	const seeds = hosts.slice(0, 3).map(host => gatewaysModule.getControlAddress(host));
	store.put('keyed.op', 'config', createDesiredState({
		routes: [
			{
				prefix: '/lohu930/', kind: 'idempotent', service: 'wuno96b', timeoutMs: 1200, targetLatencyMs: 200,
			},
			{
				prefix: '/pufi791/', kind: 'non_idempotent', service: 'wuno96b', timeoutMs: 2000, targetLatencyMs: 300, priority: 0,
			},
		],
		services: ['wuno96b'],
	}));
	const garble = {isOn: false, count: 0};
	const wholeBodies = new Map();
	for (let index = 0; index < upstreamCount; index++) {
		const id = `i-payout${index + 1}`;
		const isGarbling = index < upstreamCount * garblingUpstreams;
		await upstreams.start({
			id,
			service: 'wuno96b',
			zone: zones[index % 3],
			behave(requestId) {
				const body = createBody(id, requestId);
				wholeBodies.set(`${requestId} s.${id}.${requestId}`, body);
				if (!garble.isOn || !isGarbling || Math.random() >= garbledAnswers) {
					return {status: 200, milliseconds: 54, body};
				}

				garble.count++;
				note('unframed-answer', {id: requestId, upstream: id, reset: isTroubled});
				return {
					status: 200, milliseconds: 54, body, framing: isTroubled ? 'none and broken off' : 'none',
				};
			},
		});
	}

	const started = await Promise.all(hosts.map(async (host, index) => {
		const door = await store.openDoor('127.0.0.1');
		const zone = zones[index % 3];
		return startGateway({
			name: `edge-${zone}-${index + 1}`, host, zone, seeds, isFirstStart: true, storeAddress: door.address,
		});
	}));
	await waitUntilReady(started);
	const stopTraffic = startTraffic(100, () => Math.random() < 0.5
		? {path: '/lohu930/2f', deadline: 1200, isIdempotent: true}
		: {
			path: '/pufi791/2f', method: 'POST', deadline: 2000, isIdempotent: false,
		});
	await sleep(4000);
	for (let period = 0; period < periods; period++) {
		garble.isOn = true;
		await sleep(periodMilliseconds);
		garble.isOn = false;
		await sleep(pauseMilliseconds);
	}

	await stopTraffic();
	const successes = requests.filter(({status, end}) => status === 200 && end === 'answered');
	const wrong = successes.filter(({id, headers, body}) => wholeBodies.get(`${id} ${headers['upstream-signature']}`) !== body);
	return {
		holds: wrong.length === 0,
		lines: [
			`requests=${requests.length} successes=${successes.length} unframed=${garble.count} successes without the whole body=${wrong.length}`,
			...wrong.map(({id, gateway, body, headers}) => `${id} by ${gateway}: 200, ${body.length} of 1500 bytes, ${headers['upstream-signature']}, connection: ${headers.connection}`),
		],
	};
});
