/** Tests of what an entry that stops concludes from requests whose work it didn't see end; with real processes. */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import type * as platformUpstream from '../stand-ins/platform-upstream.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, expect, test} = vitest;
const requestsBefore = 2200;
const longWork: platformUpstream.PlatformUpstreamBehavior = {kind: 'answer', milliseconds: 4500};
const longDeadlineMilliseconds = 20_000;
const slots = 5000;

afterEach(gatewayProcess.close);

async function post(front: string, id: string, deadlineMilliseconds: number, agent: http.Agent): Promise<number | string> {
	return new Promise(resolve => {
		const request = http.request(`http://${front}/credit/1`, {
			method: 'POST',
			agent,
			headers: {
				host: gateways.host, 'attempt-id': id, 'deadline-ms': String(deadlineMilliseconds), 'content-length': '1',
			},
		}, response => {
			response.resume();
			response.on('end', () => {
				resolve(response.statusCode ?? 0);
			});
		});
		request.on('error', error => {
			resolve(error.message);
		});
		request.end('x');
	});
}

// Guards against requests that are taken on because others were short whose work failed at once or was given up.
test.each([
	{
		name: 'fails at once', behaviour: {kind: 'fail'} as const, deadlineMilliseconds: longDeadlineMilliseconds, status: 500, senders: 20,
	},
	{
		name: 'does not answer by their deadlines', behaviour: longWork, deadlineMilliseconds: 400, status: 504, senders: 100,
	},
])('requests that an upstream $name are no evidence that others end before a stop', async ({behaviour, deadlineMilliseconds, status, senders}) => {
	const standIns = await gatewayProcess.startStandIns(slots);
	standIns.store.put('keyed.op', 'config', gateways.createConfiguration(5, undefined, 10_000));
	standIns.upstream.setBehavior(behaviour);
	const gateway = await gatewayProcess.startReady(standIns.store, [], {graceSeconds: 6});
	const agent = new http.Agent({keepAlive: true, maxSockets: senders});
	const statuses: Array<number | string> = [];
	await Promise.all(Array.from({length: senders}, async (_value, sender) => {
		for (let count = 0; count < requestsBefore / senders; count++) {
			statuses.push(await post(gateway.front, `before-${sender}-${count}`, deadlineMilliseconds, agent));
		}
	}));
	agent.destroy();
	expect(statuses.filter(other => other === status).length).toBeGreaterThan(2000);
	standIns.upstream.setBehavior(longWork);
	await timers.setTimeout(500);
	gateway.signal('SIGTERM');
	await timers.setTimeout(1500);
	expect(await post(gateway.front, 'late', longDeadlineMilliseconds, new http.Agent())).toBe(503);
	expect(standIns.upstream.executedRequestIds.includes('late')).toBe(false);
}, 60_000);
