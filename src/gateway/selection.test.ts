import * as http from 'node:http';
import * as vitest from 'vitest';
import type * as registry from '../decisions/registry/types.ts';
import {createRandomSource} from '../decisions/random.ts';
import * as loadCheck from './load-check.ts';
import {
	createSelector, type Selection, type SelectionHost, type SelectionRequest, type Selector,
} from './selection.ts';
import {createUpstreams, type Upstream, type Upstreams} from './upstreams.ts';

const {afterEach, beforeEach, describe, expect, test, vi} = vitest;
let now = 1000;
const getNow = () => now;
const cleanups: Array<() => void> = [];

afterEach(() => {
	for (const cleanup of cleanups.splice(0)) {
		cleanup();
	}
});

function createRegistration(id: string, changes: Partial<registry.Registration> = {}): registry.Registration {
	return {
		id, service: 'desk', address: '127.0.0.1:1', failureDomain: 'here', slots: 4, state: 'ready', warmUpMilliseconds: 0, incarnation: 1, sequence: 1, ...changes,
	};
}

/** Creates a selector that makes load checks if the upstreams have an address, and uses only the recorded load readings otherwise. */
function createParts(ids: readonly string[], address?: string): {selector: Selector; upstreams: Upstreams; host: SelectionHost} {
	const upstreams = createUpstreams({
		getMaximumConnections: () => 10, countEntries: () => 1, getAccess: () => ({kind: 'open', selectionShare: 1}), isEvacuated: () => false, getNow,
	}, 'here');
	upstreams.update(ids.map(id => createRegistration(id, {address: address ?? '127.0.0.1:1'})));
	const host: SelectionHost = {
		headers: {
			readRequest: () => ({id: undefined, deadlineMilliseconds: undefined, relayedExecutions: undefined}),
			readResponse: () => ({
				requestId: undefined, isSigned: false, isNotRun: false, upstreamId: undefined, load: {
					running: 0, waiting: 0, slots: 4, durationFactor: 1,
				}, acceptance: {
					requestsPerSecond: {kind: 'absent'}, leaving: {kind: 'absent'}, retryAfterMilliseconds: {kind: 'absent'}, coldMilliseconds: {kind: 'absent'},
				},
			}),
			createUpstreamHeaders: () => [],
			createRelayHeaders: () => [],
			createRelayedRefusalHeaders: () => [],
			isReplacedHeader: () => false,
			isIdentityHeader: () => false,
			createRetryHeaders: () => [],
			readCredentials: () => ({kind: 'absent'}),
			isCredentialHeader: () => false,
			createChallengeHeaders: () => [],
		},
		upstreams,
		permits: {take: () => undefined, areNeeded: () => false, getWaitMilliseconds: () => 0},
		relays: {choose: () => undefined},
		random: createRandomSource(20_266),
		getNow,
		getHealthPath: () => '/healthz',
		recordCheck: () => undefined,
		recordStatements: () => undefined,
		tryChargeCheck: () => address !== undefined,
		getHoldEnd: () => Number.POSITIVE_INFINITY,
		recordLoadSupport: () => undefined,
		reportsLoad: () => true,
	};
	const selector = createSelector(host);
	cleanups.push(selector.close, upstreams.close);
	return {selector, upstreams, host};
}

function setLoad(upstreams: Upstreams, id: string, running: number): void {
	upstreams.listUsable('desk').find(({registration}) => registration.id === id)!.record.recordReading({
		running, waiting: 0, slots: 4, durationFactor: 1, readAt: now,
	});
}

function createRequest(priority = 1): SelectionRequest {
	return {
		service: 'desk',
		priority,
		work: {
			workMilliseconds: 100, meanWorkMilliseconds: 100, objectiveMilliseconds: 400, mayExceedCapacity: false,
		},
		tried: new Set(),
		mayRelay: true,
		objectiveEndsAt: now + 400,
		expiresAt: now + 400,
		mayStart: () => true,
	};
}

