import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {assertNever} from '../assert-never.ts';
import {createRandomSource} from '../random.ts';
import {operationRowSchema, serviceRowSchema} from '../table/rows.ts';
import {type ServiceView} from '../table/service-view.ts';
import {createServiceScheduler} from './scheduler.ts';
import {
	type AttemptResult, type SchedulerAction, type ServiceScheduler, type UpstreamDescription, type WaitingCall,
} from './types.ts';

const {expect, test} = vitest;
const seed = 20_266;
const slots = 4;
const upstreamCount = 10;
const entryCount = 3;

const short = operationRowSchema.parse({
	kind: 'operation', service: 'desk', operation: 'short', method: 'GET', pathPrefix: '/', idempotent: true, duration: 'short',
});
const long = operationRowSchema.parse({
	kind: 'operation', service: 'desk', operation: 'long', method: 'GET', pathPrefix: '/long', idempotent: true, duration: 'long',
});
const view: ServiceView = {
	service: serviceRowSchema.parse({kind: 'service', service: 'desk', slotsPerUpstream: slots}),
	operations: [short, long],
	places: new Map(),
	upstreams: new Map(),
	limit: undefined,
};

const upstreams: readonly UpstreamDescription[] = Array.from({length: upstreamCount}, (_, index) => ({
	name: `upstream-${index}`, address: `127.0.0.1:${index}`, region: 'region', failureDomain: 'riverside', state: 'live',
}));
const entries = Array.from({length: entryCount}, (_, index) => ({name: `entry-${index}`, failureDomain: 'riverside'}));

function createScheduler(entry: number): ServiceScheduler {
	return createServiceScheduler({
		policy: {kind: 'product'},
		view,
		fleet: {self: `entry-${entry}`, selfFailureDomain: 'riverside', entries},
		upstreams,
		random: createRandomSource(seed + entry),
		now: 0,
	});
}

type Dispatched = {readonly call: WaitingCall; readonly upstream: string; readonly at: number};

/** Scheduler of one entry, with its waiting and its dispatched calls. */
type TestEntry = {
	readonly scheduler: ServiceScheduler;
	readonly waiting: Map<number, WaitingCall>;
	readonly dispatched: Map<number, Dispatched>;
};

function createTestEntry(entry: number): TestEntry {
	return {scheduler: createScheduler(entry), waiting: new Map(), dispatched: new Map()};
}

function applyActions(entry: TestEntry, actions: readonly SchedulerAction[], now: number): void {
	for (const action of actions) {
		const call = entry.waiting.get(action.callId);
		expect(call).toBeDefined();
		entry.waiting.delete(action.callId);
		if (action.kind === 'dispatch') {
			expect(call!.deadlineAt).toBeGreaterThan(now);
			entry.dispatched.set(action.callId, {call: call!, upstream: action.upstream, at: now});
		}
	}
}

function offer(entry: TestEntry, call: WaitingCall, now: number): void {
	entry.waiting.set(call.id, call);
	applyActions(entry, entry.scheduler.submit(call, now), now);
}

function createCall(id: number, now: number, isLong = false): WaitingCall {
	return {
		id, operation: isLong ? long : short, arrivedAt: now, deadlineAt: now + (isLong ? 5000 : 200), attempts: 0, triedUpstreams: [],
	};
}

const results: readonly AttemptResult[] = [
	{kind: 'answered', statusCode: 200, durationMilliseconds: 10},
	{kind: 'answered', statusCode: 200, durationMilliseconds: 400},
	{kind: 'answered', statusCode: 500, durationMilliseconds: 1},
	{kind: 'not-connected'},
	{kind: 'timed-out'},
];

const stepKinds = ['offer', 'offer', 'offer-long', 'finish', 'finish', 'fail', 'report', 'withdraw', 'wait'] as const;

type Step = {
	readonly kind: typeof stepKinds[number];
	readonly entry: number;
	readonly choice: number;
	readonly running: number;
};

