/** Merges what others say into what is known; the order and the number of times don't matter. */
import {
	drainExpiryMilliseconds, drainHoldMilliseconds, drainRenewalMilliseconds, endAfterMilliseconds, forgetAfterMilliseconds, longestStepMilliseconds, suspectAfterMilliseconds,
} from './constants.ts';
import {getNextState, type LifeCycleEvent} from './life-cycle.ts';
import {
	type Digest, type Drain, type DrainRecord, type EntryDescription, type Heartbeat, type ListedEntry, type Member, type MemberRecord, type Membership,
} from './types.ts';

/** Result of a merge. */
export type Merged = {
	readonly membership: Membership;
	/** Whether something changed that others must hear at once: an arrival, a leaver, a weight of 0, a drain. */
	readonly isUrgent: boolean;
};

/** Creates the membership of an entry that knows only itself. */
export function createInitialMembership(self: EntryDescription, now: number): Membership {
	const record: MemberRecord = {
		...self, heartbeat: 1, isLeaving: false, weight: 1, weightRevision: 0,
	};
	return {
		self: self.incarnation,
		members: new Map([[self.incarnation, {...createMember(record, now), state: 'live'}]]),
		drains: new Map(),
		listing: undefined,
		wanted: new Set(),
		checkedAt: now,
	};
}

/** Gets the member that stands for this entry itself. */
export function getSelf(membership: Membership): Member {
	const member = membership.members.get(membership.self);
	if (!member) {
		throw new TypeError('Membership lacks the entry itself');
	}

	return member;
}

/** Raises this entry's own heartbeat. */
export function beat(membership: Membership, now: number): Membership {
	const self = getSelf(membership);
	return replaceMember(membership, {...self, record: {...self.record, heartbeat: self.record.heartbeat + 1}, advancedAt: now});
}

/** Marks this entry as leaving. */
export function leave(membership: Membership, now: number): Membership {
	return changeSelf(membership, {isLeaving: true}, now);
}

/** Sets the share of callers that this entry wants; 0 when it is overloaded. */
export function setWeight(membership: Membership, weight: number, now: number): Membership {
	const {record} = getSelf(membership);
	return weight === record.weight ? membership : changeSelf(membership, {weight, weightRevision: record.weightRevision + 1}, now);
}

function changeSelf(membership: Membership, change: Partial<MemberRecord>, now: number): Membership {
	const self = getSelf(membership);
	const record = {...self.record, ...change};
	const state = record.isLeaving ? 'leaving' : self.state;
	return replaceMember(membership, {
		...self, record, state, changedAt: now, mentions: 0,
	});
}

/** Merges two records of the same incarnation. */
export function mergeRecords(left: MemberRecord, right: MemberRecord): MemberRecord {
	const weighted = isWeightAfter(right, left) ? right : left;
	return {
		...left,
		generation: Math.max(left.generation, right.generation),
		heartbeat: Math.max(left.heartbeat, right.heartbeat),
		isLeaving: left.isLeaving || right.isLeaving,
		weight: weighted.weight,
		weightRevision: weighted.weightRevision,
	};
}

function isWeightAfter(left: MemberRecord, right: MemberRecord): boolean {
	return left.weightRevision > right.weightRevision || (left.weightRevision === right.weightRevision && left.weight > right.weight);
}

/** Gets the one of two drain records that holds. */
export function mergeDrainRecords(left: DrainRecord, right: DrainRecord): DrainRecord {
	if (left.sequence !== right.sequence) {
		return left.sequence > right.sequence ? left : right;
	}

	if (left.origin !== right.origin) {
		return left.origin > right.origin ? left : right;
	}

	return left.isDraining ? left : right;
}

