import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as positions from './positions.ts';

const {expect, test} = vitest;
const position = fc.record({era: fc.integer({min: 0, max: 3}), offset: fc.integer({min: -1, max: 5})});

// Guards against an offset that is taken for later because it is higher, although it was given out before the store lost records.
test('any position of a later era is later, whatever its offset', () => {
	fc.assert(fc.property(position, position, (first, second) => {
		expect(positions.isLater(first, second)).toBe(first.era > second.era || (first.era === second.era && first.offset > second.offset));
		expect(positions.isLater(first, second) && positions.isLater(second, first)).toBe(false);
	}), {seed: 60});
});

test('an era that the store has not stated lies between those that it states', () => {
	expect(positions.getNextUnstatedEra(4)).toBeGreaterThan(4);
	expect(positions.getNextUnstatedEra(positions.getNextUnstatedEra(4))).toBeLessThan(5);
});
