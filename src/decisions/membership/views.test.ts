import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {createRandomSource} from '../random.ts';
import {createEntriesAnswer, getEntriesVersion} from './entries-answer.ts';
import {createOverloadDetector} from './overload.ts';
import {
	chooseSubset, chooseUpstreams, getFullMeshShare, getSubsetShare, type SubsetEntry,
} from './subsets.ts';
import {type EntryStatus, type MemberState} from './types.ts';

const {describe, expect, test} = vitest;
const seed = 20_261_204;

function createStatus(index: number, change: Partial<EntryStatus> = {}): EntryStatus {
	return {
		name: `entry-${index}`,
		incarnation: index.toString(16).padStart(16, '0'),
		generation: 1,
		region: index % 2 === 0 ? 'north' : 'south',
		failureDomain: `domain-${index % 4}`,
		address: `10.0.0.${index}:7000`,
		peerAddress: `10.0.0.${index}:7100`,
		state: 'live',
		weight: 1,
		isSelf: index === 0,
		isReplaced: false,
		...change,
	};
}

describe('entries answer', () => {
	const random = createRandomSource(seed);
	const unknownLocation = {region: undefined, failureDomain: undefined};

	test('lists the failure domain of the caller first, then its region', () => {
		const answer = createEntriesAnswer(Array.from({length: 12}, (_, index) => createStatus(index)), {...unknownLocation, failureDomain: 'domain-3'}, random);
		expect(answer.entries.map(entry => entry.failureDomain).slice(0, 3)).toEqual(['domain-3', 'domain-3', 'domain-3']);
		expect(answer.entries.map(entry => entry.region).slice(0, 6)).toEqual(Array.from({length: 6}, () => 'south'));
	});

	test('omits leaving, overloaded and replaced entries, but is never empty', () => {
		const states: MemberState[] = ['joining', 'live', 'suspected', 'leaving'];
		const status = fastCheck.record({
			state: fastCheck.constantFrom(...states), weight: fastCheck.nat(1), isReplaced: fastCheck.boolean(),
		});
		fastCheck.assert(fastCheck.property(fastCheck.array(status, {maxLength: 12}), changes => {
			const statuses = [createStatus(0), ...changes.map((change, index) => createStatus(index + 1, change))];
			const listedNames = new Set(createEntriesAnswer(statuses, unknownLocation, random).entries.map(entry => entry.name));
			expect(listedNames.size).toBeGreaterThan(0);
			for (const {name, state, isReplaced, weight} of statuses) {
				expect(listedNames.has(name) && (state === 'leaving' || isReplaced || weight === 0)).toBe(false);
			}
		}), {seed});
		expect(createEntriesAnswer([createStatus(0, {weight: 0})], unknownLocation, random).entries).toHaveLength(1);
	});

	test('lists all entries if most others are suspected, which indicates that this entry is partitioned', () => {
		const statuses = [createStatus(0), ...[1, 2, 3].map(index => createStatus(index, {state: 'suspected'}))];
		expect(createEntriesAnswer(statuses, unknownLocation, random).entries).toHaveLength(4);
	});

	test('has a version that depends only on the set of usable entries', () => {
		const statuses = [createStatus(0), createStatus(1)];
		const version = getEntriesVersion(statuses);
		expect(getEntriesVersion(statuses.toReversed())).toBe(version);
		expect(getEntriesVersion([createStatus(0), createStatus(1, {state: 'leaving'})])).not.toBe(version);
		expect(getEntriesVersion([createStatus(0), createStatus(1, {weight: 0})])).not.toBe(version);
	});
});

test('an entry becomes overloaded or recovers only after several consecutive samples', () => {
	const detector = createOverloadDetector();
	const {recordSample: record} = detector;
	expect([150, 150, 20, 150, 150, 150].map(delay => record(delay))).toEqual([1, 1, 1, 1, 1, 0]);
	expect([50, 20, 20, 50, 20, 20, 20].map(delay => record(delay))).toEqual([0, 0, 0, 0, 0, 0, 1]);
});

function countInDomain(entries: readonly SubsetEntry[], failureDomain: string): number {
	return entries.filter(entry => entry.failureDomain === failureDomain).length;
}

describe('subsets', () => {
	const limits = {connectionsPerUpstream: 200, slots: 4};
	const createEntries = (count: number): SubsetEntry[] => Array.from({length: count}, (_, index) => ({name: `entry-${index}`, failureDomain: `domain-${index % 6}`}));

	test('are spread evenly over failure domains and change little when one entry is removed', () => {
		fastCheck.assert(fastCheck.property(fastCheck.integer({min: 6, max: 140}), fastCheck.nat(139), fastCheck.integer({min: 6, max: 40}), (count, index, size) => {
			const entries = createEntries(count);
			const removed = entries[index % count]!;
			const before = chooseSubset('upstream-1', entries, size);
			expect(before).toEqual(chooseSubset('upstream-1', entries.toReversed(), size));
			expect(before.size).toBe(Math.min(size, count));
			const after = chooseSubset('upstream-1', entries.filter(entry => entry !== removed), size);
			expect([...after].filter(name => !before.has(name)).length).toBeLessThanOrEqual(2);
			const chosen = entries.filter(entry => before.has(entry.name));
			const sizes = Array.from({length: 6}, (_, domain) => countInDomain(chosen, `domain-${domain}`));
			expect(Math.max(...sizes) - Math.min(...sizes)).toBeLessThanOrEqual(1);
		}), {seed});
	});

	test('keep connections within the limit even if each view lacks up to a twelfth of the entries', () => {
		const views = fastCheck.tuple(fastCheck.integer({min: 12, max: 140}), fastCheck.infiniteStream(fastCheck.nat(1000)));
		fastCheck.assert(fastCheck.property(views, ([count, draws]) => {
			const entries = createEntries(count);
			let connections = 0;
			for (const self of entries) {
				const missingCount = Math.floor(count / 12);
				const missingIndexes = new Set(Array.from({length: missingCount}, () => draws.next().value! % count));
				const view = entries.filter((entry, index) => entry === self || !missingIndexes.has(index));
				const share = getSubsetShare(view.length, limits);
				connections += chooseSubset('upstream-1', view, share.entries).has(self.name) ? share.connections : 0;
			}

			expect(connections).toBeLessThanOrEqual(limits.connectionsPerUpstream);
		}), {seed, numRuns: 30});
	});

	test('full mesh connections stay within the limit, even if up to 16 entries each have only themselves in their view', () => {
		for (let count = 1; count <= 160; count++) {
			expect(count * getFullMeshShare(count, limits)).toBeLessThanOrEqual(limits.connectionsPerUpstream);
		}

		expect(16 * getFullMeshShare(1, limits)).toBeLessThanOrEqual(limits.connectionsPerUpstream);
	});

	test('assign at least two upstreams to each entry of a large fleet, and all upstreams to each entry of a small one', () => {
		const upstreams = Array.from({length: 39}, (_, index) => `upstream-${index}`);
		const entries = createEntries(120);
		for (const {name} of entries) {
			expect(chooseUpstreams(name, upstreams, entries, limits).length).toBeGreaterThanOrEqual(2);
		}

		expect(chooseUpstreams('entry-0', upstreams, createEntries(15), limits)).toEqual(upstreams);
	});
});