/** Merges a digest. What it says of this entry itself can only make the entry's own generation grow. */
export function mergeDigest(membership: Membership, digest: Digest, now: number): Merged {
	const members = new Map(membership.members);
	const wanted = new Set(membership.wanted);
	let isUrgent = false;
	for (const record of digest.members) {
		wanted.delete(record.incarnation);
		if (record.incarnation !== membership.self) {
			isUrgent = mergeMember(members, record, now) || isUrgent;
		}
	}

	for (const heartbeat of digest.heartbeats) {
		if (!members.has(heartbeat.incarnation)) {
			wanted.add(heartbeat.incarnation);
		}

		mergeHeartbeat(members, heartbeat, membership.self, now);
	}

	const drains = mergeDrains(membership.drains, digest.drains, now);
	isUrgent ||= drains !== membership.drains;
	return {
		membership: {
			...membership, members, wanted, drains,
		},
		isUrgent,
	};
}

function mergeMember(members: Map<string, Member>, record: MemberRecord, now: number): boolean {
	const known = members.get(record.incarnation);
	if (!known) {
		const member = createMember(record, now);
		members.set(record.incarnation, record.isLeaving ? applyEvent(member, {type: 'left'}) : member);
		return true;
	}

	const merged = mergeRecords(known.record, record);
	const isChanged = merged.isLeaving !== known.record.isLeaving
		|| merged.weightRevision !== known.record.weightRevision
		|| merged.weight !== known.record.weight
		|| merged.generation !== known.record.generation;
	const changed = isChanged
		? {
			...known, record: merged, changedAt: now, mentions: 0,
		}
		: known;
	const left = merged.isLeaving && !known.record.isLeaving ? applyEvent(changed, {type: 'left'}) : changed;
	members.set(record.incarnation, advanceMember(left, record.heartbeat, known.record.heartbeat, now));
	return isChanged;
}

function mergeHeartbeat(members: Map<string, Member>, heartbeat: Heartbeat, self: string, now: number): void {
	const known = members.get(heartbeat.incarnation);
	if (!known || heartbeat.incarnation === self) {
		return;
	}

	members.set(heartbeat.incarnation, advanceMember(known, heartbeat.heartbeat, known.record.heartbeat, now));
}

function advanceMember(member: Member, heartbeat: number, knownHeartbeat: number, now: number): Member {
	if (heartbeat <= knownHeartbeat) {
		return member;
	}

	const {record} = member;
	const next = member.state === 'live' ? member : applyEvent(member, {type: 'advanced', isLeaving: record.isLeaving});
	return {...next, record: {...record, heartbeat}, advancedAt: now};
}

function mergeDrains(drains: ReadonlyMap<string, Drain>, records: readonly DrainRecord[], now: number): ReadonlyMap<string, Drain> {
	let merged: Map<string, Drain> | undefined;
	for (const record of records) {
		const known = (merged ?? drains).get(record.upstream);
		const holding = known ? mergeDrainRecords(known.record, record) : record;
		if (known && isSameDrain(known.record, holding)) {
			continue;
		}

		merged ??= new Map(drains);
		merged.set(record.upstream, createDrain(holding, now));
	}

	return merged ?? drains;
}

function isSameDrain(left: DrainRecord, right: DrainRecord): boolean {
	return left.sequence === right.sequence && left.origin === right.origin && left.isDraining === right.isDraining;
}

/** What an upstream itself said of its drain. */
export type UpstreamObservation = {
	readonly upstream: string;
	readonly isDraining: boolean;
	/** When the upstream said so. */
	readonly reportedAt: number;
};

/** Takes note of what an upstream itself said of its drain. */
export function observeUpstream(membership: Membership, seen: UpstreamObservation, now: number): Merged {
	const {upstream, isDraining} = seen;
	const known = membership.drains.get(upstream);
	if (!isNews(known, seen, now)) {
		return {membership, isUrgent: false};
	}

	const record: DrainRecord = {
		upstream, isDraining, sequence: (known?.record.sequence ?? 0) + 1, origin: membership.self,
	};
	const drains = new Map(membership.drains).set(upstream, createDrain(record, now));
	return {membership: {...membership, drains}, isUrgent: known?.record.isDraining !== isDraining};
}

