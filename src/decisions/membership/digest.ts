/** Creates digests of bounded size: recently changed records first, then a random selection of heartbeats. */
import {type RandomSource} from '../random.ts';
import {
	drainsPerDigest, heartbeatsPerDigest, membersPerDigest, membersPerJoin, mentionsPerDoubling, reportsPerDigest, wantedPerDigest,
} from './constants.ts';
import {getSelf} from './merge.ts';
import {shuffle} from './partners.ts';
import {
	type Digest, type Drain, type Member, type Membership, type PeerReport,
} from './types.ts';

/** Parts of a digest that come from outside the membership, and the source of randomness. */
export type DigestContent = {
	readonly isJoining: boolean;
	readonly tablePosition: number;
	/** Load reports, newest first. */
	readonly reports: readonly PeerReport[];
	readonly random: RandomSource;
	/** Received digest that the new one answers. */
	readonly answered?: Digest | undefined;
};

/** A new digest and the membership after its creation. */
export type CreatedDigest = {
	/** Membership with the mention counts of the included records incremented. */
	readonly membership: Membership;
	readonly digest: Digest;
};

/**
Creates a digest for another entry.

The answer to a joining entry contains up to `membersPerJoin` members and all drain records.
*/
export function createDigest(membership: Membership, content: DigestContent, now: number): CreatedDigest {
	const {answered} = content;
	const records = answered?.isJoining ? listMembersForJoin(membership) : chooseMembers(membership, answered?.wanted ?? []);
	const includedIncarnations = new Set(records.map(member => member.record.incarnation));
	const heartbeats = chooseHeartbeats(membership, includedIncarnations, content.random);
	const drains = chooseDrains(membership, answered?.isJoining ? Number.POSITIVE_INFINITY : drainsPerDigest);
	return {
		membership: countMentions(membership, {records, drains}, now),
		digest: {
			sender: membership.self,
			isJoining: content.isJoining,
			tablePosition: content.tablePosition,
			members: records.map(member => member.record),
			heartbeats: heartbeats.map(({record}) => ({incarnation: record.incarnation, heartbeat: record.heartbeat})),
			wanted: [...membership.wanted].slice(0, wantedPerDigest),
			drains: drains.map(drain => drain.record),
			reports: content.reports.slice(0, reportsPerDigest),
		},
	};
}

function listOtherMembers(membership: Membership): readonly Member[] {
	return [...membership.members.values()].filter(member => member.state !== 'gone' && member.record.incarnation !== membership.self);
}

function listMembersForJoin(membership: Membership): readonly Member[] {
	return [getSelf(membership), ...listOtherMembers(membership)].slice(0, membersPerJoin);
}

function chooseMembers(membership: Membership, wanted: readonly string[]): readonly Member[] {
	const limit = getMentionLimit(membership);
	const others = listOtherMembers(membership);
	const recentlyChanged = others
		.filter(member => member.mentions < limit)
		.toSorted((left, right) => left.mentions - right.mentions || right.changedAt - left.changedAt);
	const requested = others.filter(member => wanted.includes(member.record.incarnation));
	return [...new Set([getSelf(membership), ...requested.slice(0, 1), ...recentlyChanged, ...requested])].slice(0, membersPerDigest);
}

/** Chooses heartbeats at random, because random selection has the smallest worst-case propagation delay; see docs/MEMBERSHIP.md for the figures. */
function chooseHeartbeats(membership: Membership, includedIncarnations: ReadonlySet<string>, random: RandomSource): readonly Member[] {
	const others = listOtherMembers(membership).filter(member => !includedIncarnations.has(member.record.incarnation));
	return shuffle(others, random).slice(0, heartbeatsPerDigest);
}

function chooseDrains(membership: Membership, count: number): readonly Drain[] {
	const limit = getMentionLimit(membership);
	return [...membership.drains.values()]
		.toSorted((left, right) => Number(left.mentions >= limit) - Number(right.mentions >= limit)
			|| left.mentionedAt - right.mentionedAt
			|| right.learnedAt - left.learnedAt)
		.slice(0, count);
}

/** Gets the number of digests after which a change is assumed to be known to all entries and no longer takes precedence. */
function getMentionLimit(membership: Membership): number {
	return mentionsPerDoubling * Math.ceil(Math.log2(membership.members.size + 1));
}

/** Records that a digest includes. */
type IncludedRecords = {
	readonly records: readonly Member[];
	readonly drains: readonly Drain[];
};

function countMentions(membership: Membership, included: IncludedRecords, now: number): Membership {
	const members = new Map(membership.members);
	for (const member of included.records) {
		members.set(member.record.incarnation, {...member, mentions: member.mentions + 1});
	}

	const drains = new Map(membership.drains);
	for (const drain of included.drains) {
		drains.set(drain.record.upstream, {...drain, mentions: drain.mentions + 1, mentionedAt: now});
	}

	return {...membership, members, drains};
}
