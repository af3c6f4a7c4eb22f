/** Chooses what goes into a digest of bounded size: news first, then a random choice of heartbeats. */
import {type RandomSource} from '../random.ts';
import {
	drainsPerDigest, heartbeatsPerDigest, membersPerDigest, membersPerJoin, mentionsPerDoubling, reportsPerDigest, wantedPerDigest,
} from './constants.ts';
import {getSelf} from './merge.ts';
import {shuffle} from './partners.ts';
import {
	type Digest, type Drain, type Member, type Membership, type PeerReport,
} from './types.ts';

export type DigestContent = {
	readonly isJoining: boolean;
	readonly tablePosition: number;
	/** Freshest first. */
	readonly reports: readonly PeerReport[];
	readonly random: RandomSource;
	/** Digest that this one answers. */
	readonly answered?: Digest | undefined;
};

export type CreatedDigest = {
	/** Membership with the mentions counted. */
	readonly membership: Membership;
	readonly digest: Digest;
};

/** Creates a digest. */
export function createDigest(membership: Membership, content: DigestContent, now: number): CreatedDigest {
	const {answered} = content;
	const records = answered?.isJoining ? chooseAllMembers(membership) : chooseMembers(membership, answered?.wanted ?? []);
	const inRecords = new Set(records.map(member => member.record.incarnation));
	const heartbeats = chooseHeartbeats(membership, inRecords, content.random);
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

function getOthers(membership: Membership): readonly Member[] {
	return [...membership.members.values()].filter(member => member.state !== 'gone' && member.record.incarnation !== membership.self);
}

function chooseAllMembers(membership: Membership): readonly Member[] {
	return [getSelf(membership), ...getOthers(membership)].slice(0, membersPerJoin);
}

function chooseMembers(membership: Membership, wanted: readonly string[]): readonly Member[] {
	const limit = getMentionLimit(membership);
	const others = getOthers(membership);
	const news = others
		.filter(member => member.mentions < limit)
		.toSorted((left, right) => left.mentions - right.mentions || right.changedAt - left.changedAt);
	const asked = others.filter(member => wanted.includes(member.record.incarnation));
	return [...new Set([getSelf(membership), ...asked.slice(0, 1), ...news, ...asked])].slice(0, membersPerDigest);
}

/** A random choice spreads heartbeats with the smallest delay in the worst case; docs/MEMBERSHIP.md has the figures. */
function chooseHeartbeats(membership: Membership, inRecords: ReadonlySet<string>, random: RandomSource): readonly Member[] {
	const others = getOthers(membership).filter(member => !inRecords.has(member.record.incarnation));
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

/** Digests that must carry a change before it counts as known. */
function getMentionLimit(membership: Membership): number {
	return mentionsPerDoubling * Math.ceil(Math.log2(membership.members.size + 1));
}

type Mentioned = {
	readonly records: readonly Member[];
	readonly drains: readonly Drain[];
};

function countMentions(membership: Membership, mentioned: Mentioned, now: number): Membership {
	const members = new Map(membership.members);
	for (const member of mentioned.records) {
		members.set(member.record.incarnation, {...member, mentions: member.mentions + 1});
	}

	const drains = new Map(membership.drains);
	for (const drain of mentioned.drains) {
		drains.set(drain.record.upstream, {...drain, mentions: drain.mentions + 1, mentionedAt: now});
	}

	return {...membership, members, drains};
}
