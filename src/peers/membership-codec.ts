/** Converts digests to and from their wire form. */
import * as protobuf from '@bufbuild/protobuf';
import {membersPerJoin} from '../decisions/membership/constants.ts';
import {
	type Digest, type DrainRecord, type MemberRecord, type PeerReport,
} from '../decisions/membership/types.ts';
import {
	type Digest as DigestMessage, DigestSchema, type Drain as DrainMessage, type Member as MemberMessage, type Report as ReportMessage,
} from '../generated/membership_pb.ts';

const incarnationHexDigits = 16;

/** Maximum length of a list in a received digest; no entry sends longer lists. */
const maximumListLength = 2 * membersPerJoin;

/** Converts a digest to its wire form. */
export function toDigestMessage(digest: Digest): DigestMessage {
	return protobuf.create(DigestSchema, {
		sender: parseIncarnation(digest.sender),
		isJoining: digest.isJoining,
		tablePosition: BigInt(digest.tablePosition),
		members: digest.members.map(member => ({
			...member,
			incarnation: parseIncarnation(member.incarnation),
			generation: BigInt(member.generation),
			heartbeat: BigInt(member.heartbeat),
		})),
		heartbeatIncarnations: digest.heartbeats.map(({incarnation}) => parseIncarnation(incarnation)),
		heartbeats: digest.heartbeats.map(({heartbeat}) => BigInt(heartbeat)),
		wanted: digest.wanted.map(incarnation => parseIncarnation(incarnation)),
		drains: digest.drains.map(drain => ({...drain, sequence: BigInt(drain.sequence), origin: parseIncarnation(drain.origin)})),
		reports: digest.reports.map(report => ({...report, ageMilliseconds: Math.max(0, Math.round(report.ageMilliseconds))})),
	});
}

/** Converts a digest from its wire form; lists above the maximum length are truncated, except that of the drains. */
export function toDigest(message: DigestMessage): Digest {
	return {
		sender: formatIncarnation(message.sender),
		isJoining: message.isJoining,
		tablePosition: Number(message.tablePosition),
		members: message.members.slice(0, maximumListLength).map(member => toMemberRecord(member)),
		heartbeats: message.heartbeatIncarnations.slice(0, maximumListLength).map((incarnation, index) => ({
			incarnation: formatIncarnation(incarnation),
			heartbeat: Number(message.heartbeats[index] ?? 0),
		})),
		wanted: message.wanted.slice(0, maximumListLength).map(incarnation => formatIncarnation(incarnation)),
		drains: message.drains.map(drain => toDrainRecord(drain)),
		reports: message.reports.slice(0, maximumListLength).map(report => toPeerReport(report)),
	};
}

function toMemberRecord(member: MemberMessage): MemberRecord {
	const {
		name, isLeaving, region, failureDomain, address, peerAddress, weight, weightRevision,
	} = member;
	return {
		name,
		incarnation: formatIncarnation(member.incarnation),
		generation: Number(member.generation),
		region,
		failureDomain,
		address,
		peerAddress,
		heartbeat: Number(member.heartbeat),
		isLeaving,
		weight,
		weightRevision,
	};
}

function toDrainRecord({upstream, isDraining, sequence, origin}: DrainMessage): DrainRecord {
	return {
		upstream, isDraining, sequence: Number(sequence), origin: formatIncarnation(origin),
	};
}

function toPeerReport(report: ReportMessage): PeerReport {
	const {
		service, upstream, slots, running, queued, isDraining, ageMilliseconds,
	} = report;
	return {
		service, upstream, slots, running, queued, isDraining, ageMilliseconds,
	};
}

function parseIncarnation(incarnation: string): bigint {
	return BigInt(`0x${incarnation}`);
}

function formatIncarnation(value: bigint): string {
	return value.toString(16).padStart(incarnationHexDigits, '0');
}
