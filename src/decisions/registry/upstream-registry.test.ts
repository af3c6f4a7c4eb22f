import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as positions from './positions.ts';
import type * as types from './types.ts';
import {createUpstreamRegistry} from './upstream-registry.ts';

const {expect, test} = vitest;
const seed = 20_266;

function createRecord(id: string, changes: Partial<types.Registration> = {}): types.RegistryRecord {
	return {
		kind: 'registered',
		id,
		registration: {
			id, service: 'desk', address: `10.0.0.1:${id.length}`, failureDomain: 'a', slots: 4, state: 'ready', warmUpMilliseconds: 0, incarnation: 1, sequence: 1, ...changes,
		},
	};
}

/** Range of a read of one record; the first read starts at the position of an empty registry. */
const rangeTo = (to: number) => ({era: 0, from: to === 1 ? -1 : to - 1, to});

test('draining is final within one incarnation, and a later incarnation may be ready again', () => {
	const registry = createUpstreamRegistry();
	registry.applyRecords(rangeTo(1), [createRecord('a')]);
	registry.applyRecords(rangeTo(2), [createRecord('a', {state: 'draining', sequence: 2})]);
	registry.applyRecords(rangeTo(3), [createRecord('a', {sequence: 3})]);
	expect(registry.get('a')?.state).toBe('draining');
	expect(registry.applyRecords(rangeTo(4), [createRecord('a', {incarnation: 2})]).map(({kind}) => kind)).toEqual(['restarted']);
	expect(registry.get('a')?.state).toBe('ready');
});

test('heartbeats of an earlier incarnation or with a lower sequence are ignored', () => {
	const registry = createUpstreamRegistry();
	registry.applyRecords(rangeTo(1), [createRecord('a', {incarnation: 5, sequence: 9})]);
	expect(registry.applyRecords(rangeTo(2), [createRecord('a', {incarnation: 4, sequence: 20, state: 'draining'})])).toEqual([]);
	expect(registry.applyRecords(rangeTo(3), [createRecord('a', {incarnation: 5, sequence: 8, state: 'draining'})])).toEqual([]);
	expect(registry.get('a')?.state).toBe('ready');
});

test('an unusable record keeps the previous registration of its upstream, even in a snapshot', () => {
	const registry = createUpstreamRegistry();
	registry.applyRecords(rangeTo(1), [createRecord('a'), createRecord('b')]);
	registry.applySnapshot({era: 0, from: 5, to: 5}, [{kind: 'unusable', id: 'a', reason: 'test'}]);
	expect(registry.list().map(({id}) => id)).toEqual(['a']);
});

test('a registration after a removal is used by followers, even if it is of an earlier incarnation', () => {
	const reader = createUpstreamRegistry();
	const follower = createUpstreamRegistry();
	reader.applyRecords(rangeTo(1), [createRecord('a', {incarnation: 5})]);
	follower.applyUpdate(reader.getUpdate(positions.initialPosition, 0), 0);
	reader.applyRecords(rangeTo(2), [{kind: 'removed', id: 'a'}, createRecord('a', {incarnation: 4})]);
	follower.applyUpdate(reader.getUpdate(follower.getPosition(), 0), 0);
	expect(follower.get('a')?.incarnation).toBe(4);
});

// Guards against a removed upstream coming back, if a read is answered after a later one.
test('records that do not start at the current position are ignored', () => {
	const registry = createUpstreamRegistry();
	registry.applyRecords({era: 0, from: -1, to: 2}, [createRecord('a'), {kind: 'removed', id: 'a'}]);
	expect(registry.applyRecords({era: 0, from: -1, to: 1}, [createRecord('a')])).toEqual([]);
	expect(registry.list()).toEqual([]);
	expect(registry.getPosition()).toEqual({era: 0, offset: 2});
});

