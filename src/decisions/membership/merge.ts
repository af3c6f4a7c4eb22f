/** Updates the membership of an entry. Merging digests is commutative, associative and idempotent. */
import {
	drainExpiryMilliseconds, drainHoldDownMilliseconds, drainRenewalMilliseconds, leavingTimeoutMilliseconds, goneRetentionMilliseconds, pauseThresholdMilliseconds, suspicionTimeoutMilliseconds,
} from './constants.ts';
import {getNextState, type LifeCycleEvent} from './life-cycle.ts';
import {
	type Digest, type Drain, type DrainRecord, type EntryDescription, type Heartbeat, type ListedEntry, type Member, type MemberRecord, type Membership,
} from './types.ts';

/** Result of merging a digest or an observation into the membership. */
export type MergeResult = {
	readonly membership: Membership;
	/** Whether the merge changed anything that must be propagated at once: a new or leaving member, a changed weight or generation, or a drain. */
	readonly isUrgent: boolean;
};

/** Creates the initial membership of an entry, with the entry itself as its only member. */
export function createInitialMembership(self: EntryDescription, now: number): Membership {
	const record: MemberRecord = {
		...self, heartbeat: 1, isLeaving: false, weight: 1, weightRevision: 0,
	};
	return {
		self: self.incarnation,
		members: new Map([[self.incarnation, {...createMember(record, now), state: 'live'}]]),
		drains: new Map(),
		listedEntries: undefined,
		wanted: new Set(),
		checkedAt: now,
	};
}

/** Gets the member that represents this entry. */
export function getSelf(membership: Membership): Member {
	const member = membership.members.get(membership.self);
	if (!member) {
		throw new TypeError('Membership has no member for this entry');
	}

	return member;
}

/** Increments the heartbeat of this entry. */
export function incrementHeartbeat(membership: Membership, now: number): Membership {
	const self = getSelf(membership);
	return replaceMember(membership, {...self, record: {...self.record, heartbeat: self.record.heartbeat + 1}, advancedAt: now});
}

/** Marks this entry as leaving. */
export function markSelfLeaving(membership: Membership, now: number): Membership {
	return updateSelf(membership, {isLeaving: true}, now);
}

/** Sets the relative share of callers that this entry requests; 0 when it is overloaded. */
export function setWeight(membership: Membership, weight: number, now: number): Membership {
	const {record} = getSelf(membership);
	return weight === record.weight ? membership : updateSelf(membership, {weight, weightRevision: record.weightRevision + 1}, now);
}

function updateSelf(membership: Membership, change: Partial<MemberRecord>, now: number): Membership {
	const self = getSelf(membership);
	const record = {...self.record, ...change};
	const state = record.isLeaving ? 'leaving' : self.state;
	return replaceMember(membership, {
		...self, record, state, changedAt: now, mentions: 0,
	});
}

/** Merges two records of the same incarnation. */
export function mergeRecords(left: MemberRecord, right: MemberRecord): MemberRecord {
	const newerWeight = isNewerWeight(right, left) ? right : left;
	return {
		...left,
		generation: Math.max(left.generation, right.generation),
		heartbeat: Math.max(left.heartbeat, right.heartbeat),
		isLeaving: left.isLeaving || right.isLeaving,
		weight: newerWeight.weight,
		weightRevision: newerWeight.weightRevision,
	};
}

function isNewerWeight(left: MemberRecord, right: MemberRecord): boolean {
	return left.weightRevision > right.weightRevision || (left.weightRevision === right.weightRevision && left.weight > right.weight);
}

/** Merges two drain records of the same upstream: the higher sequence prevails, then the higher origin, then the draining state. */
export function mergeDrainRecords(left: DrainRecord, right: DrainRecord): DrainRecord {
	if (left.sequence !== right.sequence) {
		return left.sequence > right.sequence ? left : right;
	}

	if (left.origin !== right.origin) {
		return left.origin > right.origin ? left : right;
	}

	return left.isDraining ? left : right;
}

/**
Merges a received digest into the membership.

Records and heartbeats of this entry's own incarnation are ignored, so the only effect of received data on its own record
is a higher generation, set by `supersedeStaleIncarnation`.
*/
export function mergeDigest(membership: Membership, digest: Digest, now: number): MergeResult {
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
	const existing = members.get(record.incarnation);
	if (!existing) {
		const member = createMember(record, now);
		members.set(record.incarnation, record.isLeaving ? applyEvent(member, {type: 'left'}) : member);
		return true;
	}

	const merged = mergeRecords(existing.record, record);
	const isChanged = merged.isLeaving !== existing.record.isLeaving
		|| merged.weightRevision !== existing.record.weightRevision
		|| merged.weight !== existing.record.weight
		|| merged.generation !== existing.record.generation;
	const changed = isChanged
		? {
			...existing, record: merged, changedAt: now, mentions: 0,
		}
		: existing;
	const withLeaving = merged.isLeaving && !existing.record.isLeaving ? applyEvent(changed, {type: 'left'}) : changed;
	members.set(record.incarnation, advanceMember(withLeaving, record.heartbeat, existing.record.heartbeat, now));
	return isChanged;
}

function mergeHeartbeat(members: Map<string, Member>, heartbeat: Heartbeat, self: string, now: number): void {
	const existing = members.get(heartbeat.incarnation);
	if (!existing || heartbeat.incarnation === self) {
		return;
	}

	members.set(heartbeat.incarnation, advanceMember(existing, heartbeat.heartbeat, existing.record.heartbeat, now));
}

