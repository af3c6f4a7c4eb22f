/**
Assigns the roles of the entries for an upstream with a rate limit, by rendezvous hashing.

The first entry of the ranking coordinates the upstream: it issues all permits. The first few of those with demand may ask
for permits, so that the number of requests for permits doesn't grow with the number of entries. An entry that comes or
goes changes the roles only for the upstreams at which it ranks first, or among the first few.
*/
import * as hash from '../hash.ts';
import type * as sharing from '../sharing/types.ts';

/** Roles of one entry for one upstream. */
export type PermitRoles = {
	/** The entry that issues the permits; undefined if no entry is ready. */
	readonly coordinator: sharing.Member | undefined;
	/** Number of entries that may ask for permits. */
	readonly requesterCount: number;
	/** Whether this entry may ask for permits. */
	readonly mayAsk: boolean;
};

/** Minimum number of entries that may ask; callers that are rejected by one entry find another one with permits. */
const minimumRequesters = 8;
/** Permits per second that one entry is expected to use. */
const permitsPerSecondPerRequester = 2;

/** Computes the roles of the entry `self` for an upstream, from the entries that it knows. */
export function getPermitRoles(self: string, upstreamId: string, requestsPerSecond: number, members: readonly sharing.Member[]): PermitRoles {
	const ready = members.filter(({isReady}) => isReady);
	const withDemand = ready.filter(({requestsPerSecond: demand}) => demand !== 0);
	const requesters = withDemand.length === 0 ? ready : withDemand;
	const limit = Math.min(requesters.length, Math.max(minimumRequesters, Math.ceil(requestsPerSecond / permitsPerSecondPerRequester)));
	const upstreamHash = hash.hashText(upstreamId);
	const getScore = (name: string) => hash.mixHashes(hash.hashText(name), upstreamHash);
	const ownScore = getScore(self);
	const isRequester = requesters.some(({name}) => name === self);
	const before = requesters.filter(({name}) => name !== self && getScore(name) >= ownScore).length;
	return {coordinator: findHighest(ready, getScore), requesterCount: limit, mayAsk: isRequester && before < limit};
}

/** Finds the entry that ranks first for an identifier among those that are ready. */
export function findFirstReady(id: string, members: readonly sharing.Member[]): sharing.Member | undefined {
	const idHash = hash.hashText(id);
	return findHighest(members.filter(({isReady}) => isReady), name => hash.mixHashes(hash.hashText(name), idHash));
}

function findHighest(members: readonly sharing.Member[], getScore: (name: string) => number): sharing.Member | undefined {
	let highest: {readonly member: sharing.Member; readonly score: number} | undefined;
	for (const member of members) {
		const score = getScore(member.name);
		if (!highest || score > highest.score || (score === highest.score && member.name < highest.member.name)) {
			highest = {member, score};
		}
	}

	return highest?.member;
}
