/** Converts requests and updates of the sharing service to and from their wire form. */
import * as buffer from 'node:buffer';
import * as protobuf from '@bufbuild/protobuf';
import * as z from 'zod';
import * as exhaustiveness from '../decisions/assert-never.ts';
import type * as upstreamStatements from '../decisions/backpressure/upstream-statements.ts';
import * as configuration from '../decisions/configuration/types.ts';
import type * as evacuations from '../decisions/registry/evacuations.ts';
import * as positions from '../decisions/registry/positions.ts';
import * as registry from '../decisions/registry/types.ts';
import type * as registryChanges from '../decisions/registry/registry-changes.ts';
import {type Member, type MemberUpdate} from '../decisions/sharing/types.ts';
import * as generated from '../generated/sharing_pb.ts';
import * as compressedState from './compressed-state.ts';

/** A statement of an upstream, with its age in place of a time, since the clocks of two entries differ. */
export type SharedStatement = Omit<upstreamStatements.UpstreamStatement<upstreamStatements.SharedContent>, 'heardAt'> & {readonly ageMilliseconds: number};

/** Request of an entry that follows another entry: the follower, and the versions of its data. */
export type SharingRequest = {
	readonly follower: Member;
	/** Latest era of the store that the follower knows; undefined if it knows none. */
	readonly storeEra: number | undefined;
	/** Version of the follower's configuration; -1 for none. */
	readonly configurationVersion: number;
	/** Era in which the follower's configuration was received. */
	readonly configurationEra: number | undefined;
	/** Position of the follower in the registry. */
	readonly registryPosition: FollowerPosition;
	/** Position from which on all of the registry completes that of a follower that remembers no earlier era; undefined if it remembers one, and from entries of earlier versions. */
	readonly unsharedPosition: number | undefined;
	/** Position up to which the follower's set of evacuated failure domains is current. */
	readonly evacuationsPosition: FollowerPosition;
	/** Whether the follower remembers no evacuations of an earlier era; false from entries of earlier versions. */
	readonly lacksEarlierEvacuations: boolean;
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
	/** Whether the follower reads compressed updates, which entries of earlier versions don't. */
	readonly acceptsCompressed: boolean;
};

/** Position of a follower; entries of earlier versions state no era. */
export type FollowerPosition = {readonly era: number | undefined; readonly offset: number};

/** Changes that the follower has not received yet. */
export type SharingUpdate = {
	/** Latest era of the store that the responder knows; undefined if it knows none. */
	readonly storeEra: number | undefined;
	/** Age of the responder's data. */
	readonly ageMilliseconds: number;
	/** Remaining time in which removals are held back after an outage of the store; 0 if there was none lately. */
	readonly recoveryMilliseconds: number;
	readonly configuration: configuration.Configuration | undefined;
	/** Era in which `configuration` was received. */
	readonly configurationEra: number | undefined;
	readonly registryUpdate: registryChanges.RegistryUpdate | undefined;
	/** Set of evacuated failure domains; undefined if the follower's is current. */
	readonly evacuations: evacuations.EvacuationSet | undefined;
	/** Incarnation of the responder. */
	readonly membersSource: string;
	readonly memberUpdate: MemberUpdate;
	readonly statementsRevision: number;
	readonly statements: readonly SharedStatement[];
};

const registryUpdateSchema = z.object({
	/** Entries of earlier versions state no era. */
	era: z.number().default(positions.initialPosition.era),
	position: z.number(),
	isComplete: z.boolean(),
	/** Entries of earlier versions don't state it. */
	remembersEarlier: z.boolean().default(false),
	changes: z.array(z.discriminatedUnion('kind', [
		z.object({kind: z.literal('registered'), registration: registry.registrationSchema, removalDueInMilliseconds: z.number().nonnegative().optional()}),
		z.object({kind: z.literal('removed'), id: z.string()}),
	])),
	/** Entries of earlier versions don't send them. */
	latestRemovals: z.array(z.object({registration: registry.registrationSchema, era: z.number()})).default([]),
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
		registryPosition: BigInt(request.registryPosition.offset),
		registryEra: request.registryPosition.era,
		unsharedPosition: request.unsharedPosition === undefined ? undefined : BigInt(request.unsharedPosition),
		evacuationsVersion: BigInt(request.evacuationsPosition.offset),
		evacuationsEra: request.evacuationsPosition.era,
		membersRevision: BigInt(request.membersRevision),
		statementsRevision: BigInt(request.statementsRevision),
		statements: request.statements.map(statement => toStatementMessage(statement)),
	});
}

/** Converts a request from its wire form; undefined if the follower is missing. */
export function toSharingRequest(message: generated.FollowRequest): SharingRequest | undefined {
	return message.follower && {
		follower: toMember(message.follower),
		storeEra: message.storeEra,
		configurationVersion: Number(message.configurationVersion),
		configurationEra: message.configurationEra,
		registryPosition: {era: message.registryEra, offset: Number(message.registryPosition)},
		unsharedPosition: message.unsharedPosition === undefined ? undefined : Number(message.unsharedPosition),
		lacksEarlierEvacuations: message.lacksEarlierEvacuations,
		evacuationsPosition: {era: message.evacuationsEra, offset: Number(message.evacuationsVersion)},
		membersSource: message.membersSource,
		membersRevision: Number(message.membersRevision),
		statementsRevision: Number(message.statementsRevision),
		statements: toStatements(message.statements),
		waitMilliseconds: message.waitMilliseconds,
		acceptsCompressed: message.acceptsCompressed,
	};
}

