/** Converts requests and updates of the sharing service to and from their wire form. */
import * as protobuf from '@bufbuild/protobuf';
import * as z from 'zod';
import * as exhaustiveness from '../decisions/assert-never.ts';
import type * as upstreamStatements from '../decisions/backpressure/upstream-statements.ts';
import * as configuration from '../decisions/configuration/types.ts';
import type * as evacuations from '../decisions/registry/evacuations.ts';
import * as registry from '../decisions/registry/types.ts';
import {type RegistryUpdate} from '../decisions/registry/upstream-registry.ts';
import {type Member, type MemberUpdate} from '../decisions/sharing/types.ts';
import * as generated from '../generated/sharing_pb.ts';

/** A statement of an upstream, with its age in place of a time, since the clocks of two entries differ. */
export type SharedStatement = Omit<upstreamStatements.UpstreamStatement<upstreamStatements.SharedContent>, 'heardAt'> & {readonly ageMilliseconds: number};

/** Request of an entry that follows another entry: the follower, and the versions of its data. */
export type SharingRequest = {
	readonly follower: Member;
	/** Version of the follower's configuration; -1 for none. */
	readonly configurationVersion: number;
	/** Position of the follower in the registry; -1 for none. */
	readonly registryPosition: number;
	/** Version of the follower's set of evacuated failure domains; -1 for none. */
	readonly evacuationsVersion: number;
	/** Incarnation of the entry that assigned `membersRevision`; empty for none. */
	readonly membersSource: string;
	/** Revision of the follower's member list; -1 for none. */
	readonly membersRevision: number;
	/** Statements that changed since the follower's last successful request to the responder. */
	readonly statements: readonly SharedStatement[];
	/** Revision of the responder's statements that the follower has; -1 for none. */
	readonly statementsRevision: number;
	/** How long the responder may wait for changes before it answers. */
	readonly waitMilliseconds: number;
};

/** Changes that the follower has not received yet. */
export type SharingUpdate = {
	/** Age of the responder's data. */
	readonly ageMilliseconds: number;
	readonly configuration: configuration.Configuration | undefined;
	readonly registryUpdate: RegistryUpdate | undefined;
	/** Set of evacuated failure domains; undefined if the follower's is current. */
	readonly evacuations: evacuations.EvacuationSet | undefined;
	/** Incarnation of the responder. */
	readonly membersSource: string;
	readonly memberUpdate: MemberUpdate;
	readonly statementsRevision: number;
	readonly statements: readonly SharedStatement[];
};

const registryUpdateSchema = z.object({
	position: z.number(),
	isComplete: z.boolean(),
	changes: z.array(z.discriminatedUnion('kind', [
		z.object({kind: z.literal('registered'), registration: registry.registrationSchema, removalDueInMilliseconds: z.number().nonnegative().optional()}),
		z.object({kind: z.literal('removed'), id: z.string()}),
	])),
});

/** Ages are capped at this value, since larger ones carry no further information. */
const maximumAgeMilliseconds = 3_600_000;

function toMemberMessage(member: Member): generated.Member {
	return protobuf.create(generated.MemberSchema, {...member, startedAt: BigInt(Math.round(member.startedAt))});
}

function toMember({
	name, incarnation, startedAt, failureDomain, region, callerAddress, peerAddress, isReady, canRead, isCutOff, linkMegabits, cores, requestsPerSecond,
}: generated.Member): Member {
	return {
		name, incarnation, startedAt: Number(startedAt), failureDomain, region, callerAddress, peerAddress, isReady, canRead, isCutOff, linkMegabits, cores, requestsPerSecond,
	};
}

function toStatementMessage({id, incarnation, content, ageMilliseconds}: SharedStatement): generated.UpstreamStatement {
	return protobuf.create(generated.UpstreamStatementSchema, {
		upstreamId: id,
		incarnation: BigInt(incarnation),
		ageMilliseconds: Math.round(Math.min(maximumAgeMilliseconds, Math.max(0, ageMilliseconds))),
		content: toContentMessage(content),
	});
}

function toContentMessage(content: upstreamStatements.SharedContent): generated.UpstreamStatement['content'] {
	switch (content.kind) {
		case 'rate-limit': {
			return {case: 'requestsPerSecond', value: content.requestsPerSecond};
		}

		case 'no-rate-limit': {
			return {case: 'isUnlimited', value: true};
		}

		case 'leaving': {
			return {case: 'isLeaving', value: true};
		}

		case 'cold': {
			return {case: 'cold', value: protobuf.create(generated.ColdStateSchema, {milliseconds: Math.round(content.milliseconds), requestsPerSecond: content.requestsPerSecond})};
		}

		default: {
			return exhaustiveness.assertNever(content);
		}
	}
}