test('held requests go to an upstream with free capacity in the order of their priority', () => {
	const {selector, upstreams} = createParts(['a']);
	setLoad(upstreams, 'a', 4);
	const selections: string[] = [];
	selector.select(createRequest(2), ({kind}) => {
		selections.push(`second ${kind}`);
	});
	selector.select(createRequest(1), ({kind}) => {
		selections.push(`first ${kind}`);
	});
	expect(selector.hasHeldRequests('desk')).toBe(true);
	now += 1;
	setLoad(upstreams, 'a', 2);
	const [upstream] = upstreams.listUsable('desk');
	upstream!.record.recordStart(now);
	now += 1;
	setLoad(upstreams, 'a', 2);
	selector.onAttemptEnded(upstream!);
	expect(selections[0]).toBe('first selected');
});

test('a held request does not go to a draining upstream, even if its latest load reading shows free capacity', () => {
	const {selector, upstreams} = createParts(['a', 'b']);
	setLoad(upstreams, 'a', 4);
	setLoad(upstreams, 'b', 4);
	let selection: Selection | undefined;
	selector.select(createRequest(), selected => {
		selection = selected;
	});
	const leaving = upstreams.listUsable('desk').find(({registration}) => registration.id === 'a')!;
	upstreams.update([createRegistration('a', {state: 'draining', sequence: 2}), createRegistration('b')]);
	now += 1;
	leaving.record.recordReading({
		running: 0, waiting: 0, slots: 4, durationFactor: 1, readAt: now,
	});
	selector.onAttemptEnded(leaving);
	expect(selection).toBeUndefined();
	setLoad(upstreams, 'b', 0);
	selector.onAttemptEnded(upstreams.listUsable('desk')[0]!);
	expect(selection).toMatchObject({kind: 'selected', upstream: {registration: {id: 'b'}}});
});

function fail(upstreams: Upstreams, id: string): Upstream {
	const upstream = upstreams.listUsable('desk').find(({registration}) => registration.id === id)!;
	for (let count = 0; count < 5; count++) {
		upstream.record.recordStart(now);
		upstream.record.recordFailure(now);
	}

	return upstream;
}

// Guards against requests that fail at an upstream which answers nothing and therefore always has a free slot.
test.each([[[]], [['a']]])('a request that has tried %j waits for a sound upstream, although a failing one has room', tried => {
	const {selector, upstreams} = createParts(['a', 'b']);
	const failing = fail(upstreams, 'b');
	setLoad(upstreams, 'a', 4);
	setLoad(upstreams, 'b', 0);
	let selection: Selection | undefined;
	selector.select({...createRequest(), tried: new Set(tried)}, selected => {
		selection = selected;
	});
	selector.onAttemptEnded(failing);
	expect(selection).toBeUndefined();
	now += 1;
	setLoad(upstreams, 'a', 0);
	selector.onAttemptEnded(upstreams.listUsable('desk').find(({registration}) => registration.id === 'a')!);
	expect(selection).toMatchObject({kind: 'selected', upstream: {registration: {id: 'a'}}});
});

// Guards against requests that are held until their time is over, since the only upstream has refused them once.
test('a held request goes again to the only upstream, which has refused it', () => {
	const {selector, upstreams} = createParts(['a']);
	setLoad(upstreams, 'a', 4);
	let selection: Selection | undefined;
	selector.select({...createRequest(), tried: new Set(['a'])}, selected => {
		selection = selected;
	});
	now += 1;
	setLoad(upstreams, 'a', 0);
	selector.onAttemptEnded(upstreams.listUsable('desk')[0]!);
	expect(selection).toMatchObject({kind: 'selected', upstream: {registration: {id: 'a'}}});
});

test('held requests go to a failing upstream once the sound ones have had no room for some rounds', async () => {
	const {selector, upstreams} = createParts(['a', 'b']);
	fail(upstreams, 'b');
	let selection: Selection | undefined;
	setLoad(upstreams, 'a', 4);
	setLoad(upstreams, 'b', 0);
	selector.select(createRequest(), selected => {
		selection = selected;
	});
	expect(selection).toBeUndefined();
	await vitest.vi.waitUntil(() => selection);
	expect(selection).toMatchObject({kind: 'selected', upstream: {registration: {id: 'b'}}});
});

