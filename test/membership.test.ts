/** Tests of membership, drains and probe budgets with real processes that are killed, paused and partitioned. */
import * as undici from 'undici';
import * as vitest from 'vitest';
import * as z from 'zod';
import {findFreePorts} from '../bench/faults/free-ports.ts';
import {type Row, rowSchema} from '../src/decisions/table/rows.ts';
import {createFaultProxy, type FaultProxy} from '../stand-ins/fault-proxy.ts';
import {
	type Fleet, type FleetEntry, sendJson, startFleet,
} from '../stand-ins/fleet.ts';

const {
	afterAll, beforeAll, describe, expect, test,
} = vitest;

/** Maximum wait for a state change that only its own timeout delays. */
const waitTimeoutMilliseconds = 50_000;
const probesPerSecondPerUpstream = 6;

const statusSchema = z.object({
	state: z.string(),
	incarnation: z.string(),
	members: z.array(z.object({
		name: z.string(), incarnation: z.string(), state: z.string(), isReplaced: z.boolean(),
	})),
	drains: z.array(z.object({upstream: z.string(), isDraining: z.boolean()})),
	measurementPositions: z.array(z.number()),
});
const entriesSchema = z.object({version: z.string(), entries: z.array(z.object({name: z.string(), incarnation: z.string()}))});
const controlSchema = z.object({counters: z.object({polls: z.number(), maxPollsPerSecond: z.number()})});

type Status = z.infer<typeof statusSchema>;

async function readStatus(entry: FleetEntry): Promise<Status> {
	return statusSchema.parse(await sendJson(`http://${entry.address}/v1/status`, 'GET'));
}

async function readEntries(entry: FleetEntry) {
	return entriesSchema.parse(await sendJson(`http://${entry.address}/v1/entries`, 'GET'));
}

/** Waits until a condition holds at all of the entries. */
async function waitForAll(entries: readonly FleetEntry[], isReached: (status: Status, entry: FleetEntry) => boolean): Promise<void> {
	await vitest.vi.waitUntil(async () => {
		const reached = await Promise.all(entries.map(async entry => isReached(await readStatus(entry), entry)));
		return reached.every(Boolean);
	}, {timeout: waitTimeoutMilliseconds, interval: 100});
}

const getState = (status: Status, name: string) => status.members.find(member => member.name === name && !member.isReplaced)?.state;
const countLive = (status: Status) => status.members.filter(member => member.state === 'live').length;

function createRows(service: string, probesPerSecondPerUpstream: number): Row[] {
	return [
		{
			kind: 'service', service, slotsPerUpstream: 4, probesPerSecondPerUpstream,
		},
		{
			kind: 'operation', service, operation: 'any', method: 'GET', pathPrefix: '/', idempotent: true,
		},
	].map(row => rowSchema.parse(row));
}

async function getCounters(address: string) {
	const {counters} = controlSchema.parse(await sendJson(`http://${address}/control`, 'GET'));
	return counters;
}

