/** Converts what entries share to and from its wire form. */
import * as protobuf from '@bufbuild/protobuf';
import * as z from 'zod';
import * as configuration from '../decisions/configuration/types.ts';
import * as registry from '../decisions/registry/types.ts';
import {type RegistryUpdate} from '../decisions/registry/upstream-registry.ts';
import {type Member} from '../decisions/sharing/types.ts';
import * as generated from '../generated/sharing_pb.ts';

/** What a follower knows, and who it is. */
export type FollowQuestion = {
	readonly follower: Member;
	/** Version of the configuration; -1 for none. */
	readonly configurationVersion: number;
	/** Position in the registry; -1 for none. */
	readonly registryPosition: number;
	readonly membersRevision: string;
	readonly waitMilliseconds: number;
};

/** What the follower lacks. */
export type FollowNews = {
	readonly ageMilliseconds: number;
	readonly configuration: configuration.Configuration | undefined;
	readonly registryUpdate: RegistryUpdate | undefined;
	/** All members; undefined where the follower's list is the same. */
	readonly members: readonly Member[] | undefined;
	readonly membersRevision: string;
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
	name, incarnation, startedAt, failureDomain, region, callerAddress, peerAddress, isReady, canRead,
}: generated.Member): Member {
	return {
		name, incarnation, startedAt: Number(startedAt), failureDomain, region, callerAddress, peerAddress, isReady, canRead,
	};
}

export function toQuestionMessage(question: FollowQuestion): generated.FollowRequest {
	return protobuf.create(generated.FollowRequestSchema, {
		...question,
		follower: toMemberMessage(question.follower),
		configurationVersion: BigInt(question.configurationVersion),
		registryPosition: BigInt(question.registryPosition),
	});
}

/** Reads a question; undefined where it names no follower. */
export function toQuestion(message: generated.FollowRequest): FollowQuestion | undefined {
	return message.follower && {
		follower: toMember(message.follower),
		configurationVersion: Number(message.configurationVersion),
		registryPosition: Number(message.registryPosition),
		membersRevision: message.membersRevision,
		waitMilliseconds: message.waitMilliseconds,
	};
}

export function toNewsMessage(news: FollowNews): generated.FollowResponse {
	return protobuf.create(generated.FollowResponseSchema, {
		ageMilliseconds: Math.round(Math.min(largestAge, news.ageMilliseconds)),
		configuration: news.configuration === undefined ? '' : JSON.stringify(news.configuration),
		registryUpdate: news.registryUpdate === undefined ? '' : JSON.stringify(news.registryUpdate),
		members: news.members?.map(member => toMemberMessage(member)) ?? [],
		membersRevision: news.membersRevision,
	});
}

/** Reads news; throws where another version of the program has written them. */
export function toNews(message: generated.FollowResponse): FollowNews {
	return {
		ageMilliseconds: message.ageMilliseconds,
		configuration: message.configuration === '' ? undefined : configuration.configurationSchema.parse(JSON.parse(message.configuration)),
		registryUpdate: message.registryUpdate === '' ? undefined : registryUpdateSchema.parse(JSON.parse(message.registryUpdate)),
		members: message.members.length === 0 ? undefined : message.members.map(member => toMember(member)),
		membersRevision: message.membersRevision,
	};
}
