/** End-to-end tests with real processes, with or without delays between entries and upstreams. */
import * as crypto from 'node:crypto';
import * as undici from 'undici';
import * as vitest from 'vitest';
import {rowSchema} from '../../src/decisions/table/rows.ts';
import {createFaultProxy, type FaultProxy} from '../../stand-ins/fault-proxy.ts';
import {type Fleet, startFleet} from '../../stand-ins/fleet.ts';

const {afterAll, beforeAll, expect, test} = vitest;

const callCount = 2000;
const concurrency = 40;

type CallResult = {readonly statusCode: number; readonly isOwnAnswer: boolean; readonly outcome: unknown; readonly entry: unknown; readonly text: string};

async function call(dispatcher: undici.Dispatcher, address: string, index: number): Promise<CallResult> {
	const path = index % 20 === 0 ? '/slow' : '/price';
	const body = `call ${index} ${'x'.repeat(index % 300)}`;
	const response = await undici.request(`http://${address}/desk${path}?i=${index}`, {method: 'POST', body, dispatcher});
	const text = await response.body.text();
	const digest = crypto.createHash('sha256').update(`POST ${path}?i=${index} `).update(body).digest('hex');
	return {
		statusCode: response.statusCode,
		isOwnAnswer: text.includes(digest),
		text: text.slice(0, 200),
		outcome: response.headers['fescuering-outcome'],
		entry: response.headers['fescuering-entry'],
	};
}

/**
Defines the tests. Each delay in milliseconds applies to one upstream, to each chunk in each direction; with different
delays, responses arrive in another order than their calls. An empty list means no delays.
*/
export function defineWholePathTests(delaysMilliseconds: readonly number[]): void {
	const proxies: FaultProxy[] = [];
	let fleet: Fleet;

	beforeAll(async () => {
		const rows = [
			{
				kind: 'operation', service: 'desk', operation: 'price', method: 'POST', pathPrefix: '/price', idempotent: true,
			},
			{
				kind: 'operation', service: 'desk', operation: 'slow', method: 'POST', pathPrefix: '/slow', idempotent: true, duration: 'long',
			},
		];
		fleet = await startFleet({
			entryCount: 3,
			failureDomains: ['north', 'south'],
			seed: 7,
			async mapAddress(kind, address) {
				if (kind !== 'upstream' || delaysMilliseconds.length === 0) {
					return address;
				}

				const [targetHost, targetPort] = address.split(':');
				const delayMilliseconds = delaysMilliseconds[proxies.length % delaysMilliseconds.length]!;
				const proxy = await createFaultProxy({targetHost: targetHost!, targetPort: Number(targetPort), faults: {delayMilliseconds}});
				proxies.push(proxy);
				return `${proxy.host}:${proxy.port}`;
			},
			services: [{
				service: 'desk',
				upstreamCount: 4,
				slotsPerUpstream: 4,
				behavior: {durationMilliseconds: {default: 4, slow: 60}, durationKind: 'exponential'},
				rows: rows.map(row => rowSchema.parse(row)),
			}],
			entrySettings: {leaving: {noticeMilliseconds: 500, graceMilliseconds: 20_000}},
		});
	});

	afterAll(async () => {
		await fleet.stop();
		await Promise.all(proxies.map(async proxy => proxy.close()));
	});

	test('each of 2,000 calls gets its own whole answer, and an entry that leaves under load cuts none off', async () => {
		const dispatcher = new undici.Agent({connections: concurrency});
		const [leavingEntry, ...remainingEntries] = fleet.entries;
		const results: CallResult[] = [];
		let addresses = fleet.entries.map(entry => entry.address);
		let nextIndex = 0;
		let leavingExitCode: Promise<number | undefined> | undefined;

		const stopUsingLeavingEntry = () => {
			addresses = remainingEntries.map(entry => entry.address);
		};

		const sendCalls = async () => {
			while (nextIndex < callCount) {
				const index = nextIndex++;
				if (index === callCount / 2) {
					leavingExitCode = leavingEntry!.program.stop('SIGTERM');
					setTimeout(stopUsingLeavingEntry, 100);
				}

				results[index] = await call(dispatcher, addresses[index % addresses.length]!, index);
			}
		};

		await Promise.all(Array.from({length: concurrency}, sendCalls));
		await dispatcher.close();

		expect(results.filter(result => result.statusCode !== 200)).toEqual([]);
		expect(results.filter(result => result.statusCode === 200).length).toBe(callCount);
		expect(results.filter(result => result.isOwnAnswer).length).toBe(callCount);
		expect(new Set(results.map(result => result.outcome))).toEqual(new Set(['ran']));
		expect(new Set(results.map(result => result.entry)).size).toBe(3);
		expect(proxies).toHaveLength(delaysMilliseconds.length === 0 ? 0 : 4);
		expect(await leavingExitCode).toBe(0);
		expect(leavingEntry!.program.getErrorOutput()).toContain('cutOff=0');
	});

	test('the endpoints for health, readiness, status, entries and metrics respond', async () => {
		const {address} = fleet.entries[1]!;
		const read = async (path: string) => {
			const response = await undici.request(`http://${address}${path}`);
			return {statusCode: response.statusCode, text: await response.body.text()};
		};

		const health = await read('/healthz');
		const readiness = await read('/readyz');
		const metrics = await read('/metrics');
		const entries = await read('/v1/entries');
		const status = await read('/v1/status');
		expect([health.statusCode, readiness.statusCode]).toEqual([200, 200]);
		expect(metrics.text).toContain('fescuering_calls_total');
		expect(entries.text).toContain(address);
		expect(status.text).toContain('"tableVersion":0');
	});
}
