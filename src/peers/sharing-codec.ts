/** Converts what entries share to and from its wire form. */
import * as protobuf from '@bufbuild/protobuf';
import * as z from 'zod';
import * as configuration from '../decisions/configuration/types.ts';
import * as registry from '../decisions/registry/types.ts';
import {type RegistryUpdate} from '../decisions/registry/upstream-registry.ts';
import {type Member, type MemberUpdate} from '../decisions/sharing/types.ts';
import * as generated from '../generated/sharing_pb.ts';

/** What a follower knows, and who it is. */
export type FollowQuestion = {
	readonly follower: Member;
	/** Version of the configuration; -1 for none. */
	readonly configurationVersion: number;
	/** Position in the registry; -1 for none. */
	readonly registryPosition: number;
	/** Incarnation of the entry that numbered the revision; empty for none. */
	readonly membersSource: string;
	/** Revision of the members that the follower knows; -1 for none. */
	readonly membersRevision: number;
	readonly waitMilliseconds: number;
};

/** What the follower lacks. */
export type FollowNews = {
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

/** Ages above this say nothing more, in milliseconds. */
const largestAge = 3_600_000;

function toMemberMessage(member: Member): generated.Member {
	return protobuf.create(generated.MemberSchema, {...member, startedAt: BigInt(Math.round(member.startedAt))});
}

function toMember({
	name, incarnation, startedAt, failureDomain, region, callerAddress, peerAddress, isReady, canRead, linkMegabits,
}: generated.Member): Member {
	return {
		name, incarnation, startedAt: Number(startedAt), failureDomain, region, callerAddress, peerAddress, isReady, canRead, linkMegabits,
	};
}

export function toQuestionMessage(question: FollowQuestion): generated.FollowRequest {
	return protobuf.create(generated.FollowRequestSchema, {
		...question,
		follower: toMemberMessage(question.follower),
		configurationVersion: BigInt(question.configurationVersion),
		registryPosition: BigInt(question.registryPosition),
		membersRevision: BigInt(question.membersRevision),
	});
}

/** Reads a question; undefined where it names no follower. */
export function toQuestion(message: generated.FollowRequest): FollowQuestion | undefined {
	return message.follower && {
		follower: toMember(message.follower),
		configurationVersion: Number(message.configurationVersion),
		registryPosition: Number(message.registryPosition),
		membersSource: message.membersSource,
		membersRevision: Number(message.membersRevision),
		waitMilliseconds: message.waitMilliseconds,
	};
}

export function toNewsMessage(news: FollowNews): generated.FollowResponse {
	return protobuf.create(generated.FollowResponseSchema, {
		ageMilliseconds: Math.round(Math.min(largestAge, news.ageMilliseconds)),
		configuration: news.configuration === undefined ? '' : JSON.stringify(news.configuration),
		registryUpdate: news.registryUpdate === undefined ? '' : JSON.stringify(news.registryUpdate),
		members: news.memberUpdate.members.map(member => toMemberMessage(member)),
		membersSource: news.membersSource,
		membersRevision: BigInt(news.memberUpdate.revision),
		membersComplete: news.memberUpdate.isComplete,
		removedMembers: [...news.memberUpdate.removed],
	});
}

/** Reads news; throws where another version of the program has written them. */
export function toNews(message: generated.FollowResponse): FollowNews {
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