function advanceMember(member: Member, heartbeat: number, previousHeartbeat: number, now: number): Member {
	if (heartbeat <= previousHeartbeat) {
		return member;
	}

	const {record} = member;
	const next = member.state === 'live' ? member : applyEvent(member, {type: 'advanced', isLeaving: record.isLeaving});
	return {...next, record: {...record, heartbeat}, advancedAt: now};
}

function mergeDrains(drains: ReadonlyMap<string, Drain>, records: readonly DrainRecord[], now: number): ReadonlyMap<string, Drain> {
	let merged: Map<string, Drain> | undefined;
	for (const record of records) {
		const existing = (merged ?? drains).get(record.upstream);
		const prevailing = existing ? mergeDrainRecords(existing.record, record) : record;
		if (existing && isSameDrain(existing.record, prevailing)) {
			continue;
		}

		merged ??= new Map(drains);
		merged.set(record.upstream, createDrain(prevailing, now));
	}

	return merged ?? drains;
}

function isSameDrain(left: DrainRecord, right: DrainRecord): boolean {
	return left.sequence === right.sequence && left.origin === right.origin && left.isDraining === right.isDraining;
}

/** Drain state that an upstream reported to this entry. */
export type DrainObservation = {
	readonly upstream: string;
	readonly isDraining: boolean;
	/** Time of the report. */
	readonly reportedAt: number;
};

/** Records the drain state that an upstream reported to this entry. */
export function recordDrainObservation(membership: Membership, observation: DrainObservation, now: number): MergeResult {
	const {upstream, isDraining} = observation;
	const current = membership.drains.get(upstream);
	if (!isRecordNeeded(current, observation, now)) {
		return {membership, isUrgent: false};
	}

	const record: DrainRecord = {
		upstream, isDraining, sequence: (current?.record.sequence ?? 0) + 1, origin: membership.self,
	};
	const drains = new Map(membership.drains).set(upstream, createDrain(record, now));
	return {membership: {...membership, drains}, isUrgent: current?.record.isDraining !== isDraining};
}

/** Whether an observation changes or renews the current drain record. */
function isRecordNeeded(current: Drain | undefined, {isDraining, reportedAt}: DrainObservation, now: number): boolean {
	if (!current) {
		return isDraining;
	}

	if (current.record.isDraining !== isDraining) {
		return reportedAt >= current.learnedAt + drainHoldDownMilliseconds;
	}

	return isDraining && now >= current.learnedAt + drainRenewalMilliseconds;
}

/** Replaces the entries of the instance list after a successful read. */
export function setInstanceList(membership: Membership, entries: readonly ListedEntry[]): Membership {
	return {...membership, listedEntries: new Map(entries.map(entry => [entry.name, entry]))};
}

/** Applies the timeouts: suspects, removes and forgets instances, and expires drain records. */
export function applyTimeouts(membership: Membership, now: number): Membership {
	// While this entry was paused it couldn't receive heartbeats, so that time doesn't count as silence of the others.
	const pausedMilliseconds = Math.max(0, now - membership.checkedAt - pauseThresholdMilliseconds);
	const members = new Map<string, Member>();
	for (const [incarnation, member] of membership.members) {
		const adjusted = pausedMilliseconds > 0 ? {...member, advancedAt: member.advancedAt + pausedMilliseconds} : member;
		const next = incarnation === membership.self ? adjusted : applySilence(membership, adjusted, now);
		if (next.state !== 'gone' || now - next.advancedAt < goneRetentionMilliseconds) {
			members.set(incarnation, next);
		}
	}

	const drains = new Map([...membership.drains].filter(([, drain]) => now - drain.learnedAt < getDrainLifetime(drain)));
	const wanted = new Set([...membership.wanted].filter(incarnation => !members.has(incarnation)).slice(-maximumWanted));
	return supersedeStaleIncarnation({
		...membership, members, drains, wanted, checkedAt: now,
	}, now);
}

/** Maximum number of wanted incarnations that are retained. */
const maximumWanted = 256;

function getDrainLifetime(drain: Drain): number {
	return drain.record.isDraining ? drainExpiryMilliseconds : 2 * drainExpiryMilliseconds;
}

function applySilence(membership: Membership, member: Member, now: number): Member {
	const silentMilliseconds = now - member.advancedAt;
	if (silentMilliseconds < leavingTimeoutMilliseconds) {
		return member;
	}

	const listed = membership.listedEntries ? membership.listedEntries.get(member.record.name)?.state ?? 'absent' : 'unknown';
	return applyEvent(member, {type: 'silent', silentMilliseconds, listed});
}

/** Raises the generation of this entry above that of a silent or leaving incarnation of its name, which an earlier process left behind. */
function supersedeStaleIncarnation(membership: Membership, now: number): Membership {
	const stale = listNewerIncarnations(membership).find(member => now - member.advancedAt >= suspicionTimeoutMilliseconds || member.record.isLeaving);
	return stale ? updateSelf(membership, {generation: stale.record.generation + 1}, now) : membership;
}

/** Whether a newer incarnation of this entry's name is live. */
export function isSuperseded(membership: Membership): boolean {
	return listNewerIncarnations(membership).some(member => member.state === 'live');
}

/** Lists the other incarnations of this entry's name that are newer than this one. */
function listNewerIncarnations(membership: Membership): readonly Member[] {
	const {record} = getSelf(membership);
	return [...membership.members.values()].filter(member => member.record.name === record.name && isNewerIncarnation(member.record, record));
}

/** Whether the left record belongs to a newer incarnation than the right record of the same name: higher generation, then higher incarnation ID. */
export function isNewerIncarnation(left: MemberRecord, right: MemberRecord): boolean {
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
