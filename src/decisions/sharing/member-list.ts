/**
Maintains the list of running entries as observed by this entry.

Members are learned from their own requests and answers or from the member list of the source, which is the entry that
this entry follows. A member that neither confirms for `silenceMilliseconds` is removed. Each change increments the revision of the
list, so that a follower receives only the changes after its own revision.
*/
import type * as types from './types.ts';

/** Time without confirmation after which a member is removed; several times the maximum wait of a follower's request. */
export const silenceMilliseconds = 2500;
/** Maximum number of removals that are retained for incremental updates; followers before the oldest one get the complete list. */
const retainedRemovals = 256;

/** The running entries, with a revision that increases with each change. */
export type MemberList = {
	/** Records the description that a member sent of itself. Returns whether more than its demand changed. */
	recordMember(member: types.Member, now: number): boolean;
	/** Applies an update of the source's list. A complete update replaces all members that were listed earlier. */
	applyUpdate(update: types.MemberUpdate, now: number): void;
	/**
	Applies the answer of an entry other than the source, which states its own incarnation. Its own description counts as
	heard; those of the others add members and change what was not heard of them lately, but confirm none.
	*/
	applyAnswer(update: types.MemberUpdate, answeringIncarnation: string, now: number): void;
	/** Removes the members that were not confirmed for `silenceMilliseconds`. Returns their names. */
	removeSilentMembers(now: number): readonly string[];
	/** Lists all members, including this entry, in the order of their names. */
	list(): readonly types.Member[];
	/** Gets the number of members, including this entry. */
	count(): number;
	/** Gets the revision of the latest change. */
	getRevision(): number;
	/** Gets the revision of the latest change other than of a member's demand, which followers need at once. */
	getUrgentRevision(): number;
	/** Gets the revision of the latest such change of this entry itself. */
	getOwnRevision(): number;
	/** Gets the changes after a revision of this list; the complete list if the revision is too old or -1. */
	getUpdate(since: number): types.MemberUpdate;
};

/** Another member and the times of its latest confirmations. */
type TrackedMember = {
	readonly member: types.Member;
	/** Time of the latest request from the member itself; minus infinity if there is none. */
	readonly heardAt: number;
	/** Time at which the source's list last contained the member; minus infinity if it doesn't. */
	readonly listedAt: number;
	/** Time at which an answer of an entry other than the source introduced the member; minus infinity if none did. */
	readonly introducedAt: number;
	/** Revision of the latest change of the member. */
	readonly changedAt: number;
};

const neverConfirmed = {heardAt: Number.NEGATIVE_INFINITY, listedAt: Number.NEGATIVE_INFINITY, introducedAt: Number.NEGATIVE_INFINITY} as const;

