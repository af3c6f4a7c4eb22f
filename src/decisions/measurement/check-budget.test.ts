import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {type CheckPurpose, createCheckBudget} from './check-budget.ts';

const {expect, test} = vitest;
const seed = 20_270;
const checksPerSecond = 42;
const seconds = 20;

/** Counts the checks that all entries make when each of them attempts the given number every 50 milliseconds. */
function countChecks({entries, upstreams: upstreamCount, checks, purpose}: {readonly entries: number; readonly upstreams: number; readonly checks: number; readonly purpose: CheckPurpose}): {readonly all: number} {
	const budgets = Array.from({length: entries}, () => createCheckBudget(checksPerSecond));
	const counts = Array.from({length: upstreamCount}, () => 0);
	for (let now = 0; now < seconds * 1000; now += 50) {
		for (const [entry, budget] of budgets.entries()) {
			for (let check = 0; check < checks; check++) {
				const index = (entry + (7 * check) + now) % upstreamCount;
				counts[index]! += budget.tryCharge({id: String(index), service: 'desk', serviceUpstreamCount: upstreamCount}, purpose, 1 / entries, now) ? 1 : 0;
			}
		}
	}

	return {all: counts.reduce((sum, count) => sum + count, 0)};
}

test('the checks of all entries together stay within the limit of a service', () => {
	const cases = fastCheck.record({
		entries: fastCheck.integer({min: 1, max: 30}), upstreams: fastCheck.integer({min: 1, max: 40}), checks: fastCheck.integer({min: 1, max: 20}), purpose: fastCheck.constantFrom('choice', 'held'),
	});
	fastCheck.assert(fastCheck.property(cases, sizes => {
		expect(countChecks(sizes).all).toBeLessThanOrEqual(checksPerSecond * sizes.upstreams * seconds);
	}), {seed, numRuns: 30});
});

test('one of 100 entries can check 4 of 200 upstreams for each of 8 requests per second', () => {
	const budget = createCheckBudget(checksPerSecond);
	let refused = 0;
	for (let request = 0; request < 800; request++) {
		for (let check = 0; check < 4; check++) {
			// Only the upstreams of the entry's own failure domain, a third of all.
			const id = String(((request * 29) + (check * 17)) % 67);
			refused += budget.tryCharge({id, service: 'desk', serviceUpstreamCount: 200}, 'choice', 1 / 100, request * 125) ? 0 : 1;
		}
	}

	expect(refused).toBe(0);
});

test('checks for held requests leave enough budget for arriving requests', () => {
	const budget = createCheckBudget(checksPerSecond);
	let refused = 0;
	for (let now = 0; now < 20_000; now += 10) {
		for (let check = 0; check < 3; check++) {
			budget.tryCharge({id: String((now + check) % 67), service: 'desk', serviceUpstreamCount: 200}, 'held', 1 / 100, now);
		}

		// About eight requests per second arrive, and each checks four upstreams.
		for (let check = 0; check < (now % 130 === 0 ? 4 : 0); check++) {
			refused += budget.tryCharge({id: String(((now / 10) + (16 * check)) % 67), service: 'desk', serviceUpstreamCount: 200}, 'choice', 1 / 100, now) ? 0 : 1;
		}
	}

	expect(refused).toBe(0);
});
