/** Converts digests to and from their wire form. */
import * as protobuf from '@bufbuild/protobuf';
import {membersPerJoin} from '../decisions/membership/constants.ts';
import {
	type Digest, type DrainRecord, type MemberRecord, type PeerReport,
} from '../decisions/membership/types.ts';
import {
	type Digest as DigestMessage, DigestSchema, type Drain as DrainMessage, type Member as MemberMessage, type Report as ReportMessage,
} from '../generated/membership_pb.ts';

const incarnationDigits = 16;

/** Lists in a digest that are longer than this come from no entry of ours. */
const longestList = 2 * membersPerJoin;

/** Converts a digest to its wire form. */
export function toDigestMessage(digest: Digest): DigestMessage {
	return protobuf.create(DigestSchema, {
		sender: toNumber(digest.sender),
		isJoining: digest.isJoining,
		tablePosition: BigInt(digest.tablePosition),
		members: digest.members.map(member => ({
			...member,
			incarnation: toNumber(member.incarnation),
			generation: BigInt(member.generation),
			heartbeat: BigInt(member.heartbeat),
		})),
		heartbeatIncarnations: digest.heartbeats.map(({incarnation}) => toNumber(incarnation)),
		heartbeats: digest.heartbeats.map(({heartbeat}) => BigInt(heartbeat)),
		wanted: digest.wanted.map(incarnation => toNumber(incarnation)),
		drains: digest.drains.map(drain => ({...drain, sequence: BigInt(drain.sequence), origin: toNumber(drain.origin)})),
		reports: digest.reports.map(report => ({...report, ageMilliseconds: Math.max(0, Math.round(report.ageMilliseconds))})),
	});
}

/** Reads a digest from its wire form; lists beyond the bounds are cut. */
export function toDigest(message: DigestMessage): Digest {
	return {
		sender: toIncarnation(message.sender),
		isJoining: message.isJoining,
		tablePosition: Number(message.tablePosition),
		members: message.members.slice(0, longestList).map(member => toRecord(member)),
		heartbeats: message.heartbeatIncarnations.slice(0, longestList).map((incarnation, index) => ({
			incarnation: toIncarnation(incarnation),
			heartbeat: Number(message.heartbeats[index] ?? 0),
		})),
		wanted: message.wanted.slice(0, longestList).map(incarnation => toIncarnation(incarnation)),
		drains: message.drains.map(drain => toDrain(drain)),
		reports: message.reports.slice(0, longestList).map(report => toReport(report)),
	};
}

function toRecord(member: MemberMessage): MemberRecord {
	const {
		name, isLeaving, region, failureDomain, address, peerAddress, weight, weightRevision,
	} = member;
	return {
		name,
		incarnation: toIncarnation(member.incarnation),
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

function toDrain({upstream, isDraining, sequence, origin}: DrainMessage): DrainRecord {
	return {
		upstream, isDraining, sequence: Number(sequence), origin: toIncarnation(origin),
	};
}

function toReport(report: ReportMessage): PeerReport {
	const {
		service, upstream, slots, running, queued, isDraining, ageMilliseconds,
	} = report;
	return {
		service, upstream, slots, running, queued, isDraining, ageMilliseconds,
	};
}

function toNumber(incarnation: string): bigint {
	return BigInt(`0x${incarnation}`);
}

function toIncarnation(value: bigint): string {
	return value.toString(16).padStart(incarnationDigits, '0');
}