describe('five entries', () => {
	let fleet: Fleet;

	beforeAll(async () => {
		fleet = await startFleet({
			entryCount: 5,
			failureDomains: ['north', 'south', 'west'],
			seed: 11,
			services: [
				{
					service: 'desk', upstreamCount: 4, slotsPerUpstream: 4, rows: createRows('desk', probesPerSecondPerUpstream),
				},
				{
					service: 'quiet', upstreamCount: 2, slotsPerUpstream: 4, rows: createRows('quiet', 0),
				},
			],
			entrySettings: {leaving: {noticeMilliseconds: 3000, graceMilliseconds: 2000}},
		});
		await waitForAll(fleet.entries, status => countLive(status) === 5);
	});

	afterAll(async () => {
		await fleet.stop();
	});

	test('a drain that one entry observes is propagated to all entries', async () => {
		await sendJson(`http://${fleet.upstreams.get('quiet-1')!}/control`, 'PUT', {isDraining: true});
		const hasDrain = (status: Status) => status.drains.some(drain => drain.upstream === 'quiet-1' && drain.isDraining);
		let callIndex = 0;
		await vitest.vi.waitUntil(async () => {
			// An entry that owns no slot of the upstream does not call it.
			const entry = fleet.entries[callIndex++ % fleet.entries.length]!;
			const response = await undici.request(`http://${entry.address}/quiet/x`);
			await response.body.dump();
			return hasDrain(await readStatus(entry));
		}, {timeout: waitTimeoutMilliseconds, interval: 20});
		await waitForAll(fleet.entries, hasDrain);
	});

	test('the end of a drain is propagated to all entries', async () => {
		const upstream = `http://${fleet.upstreams.get('desk-1')!}/control`;
		const isDraining = (status: Status) => status.drains.some(drain => drain.upstream === 'desk-1' && drain.isDraining);
		await sendJson(upstream, 'PUT', {isDraining: true});
		await waitForAll(fleet.entries, isDraining);
		await sendJson(upstream, 'PUT', {isDraining: false});
		await waitForAll(fleet.entries, status => !isDraining(status));
	});

	test('killed and paused entries drop out, stay known while listed, and come back', async () => {
		const [first, second, third, killed, paused] = fleet.entries;
		const others = [first!, second!, third!];
		await killed!.program.stop('SIGKILL');
		paused!.program.signal('SIGSTOP');
		await waitForAll(others, status => getState(status, 'entry-4') === 'suspected' && getState(status, 'entry-5') === 'suspected');
		for (const entry of others) {
			const {entries} = await readEntries(entry);
			expect(entries.map(({name}) => name).toSorted()).toEqual(['entry-1', 'entry-2', 'entry-3']);
		}

		paused!.program.signal('SIGCONT');
		fleet.entries[3] = await fleet.startEntry(3);
		await waitForAll(fleet.entries, status => ['entry-4', 'entry-5'].every(name => getState(status, name) === 'live'));
		const restarted = await readStatus(fleet.entries[3]);
		for (const entry of fleet.entries) {
			const {entries} = await readEntries(entry);
			const listedEntry = entries.find(({name}) => name === 'entry-4');
			expect(listedEntry?.incarnation).toContain(restarted.incarnation);
		}
	});

	test('a leaving entry is removed from all entry lists, and callers with an old list receive a refresh hint', async () => {
		const [first] = fleet.entries;
		const {version} = await readEntries(first!);
		const others = fleet.entries.filter(entry => entry.name !== 'entry-2');
		const exitCode = fleet.entries[1]!.program.stop('SIGTERM');
		await waitForAll(others, status => getState(status, 'entry-2') === 'leaving');
		for (const entry of others) {
			const {entries} = await readEntries(entry);
			expect(entries.map(({name}) => name)).not.toContain('entry-2');
		}

		const response = await undici.request(`http://${first!.address}/quiet/x`, {headers: {'fescuering-entries-version': version}});
		await response.body.dump();
		expect(response.headers['fescuering-entries']).toBe('refresh');
		expect(await exitCode).toBe(0);
		await waitForAll(others, status => getState(status, 'entry-2') === undefined);
	});

	test('upstreams are polled within the probe budget during all previous tests', async () => {
		const counters = await Promise.all([...fleet.upstreams].map(async ([name, address]) => ({name, ...await getCounters(address)})));
		const desk = counters.filter(({name}) => name.startsWith('desk'));
		expect(Math.min(...desk.map(({polls}) => polls))).toBeGreaterThan(0);
		expect(Math.max(...desk.map(({maxPollsPerSecond}) => maxPollsPerSecond))).toBeLessThanOrEqual(probesPerSecondPerUpstream);
		expect(counters.filter(({name}) => name.startsWith('quiet')).map(({polls}) => polls)).toEqual([0, 0]);
		const remaining = await Promise.all(fleet.entries.filter(entry => entry.name !== 'entry-2').map(async entry => readStatus(entry)));
		const positions = remaining.flatMap(status => status.measurementPositions);
		expect(new Set(positions).size).toBe(positions.length);
	});
});

describe('entries behind proxies', () => {
	let fleet: Fleet;
	let log: FaultProxy;
	const proxies: FaultProxy[] = [];

	beforeAll(async () => {
		fleet = await startFleet({
			entryCount: 3,
			failureDomains: ['north', 'south'],
			seed: 12,
			services: [{
				service: 'desk', upstreamCount: 1, slotsPerUpstream: 4, rows: createRows('desk', 2),
			}],
			async mapAddress(kind, address) {
				if (kind !== 'log') {
					return address;
				}

				log = await createFaultProxy({targetHost: '127.0.0.1', targetPort: Number(address.split(':')[1])});
				return `${log.host}:${log.port}`;
			},
			async createEntrySettings() {
				const [peerPort] = await findFreePorts(1);
				const proxy = await createFaultProxy({targetHost: '127.0.0.1', targetPort: peerPort!});
				proxies.push(proxy);
				return {listen: {callerPort: 0, peerPort, announcedPeerPort: proxy.port}};
			},
		});
		await waitForAll(fleet.entries, status => countLive(status) === 3);
	});

	afterAll(async () => {
		await fleet.stop();
		await Promise.all([log, ...proxies].map(async proxy => proxy.close()));
	});

	test('an entry that starts while the log is unreachable receives the table from its peers', async () => {
		log.setFaults({cut: true});
		const added = await fleet.startEntry(3);
		fleet.entries.push(added);
		await waitForAll([added], status => status.state === 'serving');
		log.setFaults({});
	});

	test('after a partition with silent connections, all entries rejoin the membership', async () => {
		for (const proxy of proxies) {
			proxy.setFaults({silent: 'all'});
		}

		await waitForAll(fleet.entries, status => countLive(status) === 1);
		for (const entry of fleet.entries) {
			const {entries} = await readEntries(entry);
			expect(entries).toHaveLength(4);
		}

		for (const proxy of proxies) {
			proxy.setFaults({});
		}

		await waitForAll(fleet.entries, status => countLive(status) === 4);
	});
});
