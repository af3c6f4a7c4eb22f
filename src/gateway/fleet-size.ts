/**
Counts the entries among which the budgets of the fleet are divided.

An entry that has lost sight of others must not take their parts: they may still run, and use them.
*/
import * as entryCount from '../decisions/sharing/entry-count.ts';
import * as lonelyEntry from '../decisions/sharing/lonely-entry.ts';

/** Size of the fleet as one entry knows it. */
export type FleetSize = {
	/** Number of entries that may run, itself included. */
	count(): number;
	/** Part of these that this entry knows, from 0 to 1. */
	getVisibleShare(): number;
};

/** Dependencies of the size. */
export type FleetSizeHost = {
	countMembers(): number;
	/** Whether the settings name other entries. */
	hasOtherSeeds(): boolean;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

/** Time for which a count is used, in milliseconds. */
const countLifetimeMilliseconds = 200;

/** Counts from now on; call `count` at least every few seconds. */
export function createFleetSize(host: FleetSizeHost): FleetSize {
	const largestCount = entryCount.createLargestEntryCount();
	let latest = {members: 1, estimated: 1, expiresAt: Number.NEGATIVE_INFINITY};

	function observe() {
		const now = host.getNow();
		if (now >= latest.expiresAt) {
			const members = host.countMembers();
			latest = {
				members,
				estimated: lonelyEntry.estimateFleetSize({entries: members, largestEntries: largestCount.observe(members, now), hasOtherSeeds: host.hasOtherSeeds()}),
				expiresAt: now + countLifetimeMilliseconds,
			};
		}

		return latest;
	}

	return {
		count: () => observe().estimated,
		getVisibleShare() {
			const {members, estimated} = observe();
			return members / estimated;
		},
	};
}
