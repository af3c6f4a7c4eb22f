/**
Gives every upstream to a bounded subset of the entries, so that its connections stay bounded at any fleet size.

Rendezvous hashing (Thaler and Ravishankar, 1998) within each failure domain: the same names give the same subset on
every entry, and a change of one entry moves few upstreams.
*/
import {hashText} from '../hash.ts';

export type SubsetEntry = {
	readonly name: string;
	readonly failureDomain: string;
};

/** Limits that decide the size of the subsets. */
export type SubsetLimits = {
	/** Connections to one upstream, over all entries. */
	readonly connectionsPerUpstream: number;
	/** Calls that one upstream runs at once. */
	readonly slots: number;
};

/** What each entry of a subset may use. */
export type SubsetShare = {
	/** Entries that connect to one upstream. */
	readonly entries: number;
	/** Connections of one entry to one upstream. */
	readonly connections: number;
};

/** Part of the connections that is kept back for the time in which views of the fleet differ. */
const reservedShare = 0.2;

/** Connections beyond the slots that one entry can make use of, e.g. for calls that are being answered. */
const spareConnections = 2;

/** Gets the size of a subset and the share of each of its entries. */
export function getSubsetShare(entryCount: number, limits: SubsetLimits): SubsetShare {
	const usable = Math.max(1, Math.floor(limits.connectionsPerUpstream * (1 - reservedShare)));
	const wanted = Math.min(usable, limits.slots + spareConnections);
	const entries = Math.max(1, Math.min(entryCount, Math.floor(usable / wanted)));
	return {entries, connections: Math.max(1, Math.min(2 * wanted, Math.floor(usable / entries)))};
}

/** Gets the connections of one entry to one upstream where all entries connect to all upstreams. */
export function getEqualShare(entryCount: number, limits: SubsetLimits): number {
	const usable = Math.floor(limits.connectionsPerUpstream * (1 - reservedShare));
	const wanted = limits.slots + spareConnections;
	return Math.max(1, Math.min(2 * wanted, Math.floor(usable / Math.max(1, entryCount))));
}

/** Chooses the entries that connect to an upstream, evenly over the failure domains. */
export function chooseSubset(upstream: string, entries: readonly SubsetEntry[], size: number): ReadonlySet<string> {
	const ranked = entries
		.map(entry => ({entry, score: hashText(`${upstream} ${entry.name}`)}))
		.toSorted((left, right) => right.score - left.score || (left.entry.name < right.entry.name ? -1 : 1));
	const ranks = new Map<string, number>();
	return new Set(ranked
		.map((item, order) => {
			const rank = ranks.get(item.entry.failureDomain) ?? 0;
			ranks.set(item.entry.failureDomain, rank + 1);
			return {name: item.entry.name, rank, order};
		})
		.toSorted((left, right) => left.rank - right.rank || left.order - right.order)
		.slice(0, size)
		.map(({name}) => name));
}

/** Chooses the upstreams that an entry connects to. */
export function chooseUpstreams(self: string, upstreams: readonly string[], entries: readonly SubsetEntry[], limits: SubsetLimits): readonly string[] {
	const {entries: size} = getSubsetShare(entries.length, limits);
	if (size >= entries.length) {
		return upstreams;
	}

	return upstreams.filter(upstream => chooseSubset(upstream, entries, size).has(self));
}
