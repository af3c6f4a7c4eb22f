/**
Chooses the coordinators of a workspace, which count its requests and issue the admissions of its allowance.

A few entries with the largest processor capacity are candidates, so that they can answer quickly and each entry needs
connections to a few others only. The coordinators are chosen among them by rendezvous hashing, so all entries agree on
them without a message. Both choices take different failure domains first.
*/
import * as hash from '../hash.ts';
import type * as sharing from '../sharing/types.ts';

/** Number of coordinators of a workspace; a workspace that uses less than three fourths of its allowance can do without one of them. */
export const maximumCoordinators = 4;
const maximumCandidates = 16;
/** Share of the largest processor capacity from which on an entry is preferred. */
const preferredCapacityShare = 0.5;
/** Identifier by which the candidates are ranked. */
const candidatesId = 'allowances';

/** Chooses the entries that may be coordinators. */
export function chooseCandidates(members: readonly sharing.Member[]): readonly sharing.Member[] {
	const usable = members.filter(({isReady, isCutOff}) => isReady && !isCutOff);
	const largestCapacity = Math.max(...usable.map(({cores}) => cores));
	const isPreferred = ({cores}: sharing.Member) => cores >= preferredCapacityShare * largestCapacity;
	const preferred = spread(rank(candidatesId, usable.filter(member => isPreferred(member))));
	const others = preferred.length < maximumCoordinators ? rank(candidatesId, usable.filter(member => !isPreferred(member))).slice(0, maximumCoordinators - preferred.length) : [];
	return [...preferred, ...others].slice(0, maximumCandidates);
}

/** Chooses the coordinators of a workspace among the candidates, in no particular order. */
export function chooseCoordinators(workspace: string, candidates: readonly sharing.Member[]): readonly sharing.Member[] {
	return spread(rank(workspace, candidates)).slice(0, maximumCoordinators);
}

/** Orders the coordinators of a workspace for an entry: those of its own failure domain first, the others differently for each entry. */
export function orderForEntry(entry: Pick<sharing.Member, 'name' | 'failureDomain'>, coordinators: readonly sharing.Member[]): readonly sharing.Member[] {
	const ranked = rank(entry.name, coordinators);
	const isNear = ({failureDomain}: sharing.Member) => failureDomain === entry.failureDomain;
	return [...ranked.filter(member => isNear(member)), ...ranked.filter(member => !isNear(member))];
}

/** Puts the first entry of each failure domain before the others. */
function spread(ranked: readonly sharing.Member[]): readonly sharing.Member[] {
	const firstByDomain = new Map(ranked.toReversed().map(member => [member.failureDomain, member]));
	const isFirst = (member: sharing.Member) => firstByDomain.get(member.failureDomain) === member;
	return [...ranked.filter(member => isFirst(member)), ...ranked.filter(member => !isFirst(member))];
}

function rank(id: string, members: readonly sharing.Member[]): readonly sharing.Member[] {
	const idHash = hash.hashText(id);
	const scored = members.map(member => ({member, score: hash.mixHashes(hash.hashText(member.name), idHash)}));
	return scored.toSorted((left, right) => right.score - left.score || (left.member.name < right.member.name ? -1 : 1)).map(({member}) => member);
}
