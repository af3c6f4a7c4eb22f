/** Tests what an entry that stops concludes from the requests that it has seen, with real processes. */
import * as vitest from 'vitest';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, expect, test} = vitest;
const graceSeconds = 6;
const seenRequests = 120;

afterEach(gatewayProcess.close);

// Guards against stops that refuse everything with a long timeout, and against durations that aren't recorded.
test.each([
	{workMilliseconds: 30, status: 200},
	// Twice as long doesn't fit into the stop.
	{workMilliseconds: 3000, status: 503},
])('an idempotent request with a long deadline that arrives during a stop gets $status if 120 others took $workMilliseconds ms', async ({workMilliseconds, status}) => {
	const standIns = await gatewayProcess.startStandIns(2 * seenRequests);
	standIns.store.put('keyed.op', 'config', gateways.createConfiguration(5, undefined, 20_000));
	standIns.upstream.setBehavior({kind: 'answer', milliseconds: workMilliseconds});
	const gateway = await gatewayProcess.startReady(standIns.store, [], {graceSeconds});
	const send = async (method: string) => gateways.send(gateway.front, method === 'GET' ? '/price/1' : '/credit/1', method, '', {'deadline-ms': '20000'}).then(answer => answer.status);
	for (let count = 0; count < seenRequests; count += 40) {
		expect(await Promise.all(Array.from({length: 40}, async () => send('GET')))).toEqual(Array.from({length: 40}, () => 200));
	}

	gateway.signal('SIGTERM');
	await gateways.waitUntil(() => gateway.hasLogged('gateway-leaving'));
	expect(await Promise.all([send('GET'), send('POST')])).toEqual([status, 503]);
	expect(await gateway.exited).toEqual({code: 0});
});
