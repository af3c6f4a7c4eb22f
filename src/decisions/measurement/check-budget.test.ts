import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {type CheckPurpose, createCheckBudget} from './check-budget.ts';

const {expect, test} = vitest;
const seed = 20_270;
const checksPerSecond = 42;
const seconds = 20;

/** Counts the checks that entries make which each ask every few milliseconds. */
function countChecks({entries, upstreams: upstreamCount, asked: askedByEach, purpose}: {readonly entries: number; readonly upstreams: number; readonly asked: number; readonly purpose: CheckPurpose}): {readonly all: number} {
	const budgets = Array.from({length: entries}, () => createCheckBudget(checksPerSecond));
	const counts = Array.from({length: upstreamCount}, () => 0);
	for (let now = 0; now < seconds * 1000; now += 50) {
		for (const [entry, budget] of budgets.entries()) {
			for (let asked = 0; asked < askedByEach; asked++) {
				const index = (entry + (7 * asked) + now) % upstreamCount;
				counts[index]! += budget.tryTake({id: String(index), service: 'desk', serviceSize: upstreamCount}, purpose, entries, now) ? 1 : 0;
			}
		}
	}

	return {all: counts.reduce((sum, count) => sum + count, 0)};
}

test('all entries together keep to the bound over all upstreams of a service', () => {
	const cases = fastCheck.record({
		entries: fastCheck.integer({min: 1, max: 30}), upstreams: fastCheck.integer({min: 1, max: 40}), asked: fastCheck.integer({min: 1, max: 20}), purpose: fastCheck.constantFrom('choice', 'held'),
	});
	fastCheck.assert(fastCheck.property(cases, sizes => {
		expect(countChecks(sizes).all).toBeLessThanOrEqual(checksPerSecond * sizes.upstreams * seconds);
	}), {seed, numRuns: 30});
});

test('one entry of a hundred can ask four of two hundred upstreams for each of eight requests a second', () => {
	const budget = createCheckBudget(checksPerSecond);
	let refused = 0;
	for (let request = 0; request < 800; request++) {
		for (let asked = 0; asked < 4; asked++) {
			// The upstreams of its own failure domain, a third of all.
			const id = String(((request * 29) + (asked * 17)) % 67);
			refused += budget.tryTake({id, service: 'desk', serviceSize: 200}, 'choice', 100, request * 125) ? 0 : 1;
		}
	}

	expect(refused).toBe(0);
});

test('checks for held requests leave enough for requests that come', () => {
	const budget = createCheckBudget(checksPerSecond);
	let refused = 0;
	for (let now = 0; now < 20_000; now += 10) {
		for (let asked = 0; asked < 3; asked++) {
			budget.tryTake({id: String((now + asked) % 67), service: 'desk', serviceSize: 200}, 'held', 100, now);
		}

		// Eight requests a second ask four upstreams each.
		for (let asked = 0; asked < (now % 130 === 0 ? 4 : 0); asked++) {
			refused += budget.tryTake({id: String(((now / 10) + (16 * asked)) % 67), service: 'desk', serviceSize: 200}, 'choice', 100, now) ? 0 : 1;
		}
	}

	expect(refused).toBe(0);
});
