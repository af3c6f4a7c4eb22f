import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
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

test('draining is final within one incarnation, and a later incarnation may be ready again', () => {
	const registry = createUpstreamRegistry();
	registry.applyRecords(1, [createRecord('a')]);
	registry.applyRecords(2, [createRecord('a', {state: 'draining', sequence: 2})]);
	registry.applyRecords(3, [createRecord('a', {sequence: 3})]);
	expect(registry.get('a')?.state).toBe('draining');
	expect(registry.applyRecords(4, [createRecord('a', {incarnation: 2})]).map(({kind}) => kind)).toEqual(['restarted']);
	expect(registry.get('a')?.state).toBe('ready');
});

test('heartbeats of an earlier incarnation or with a lower sequence are ignored', () => {
	const registry = createUpstreamRegistry();
	registry.applyRecords(1, [createRecord('a', {incarnation: 5, sequence: 9})]);
	expect(registry.applyRecords(2, [createRecord('a', {incarnation: 4, sequence: 20, state: 'draining'})])).toEqual([]);
	expect(registry.applyRecords(3, [createRecord('a', {incarnation: 5, sequence: 8, state: 'draining'})])).toEqual([]);
	expect(registry.get('a')?.state).toBe('ready');
});

test('an unusable record keeps the previous registration of its upstream, even in a snapshot', () => {
	const registry = createUpstreamRegistry();
	registry.applyRecords(1, [createRecord('a'), createRecord('b')]);
	registry.applySnapshot(5, [{kind: 'unusable', id: 'a', reason: 'test'}]);
	expect(registry.list().map(({id}) => id)).toEqual(['a']);
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
			reader.applyRecords(position, [record]);
			if (isFollowed) {
				follower.applyUpdate(reader.getUpdate(follower.getPosition()));
			}
		}

		follower.applyUpdate(reader.getUpdate(follower.getPosition()));
		const describe = (registry: typeof reader) => registry.list().map(({id, state, incarnation}) => `${id}/${state}/${incarnation}`).toSorted((left, right) => left.localeCompare(right));
		expect(describe(follower)).toEqual(describe(reader));
	}), {seed});
});
