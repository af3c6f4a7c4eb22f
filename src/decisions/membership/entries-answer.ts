/** Selects the entries that callers are directed to. */
import {hashText} from '../hash.ts';
import {type RandomSource} from '../random.ts';
import {shuffle} from './partners.ts';
import {type EntryStatus} from './types.ts';

/** An entry that a caller may use. */
export type UsableEntry = {
	readonly name: string;
	readonly incarnation: string;
	readonly address: string;
	readonly region: string;
	readonly failureDomain: string;
	/** Relative share of the caller's calls. */
	readonly weight: number;
};

/** Answer to a caller's request for the list of entries. */
export type EntriesAnswer = {
	/** Entries of the caller's failure domain first, then those of its region, then all others; shuffled within each group. */
	readonly entries: readonly UsableEntry[];
	/** Time for which the caller may cache the answer. */
	readonly keepMilliseconds: number;
	/** Identifies the set of usable entries; callers send it with their calls. */
	readonly version: string;
};

/** Location of a caller. The failure domain defaults to that of the answering entry, the region to that of the failure domain. */
export type CallerLocation = {
	readonly region: string | undefined;
	readonly failureDomain: string | undefined;
};

/** Time for which callers cache an answer. */
export const entriesCacheMilliseconds = 5000;

/** Maximum number of entries in one answer. */
export const maximumEntriesPerAnswer = 32;

/** Creates the answer to a caller at the given location. */
export function createEntriesAnswer(statuses: readonly EntryStatus[], caller: CallerLocation, random: RandomSource): EntriesAnswer {
	const self = statuses.find(status => status.isSelf);
	const failureDomain = caller.failureDomain ?? self?.failureDomain;
	const region = caller.region
		?? statuses.find(status => status.failureDomain === failureDomain)?.region
		?? self?.region;
	const getDistance = (entry: EntryStatus): number => {
		if (entry.failureDomain === failureDomain) {
			return 0;
		}

		return entry.region === region ? 1 : 2;
	};

	const entries = shuffle(listUsableEntries(statuses), random)
		.toSorted((left, right) => getDistance(left) - getDistance(right))
		.slice(0, maximumEntriesPerAnswer)
		.map(entry => toUsableEntry(entry));
	return {entries, keepMilliseconds: entriesCacheMilliseconds, version: getEntriesVersion(statuses)};
}

/**
Lists the entries that callers may use.

If more than half of the current entries aren't live, this entry itself is probably partitioned from the fleet, so it still lists
the others. If all entries are overloaded, all are listed.
*/
export function listUsableEntries(statuses: readonly EntryStatus[]): readonly EntryStatus[] {
	const currentEntries = statuses.filter(status => !status.isReplaced && status.state !== 'leaving');
	const liveEntries = currentEntries.filter(status => status.state === 'live');
	const reachableEntries = liveEntries.length * 2 >= currentEntries.length ? liveEntries : currentEntries;
	const acceptingEntries = reachableEntries.filter(status => status.weight > 0);
	return acceptingEntries.length > 0 ? acceptingEntries : reachableEntries;
}

/** Gets the identifier of the set of usable entries, which doesn't depend on their order. */
export function getEntriesVersion(statuses: readonly EntryStatus[]): string {
	const incarnations = listUsableEntries(statuses).map(status => status.incarnation).toSorted();
	return hashText(incarnations.join(' ')).toString(36);
}

function toUsableEntry(entry: EntryStatus): UsableEntry {
	const {name, incarnation, address, region, failureDomain, weight} = entry;
	return {
		name, incarnation, address, region, failureDomain, weight: weight > 0 ? weight : 1,
	};
}
