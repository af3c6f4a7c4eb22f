/** Decides which entries callers are told to use. */
import {hashText} from '../hash.ts';
import {type RandomSource} from '../random.ts';
import {shuffle} from './partners.ts';
import {type EntryStatus} from './types.ts';

/** Entry that a caller may use. */
export type UsableEntry = {
	readonly name: string;
	readonly incarnation: string;
	readonly address: string;
	readonly region: string;
	readonly failureDomain: string;
	/** Relative share of the calls. */
	readonly weight: number;
};

/** Answer to a caller that asks which entries to use. */
export type EntriesAnswer = {
	/** Own failure domain first, then own region, then the rest; in random order within each. */
	readonly entries: readonly UsableEntry[];
	readonly keepMilliseconds: number;
	/** Identifies the set of usable entries; a caller sends it along with its calls. */
	readonly version: string;
};

/** Where the caller is; that of the answering entry when it doesn't say. */
export type CallerPlace = {
	readonly region: string | undefined;
	readonly failureDomain: string | undefined;
};

/** Time for which a caller keeps an answer. */
export const entriesKeepMilliseconds = 5000;

/** Entries in one answer. */
export const entriesPerAnswer = 32;

/** Creates the answer. */
export function createEntriesAnswer(statuses: readonly EntryStatus[], caller: CallerPlace, random: RandomSource): EntriesAnswer {
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

	const entries = shuffle(getUsable(statuses), random)
		.toSorted((left, right) => getDistance(left) - getDistance(right))
		.slice(0, entriesPerAnswer)
		.map(entry => toUsableEntry(entry));
	return {entries, keepMilliseconds: entriesKeepMilliseconds, version: getEntriesVersion(statuses)};
}

/**
Gets the entries that callers may use.

An entry that loses touch with more than half of the others is probably cut off itself, so it still names them.
When all are overloaded, all are named.
*/
export function getUsable(statuses: readonly EntryStatus[]): readonly EntryStatus[] {
	const current = statuses.filter(status => !status.isReplaced && status.state !== 'leaving');
	const live = current.filter(status => status.state === 'live');
	const reachable = live.length * 2 >= current.length ? live : current;
	const accepting = reachable.filter(status => status.weight > 0);
	return accepting.length > 0 ? accepting : reachable;
}

/** Identifies the set of usable entries, whatever their order. */
export function getEntriesVersion(statuses: readonly EntryStatus[]): string {
	const names = getUsable(statuses).map(status => status.incarnation).toSorted();
	return hashText(names.join(' ')).toString(36);
}

function toUsableEntry(entry: EntryStatus): UsableEntry {
	const {name, incarnation, address, region, failureDomain, weight} = entry;
	return {
		name, incarnation, address, region, failureDomain, weight: weight > 0 ? weight : 1,
	};
}