const configurationCompressor = compressedState.createStateCompressor<configuration.Configuration>(value => JSON.stringify(value));
const registryCompressor = compressedState.createStateCompressor<registryChanges.RegistryUpdate>(value => JSON.stringify(value));
const membersCompressor = compressedState.createStateCompressor<readonly Member[]>(members => protobuf.toBinary(generated.MemberListSchema, protobuf.create(generated.MemberListSchema, {members: members.map(member => toMemberMessage(member))})));
/** Number of routes, registrations or members from which on a part that many followers receive is compressed. */
const compressedEntries = 16;

/** The parts of an update that grow with the deployment; those with few entries aren't compressed. */
type LargeParts = Partial<Pick<generated.FollowResponse, 'configuration' | 'registryUpdate' | 'members' | 'compressedConfiguration' | 'compressedRegistryUpdate' | 'compressedMembers'>>;

function toConfigurationPart(value: configuration.Configuration | undefined, isCompressed: boolean): LargeParts {
	if (value === undefined) {
		return {};
	}

	return isCompressed && value.routes.length >= compressedEntries ? {compressedConfiguration: configurationCompressor.compress(value)} : {configuration: JSON.stringify(value)};
}

function toRegistryPart(update: registryChanges.RegistryUpdate | undefined, isCompressed: boolean): LargeParts {
	if (update === undefined) {
		return {};
	}

	return isCompressed && update.isComplete && update.changes.length >= compressedEntries ? {compressedRegistryUpdate: registryCompressor.compress(update)} : {registryUpdate: JSON.stringify(update)};
}

function toMembersPart({members, isComplete}: MemberUpdate, isCompressed: boolean): LargeParts {
	return isCompressed && isComplete && members.length >= compressedEntries ? {compressedMembers: membersCompressor.compress(members)} : {members: members.map(member => toMemberMessage(member))};
}

/** Converts an update to its wire form; large parts are compressed if the follower accepts that. */
export function toUpdateMessage(update: SharingUpdate, isCompressed: boolean): generated.FollowResponse {
	return protobuf.create(generated.FollowResponseSchema, {
		ageMilliseconds: Math.round(Math.min(maximumAgeMilliseconds, update.ageMilliseconds)),
		recoveryMilliseconds: Math.ceil(update.recoveryMilliseconds),
		storeEra: update.storeEra,
		configurationEra: update.configurationEra,
		...toConfigurationPart(update.configuration, isCompressed),
		...toRegistryPart(update.registryUpdate, isCompressed),
		...toMembersPart(update.memberUpdate, isCompressed),
		...(update.evacuations && {
			evacuations: protobuf.create(generated.EvacuationSetSchema, {
				era: update.evacuations.era, version: BigInt(update.evacuations.version), remembersEarlier: update.evacuations.remembersEarlier, failureDomains: [...update.evacuations.failureDomains],
			}),
		}),
		membersSource: update.membersSource,
		membersRevision: BigInt(update.memberUpdate.revision),
		membersComplete: update.memberUpdate.isComplete,
		removedMembers: [...update.memberUpdate.removed],
		statementsRevision: BigInt(update.statementsRevision),
		statements: update.statements.map(statement => toStatementMessage(statement)),
	});
}

function readText(text: string, compressed: Uint8Array): string {
	return compressed.length === 0 ? text : buffer.Buffer.from(compressedState.decompress(compressed)).toString('utf8');
}

function parseText<Value>(text: string, schema: z.ZodType<Value>): Value | undefined {
	return text === '' ? undefined : schema.parse(JSON.parse(text));
}

function readMembers({members, compressedMembers}: generated.FollowResponse): readonly generated.Member[] {
	return compressedMembers.length === 0 ? members : protobuf.fromBinary(generated.MemberListSchema, compressedState.decompress(compressedMembers)).members;
}

/** Converts an update from its wire form; throws if a part is invalid, e.g. if another version of the program wrote it. */
export function toSharingUpdate(message: generated.FollowResponse): SharingUpdate {
	return {
		ageMilliseconds: message.ageMilliseconds,
		recoveryMilliseconds: message.recoveryMilliseconds,
		storeEra: message.storeEra,
		configurationEra: message.configurationEra,
		configuration: parseText(readText(message.configuration, message.compressedConfiguration), configuration.configurationSchema),
		registryUpdate: parseText(readText(message.registryUpdate, message.compressedRegistryUpdate), registryUpdateSchema),
		evacuations: message.evacuations && {
			era: message.evacuations.era, version: Number(message.evacuations.version), remembersEarlier: message.evacuations.remembersEarlier, failureDomains: message.evacuations.failureDomains,
		},
		membersSource: message.membersSource,
		memberUpdate: {
			revision: Number(message.membersRevision),
			isComplete: message.membersComplete,
			members: readMembers(message).map(member => toMember(member)),
			removed: message.removedMembers,
		},
		statementsRevision: Number(message.statementsRevision),
		statements: toStatements(message.statements),
	};
}