describe('load checks whose answers the test holds', () => {
	beforeEach(() => {
		vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	/** Starts an upstream; returns its address, and the functions that answer the checks in the order of their receipt. */
	async function startHeldUpstream() {
		const answers: Array<() => void> = [];
		const server = http.createServer((_request, response) => {
			answers.push(() => {
				response.writeHead(200, {'content-length': '0'}).end();
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		cleanups.push(() => {
			server.closeAllConnections();
			server.close();
		});
		const address = server.address();
		return {address: `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`, answers};
	}

	/** Lets the event loop read from its sockets until a condition holds. */
	async function waitUntil(condition: () => boolean): Promise<void> {
		while (!condition()) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	}

	function pass(milliseconds: number): void {
		now += milliseconds;
		vi.advanceTimersByTime(milliseconds);
	}

	// Guards against a refusal by an entry that stood still while the upstream answered its check.
	test('a check that was answered while the entry stood still selects the upstream', async () => {
		const {address, answers} = await startHeldUpstream();
		const {selector} = createParts(['a'], address);
		const selections: Selection[] = [];
		selector.select(createRequest(), selection => {
			selections.push(selection);
		});
		await waitUntil(() => answers.length === 1);
		now += 700;
		vi.advanceTimersByTime(25);
		expect(selections).toEqual([]);
		answers[0]!();
		await waitUntil(() => selections.length > 0);
		expect(selections).toMatchObject([{kind: 'selected'}]);
	});

	// Guards against refusals while a free upstream is further away, or the machine busier, than the time for which a choice waits.
	test('a held request goes to an upstream that answers a check after the end of its query', async () => {
		const {address, answers} = await startHeldUpstream();
		const {selector} = createParts(['a'], address);
		const selections: Selection[] = [];
		selector.select(createRequest(), selection => {
			selections.push(selection);
		});
		await waitUntil(() => answers.length === 1);
		pass(25);
		expect(selector.hasHeldRequests('desk')).toBe(true);
		now += 5;
		answers[0]!();
		await waitUntil(() => selections.length > 0);
		expect(selections).toMatchObject([{kind: 'selected', connection: {isClosed: false}}]);
	});

	// Guards against refusals of held requests by an entry that stood still while an upstream answered.
	test('a held request whose time ended while the entry stood still goes to an upstream that has answered meanwhile', async () => {
		const {address, answers} = await startHeldUpstream();
		const {selector} = createParts(['a'], address);
		const selections: Selection[] = [];
		selector.select(createRequest(), selection => {
			selections.push(selection);
		});
		await waitUntil(() => answers.length === 1);
		pass(25);
		now += 700;
		vi.advanceTimersByTime(10);
		expect(selections).toEqual([]);
		answers[0]!();
		await waitUntil(() => selections.length > 0);
		expect(selections).toMatchObject([{kind: 'selected'}]);
	});

	test('a held request is refused once its time is over', async () => {
		const {address, answers} = await startHeldUpstream();
		const {selector} = createParts(['a'], address);
		const selections: Selection[] = [];
		selector.select(createRequest(), selection => {
			selections.push(selection);
		});
		await waitUntil(() => answers.length === 1);
		pass(25);
		now += 700;
		vi.advanceTimersByTime(20);
		expect(selections).toMatchObject([{kind: 'no-room'}]);
	});

	// Guards against an entry that takes all upstreams for unreachable because it stood still itself.
	test('a check whose time is over while the entry stood still may still be answered, but not for long', async () => {
		const {address, answers} = await startHeldUpstream();
		const {upstreams, host} = createParts(['a'], address);
		const [upstream] = upstreams.listUsable('desk');
		const results: string[] = [];
		for (let count = 0; count < 2; count++) {
			loadCheck.startLoadCheck(host, upstream!, ({kind}) => {
				results.push(kind);
			});
		}

		await waitUntil(() => answers.length === 2);
		now += 700;
		vi.advanceTimersByTime(300);
		answers[0]!();
		await waitUntil(() => results.length > 0);
		expect(results).toEqual(['healthy']);
		pass(300);
		expect(results).toEqual(['healthy', 'silent']);
	});
});