// Guards against a follower of another reader missing a record that this one found while it read the snapshot in parts.
test('a record that was written while a snapshot was read reaches a follower at the start of the snapshot', () => {
	const reader = createUpstreamRegistry();
	const follower = createUpstreamRegistry();
	follower.applySnapshot({era: 0, from: 5, to: 5}, [createRecord('a')]);
	reader.applySnapshot({era: 0, from: 5, to: 6}, [createRecord('a', {state: 'draining', sequence: 2})]);
	reader.applyRecords({era: 0, from: 5, to: 6}, [createRecord('a', {state: 'draining', sequence: 2})]);
	follower.applyUpdate(reader.getUpdate(follower.getPosition(), 0), 0);
	expect(follower.get('a')?.state).toBe('draining');
});

test('a removal that is held back takes effect once its time is confirmed, unless the upstream registers again', () => {
	const registry = createUpstreamRegistry();
	registry.applySnapshot({era: 0, from: 2, to: 2}, [createRecord('a'), createRecord('b'), createRecord('c', {state: 'draining'})]);
	const lapses = registry.applySnapshot({era: 0, from: 5, to: 5}, [], 2000);
	expect(lapses.map(({kind, id}) => `${kind} ${id}`)).toEqual(['lapsed a', 'lapsed b', 'removed c']);
	expect(registry.applyRecords(rangeTo(6), [createRecord('b')]).map(({kind}) => kind)).toEqual(['renewed']);
	expect(registry.applyDueRemovals(1999)).toEqual([]);
	registry.extendHolds(3000);
	expect(registry.applyDueRemovals(2999)).toEqual([]);
	expect(registry.applyDueRemovals(3000).map(({kind, id}) => `${kind} ${id}`)).toEqual(['removed a']);
	expect(registry.list().map(({id}) => id)).toEqual(['b']);
});

const recordArbitrary: fastCheck.Arbitrary<types.RegistryRecord> = fastCheck.record({
	id: fastCheck.constantFrom('a', 'b', 'c', 'd'),
	kind: fastCheck.constantFrom('registered' as const, 'removed' as const, 'unusable' as const),
	state: fastCheck.constantFrom('ready' as const, 'draining' as const),
	incarnation: fastCheck.integer({min: 1, max: 3}),
	sequence: fastCheck.integer({min: 1, max: 4}),
}).map(({id, kind, state, incarnation, sequence}) => kind === 'registered' ? createRecord(id, {state, incarnation, sequence}) : {kind, id, reason: 'test'});

test('a follower that applies updates at arbitrary positions has the same upstreams and states as the reader', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.tuple(recordArbitrary, fastCheck.boolean()), {maxLength: 60}), steps => {
		const reader = createUpstreamRegistry();
		const follower = createUpstreamRegistry();
		let position = 0;
		for (const [record, isFollowed] of steps) {
			position++;
			reader.applyRecords(rangeTo(position), [record]);
			if (isFollowed) {
				follower.applyUpdate(reader.getUpdate(follower.getPosition(), 0), 0);
			}
		}

		follower.applyUpdate(reader.getUpdate(follower.getPosition(), 0), 0);
		const describe = (registry: typeof reader) => registry.list().map(({id, state, incarnation}) => `${id}/${state}/${incarnation}`).toSorted((left, right) => left.localeCompare(right));
		expect(describe(follower)).toEqual(describe(reader));
	}), {seed});
});

const ids = ['a', 'b', 'c', 'd'];
const stepArbitrary = fastCheck.oneof(
	fastCheck.record({kind: fastCheck.constant('register' as const), id: fastCheck.constantFrom(...ids), isRestart: fastCheck.boolean()}),
	fastCheck.record({kind: fastCheck.constant('drain' as const), id: fastCheck.constantFrom(...ids)}),
	fastCheck.record({kind: fastCheck.constant('remove' as const), id: fastCheck.constantFrom(...ids)}),
	fastCheck.record({
		kind: fastCheck.constant('read' as const), entry: fastCheck.nat({max: 2}), isHolding: fastCheck.boolean(), isSnapshot: fastCheck.boolean(),
	}),
	fastCheck.record({kind: fastCheck.constant('follow' as const), entry: fastCheck.nat({max: 2}), source: fastCheck.nat({max: 2})}),
);

