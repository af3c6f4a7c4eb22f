/** Replays of outages of the store, with the order of its answers and all times under control. */
import * as neverthrow from 'neverthrow';
import * as vitest from 'vitest';
import * as storeReplay from '../../test/support/store-replay.ts';
import type * as types from './types.ts';

const {afterEach, beforeEach, expect, test, vi} = vitest;

const readIntervalMilliseconds = 500;
const {createReader, createRegistration, createState, createStore, follow, getNow, listIds} = storeReplay;

beforeEach(() => {
	vi.useFakeTimers({now: 1_000_000});
});

afterEach(() => {
	vi.useRealTimers();
});

/** Starts two readers, of which the first is cut off from the store while the other reads on. */
async function startWithCutLink({canHearOther}: {readonly canHearOther: boolean}) {
	const store = createStore();
	const link = {isCut: false};
	const firstState = createState();
	const secondState = createState();
	const first = createReader(storeReplay.createCuttableHost(store.host, link), firstState, async () => {
		follow(firstState, secondState);
	});
	const second = createReader(store.host, secondState);
	store.register(createRegistration('a'));
	store.register(createRegistration('b'));

	async function read(milliseconds: number): Promise<void> {
		for (let elapsed = 0; elapsed < milliseconds; elapsed += readIntervalMilliseconds) {
			await vi.advanceTimersByTimeAsync(readIntervalMilliseconds);
			await Promise.all([first.readOnce(), second.readOnce()]);
			if (link.isCut && canHearOther) {
				follow(firstState, secondState);
			}
		}
	}

	await read(1000);
	link.isCut = true;
	await read(5000);
	return {
		store, link, firstState, read,
	};
}

/** Starts a reader and a follower that know the upstreams `a` and `b`, and lets an outage of the store end. */
async function startAfterOutage() {
	const store = createStore();
	const reading = createState();
	const following = createState();
	const reader = createReader(store.host, reading);
	store.register(createRegistration('a'));
	store.register(createRegistration('b'));

	async function read(milliseconds: number): Promise<void> {
		for (let elapsed = 0; elapsed < milliseconds; elapsed += readIntervalMilliseconds) {
			await vi.advanceTimersByTimeAsync(readIntervalMilliseconds);
			await reader.readOnce();
			follow(following, reading);
		}
	}

	await read(1000);
	store.state.isDown = true;
	await read(3200);
	store.state.isDown = false;
	while (!await reader.readOnce()) {
		await vi.advanceTimersByTimeAsync(readIntervalMilliseconds);
	}

	follow(following, reading);
	return {
		store, reading, following, reader, read,
	};
}

// Guards against requests to an upstream that has left: its removal was held back after an outage, and the followers' positions had passed it when it was applied.
test('a removal soon after an outage reaches the entries that follow the reader', async () => {
	const {store, reading, following, read} = await startAfterOutage();
	store.remove('a');
	await read(3000);
	expect(listIds(reading)).toEqual(['b']);
	expect(listIds(following)).toEqual(['b']);
});

// Guards against the same if the reader ends before the removal takes effect, and an entry that followed it reads the store from then on.
test('a removal that a reader held back when it ended takes effect at the entry that reads next', async () => {
	const {store, following, read} = await startAfterOutage();
	store.remove('a');
	await read(500);
	const nextReader = createReader(store.host, following);
	for (let count = 0; count < 6; count++) {
		await vi.advanceTimersByTimeAsync(readIntervalMilliseconds);
		await nextReader.readOnce();
	}

	expect(listIds(following)).toEqual(['b']);
});

// Guards against requests to an upstream that has left at an entry whose confirmations are late, as they are while it waits for stale data.
test('a removal that is due takes effect without a newer confirmation unless there may be an outage', async () => {
	const {store, reading, following, read} = await startAfterOutage();
	store.remove('a');
	await read(1500);
	await vi.advanceTimersByTimeAsync(999);
	expect(listIds(following)).toEqual(['a', 'b']);
	await vi.advanceTimersByTimeAsync(1);
	expect(listIds(following)).toEqual(['b']);
	expect(listIds(reading)).toEqual(['b']);
});

// Guards against giving up sound upstreams: after a second outage they need the same time to register again as after the first.
test('an upstream that registers again within two seconds of a second outage stays', async () => {
	const {store, reading, following, read} = await startAfterOutage();
	store.remove('a');
	await read(500);
	store.state.isDown = true;
	await read(3000);
	store.state.isDown = false;
	await read(2000);
	expect(listIds(following)).toEqual(['a', 'b']);
	store.register(createRegistration('a', {sequence: 2}));
	await read(4000);
	expect(listIds(reading)).toEqual(['a', 'b']);
	expect(listIds(following)).toEqual(['a', 'b']);
});

test('an upstream whose removal is held back and that registers again stays at the entries that follow the reader', async () => {
	const {store, following, read} = await startAfterOutage();
	store.remove('a');
	await read(500);
	store.register(createRegistration('a', {sequence: 2}));
	await read(4000);
	expect(listIds(following)).toEqual(['a', 'b']);
});

