/** Tests of the division of the fleet's budgets while entries lose sight of each other. */
import * as vitest from 'vitest';
import * as fleetRetryBudget from '../decisions/retries/fleet-retry-budget.ts';
import * as entrySelection from '../decisions/sharing/entry-selection.ts';
import type * as sharing from '../decisions/sharing/types.ts';
import * as fleetSize from './fleet-size.ts';

const {expect, test} = vitest;
const self: sharing.Member = {
	name: 'self', incarnation: 'a', startedAt: 0, failureDomain: 'd', region: 'r', callerAddress: '', peerAddress: '', isReady: true, canRead: true, isCutOff: false, linkMegabits: 10, cores: 1, requestsPerSecond: 1,
};

// Guards against entries that each take the retries of the whole fleet while they don't hear each other.
test('entries that have lost sight of each other send no more retries and load checks than the fleet may', () => {
	const entries = 40;
	const limits = {ratio: 0, windowMilliseconds: 10_000, slack: 200};
	const clock = {now: 20_000, members: entries};
	const fleet = Array.from({length: entries}, () => ({
		size: fleetSize.createFleetSize({countMembers: () => clock.members, hasOtherSeeds: () => false, getNow: () => clock.now}),
		budget: fleetRetryBudget.createFleetRetryBudget(limits, 0),
	}));
	expect(fleet.map(({size}) => size.count())).toEqual(fleet.map(() => entries));
	clock.members = 1;
	let retries = 0;
	for (; clock.now < 30_000; clock.now += 500) {
		for (const {size, budget} of fleet) {
			retries += budget.tryCharge('desk', size.count(), clock.now) ? 1 : 0;
		}
	}

	expect(retries).toBeLessThanOrEqual(limits.slack);
	expect(fleet[0]!.size.getVisibleShare()).toBe(1 / entries);
	// The same holds for load checks, of which an entry gets its part among those that it knows.
	const checkShares = fleet.map(({size}) => size.getVisibleShare() * entrySelection.getBudgetShare('self', [self]));
	expect(checkShares.reduce((sum, share) => sum + share, 0)).toBeCloseTo(1);
	clock.now += 20_000;
	expect(fleet[0]!.size.count()).toBe(1);
});

// Guards against entries that nobody introduces to one another, of which each takes the budgets of the whole fleet.
test('entries that only know seeds that are gone leave most of the budgets to others, and one without seeds uses all of them', () => {
	const createSize = (hasOtherSeeds: boolean) => fleetSize.createFleetSize({countMembers: () => 1, hasOtherSeeds: () => hasOtherSeeds, getNow: () => 0});
	const lonely = Array.from({length: 6}, () => createSize(true).getVisibleShare());
	expect(lonely.reduce((sum, share) => sum + share, 0)).toBeLessThanOrEqual(0.5);
	expect(createSize(true).count()).toBe(16);
	expect(createSize(false).getVisibleShare()).toBe(1);
});