function isNews(known: Drain | undefined, {isDraining, reportedAt}: UpstreamObservation, now: number): boolean {
	if (!known) {
		return isDraining;
	}

	if (known.record.isDraining !== isDraining) {
		return reportedAt >= known.learnedAt + drainHoldMilliseconds;
	}

	return isDraining && now >= known.learnedAt + drainRenewalMilliseconds;
}

/** Sets the entries of the instance list, after a successful read. */
export function setListing(membership: Membership, entries: readonly ListedEntry[]): Membership {
	return {...membership, listing: new Map(entries.map(entry => [entry.name, entry]))};
}

/** Acts on the passage of time: suspects, removes and forgets instances, and lets drains expire. */
export function advanceMembership(membership: Membership, now: number): Membership {
	// While this entry was paused, it couldn't hear the others.
	const paused = Math.max(0, now - membership.checkedAt - longestStepMilliseconds);
	const members = new Map<string, Member>();
	for (const [incarnation, member] of membership.members) {
		const shifted = paused > 0 ? {...member, advancedAt: member.advancedAt + paused} : member;
		const next = incarnation === membership.self ? shifted : advanceSilence(membership, shifted, now);
		if (next.state !== 'gone' || now - next.advancedAt < forgetAfterMilliseconds) {
			members.set(incarnation, next);
		}
	}

	const drains = new Map([...membership.drains].filter(([, drain]) => now - drain.learnedAt < getDrainLifetime(drain)));
	const wanted = new Set([...membership.wanted].filter(incarnation => !members.has(incarnation)).slice(-wantedLimit));
	return refute({
		...membership, members, drains, wanted, checkedAt: now,
	}, now);
}

/** Wanted incarnations that are remembered. */
const wantedLimit = 256;

function getDrainLifetime(drain: Drain): number {
	return drain.record.isDraining ? drainExpiryMilliseconds : 2 * drainExpiryMilliseconds;
}

function advanceSilence(membership: Membership, member: Member, now: number): Member {
	const silentMilliseconds = now - member.advancedAt;
	if (silentMilliseconds < endAfterMilliseconds) {
		return member;
	}

	const listed = membership.listing ? membership.listing.get(member.record.name)?.state ?? 'absent' : 'unknown';
	return applyEvent(member, {type: 'silent', silentMilliseconds, listed});
}

/** Raises this entry's own generation above that of a silent incarnation of its name, which an earlier process left behind. */
function refute(membership: Membership, now: number): Membership {
	const rival = getRivals(membership).find(member => now - member.advancedAt >= suspectAfterMilliseconds || member.record.isLeaving);
	return rival ? changeSelf(membership, {generation: rival.record.generation + 1}, now) : membership;
}

/** Whether another process of this entry's name started later and is at work. */
export function isSuperseded(membership: Membership): boolean {
	return getRivals(membership).some(member => member.state === 'live');
}

function getRivals(membership: Membership): readonly Member[] {
	const {record} = getSelf(membership);
	return [...membership.members.values()].filter(member => member.record.name === record.name && isRecordAfter(member.record, record));
}

/** Whether the left incarnation of a name replaces the right one. */
export function isRecordAfter(left: MemberRecord, right: MemberRecord): boolean {
	return left.generation > right.generation || (left.generation === right.generation && left.incarnation > right.incarnation);
}

function applyEvent(member: Member, event: LifeCycleEvent): Member {
	const state = getNextState(member.state, event);
	return state === member.state ? member : {...member, state};
}

function createMember(record: MemberRecord, now: number): Member {
	return {
		record, state: 'joining', advancedAt: now, changedAt: now, mentions: 0,
	};
}

function createDrain(record: DrainRecord, now: number): Drain {
	return {
		record, learnedAt: now, mentions: 0, mentionedAt: Number.NEGATIVE_INFINITY,
	};
}

function replaceMember(membership: Membership, member: Member): Membership {
	return {...membership, members: new Map(membership.members).set(member.record.incarnation, member)};
}
