/** Tests of stops and failures of an entry process with callers that keep their connections. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import {rowSchema} from '../src/decisions/table/rows.ts';
import {type Fleet, type FleetEntry, startFleet} from '../stand-ins/fleet.ts';
import {type UpstreamBehaviorChange} from '../stand-ins/upstream.ts';
import * as rawCaller from './support/raw-caller.ts';

const {
	afterEach, expect, test, vi,
} = vitest;

const noticeMilliseconds = 1000;
const keepAliveMilliseconds = 1000;
let fleet: Fleet;

afterEach(async () => {
	vi.unstubAllEnvs();
	await fleet.stop();
});

/** Starts an entry with one upstream; the entry runs a script on SIGUSR2. */
async function startEntry(behavior: UpstreamBehaviorChange, script = ''): Promise<FleetEntry> {
	vi.stubEnv('FESCUERING_NODE_ARGUMENTS', `--import data:text/javascript,process.on("SIGUSR2",()=>{${encodeURIComponent(script)}})`);
	fleet = await startFleet({
		entryCount: 1,
		failureDomains: ['north'],
		seed: 5,
		services: [{
			service: 'desk',
			upstreamCount: 1,
			slotsPerUpstream: 4,
			behavior,
			rows: [rowSchema.parse({
				kind: 'operation', service: 'desk', operation: 'any', method: 'GET', pathPrefix: '/', idempotent: true,
			})],
		}],
		entrySettings: {leaving: {noticeMilliseconds, graceMilliseconds: 5000}, limits: {keepAliveMilliseconds}},
	});
	return fleet.entries[0]!;
}

const createRequest = (path: string, headers = '') => `GET /desk/${path} HTTP/1.1\r\nHost: desk\r\n${headers}\r\n`;
const createBusyScript = (milliseconds: number) => `const end=performance.now()+${milliseconds};while(performance.now()<end);`;
const hasLogged = (entry: FleetEntry, text: string) => entry.program.getErrorOutput().includes(text);

async function waitUntil(condition: () => boolean): Promise<void> {
	await vi.waitUntil(condition, {timeout: 20_000, interval: 10});
}

/** Sends a request and waits for its answer, so that the entry has a connection without a request. */
async function connectIdle(entry: FleetEntry): Promise<rawCaller.RawCaller> {
	const caller = rawCaller.connect(entry.address);
	caller.socket.write(createRequest('first'));
	await waitUntil(() => caller.listStatuses().length === 1);
	return caller;
}

// Guards against requests of all callers that end without an answer because one part of the process fails.
test('requests at work are answered although an uncaught error ends the entry', async () => {
	const entry = await startEntry({durationMilliseconds: {default: 800}}, 'throw new Error("failed part")');
	const callers = ['a', 'b'].map(path => {
		const caller = rawCaller.connect(entry.address);
		caller.socket.write(createRequest(path));
		return caller;
	});
	await timers.setTimeout(300);
	entry.program.signal('SIGUSR2');
	await Promise.all(callers.map(async ({closed}) => closed));
	expect(callers.flatMap(caller => caller.listStatuses())).toEqual([200, 200]);
	expect(await entry.program.exited).toBe(1);
	expect(hasLogged(entry, 'event=entry-crashed')).toBe(true);
});

// Guards against requests that end because a second signal ends the process at once.
test.each(['SIGTERM', 'SIGINT'] as const)('a request is answered although SIGTERM is followed by %s', async secondSignal => {
	const entry = await startEntry({durationMilliseconds: {default: 800}});
	const caller = rawCaller.connect(entry.address);
	caller.socket.write(createRequest('a'));
	await timers.setTimeout(300);
	entry.program.signal('SIGTERM');
	await waitUntil(() => hasLogged(entry, 'state=leaving'));
	entry.program.signal(secondSignal);
	await caller.closed;
	expect(caller.listStatuses()).toEqual([200]);
	expect(await entry.program.exited).toBe(0);
	expect([...entry.program.getErrorOutput().matchAll(/event=signal-received entry=entry-1 signal=(?<signal>\w+)/gv)].map(match => match.groups!.signal)).toEqual(['SIGTERM', secondSignal]);
});

// Guards against requests at work that end with their connection because the answer before them closes it during a stop.
test('requests sent ahead are answered although the entry is told to stop', async () => {
	const entry = await startEntry({durationMilliseconds: {default: 800}});
	const caller = rawCaller.connect(entry.address);
	caller.socket.write(['a', 'b', 'c'].map(path => createRequest(path)).join(''));
	await timers.setTimeout(300);
	entry.program.signal('SIGTERM');
	await caller.closed;
	expect(caller.listStatuses()).toEqual([200, 200, 200]);
	expect(await entry.program.exited).toBe(0);
});

// Guards against a request that is reset unread because the notice of a stop is over when the process wakes.
test('a request that arrives while a stopping entry stands still is answered', async () => {
	const entry = await startEntry({}, createBusyScript(2 * noticeMilliseconds));
	const caller = await connectIdle(entry);
	entry.program.signal('SIGTERM');
	await waitUntil(() => hasLogged(entry, 'state=leaving'));
	await timers.setTimeout(noticeMilliseconds / 2);
	entry.program.signal('SIGUSR2');
	await timers.setTimeout(noticeMilliseconds / 4);
	// It ends before the grace period does, so the entry takes it on.
	caller.socket.write(createRequest('second', 'Fescuering-Timeout-Milliseconds: 1000\r\n'));
	await caller.closed;
	expect(caller.listStatuses()).toEqual([200, 200]);
	expect(await entry.program.exited).toBe(0);
});

// Guards against a request in time that is reset because the timer of the idle connection fires before the request is read.
test('a request that arrives before the idle timeout is answered by an entry that is busy until after it', async () => {
	const entry = await startEntry({}, createBusyScript(4 * keepAliveMilliseconds));
	const caller = await connectIdle(entry);
	entry.program.signal('SIGUSR2');
	await timers.setTimeout(300);
	caller.socket.write(createRequest('second'));
	await waitUntil(() => caller.listStatuses().length === 2 || caller.socket.destroyed);
	expect(caller.listStatuses()).toEqual([200, 200]);
});

// Guards against an answer that is lost because its caller sends more while the connection closes: the system then resets it.
test('an answer that is on its way arrives whole although its caller sends more while the entry stops', async () => {
	const answerBytes = 1_000_000;
	const entry = await startEntry({durationMilliseconds: {default: 2 * noticeMilliseconds}, answerBytes});
	const caller = rawCaller.connect(entry.address);
	caller.socket.write(createRequest('a'));
	caller.socket.pause();
	await timers.setTimeout(300);
	entry.program.signal('SIGTERM');
	await timers.setTimeout(2 * noticeMilliseconds);
	for (const path of ['b', 'c']) {
		caller.socket.write(createRequest(path));
		await timers.setTimeout(50);
	}

	caller.socket.resume();
	await caller.closed;
	expect(caller.getText().length).toBeGreaterThan(answerBytes);
	expect(await entry.program.exited).toBe(0);
});
