/** Converts requests and updates of the sharing service to and from their wire form. */
import * as protobuf from '@bufbuild/protobuf';
import * as z from 'zod';
import * as configuration from '../decisions/configuration/types.ts';
import * as registry from '../decisions/registry/types.ts';
import {type RegistryUpdate} from '../decisions/registry/upstream-registry.ts';
import {type Member, type MemberUpdate} from '../decisions/sharing/types.ts';
import * as generated from '../generated/sharing_pb.ts';

/** Request of an entry that follows another entry: the follower, and the versions of its data. */
export type SharingRequest = {
	readonly follower: Member;
	/** Version of the follower's configuration; -1 for none. */
	readonly configurationVersion: number;
	/** Position of the follower in the registry; -1 for none. */
	readonly registryPosition: number;
	/** Incarnation of the entry that assigned `membersRevision`; empty for none. */
	readonly membersSource: string;
	/** Revision of the follower's member list; -1 for none. */
	readonly membersRevision: number;
	/** How long the responder may wait for changes before it answers. */
	readonly waitMilliseconds: number;
};

/** Changes that the follower has not received yet. */
export type SharingUpdate = {
	/** Age of the responder's data. */
	readonly ageMilliseconds: number;
	readonly configuration: configuration.Configuration | undefined;
	readonly registryUpdate: RegistryUpdate | undefined;
	/** Incarnation of the responder. */
	readonly membersSource: string;
	readonly memberUpdate: MemberUpdate;
};

const registryUpdateSchema = z.object({
	position: z.number(),
	isComplete: z.boolean(),
	changes: z.array(z.discriminatedUnion('kind', [
		z.object({kind: z.literal('registered'), registration: registry.registrationSchema}),
		z.object({kind: z.literal('removed'), id: z.string()}),
	])),
});

/** Ages are capped at this value, since larger ones carry no further information. */
const maximumAgeMilliseconds = 3_600_000;

function toMemberMessage(member: Member): generated.Member {
	return protobuf.create(generated.MemberSchema, {...member, startedAt: BigInt(Math.round(member.startedAt))});
}

function toMember({
	name, incarnation, startedAt, failureDomain, region, callerAddress, peerAddress, isReady, canRead, linkMegabits, cores, requestsPerSecond,
}: generated.Member): Member {
	return {
		name, incarnation, startedAt: Number(startedAt), failureDomain, region, callerAddress, peerAddress, isReady, canRead, linkMegabits, cores, requestsPerSecond,
	};
}

export function toRequestMessage(request: SharingRequest): generated.FollowRequest {
	return protobuf.create(generated.FollowRequestSchema, {
		...request,
		follower: toMemberMessage(request.follower),
		configurationVersion: BigInt(request.configurationVersion),
		registryPosition: BigInt(request.registryPosition),
		membersRevision: BigInt(request.membersRevision),
	});
}

/** Converts a request from its wire form; undefined if the follower is missing. */
export function toSharingRequest(message: generated.FollowRequest): SharingRequest | undefined {
	return message.follower && {
		follower: toMember(message.follower),
		configurationVersion: Number(message.configurationVersion),
		registryPosition: Number(message.registryPosition),
		membersSource: message.membersSource,
		membersRevision: Number(message.membersRevision),
		waitMilliseconds: message.waitMilliseconds,
	};
}

export function toUpdateMessage(update: SharingUpdate): generated.FollowResponse {
	return protobuf.create(generated.FollowResponseSchema, {
		ageMilliseconds: Math.round(Math.min(maximumAgeMilliseconds, update.ageMilliseconds)),
		configuration: update.configuration === undefined ? '' : JSON.stringify(update.configuration),
		registryUpdate: update.registryUpdate === undefined ? '' : JSON.stringify(update.registryUpdate),
		members: update.memberUpdate.members.map(member => toMemberMessage(member)),
		membersSource: update.membersSource,
		membersRevision: BigInt(update.memberUpdate.revision),
		membersComplete: update.memberUpdate.isComplete,
		removedMembers: [...update.memberUpdate.removed],
	});
}

/** Converts an update from its wire form; throws if a part is invalid, e.g. if another version of the program wrote it. */
export function toSharingUpdate(message: generated.FollowResponse): SharingUpdate {
	return {
		ageMilliseconds: message.ageMilliseconds,
		configuration: message.configuration === '' ? undefined : configuration.configurationSchema.parse(JSON.parse(message.configuration)),
		registryUpdate: message.registryUpdate === '' ? undefined : registryUpdateSchema.parse(JSON.parse(message.registryUpdate)),
		membersSource: message.membersSource,
		memberUpdate: {
			revision: Number(message.membersRevision),
			isComplete: message.membersComplete,
			members: message.members.map(member => toMember(member)),
			removed: message.removedMembers,
		},
	};
}
