/**
Selects the entries that callers should use, and the share of fleet-wide budgets that an entry may use.

Load pattern: hundreds of entries of which each would receive a few requests per second. Spread that thin, an entry
opens a connection for nearly every request, knows little of the load of the upstreams, and has budgets of less than one
token. Callers are therefore directed to as few entries as carry the present demand with room for a burst.
*/
import * as hash from '../hash.ts';
import type * as types from './types.ts';

/** Location of a caller; undefined where the caller doesn't provide it. */
export type CallerLocation = {
	readonly failureDomain: string | undefined;
	readonly region: string | undefined;
};

/** Requests per second for each processor core up to which an entry is planned to be used; a seventh of what it can process, so that a burst fits before callers learn of more entries. */
const plannedRequestsPerCore = 25;
/** Minimum number of entries in use in a failure domain, so that callers have a second one when one is lost. */
const minimumEntries = 2;
/** Share of the budgets that is divided equally among all entries; the rest is divided in proportion to their demand. */
const equalShare = 0.5;

/**
Chooses the addresses for a caller: of the ready entries in its failure domain, else in its region, else of all, as many
as the demand on these entries needs. Entries that reach no upstream are chosen only if none does.

Callers choose among the addresses at random. All entries choose the same addresses from the same member list.
*/
export function chooseCallerAddresses(members: readonly types.Member[], location: CallerLocation, limit: number): readonly string[] {
	const allReady = members.filter(({isReady}) => isReady);
	const connected = allReady.filter(({isCutOff}) => !isCutOff);
	const ready = connected.length > 0 ? connected : allReady;
	const inFailureDomain = ready.filter(({failureDomain}) => failureDomain === location.failureDomain);
	const inRegion = ready.filter(({region}) => region === location.region);
	const candidates = [inFailureDomain, inRegion, ready].find(entries => entries.length > 0) ?? [];
	return selectEntriesInUse(candidates).slice(0, limit).map(({callerAddress}) => callerAddress);
}

/** Selects the entries that carry the demand on all the given ones, those with the most processor cores first; keeps their order. */
export function selectEntriesInUse(entries: readonly types.Member[]): readonly types.Member[] {
	const rates = entries.map(({requestsPerSecond}) => requestsPerSecond).filter(rate => rate !== undefined);
	// After a loss of many entries, nobody knows the demand that comes back.
	if (2 * rates.length <= entries.length) {
		return entries;
	}

	const ranked = entries
		.map(entry => ({entry, score: hash.hashText(entry.name)}))
		.toSorted((left, right) => right.entry.cores - left.entry.cores || left.score - right.score || (left.entry.name < right.entry.name ? -1 : 1));
	let remainingDemand = sum(rates);
	const inUse = new Set<types.Member>();
	for (const {entry} of ranked) {
		if (inUse.size >= minimumEntries && remainingDemand <= 0) {
			break;
		}

		inUse.add(entry);
		remainingDemand -= entry.cores * plannedRequestsPerCore;
	}

	return entries.filter(entry => inUse.has(entry));
}

/** Gets the share of a fleet-wide budget that an entry may use, from 0 to 1; the shares of all members add up to 1. */
export function getBudgetShare(name: string, members: readonly types.Member[]): number {
	return (equalShare / Math.max(1, members.length)) + ((1 - equalShare) * getDemandShare(name, members));
}

/** Gets the part of the demand on all members that an entry receives, from 0 to 1; an equal part while there is no demand. */
function getDemandShare(name: string, members: readonly types.Member[]): number {
	const total = sum(members.map(({requestsPerSecond}) => requestsPerSecond ?? 0));
	const own = members.find(member => member.name === name)?.requestsPerSecond ?? 0;
	return total === 0 ? 1 / Math.max(1, members.length) : own / total;
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
