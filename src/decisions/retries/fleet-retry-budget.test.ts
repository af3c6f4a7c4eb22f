import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {createFleetRetryBudget} from './fleet-retry-budget.ts';

const {expect, test} = vitest;
const seed = 20_266;
const limits = {ratio: 0.2, windowMilliseconds: 10_000, slack: 58};

test('all entries together stay within the retry limit in every window, even if they restart', () => {
	const step = fastCheck.record({
		entry: fastCheck.integer({min: 0, max: 3}),
		pause: fastCheck.integer({min: 0, max: 400}),
		what: fastCheck.constantFrom('request', 'repeat', 'repeat', 'repeat', 'restart'),
	});
	fastCheck.assert(fastCheck.property(fastCheck.array(step, {maxLength: 500}), steps => {
		const budgets = Array.from({length: 4}, () => createFleetRetryBudget(limits, 0));
		const events: Array<{at: number; isRepeat: boolean}> = [];
		let now = 20_000;
		for (const {entry, pause, what} of steps) {
			now += pause;
			if (what === 'restart') {
				budgets[entry] = createFleetRetryBudget(limits, now);
			} else if (what === 'request') {
				budgets[entry]!.countRequest('desk', now);
				events.push({at: now, isRepeat: false});
			} else if (budgets[entry]!.tryCharge('desk', 4, now)) {
				events.push({at: now, isRepeat: true});
			}
		}

		for (const {at} of events) {
			const inWindow = events.filter(event => event.at > at - limits.windowMilliseconds && event.at <= at);
			const before = events.filter(event => event.at > at - (2 * limits.windowMilliseconds) && event.at <= at - limits.windowMilliseconds);
			const requests = Math.max(inWindow.filter(({isRepeat}) => !isRepeat).length, before.filter(({isRepeat}) => !isRepeat).length);
			expect(inWindow.filter(({isRepeat}) => isRepeat).length).toBeLessThanOrEqual((limits.ratio * requests) + limits.slack);
		}
	}), {seed, numRuns: 60});
});

test('a newly started process has no slack at first, and may retry after one window', () => {
	const budget = createFleetRetryBudget(limits, 1000);
	expect(budget.tryCharge('desk', 1, 1000)).toBe(false);
	expect(budget.tryCharge('desk', 1, 11_000)).toBe(true);
});