// Guards against requests to an upstream that has left after the reader's own link was cut: the store has served the upstreams meanwhile, so none of them lapsed.
test.each([true, false])('a removal after a cut of the reader takes effect at once if others have read on, whether it heard them meanwhile: %s', async canHearOther => {
	const {store, link, firstState, read} = await startWithCutLink({canHearOther});
	link.isCut = false;
	store.remove('a');
	await read(2000);
	expect(listIds(firstState)).toEqual(['b']);
	expect(firstState.registry.getNextRemovalAt()).toBeUndefined();
});

// Guards against giving up sound upstreams: the entry that reads next has not read during the outage itself.
test('a removal soon after an outage is held back by an entry that only followed through it', async () => {
	const {store, following, read} = await startAfterOutage();
	await read(500);
	store.remove('a');
	const nextReader = createReader(store.host, following);
	await nextReader.readOnce();
	expect(listIds(following)).toEqual(['a', 'b']);
	store.register(createRegistration('a', {sequence: 2}));
	for (let count = 0; count < 6; count++) {
		await vi.advanceTimersByTimeAsync(readIntervalMilliseconds);
		await nextReader.readOnce();
	}

	expect(listIds(following)).toEqual(['a', 'b']);
});

test('a removal while the reader is cut off twice takes effect at once if others have read on', async () => {
	const {store, link, firstState, read} = await startWithCutLink({canHearOther: true});
	link.isCut = false;
	await read(500);
	link.isCut = true;
	store.remove('a');
	await read(3000);
	link.isCut = false;
	await read(1000);
	expect(listIds(firstState)).toEqual(['b']);
});

// Guards against a removed upstream coming back: the answer to an earlier read arrives after that to a later one.
test('two reads whose answers cross leave a removed upstream removed', async () => {
	const store = createStore();
	const reading = createState();
	const reader = createReader(store.host, reading);
	store.register(createRegistration('b'));
	await reader.readOnce();
	store.register(createRegistration('a'));
	store.delays.push(300, 10);
	const earlier = reader.readOnce();
	store.remove('a');
	const later = reader.readOnce();
	await vi.advanceTimersByTimeAsync(400);
	await Promise.all([earlier, later]);
	store.delays.length = 0;
	await reader.readOnce();
	expect(listIds(reading)).toEqual(['b']);
});

// Guards against an entry being taken for current by others: the store's page ended before the end of the log.
test('a page that ends before the end of the log confirms nothing', async () => {
	const store = createStore();
	const reading = createState();
	const reader = createReader(store.host, reading);
	store.register(createRegistration('a'));
	await reader.readOnce();
	store.state.isCutShort = true;
	store.remove('a');
	await vi.advanceTimersByTimeAsync(1000);
	await reader.readOnce();
	expect(reading.getAge(getNow())).toBeGreaterThanOrEqual(1000);
});

// Guards against a store that all entries overload at once: those that followed another entry read all of the configuration again when its news grew old.
test('an entry that followed another one reads on in the operators\' log where the other one was', async () => {
	const store = createStore();
	const reads: string[] = [];
	const operators: types.StoreHost['configuration'] = {
		async readNewest() {
			reads.push('newest');
			return neverthrow.ok({
				era: {kind: 'stated', value: 1}, position: 9, records: [], endPosition: 9,
			});
		},
		async read(position) {
			reads.push(`from ${position}`);
			return neverthrow.ok({
				era: {kind: 'stated', value: 1}, position: 9, records: [], endPosition: 9,
			});
		},
	};
	const platformState = createState();
	const reader = createReader({...store.host, configuration: operators}, platformState);
	platformState.recordEra(1, 'source');
	platformState.evacuations.applySet({
		era: 1, version: 7, failureDomains: [], remembersEarlier: false,
	});
	await reader.readOnce();
	await reader.readOnce();
	expect(reads).toEqual(['from 7', 'from 9']);
	const starting = createReader({...store.host, configuration: operators}, createState());
	await starting.readOnce();
	expect(reads.at(-1)).toBe('newest');
});

// Guards against followers that pass an entry over for three seconds and read the store by themselves, because it began to read after an outage and its first read of the configuration waited for records.
test('an entry that begins to read knows at once that what it has is current', async () => {
	const store = createStore();
	const state = createState();
	const reader = createReader({
		...store.host,
		configuration: {
			...store.host.configuration,
			async read(position, options) {
				await new Promise(resolve => {
					setTimeout(resolve, options.waitMilliseconds);
				});
				return store.host.configuration.read(position, options);
			},
		},
	}, state);
	const isRead = reader.readOnce();
	await vi.advanceTimersByTimeAsync(1000);
	expect(await isRead).toBe(true);
	let isStopped = false;
	const ended = reader.readWhile(() => !isStopped);
	await vi.advanceTimersByTimeAsync(1);
	expect(state.getAge(getNow())).toBeLessThanOrEqual(1);
	const callsBefore = store.calls.count;
	await vi.advanceTimersByTimeAsync(4000);
	expect(store.calls.count - callsBefore).toBeLessThanOrEqual(16);
	isStopped = true;
	await vi.advanceTimersByTimeAsync(1000);
	await ended;
});
