/** Tests that an entry process takes on no calls during its stop that may outlast it, and refuses those that wait. */
import * as vitest from 'vitest';
import {rowSchema} from '../src/decisions/table/rows.ts';
import {type Fleet, type FleetEntry, startFleet} from '../stand-ins/fleet.ts';
import * as rawCaller from './support/raw-caller.ts';

const {
	afterEach, expect, test, vi,
} = vitest;

const noticeMilliseconds = 1000;
const graceMilliseconds = 3000;
const longWorkMilliseconds = 20_000;
let fleet: Fleet;

afterEach(async () => {
	await fleet.stop();
});

/** Starts an entry with one upstream. */
async function startEntry(slotsPerUpstream: number): Promise<FleetEntry> {
	const operation = {
		kind: 'operation', service: 'desk', timeoutMilliseconds: 30_000, pathPrefix: '/',
	};
	fleet = await startFleet({
		entryCount: 1,
		failureDomains: ['north'],
		seed: 5,
		services: [{
			service: 'desk',
			upstreamCount: 1,
			slotsPerUpstream,
			behavior: {durationMilliseconds: {default: 100, long: longWorkMilliseconds}},
			rows: [
				rowSchema.parse({
					...operation, operation: 'read', method: 'GET', idempotent: true,
				}),
				rowSchema.parse({
					...operation, operation: 'write', method: 'POST', idempotent: false,
				}),
			],
		}],
		entrySettings: {leaving: {noticeMilliseconds, graceMilliseconds}},
	});
	return fleet.entries[0]!;
}

const hasLogged = (entry: FleetEntry, text: string) => entry.program.getErrorOutput().includes(text);

async function waitUntil(condition: () => Promise<boolean> | boolean): Promise<void> {
	await vi.waitUntil(condition, {timeout: 20_000, interval: 10});
}

type Sent = {readonly caller: rawCaller.RawCaller; getAnswer(): readonly string[]};

function send(entry: FleetEntry, method: string, path: string, timeoutMilliseconds?: number): Sent {
	const caller = rawCaller.connect(entry.address);
	const length = method === 'POST' ? 'Content-Length: 0\r\n' : '';
	const timeout = timeoutMilliseconds === undefined ? '' : `Fescuering-Timeout-Milliseconds: ${timeoutMilliseconds}\r\n`;
	caller.socket.write(`${method} /desk/${path} HTTP/1.1\r\nHost: desk\r\n${timeout}${length}\r\n`);
	return {
		caller,
		getAnswer() {
			const text = caller.getText();
			const outcome = /^fescuering-outcome: (?<outcome>\S+)\r$/imv.exec(text)?.groups!.outcome;
			const problem = /urn:fescuering:problem:(?<problem>[a-z\-]+)/v.exec(text)?.groups!.problem;
			return [...caller.listStatuses().map(String), ...[outcome, problem].filter(value => value !== undefined)];
		},
	};
}

type Status = {readonly services: ReadonlyArray<{readonly waiting: number; readonly calls: number}>};

async function readStatus(entry: FleetEntry): Promise<Status['services'][number]> {
	const response = await fetch(`http://${entry.address}/v1/status`);
	const {services} = await response.json() as Status; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return services[0]!;
}

const refusal = ['503', 'not-run', 'leaving'];

// Guards against calls that are taken on during a stop, run, and are cut at its end, so that nobody learns what became of them.
test.each(['GET', 'POST'])('a call (%s) that arrives during a stop and may outlast it is refused, and one that can\'t is served', async method => {
	const entry = await startEntry(4);
	entry.program.signal('SIGTERM');
	await waitUntil(() => hasLogged(entry, 'state=leaving'));
	const long = send(entry, method, 'long/1');
	const short = send(entry, method, 'short/1', 1000);
	await Promise.all([long.caller.closed, short.caller.closed]);
	expect(short.getAnswer()).toEqual(['200', 'ran']);
	expect(long.getAnswer()).toEqual(refusal);
	expect(await entry.program.exited).toBe(0);
	expect(hasLogged(entry, 'cutOff=0')).toBe(true);
});

// Guards against calls that no upstream has received and that are cut without an answer at the end of the grace period.
test('a call that waits for a slot during a stop that it may outlast is refused', async () => {
	const entry = await startEntry(1);
	const running = send(entry, 'POST', 'long/1');
	await waitUntil(async () => {
		const {calls, waiting: count} = await readStatus(entry);
		return calls === 1 && count === 0;
	});
	const waiting = [send(entry, 'POST', 'long/2'), send(entry, 'GET', 'long/3')];
	await waitUntil(async () => {
		const {waiting: count} = await readStatus(entry);
		return count === 2;
	});
	entry.program.signal('SIGTERM');
	await Promise.all(waiting.map(async ({caller}) => caller.closed));
	expect(waiting.map(({getAnswer}) => getAnswer())).toEqual([refusal, refusal]);
	expect(await entry.program.exited).toBe(0);
	expect(running.getAnswer()).toEqual([]);
});