/** Creates a list that contains only this entry; `getSelf` returns its current description. */
export function createMemberList(getSelf: () => types.Member): MemberList {
	const others = new Map<string, TrackedMember>();
	/** Revisions of the latest removals by name, oldest first. */
	const removals = new Map<string, number>();
	let revision = 0;
	let urgentRevision = 0;
	let ownRevision = 0;
	let self = getSelf();
	let selfChangedAt = 0;
	/** Oldest revision of a follower for which an incremental update is possible. */
	let oldestIncrementalRevision = 0;

	function updateMember(member: types.Member, times: Partial<Pick<TrackedMember, 'heardAt' | 'listedAt' | 'introducedAt'>>): boolean {
		if (member.name === self.name) {
			return false;
		}

		const current = others.get(member.name);
		if (current && current.member.startedAt > member.startedAt) {
			return false;
		}

		const isSame = current !== undefined && isUnchanged(current.member, member);
		others.set(member.name, {
			...neverConfirmed, ...current, ...times, member, changedAt: isSame ? current.changedAt : ++revision,
		});
		removals.delete(member.name);
		const isUrgent = current === undefined || !isSameState(current.member, member);
		if (isUrgent) {
			urgentRevision = revision;
		}

		return isUrgent;
	}

	function remove(name: string): void {
		others.delete(name);
		removals.delete(name);
		removals.set(name, ++revision);
		urgentRevision = revision;
		for (const [oldest, at] of removals) {
			if (removals.size <= retainedRemovals) {
				return;
			}

			removals.delete(oldest);
			oldestIncrementalRevision = Math.max(oldestIncrementalRevision, at);
		}
	}

	function refreshSelf(): void {
		const next = getSelf();
		if (isUnchanged(self, next)) {
			return;
		}

		selfChangedAt = ++revision;
		if (!isSameState(self, next)) {
			urgentRevision = revision;
			ownRevision = revision;
		}

		self = next;
	}

	/** Confirms all members that the source's list contains. */
	function confirmListedMembers(now: number): void {
		for (const [name, tracked] of others) {
			if (isListed(tracked)) {
				others.set(name, {...tracked, listedAt: now});
			}
		}
	}

	/** Handles the absence of a member from the source's list: removes the member unless it recently sent a request itself. */
	function removeFromSourceList(name: string, now: number): void {
		const tracked = others.get(name);
		if (!tracked || !isListed(tracked)) {
			return;
		}

		if (tracked.heardAt + silenceMilliseconds < now) {
			remove(name);
		} else {
			others.set(name, {...tracked, listedAt: Number.NEGATIVE_INFINITY});
		}
	}

	/** Applies what an entry other than the source says of a member that isn't itself. */
	function applyReport(member: types.Member, now: number): void {
		const current = others.get(member.name);
		if (!current || current.member.startedAt < member.startedAt) {
			updateMember(member, {introducedAt: now});
		} else if (current.heardAt + silenceMilliseconds < now) {
			updateMember(member, {});
		}
	}

	function list(): readonly types.Member[] {
		refreshSelf();
		return [self, ...[...others.values()].map(({member}) => member)].toSorted((left, right) => left.name < right.name ? -1 : 1);
	}

	return {
		recordMember: (member, now) => updateMember(member, {heardAt: now}),
		applyUpdate(update, now) {
			const presentNames = new Set(update.members.map(({name}) => name));
			const missingNames = update.isComplete ? [...others.keys()].filter(name => !presentNames.has(name)) : update.removed;
			for (const name of missingNames) {
				removeFromSourceList(name, now);
			}

			for (const member of update.members) {
				updateMember(member, {listedAt: now});
			}

			confirmListedMembers(now);
		},
		applyAnswer(update, answeringIncarnation, now) {
			const known = [...others.values()].find(({member}) => member.incarnation === answeringIncarnation)?.member;
			const answering = update.members.find(({incarnation}) => incarnation === answeringIncarnation) ?? known;
			if (answering) {
				updateMember(answering, {heardAt: now});
			}

			for (const member of update.members.filter(({incarnation}) => incarnation !== answeringIncarnation)) {
				applyReport(member, now);
			}
		},
		removeSilentMembers(now) {
			const silentNames = [...others].filter(([, {heardAt, listedAt, introducedAt}]) => Math.max(heardAt, listedAt, introducedAt) + silenceMilliseconds < now).map(([name]) => name);
			for (const name of silentNames) {
				remove(name);
			}

			return silentNames;
		},
		list,
		count: () => 1 + others.size,
		getRevision() {
			refreshSelf();
			return revision;
		},
		getUrgentRevision() {
			refreshSelf();
			return urgentRevision;
		},
		getOwnRevision() {
			refreshSelf();
			return ownRevision;
		},
		getUpdate(since) {
			refreshSelf();
			if (since < oldestIncrementalRevision) {
				return {
					revision, isComplete: true, members: list(), removed: [],
				};
			}

			const changed = [...others.values()].filter(({changedAt}) => changedAt > since).map(({member}) => member);
			return {
				revision,
				isComplete: false,
				members: selfChangedAt > since ? [self, ...changed] : changed,
				removed: [...removals].filter(([, at]) => at > since).map(([name]) => name),
			};
		},
	};
}

const isListed = ({listedAt}: TrackedMember) => listedAt !== Number.NEGATIVE_INFINITY;

function isUnchanged(current: types.Member, next: types.Member): boolean {
	return isSameState(current, next) && current.requestsPerSecond === next.requestsPerSecond;
}

/** Whether two descriptions of a member differ at most in its demand. */
function isSameState(current: types.Member, next: types.Member): boolean {
	return current.incarnation === next.incarnation && current.isReady === next.isReady && current.canRead === next.canRead && current.isCutOff === next.isCutOff;
}