const step: fastCheck.Arbitrary<Step> = fastCheck.record({
	kind: fastCheck.constantFrom(...stepKinds),
	entry: fastCheck.nat(entryCount - 1),
	choice: fastCheck.nat(1000),
	running: fastCheck.nat(8),
});

function runStep(entry: TestEntry, {kind, choice, running}: Step, id: number, now: number): void {
	switch (kind) {
		case 'offer':
		case 'offer-long': {
			offer(entry, createCall(id, now, kind === 'offer-long'), now);
			return;
		}

		case 'finish':
		case 'fail': {
			const [callId, dispatched] = [...entry.dispatched][choice % Math.max(1, entry.dispatched.size)] ?? [];
			if (callId !== undefined && dispatched) {
				entry.dispatched.delete(callId);
				applyActions(entry, entry.scheduler.finishAttempt(callId, dispatched.upstream, results[kind === 'finish' ? 0 : choice % results.length]!, now), now);
			}

			return;
		}

		case 'report': {
			const upstream = upstreams[choice % upstreamCount]!.name;
			applyActions(entry, entry.scheduler.applyReport(upstream, {
				slots, running: Math.min(slots, running), queued: Math.max(0, running - slots), state: 'live',
			}, now, now), now);
			return;
		}

		case 'withdraw': {
			const [callId] = [...entry.waiting.keys()];
			if (callId !== undefined) {
				entry.waiting.delete(callId);
				entry.scheduler.cancel(callId, now);
			}

			return;
		}

		case 'wait': {
			applyActions(entry, entry.scheduler.advance(now), now);
			return;
		}

		default: {
			assertNever(kind);
		}
	}
}

function countCallsAt(entry: TestEntry, upstream: string, isLong?: boolean): number {
	let count = 0;
	for (const dispatched of entry.dispatched.values()) {
		const isCounted = dispatched.upstream === upstream && (isLong === undefined || (dispatched.call.operation === long) === isLong);
		count += isCounted ? 1 : 0;
	}

	return count;
}

test('the limits on slots, long calls and paused upstreams hold for any sequence of events', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(step, {minLength: 20, maxLength: 300}), steps => {
		const fleet = entries.map((_, index) => createTestEntry(index));
		let now = 0;
		for (const [id, next] of steps.entries()) {
			now += 1 + (next.choice % 20);
			runStep(fleet[next.entry]!, next, id, now);
			for (const {name} of upstreams) {
				let longCalls = 0;
				for (const entry of fleet) {
					expect(countCallsAt(entry, name)).toBeLessThanOrEqual(slots + 1);
					longCalls += countCallsAt(entry, name, true);
				}

				expect(longCalls).toBeLessThanOrEqual(slots * view.service.longShare);
			}

			for (const entry of fleet) {
				const paused = entry.scheduler.getStatus(now).filter(({state}) => state === 'ejected' || state === 'suspected');
				expect(paused.length).toBeLessThanOrEqual(upstreamCount * view.service.ejectionShare);
				expect(entry.scheduler.countWaitingCalls()).toBe(entry.waiting.size);
			}
		}
	}), {seed, numRuns: 40});
});

test('long calls stay within their share of the slots of each upstream, and short calls fill the rest', () => {
	const fleet = entries.map((_, index) => createTestEntry(index));
	for (const entry of fleet) {
		for (let id = 0; id < 100; id++) {
			offer(entry, createCall(id, 0, true), 0);
			offer(entry, createCall(1000 + id, 0), 0);
		}
	}

	for (const {name} of upstreams) {
		let longCalls = 0;
		let all = 0;
		for (const entry of fleet) {
			longCalls += countCallsAt(entry, name, true);
			all += countCallsAt(entry, name);
		}

		expect(longCalls).toBeLessThanOrEqual(slots * view.service.longShare);
		expect(all).toBeGreaterThanOrEqual(slots);
	}
});

