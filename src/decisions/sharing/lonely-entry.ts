/**
Estimates the fleet of an entry that knows no other one.

Its settings may name entries that are gone for good, so that nothing introduces it to those that run. Many such entries
may start at the same time, and each of them would take the budgets of the whole fleet.
*/

/** What an entry knows of the fleet. */
export type FleetKnowledge = {
	/** Number of entries that it knows, itself included. */
	readonly entries: number;
	/** Largest number of entries that it knew lately. */
	readonly largestEntries: number;
	/** Whether its settings name other entries. */
	readonly hasOtherSeeds: boolean;
};

/** Number of entries that an entry assumes while it knows no other one. */
const assumedEntries = 16;

/** Estimates the number of running entries, among which the budgets of the fleet are divided. */
export function estimateFleetSize({entries, largestEntries, hasOtherSeeds}: FleetKnowledge): number {
	return entries === 1 && hasOtherSeeds ? Math.max(assumedEntries, largestEntries) : largestEntries;
}
