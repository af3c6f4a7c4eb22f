/**
Keeps the entries that run, as far as this entry knows.

A member is known from its own requests, or from the list of the entry that is followed. One that is heard of by
neither for `silenceMilliseconds` is taken off.
*/
import type * as types from './types.ts';

/** A member that was not heard of for this long is taken off; several waits of a follower long. */
export const silenceMilliseconds = 2500;

export type MemberList = {
	/** Takes what a member says of itself. Returns whether the list changed. */
	hear(member: types.Member, now: number): boolean;
	/** Takes the list of the entry that is followed, in place of what an earlier list said. */
	adopt(members: readonly types.Member[], now: number): void;
	/** Takes members that were not known, from an entry that is not followed. */
	introduce(members: readonly types.Member[], now: number): void;
	/** The entry that is followed still has the same list. */
	confirm(now: number): void;
	/** Takes off who was not heard of. Returns their names. */
	expire(now: number): readonly string[];
	/** Gets all members, this entry included, in the order of their names. */
	list(): readonly types.Member[];
	/** Text that differs whenever the list does. */
	getRevision(): string;
};

type Heard = {readonly member: types.Member; readonly heardAt: number; readonly isFromList: boolean};

/** Creates a list that holds this entry alone; `getSelf` gives its present state. */
export function createMemberList(getSelf: () => types.Member): MemberList {
	const others = new Map<string, Heard>();

	function put(member: types.Member, now: number, isFromList: boolean): boolean {
		if (member.name === getSelf().name) {
			return false;
		}

		const present = others.get(member.name)?.member;
		if (present && present.startedAt > member.startedAt) {
			return false;
		}

		others.set(member.name, {member, heardAt: now, isFromList});
		return present?.incarnation !== member.incarnation || present.isReady !== member.isReady || present.canRead !== member.canRead;
	}

	const list = () => [getSelf(), ...[...others.values()].map(({member}) => member)].toSorted((left, right) => left.name < right.name ? -1 : 1);

	return {
		hear: (member, now) => put(member, now, false),
		adopt(members, now) {
			const names = new Set(members.map(({name}) => name));
			for (const [name, {isFromList}] of others) {
				if (isFromList && !names.has(name)) {
					others.delete(name);
				}
			}

			for (const member of members) {
				put(member, now, true);
			}
		},
		introduce(members, now) {
			for (const member of members) {
				if (!others.has(member.name)) {
					put(member, now, false);
				}
			}
		},
		confirm(now) {
			for (const [name, heard] of others) {
				if (heard.isFromList) {
					others.set(name, {...heard, heardAt: now});
				}
			}
		},
		expire(now) {
			const silent = [...others].filter(([, {heardAt}]) => heardAt + silenceMilliseconds < now).map(([name]) => name);
			for (const name of silent) {
				others.delete(name);
			}

			return silent;
		},
		list,
		getRevision: () => list().map(({
			name, incarnation, isReady, canRead,
		}) => `${name}/${incarnation}/${Number(isReady)}${Number(canRead)}`).join(','),
	};
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
