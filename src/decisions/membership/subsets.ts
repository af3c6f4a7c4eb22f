/**
Assigns each upstream to a subset of the entries, so that its number of connections stays bounded at any fleet size.

Uses rendezvous hashing (Thaler and Ravishankar, 1998) within each failure domain: every entry computes the same subset
from the same names, and adding or removing one entry reassigns few upstreams.
*/
import {hashText} from '../hash.ts';

/** An entry that may belong to a subset. */
export type SubsetEntry = {
	readonly name: string;
	readonly failureDomain: string;
};

/** Limits that determine the size of the subsets. */
export type SubsetLimits = {
	/** Maximum number of connections to one upstream, over all entries. */
	readonly connectionsPerUpstream: number;
	/** Number of calls that one upstream runs concurrently. */
	readonly slots: number;
};

/** Size of a subset and the number of connections of each of its entries. */
export type SubsetShare = {
	/** Number of entries that connect to one upstream. */
	readonly entries: number;
	/** Number of connections of one entry to one upstream. */
	readonly connections: number;
};

/** Share of the connections that is reserved for periods in which the entries' views of the fleet differ. */
const reservedShare = 0.2;

/** Number of connections beyond the slots that one entry can use, e.g. for calls whose answer is in transfer. */
const spareConnections = 2;

/** Gets the size of a subset and the number of connections of each of its entries. */
export function getSubsetShare(entryCount: number, limits: SubsetLimits): SubsetShare {
	const usableConnections = Math.max(1, Math.floor(limits.connectionsPerUpstream * (1 - reservedShare)));
	const wantedConnections = Math.min(usableConnections, limits.slots + spareConnections);
	const entries = Math.max(1, Math.min(entryCount, Math.floor(usableConnections / wantedConnections)));
	return {entries, connections: Math.max(1, Math.min(2 * wantedConnections, Math.floor(usableConnections / entries)))};
}

/** Gets the number of connections of one entry to one upstream in a full mesh, where all entries connect to all upstreams. */
export function getFullMeshShare(entryCount: number, limits: SubsetLimits): number {
	const usableConnections = Math.floor(limits.connectionsPerUpstream * (1 - reservedShare));
	const wantedConnections = limits.slots + spareConnections;
	return Math.max(1, Math.min(2 * wantedConnections, Math.floor(usableConnections / Math.max(1, entryCount))));
}

/** Chooses the entries that connect to an upstream, spread evenly over the failure domains. */
export function chooseSubset(upstream: string, entries: readonly SubsetEntry[], size: number): ReadonlySet<string> {
	const entriesByScore = entries
		.map(entry => ({entry, score: hashText(`${upstream} ${entry.name}`)}))
		.toSorted((left, right) => right.score - left.score || (left.entry.name < right.entry.name ? -1 : 1));
	const nextRanks = new Map<string, number>();
	return new Set(entriesByScore
		.map((item, order) => {
			const rank = nextRanks.get(item.entry.failureDomain) ?? 0;
			nextRanks.set(item.entry.failureDomain, rank + 1);
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