test('a dispatch action reports how long a short call waited while long calls occupied all own slots', () => {
	const entry = createTestEntry(0);
	entry.scheduler.setView({...view, service: {...view.service, longShare: 1}}, 0);
	for (let id = 0; id < 100; id++) {
		offer(entry, createCall(id, 0, true), 0);
	}

	for (const callId of entry.waiting.keys()) {
		entry.waiting.delete(callId);
		entry.scheduler.cancel(callId, 0);
	}

	for (const {name} of upstreams) {
		entry.scheduler.applyReport(name, {
			slots, running: slots, queued: 9, state: 'live',
		}, 1, 1);
	}

	offer(entry, createCall(1000, 1), 1);
	expect(entry.waiting.has(1000)).toBe(true);
	const [first] = [...entry.dispatched];
	const [action] = entry.scheduler.finishAttempt(first![0], first![1].upstream, results[0]!, 11);
	expect(action).toMatchObject({kind: 'dispatch', callId: 1000, behindLongMilliseconds: 10});
});

test('an upstream that always reports no load gets at most one call more than it has slots', () => {
	fastCheck.assert(fastCheck.property(fastCheck.nat(upstreamCount - 1), fastCheck.integer({min: 1, max: 10}), (reportedIndex, intervalMilliseconds) => {
		const entry = createTestEntry(0);
		const {name} = upstreams[reportedIndex]!;
		for (let id = 0; id < 150; id++) {
			const now = id * intervalMilliseconds;
			offer(entry, {...createCall(id, now), deadlineAt: now + 5000}, now);
			applyActions(entry, entry.scheduler.applyReport(name, {
				slots, running: 0, queued: 0, state: 'live',
			}, now, now), now);
			expect(countCallsAt(entry, name)).toBeLessThanOrEqual(slots + 1);
		}
	}), {seed, numRuns: 50});
});

test('when every upstream fails, exactly the allowed share of the upstreams is ejected', () => {
	const entry = createTestEntry(0);
	for (let id = 0; id < 500; id++) {
		offer(entry, createCall(id, id), id);
		for (const [callId, {upstream}] of entry.dispatched) {
			entry.dispatched.delete(callId);
			applyActions(entry, entry.scheduler.finishAttempt(callId, upstream, results[2]!, id), id);
		}
	}

	const paused = entry.scheduler.getStatus(500).filter(({state}) => state === 'ejected');
	expect(paused.length).toBe(Math.floor(upstreamCount * view.service.ejectionShare));
});

test('waiting calls are dispatched in order of their deadlines', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.integer({min: 300, max: 4000}), {minLength: 5, maxLength: 60}), timeouts => {
		const entry = createTestEntry(0);
		let id = 0;
		for (; id < 200; id++) {
			offer(entry, createCall(id, 0), 0);
		}

		for (const callId of entry.waiting.keys()) {
			entry.scheduler.cancel(callId, 0);
		}

		entry.waiting.clear();
		const first = [...entry.dispatched.keys()];
		for (const timeout of timeouts) {
			id += 1;
			offer(entry, {...createCall(id, 0), deadlineAt: timeout}, 0);
		}

		const order: number[] = [];
		for (const callId of first) {
			const {upstream} = entry.dispatched.get(callId)!;
			const before = new Set(entry.dispatched.keys());
			entry.dispatched.delete(callId);
			applyActions(entry, entry.scheduler.finishAttempt(callId, upstream, results[0]!, 1), 1);
			order.push(...[...entry.dispatched].filter(([later]) => !before.has(later)).map(([, {call}]) => call.deadlineAt));
		}

		expect(order.length).toBeGreaterThan(0);
		expect(order).toEqual(order.toSorted((left, right) => left - right));
	}), {seed, numRuns: 50});
});