/** Creates a log of the store with three entries that read it or follow each other; each step takes a second. */
function createRegistryModel() {
	const holdMilliseconds = 3000;
	const log: types.RegistryRecord[] = [];
	const newest = new Map<string, types.Registration>();
	const entries = ids.slice(1).map(() => ({registry: createUpstreamRegistry(), confirmedAt: 0}));
	let now = 0;

	function append(record: types.RegistryRecord): void {
		log.push(record);
		if (record.kind === 'registered') {
			newest.set(record.id, record.registration);
		} else {
			newest.delete(record.id);
		}
	}

	function confirm(entry: typeof entries[number], upTo: number): void {
		entry.confirmedAt = Math.max(entry.confirmedAt, upTo);
		entry.registry.applyDueRemovals(entry.confirmedAt);
	}

	function read(entry: typeof entries[number], isHolding: boolean, isSnapshot: boolean): void {
		const {registry} = entry;
		const dueAt = isHolding ? now + holdMilliseconds : undefined;
		const {offset: from} = registry.getPosition();
		if (isSnapshot || from < 0) {
			registry.applySnapshot({era: 0, from: log.length, to: log.length}, [...newest.values()].map(registration => ({kind: 'registered' as const, id: registration.id, registration})), dueAt);
		} else {
			registry.applyRecords({era: 0, from, to: log.length}, log.slice(from), dueAt);
		}

		confirm(entry, now);
	}

	return {
		entries,
		read,
		advance(milliseconds: number) {
			now += milliseconds;
		},
		register(id: string, isRestart: boolean) {
			const current = newest.get(id);
			const registration = {incarnation: (current?.incarnation ?? 0) + Number(isRestart), sequence: (current?.sequence ?? 0) + 1, state: isRestart ? 'ready' as const : current?.state ?? 'ready'};
			append(createRecord(id, registration));
		},
		drain(id: string) {
			const current = newest.get(id);
			if (current) {
				append(createRecord(id, {...current, state: 'draining', sequence: current.sequence + 1}));
			}
		},
		remove(id: string) {
			append({kind: 'removed', id});
		},
		follow(entry: typeof entries[number], source: typeof entries[number]) {
			entry.registry.applyUpdate(source.registry.getUpdate(entry.registry.getPosition(), now), now);
			if (entry.registry.getPosition().offset >= source.registry.getPosition().offset) {
				confirm(entry, source.confirmedAt);
			}
		},
		describeLog: () => [...newest.values()].map(({id, state, incarnation}) => `${id}/${state}/${incarnation}`).toSorted((left, right) => left.localeCompare(right)),
		describeEntry: ({registry}: typeof entries[number]) => registry.list().map(({id, state, incarnation}) => `${id}/${state}/${incarnation}`).toSorted((left, right) => left.localeCompare(right)),
	};
}

// Guards against records that an entry's position has passed without their being applied, whoever reads, follows or takes over, and whatever is held back.
test('entries that read the store and follow each other in any order end with the upstreams of the log', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(stepArbitrary, {maxLength: 60}), fastCheck.nat({max: 2}), (steps, lastReader) => {
		const model = createRegistryModel();
		for (const step of steps) {
			model.advance(1000);
			switch (step.kind) {
				case 'register': {
					model.register(step.id, step.isRestart);
					break;
				}

				case 'drain': {
					model.drain(step.id);
					break;
				}

				case 'remove': {
					model.remove(step.id);
					break;
				}

				case 'read': {
					model.read(model.entries[step.entry]!, step.isHolding, step.isSnapshot);
					break;
				}

				case 'follow': {
					model.follow(model.entries[step.entry]!, model.entries[step.source]!);
					break;
				}
			}
		}

		model.advance(10_000);
		const reader = model.entries[lastReader]!;
		model.read(reader, false, false);
		for (const entry of model.entries) {
			model.follow(entry, reader);
			expect(model.describeEntry(entry)).toEqual(model.describeLog());
		}
	}), {seed, numRuns: 2000});
});
