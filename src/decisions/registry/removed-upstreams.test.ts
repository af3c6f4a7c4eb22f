import * as vitest from 'vitest';
import * as removedUpstreams from './removed-upstreams.ts';
import type * as types from './types.ts';

const {expect, test} = vitest;

const createRegistration = (changes: Partial<types.Registration> = {}): types.Registration => ({
	id: 'a', service: 'desk', address: '10.0.0.1:80', failureDomain: 'riverside', slots: 4, state: 'ready', warmUpMilliseconds: 0, incarnation: 2, sequence: 5, ...changes,
});

function createRemoved(maximumCount = 10): removedUpstreams.RemovedUpstreams {
	const removed = removedUpstreams.createRemovedUpstreams(maximumCount);
	removed.add({registration: createRegistration(), era: 1});
	return removed;
}

// Guards against an upstream that has left and is listed again by an older copy of the store.
test('a listed registration of a later era may precede the removal unless its upstream has started anew', () => {
	const removed = createRemoved();
	expect(removed.mayPrecedeRemoval(createRegistration(), 2)).toBe(true);
	expect(removed.mayPrecedeRemoval(createRegistration({incarnation: 3}), 2)).toBe(false);
	expect(removed.mayPrecedeRemoval(createRegistration(), 1)).toBe(false);
});

// Guards against requests to a former owner of an address.
test('a listed registration at an address that a later upstream had may precede the removal', () => {
	const removed = createRemoved();
	expect(removed.mayPrecedeRemoval(createRegistration({id: 'b', incarnation: 1}), 2)).toBe(true);
	expect(removed.mayPrecedeRemoval(createRegistration({id: 'b', incarnation: 3}), 2)).toBe(false);
	expect(removed.mayPrecedeRemoval(createRegistration({id: 'b', incarnation: 1, address: '10.0.0.2:80'}), 2)).toBe(false);
});

// Guards against an upstream that lives and is kept out because it was removed once.
test('a registration that was written in a later era brings its upstream back if it is later than what was known', () => {
	const removed = createRemoved();
	expect(removed.isRepeated(createRegistration(), 2)).toBe(true);
	expect(removed.isRepeated(createRegistration({sequence: 6}), 2)).toBe(false);
	expect(removed.isRepeated(createRegistration({incarnation: 3, sequence: 1}), 2)).toBe(false);
	expect(removed.isRepeated(createRegistration({incarnation: 1, sequence: 9}), 2)).toBe(true);
	expect(removed.isRepeated(createRegistration(), 1)).toBe(false);
});

test('the oldest removals are forgotten first', () => {
	const removed = createRemoved(2);
	removed.add({registration: createRegistration({id: 'b'}), era: 1});
	removed.add({registration: createRegistration({id: 'c'}), era: 1});
	expect(removed.count()).toBe(2);
	expect(removed.isRepeated(createRegistration(), 2)).toBe(false);
	expect(removed.isRepeated(createRegistration({id: 'c'}), 2)).toBe(true);
});
