import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {countLongSlots, divideSlots} from './slot-shares.ts';

const {expect, test} = vitest;
const seed = 20_262;

const sizes = fastCheck.record({
	upstreams: fastCheck.integer({min: 1, max: 30}),
	entries: fastCheck.integer({min: 1, max: 20}),
	slots: fastCheck.integer({min: 1, max: 8}),
	longShare: fastCheck.constantFrom(0, 0.25, 0.5, 0.75, 1),
});

function createUpstreams(count: number, slots: number): ReadonlyArray<{name: string; slots: number}> {
	return Array.from({length: count}, (_, index) => ({name: `upstream-${index}`, slots}));
}

function createEntries(count: number): readonly string[] {
	return Array.from({length: count}, (_, index) => `entry-${index}`);
}

test('the shares of all entries add up to the slots and differ by at most two between entries', () => {
	fastCheck.assert(fastCheck.property(sizes, ({upstreams, entries, slots, longShare}) => {
		const divided = createUpstreams(upstreams, slots);
		const names = createEntries(entries);
		const shares = names.map(name => divideSlots(divided, names, name, longShare));
		const longSlotsInAll = upstreams * countLongSlots(slots, longShare);
		let longSum = 0;
		for (const upstream of divided) {
			const atUpstream = shares.map(share => share.get(upstream.name));
			let sum = 0;
			for (const share of atUpstream) {
				sum += share?.slots ?? 0;
				longSum += share?.longSlots ?? 0;
			}

			if (entries <= upstreams * slots) {
				expect(sum).toBe(slots);
			}
		}

		// With fewer long slots than entries, each entry still has one.
		expect(longSum).toBe(longShare === 0 ? 0 : Math.max(longSlotsInAll, entries));

		const totals = shares.map(share => {
			let total = 0;
			for (const {slots: own} of share.values()) {
				total += own;
			}

			return total;
		});
		expect(Math.max(...totals) - Math.min(...totals)).toBeLessThanOrEqual(2);
	}), {seed});
});

test('when one entry leaves, the remaining entries keep more than half of their slots', () => {
	fastCheck.assert(fastCheck.property(fastCheck.integer({min: 4, max: 20}), fastCheck.nat(), (entries, leavingIndex) => {
		const divided = createUpstreams(22, 4);
		const before = createEntries(entries);
		const after = before.filter((_, index) => index !== leavingIndex % entries);
		let keptSlots = 0;
		let allSlots = 0;
		for (const name of after) {
			const previousShares = divideSlots(divided, before, name, 0.5);
			const nextShares = divideSlots(divided, after, name, 0.5);
			for (const [upstream, {slots}] of previousShares) {
				allSlots += slots;
				keptSlots += Math.min(slots, nextShares.get(upstream)?.slots ?? 0);
			}
		}

		expect(keptSlots / allSlots).toBeGreaterThan(0.5);
	}), {seed});
});

test('an entry that is missing from its own view of the fleet still has a share', () => {
	const shares = divideSlots(createUpstreams(22, 4), ['entry-1', 'entry-2'], 'entry-9', 0.5);
	expect(shares.size).toBeGreaterThan(0);
});
