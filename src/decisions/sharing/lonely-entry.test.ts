/** Tests of the fleet that an entry assumes while it knows no other one. */
import * as vitest from 'vitest';
import * as lonelyEntry from './lonely-entry.ts';

const {expect, test} = vitest;

test('an entry that knows nobody though its settings name others assumes more entries than itself', () => {
	expect(lonelyEntry.estimateFleetSize({entries: 1, largestEntries: 1, hasOtherSeeds: true})).toBeGreaterThan(1);
});

test('what an entry knew lately counts if that is more', () => {
	expect(lonelyEntry.estimateFleetSize({entries: 1, largestEntries: 312, hasOtherSeeds: true})).toBe(312);
	expect(lonelyEntry.estimateFleetSize({entries: 3, largestEntries: 40, hasOtherSeeds: true})).toBe(40);
});

test('an entry that knows another one, or that has no seeds but itself, assumes nothing', () => {
	expect(lonelyEntry.estimateFleetSize({entries: 2, largestEntries: 2, hasOtherSeeds: true})).toBe(2);
	expect(lonelyEntry.estimateFleetSize({entries: 1, largestEntries: 1, hasOtherSeeds: false})).toBe(1);
});