/** Converts statements from their wire form; leaves out those of kinds that this version doesn't know. */
function toStatements(messages: readonly generated.UpstreamStatement[]): readonly SharedStatement[] {
	return messages.flatMap(({upstreamId, incarnation, ageMilliseconds, content}) => {
		const known = toContent(content);
		return known
			? [{
				id: upstreamId, incarnation: Number(incarnation), ageMilliseconds, content: known,
			}]
			: [];
	});
}

function toContent(content: generated.UpstreamStatement['content']): upstreamStatements.SharedContent | undefined {
	switch (content.case) {
		case 'requestsPerSecond': {
			return content.value > 0 ? {kind: 'rate-limit', requestsPerSecond: content.value} : undefined;
		}

		case 'isUnlimited': {
			return {kind: 'no-rate-limit'};
		}

		case 'isLeaving': {
			return content.value ? {kind: 'leaving'} : undefined;
		}

		case 'cold': {
			const {milliseconds, requestsPerSecond} = content.value;
			return requestsPerSecond > 0 ? {kind: 'cold', milliseconds, requestsPerSecond} : undefined;
		}

		case undefined: {
			return undefined;
		}

		default: {
			return exhaustiveness.assertNever(content);
		}
	}
}

export function toRequestMessage(request: SharingRequest): generated.FollowRequest {
	return protobuf.create(generated.FollowRequestSchema, {
		...request,
		follower: toMemberMessage(request.follower),
		configurationVersion: BigInt(request.configurationVersion),
		registryPosition: BigInt(request.registryPosition),
		evacuationsVersion: BigInt(request.evacuationsVersion),
		membersRevision: BigInt(request.membersRevision),
		statementsRevision: BigInt(request.statementsRevision),
		statements: request.statements.map(statement => toStatementMessage(statement)),
	});
}

/** Converts a request from its wire form; undefined if the follower is missing. */
export function toSharingRequest(message: generated.FollowRequest): SharingRequest | undefined {
	return message.follower && {
		follower: toMember(message.follower),
		configurationVersion: Number(message.configurationVersion),
		registryPosition: Number(message.registryPosition),
		evacuationsVersion: Number(message.evacuationsVersion),
		membersSource: message.membersSource,
		membersRevision: Number(message.membersRevision),
		statementsRevision: Number(message.statementsRevision),
		statements: toStatements(message.statements),
		waitMilliseconds: message.waitMilliseconds,
	};
}

export function toUpdateMessage(update: SharingUpdate): generated.FollowResponse {
	return protobuf.create(generated.FollowResponseSchema, {
		ageMilliseconds: Math.round(Math.min(maximumAgeMilliseconds, update.ageMilliseconds)),
		configuration: update.configuration === undefined ? '' : JSON.stringify(update.configuration),
		registryUpdate: update.registryUpdate === undefined ? '' : JSON.stringify(update.registryUpdate),
		...(update.evacuations && {evacuations: protobuf.create(generated.EvacuationSetSchema, {version: BigInt(update.evacuations.version), failureDomains: [...update.evacuations.failureDomains]})}),
		members: update.memberUpdate.members.map(member => toMemberMessage(member)),
		membersSource: update.membersSource,
		membersRevision: BigInt(update.memberUpdate.revision),
		membersComplete: update.memberUpdate.isComplete,
		removedMembers: [...update.memberUpdate.removed],
		statementsRevision: BigInt(update.statementsRevision),
		statements: update.statements.map(statement => toStatementMessage(statement)),
	});
}

/** Converts an update from its wire form; throws if a part is invalid, e.g. if another version of the program wrote it. */
export function toSharingUpdate(message: generated.FollowResponse): SharingUpdate {
	return {
		ageMilliseconds: message.ageMilliseconds,
		configuration: message.configuration === '' ? undefined : configuration.configurationSchema.parse(JSON.parse(message.configuration)),
		registryUpdate: message.registryUpdate === '' ? undefined : registryUpdateSchema.parse(JSON.parse(message.registryUpdate)),
		evacuations: message.evacuations && {version: Number(message.evacuations.version), failureDomains: message.evacuations.failureDomains},
		membersSource: message.membersSource,
		memberUpdate: {
			revision: Number(message.membersRevision),
			isComplete: message.membersComplete,
			members: message.members.map(member => toMember(member)),
			removed: message.removedMembers,
		},
		statementsRevision: Number(message.statementsRevision),
		statements: toStatements(message.statements),
	};
}
