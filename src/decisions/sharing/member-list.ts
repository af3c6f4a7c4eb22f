/**
Keeps the entries that run, as far as this entry knows.

A member is known from its own requests, or from the list of the entry that is followed. One that is heard of by
neither for `silenceMilliseconds` is taken off. Each change has a number, so that a follower is told only what changed
since the number that it knows.
*/
import type * as types from './types.ts';

/** A member that was not heard of for this long is taken off; several waits of a follower long. */
export const silenceMilliseconds = 2500;
/** Removals that are remembered for followers that lag; older ones get the whole list. */
const rememberedRemovals = 256;

export type MemberList = {
	/** Takes what a member says of itself. Returns whether the list changed. */
	hear(member: types.Member, now: number): boolean;
	/** Takes what changed in the list of the entry that is followed; a complete one replaces what an earlier list said. */
	adopt(update: types.MemberUpdate, now: number): void;
	/** Takes members that were not known, from an entry that is not followed. */
	introduce(members: readonly types.Member[], now: number): void;
	/** Takes off who was not heard of. Returns their names. */
	expire(now: number): readonly string[];
	/** Gets all members, this entry included, in the order of their names. */
	list(): readonly types.Member[];
	/** Number of members, this entry included. */
	count(): number;
	/** Number of the latest change. */
	getRevision(): number;
	/** Gets what changed after a revision of this list; everything for a revision that is too old or -1. */
	getUpdate(since: number): types.MemberUpdate;
};

type Known = {
	readonly member: types.Member;
	/** Time of its latest own request; minus infinity for none. */
	readonly heardAt: number;
	/** Time at which the list of the entry that is followed had it last; minus infinity where it doesn't. */
	readonly listedAt: number;
	/** Revision of its latest change. */
	readonly changedAt: number;
};

/** Creates a list that holds this entry alone; `getSelf` gives its present state. */
export function createMemberList(getSelf: () => types.Member): MemberList {
	const others = new Map<string, Known>();
	/** Revisions of the latest removals by name, in the order of time. */
	const removals = new Map<string, number>();
	let revision = 0;
	let self = getSelf();
	let selfChangedAt = 0;
	/** Followers at or after this revision can be told single changes. */
	let changesSince = 0;

	function put(member: types.Member, times: Partial<Pick<Known, 'heardAt' | 'listedAt'>>): boolean {
		if (member.name === self.name) {
			return false;
		}

		const present = others.get(member.name);
		if (present && present.member.startedAt > member.startedAt) {
			return false;
		}

		const isSame = present !== undefined && isUnchanged(present.member, member);
		others.set(member.name, {
			heardAt: Number.NEGATIVE_INFINITY, listedAt: Number.NEGATIVE_INFINITY, ...present, ...times, member, changedAt: isSame ? present.changedAt : ++revision,
		});
		removals.delete(member.name);
		return !isSame;
	}

	function remove(name: string): void {
		others.delete(name);
		removals.delete(name);
		removals.set(name, ++revision);
		for (const [oldest, at] of removals) {
			if (removals.size <= rememberedRemovals) {
				return;
			}

			removals.delete(oldest);
			changesSince = Math.max(changesSince, at);
		}
	}

	function refreshSelf(): void {
		const next = getSelf();
		if (!isUnchanged(self, next)) {
			self = next;
			selfChangedAt = ++revision;
		}
	}

	/** The entry that is followed still has the members that came from its list. */
	function confirm(now: number): void {
		for (const [name, known] of others) {
			if (isListed(known)) {
				others.set(name, {...known, listedAt: now});
			}
		}
	}

	/** The list no longer has a member; it stays known where it asked by itself lately. */
	function unlist(name: string, now: number): void {
		const known = others.get(name);
		if (!known || !isListed(known)) {
			return;
		}

		if (known.heardAt + silenceMilliseconds < now) {
			remove(name);
		} else {
			others.set(name, {...known, listedAt: Number.NEGATIVE_INFINITY});
		}
	}

	function list(): readonly types.Member[] {
		refreshSelf();
		return [self, ...[...others.values()].map(({member}) => member)].toSorted((left, right) => left.name < right.name ? -1 : 1);
	}

	return {
		hear: (member, now) => put(member, {heardAt: now}),
		adopt(update, now) {
			const present = new Set(update.members.map(({name}) => name));
			const gone = update.isComplete ? [...others.keys()].filter(name => !present.has(name)) : update.removed;
			for (const name of gone) {
				unlist(name, now);
			}

			for (const member of update.members) {
				put(member, {listedAt: now});
			}

			confirm(now);
		},
		introduce(members, now) {
			for (const member of members) {
				if (!others.has(member.name)) {
					put(member, {heardAt: now});
				}
			}
		},
		expire(now) {
			const silent = [...others].filter(([, {heardAt, listedAt}]) => Math.max(heardAt, listedAt) + silenceMilliseconds < now).map(([name]) => name);
			for (const name of silent) {
				remove(name);
			}

			return silent;
		},
		list,
		count: () => 1 + others.size,
		getRevision() {
			refreshSelf();
			return revision;
		},
		getUpdate(since) {
			refreshSelf();
			if (since < changesSince) {
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

const isListed = ({listedAt}: Known) => listedAt !== Number.NEGATIVE_INFINITY;

function isUnchanged(present: types.Member, next: types.Member): boolean {
	return present.incarnation === next.incarnation && present.isReady === next.isReady && present.canRead === next.canRead;
}

/**
Chooses the addresses that a caller should use: ready entries of its own failure domain, else of its region, else all.

Callers choose among them at random, so each entry of a failure domain gets an equal part of its callers.
*/
export function chooseAddresses(members: readonly types.Member[], place: {readonly failureDomain: string | undefined; readonly region: string | undefined}, most: number): readonly string[] {
	const ready = members.filter(({isReady}) => isReady);
	const near = ready.filter(({failureDomain}) => failureDomain === place.failureDomain);
	const inRegion = ready.filter(({region}) => region === place.region);
	const chosen = [near, inRegion, ready].find(list => list.length > 0) ?? [];
	return chosen.slice(0, most).map(({callerAddress}) => callerAddress);
}
