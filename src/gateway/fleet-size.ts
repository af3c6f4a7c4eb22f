/**
Counts the entries among which the budgets of the fleet are divided.

An entry that has lost sight of others must not take their parts: they may still run, and use them.
*/
import * as entryCount from '../decisions/sharing/entry-count.ts';

/** Size of the fleet as one entry knows it. */
export type FleetSize = {
	/** Largest number of entries that this entry knew lately, itself included. */
	count(): number;
	/** Part of these that it knows now, from 0 to 1. */
	getVisibleShare(): number;
};

/** Dependencies of the size. */
export type FleetSizeHost = {
	countMembers(): number;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

/** Time for which a count is used, in milliseconds. */
const countLifetimeMilliseconds = 200;

/** Counts from now on; call `count` at least every few seconds. */
export function createFleetSize(host: FleetSizeHost): FleetSize {
	const largestCount = entryCount.createLargestEntryCount();
	let latest = {members: 1, largest: 1, expiresAt: Number.NEGATIVE_INFINITY};

	function observe() {
		const now = host.getNow();
		if (now >= latest.expiresAt) {
			const members = host.countMembers();
			latest = {members, largest: largestCount.observe(members, now), expiresAt: now + countLifetimeMilliseconds};
		}

		return latest;
	}

	return {
		count: () => observe().largest,
		getVisibleShare() {
			const {members, largest} = observe();
			return members / largest;
		},
	};
}
