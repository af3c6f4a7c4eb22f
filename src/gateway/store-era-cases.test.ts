/** Checks rules about a store that returns from an older copy which later reads of the replays would repair, in virtual time. */
import * as vitest from 'vitest';
import type * as configuration from '../decisions/configuration/types.ts';
import * as storeReplay from '../../test/support/store-replay.ts';

const {
	afterEach, beforeEach, expect, test, vi,
} = vitest;
const {createReader, createRegistration, createState, createStore, listIds} = storeReplay;

beforeEach(() => {
	vi.useFakeTimers({now: 1_000_000});
});

afterEach(() => {
	vi.useRealTimers();
});

const createConfiguration = (version: number, headerBytes: number): configuration.Configuration => ({
	version, routes: [], services: [], workspaces: [], limits: {
		headerBytes, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1,
	},
});

/** Starts an entry that has read the upstreams `a` and `x`. */
async function startReader(catchUp?: (state: storeReplay.State) => void) {
	const store = createStore();
	const state = createState();
	const reader = createReader(store.host, state, async () => catchUp?.(state));
	store.register(createRegistration('a'));
	store.register(createRegistration('x', {address: '127.0.0.1:2', sequence: 5}));
	await reader.readOnce();
	expect(listIds(state)).toEqual(['a', 'x']);
	return {store, state, reader};
}

/** Lets the store return in the era 2 with the first records only. */
function loseAllBut(store: ReturnType<typeof createStore>, registry: number): void {
	store.loseRecords({registry, operators: 0});
	store.state.era = {kind: 'stated', value: 2};
}

// Guards against an operator who writes other content with the version of the lost configuration, and is not heard.
test('of the configurations of one version, the first of a later era holds', () => {
	const state = createState();
	const getHeaderBytes = () => state.getActiveConfiguration()?.configuration.limits.headerBytes;
	state.recordEra(1, 'store');
	state.applyConfiguration(createConfiguration(5, 10), 1, 'store');
	state.applyConfiguration(createConfiguration(5, 20), 1, 'store');
	expect(getHeaderBytes()).toBe(10);
	state.recordEra(2, 'store');
	state.applyConfiguration(createConfiguration(5, 30), 2, 'store');
	state.applyConfiguration(createConfiguration(4, 40), 2, 'store');
	expect(getHeaderBytes()).toBe(30);
});

// Guards against a reader that takes an upstream from a copy whose leaving only its peers have seen.
test('a reader asks its peers what left in the era before', async () => {
	const peer = createState();
	const {store, state, reader} = await startReader(own => {
		storeReplay.follow(own, peer);
	});
	const peerReader = createReader(store.host, peer);
	await peerReader.readOnce();
	store.remove('x');
	await peerReader.readOnce();
	expect(listIds(peer)).toEqual(['a']);
	loseAllBut(store, 2);
	await reader.readOnce();
	expect(listIds(state)).toEqual(['a']);
});

// Guards against lost records that are written again in their order, after the copy.
test('a record from before a removal that is written again brings nothing back, a later one does', async () => {
	const {store, state, reader} = await startReader();
	store.remove('x');
	await reader.readOnce();
	loseAllBut(store, 1);
	await reader.readOnce();
	store.register(createRegistration('x', {address: '127.0.0.1:2', sequence: 5}));
	await reader.readOnce();
	expect(listIds(state)).toEqual(['a']);
	store.register(createRegistration('x', {address: '127.0.0.1:2', sequence: 6}));
	await reader.readOnce();
	expect(listIds(state)).toEqual(['a', 'x']);
});

// Guards against new records that wait until the log is as long as it was.
test('a record at an offset below the last one read arrives with the next read', async () => {
	const {store, state, reader} = await startReader();
	for (let sequence = 6; sequence < 20; sequence++) {
		store.register(createRegistration('x', {address: '127.0.0.1:2', sequence}));
	}

	await reader.readOnce();
	loseAllBut(store, 2);
	store.register(createRegistration('n', {address: '127.0.0.1:3'}));
	await reader.readOnce();
	expect(listIds(state)).toEqual(['a', 'n', 'x']);
});

// Guards against an answer of a new era that is read as a continuation, since the era was heard of while it was on its way.
test('a record at an offset given out again arrives also if a peer tells the era during the read', async () => {
	const {store, state, reader} = await startReader();
	loseAllBut(store, 1);
	store.register(createRegistration('n', {address: '127.0.0.1:3'}));
	store.register(createRegistration('x', {address: '127.0.0.1:2', sequence: 6}));
	store.delays.push(100);
	const read = reader.readOnce();
	await vi.advanceTimersByTimeAsync(50);
	state.recordEra(2, 'peer');
	await vi.advanceTimersByTimeAsync(50);
	await read;
	expect(listIds(state)).toEqual(['a', 'n', 'x']);
});

// Guards against an entry that starts after a return and reads the copy before it has heard of the others: their news no longer name what the copy takes back.
test('an entry that has read the copy first takes over later what another one remembers', async () => {
	const {store, state: peer, reader} = await startReader();
	store.register(createRegistration('y', {address: '127.0.0.1:3'}));
	await reader.readOnce();
	const copy = store.getSizes();
	store.remove('x');
	store.register(createRegistration('y', {address: '127.0.0.1:3', sequence: 2, state: 'draining'}));
	store.publish({kind: 'evacuated', failureDomain: 'there'});
	await reader.readOnce();
	loseAllBut(store, copy.registry);
	await reader.readOnce();
	const started = createState();
	const startedReader = createReader(store.host, started);
	await startedReader.readOnce();
	expect(listIds(started)).toEqual(['a', 'x', 'y']);
	storeReplay.follow(started, peer);
	const getLearned = () => ({ids: listIds(started), state: started.registry.get('y')?.state, isEvacuated: started.evacuations.isEvacuated('there')});
	const remembered = {ids: ['a', 'y'], state: 'draining', isEvacuated: true};
	expect(getLearned()).toEqual(remembered);
	store.register(createRegistration('x', {address: '127.0.0.1:2', sequence: 5}));
	await startedReader.readOnce();
	expect(getLearned()).toEqual(remembered);
	store.register(createRegistration('x', {address: '127.0.0.1:2', sequence: 6}));
	await startedReader.readOnce();
	expect(listIds(started)).toEqual(['a', 'x', 'y']);
});

// Guards against an entry that starts between a leaving and a loss, and is the first to read the copy.
test('an entry that heard of the others before a loss keeps out what had left before its start', async () => {
	const {store, state: peer, reader} = await startReader();
	store.remove('x');
	await reader.readOnce();
	const started = createState();
	storeReplay.follow(started, peer);
	const startedReader = createReader(store.host, started);
	loseAllBut(store, 2);
	await startedReader.readOnce();
	expect(listIds(started)).toEqual(['a']);
	storeReplay.follow(peer, started);
	expect(listIds(peer)).toEqual(['a']);
	store.register(createRegistration('x', {address: '127.0.0.1:2', sequence: 6}));
	await startedReader.readOnce();
	expect(listIds(started)).toEqual(['a', 'x']);
});