test('a retry is sent to another upstream, and a draining upstream gets no calls', () => {
	fastCheck.assert(fastCheck.property(fastCheck.nat(upstreamCount - 1), fastCheck.nat(upstreamCount - 1), (triedIndex, drainingIndex) => {
		const entry = createTestEntry(0);
		const report = {
			slots, running: 0, queued: 0, state: 'draining' as const,
		};
		entry.scheduler.applyReport(`upstream-${drainingIndex}`, report, 1, 1);
		for (let id = 0; id < 100; id++) {
			offer(entry, {...createCall(id, 1), attempts: 1, triedUpstreams: [`upstream-${triedIndex}`]}, 1);
		}

		applyActions(entry, entry.scheduler.advance(50), 50);
		expect(entry.dispatched.size).toBeGreaterThan(0);
		expect(countCallsAt(entry, `upstream-${triedIndex}`)).toBe(0);
		expect(countCallsAt(entry, `upstream-${drainingIndex}`)).toBe(0);
	}), {seed});
});

test('an upstream that fails fast gets fewer than ten of 2000 calls', () => {
	const entry = createTestEntry(0);
	let atFailing = 0;
	for (let id = 0; id < 2000; id++) {
		const now = id;
		offer(entry, createCall(id, now), now);
		for (const [callId, {upstream}] of entry.dispatched) {
			const isFailing = upstream === 'upstream-3';
			atFailing += isFailing ? 1 : 0;
			entry.dispatched.delete(callId);
			applyActions(entry, entry.scheduler.finishAttempt(callId, upstream, results[isFailing ? 2 : 0]!, now), now);
		}
	}

	expect(atFailing).toBeLessThan(10);
});

test('a slow upstream that reports no load is suspected and gets no more calls than it has slots', () => {
	const entry = createTestEntry(0);
	for (let id = 0; id < 1000; id++) {
		const now = id;
		offer(entry, createCall(id, now), now);
		for (const [callId, {upstream, at}] of entry.dispatched) {
			const duration = upstream === 'upstream-3' ? 150 : 10;
			if (now - at >= duration) {
				entry.dispatched.delete(callId);
				applyActions(entry, entry.scheduler.finishAttempt(callId, upstream, {kind: 'answered', statusCode: 200, durationMilliseconds: duration}, now), now);
			}
		}

		applyActions(entry, entry.scheduler.applyReport('upstream-3', {
			slots, running: 0, queued: 0, state: 'live',
		}, now, now), now);
		expect(countCallsAt(entry, 'upstream-3')).toBeLessThanOrEqual(slots);
	}

	const status = entry.scheduler.getStatus(1000).find(({upstream}) => upstream === 'upstream-3');
	expect(status?.state).toBe('suspected');
});

test('an upstream that is added later gets at most one concurrent call in its slow start', () => {
	const entry = createTestEntry(0);
	entry.scheduler.setUpstreams([...upstreams, {...upstreams[0]!, name: 'upstream-new'}], 0);
	for (let id = 0; id < 200; id++) {
		offer(entry, createCall(id, 0), 0);
	}

	expect(countCallsAt(entry, 'upstream-new')).toBeLessThanOrEqual(1);
	expect(entry.scheduler.getStatus(0).find(({upstream}) => upstream === 'upstream-new')?.state).toBe('starting');
});

test('long calls to upstreams in their slow start leave a slot for a short call', () => {
	const entry = createTestEntry(0);
	const added = Array.from({length: upstreamCount}, (_, index) => ({...upstreams[0]!, name: `new-${index}`}));
	entry.scheduler.setFleet({self: 'entry-0', selfFailureDomain: 'riverside', entries: entries.slice(0, 1)}, 0);
	entry.scheduler.setUpstreams(added, 0);
	for (let id = 0; id < 100; id++) {
		offer(entry, createCall(id, 0, true), 0);
	}

	offer(entry, createCall(100, 1), 1);
	expect(entry.dispatched.has(100)).toBe(true);
});
