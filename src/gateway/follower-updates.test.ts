import * as protobuf from '@bufbuild/protobuf';
import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import type * as configuration from '../decisions/configuration/types.ts';
import * as positions from '../decisions/registry/positions.ts';
import * as upstreamRegistry from '../decisions/registry/upstream-registry.ts';
import type * as registryTypes from '../decisions/registry/types.ts';
import * as memberList from '../decisions/sharing/member-list.ts';
import type * as sharing from '../decisions/sharing/types.ts';
import * as generated from '../generated/sharing_pb.ts';
import * as codec from '../peers/sharing-codec.ts';
import * as followerUpdates from './follower-updates.ts';

const {expect, test} = vitest;

/** Time in which a configuration must be in force, and the bandwidth of the widest link of a large deployment. */
const configurationMilliseconds = 3000;
const linkBytesPerMillisecond = 17_500;
const followers = 311;
const upstreamCount = 600;
const routeCount = 1400;

function createMember(index: number): sharing.Member {
	return {
		name: `edge-riverside-${index}`, incarnation: `${index}`.padStart(16, '5'), startedAt: 1_787_674_693_000 + index, failureDomain: 'riverside', region: 'east', callerAddress: `10.2.0.${index}:8144`, peerAddress: `10.2.0.${index}:8146`, isReady: true, canRead: true, isCutOff: false, linkMegabits: 20, cores: 0.27, requestsPerSecond: 10,
	};
}

const createRegistration = (index: number, sequence = 1): registryTypes.Registration => ({
	id: `i-${index.toString(16).padStart(10, '7')}`, service: 'desk', address: `10.4.64.${index}:8663`, failureDomain: 'riverside', slots: 4, state: 'ready', warmUpMilliseconds: 0, incarnation: 1_787_674_693_212 + index, sequence,
});

const createConfiguration = (): configuration.Configuration => ({
	version: 7,
	routes: Array.from({length: routeCount}, (_value, index) => ({
		name: `r-${(index * 7919).toString(36)}`, host: 'desk.example', pathPrefix: `/lohu${(index * 104_729).toString(36)}/`, kind: 'idempotent', destinations: [{service: 'desk', weight: 1}], timeoutMilliseconds: 5000, objectiveMilliseconds: 1500, maximumAttempts: 2, priority: 2, isPublic: false,
	})),
	services: [],
	workspaces: [],
	limits: {
		headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1,
	},
});

function createFleetState() {
	const registry = upstreamRegistry.createUpstreamRegistry();
	registry.applySnapshot({era: 0, from: upstreamCount, to: upstreamCount}, Array.from({length: upstreamCount}, (_value, index) => {
		const registration = createRegistration(index);
		return {kind: 'registered', id: registration.id, registration} as const;
	}));
	const members = memberList.createMemberList(() => createMember(0));
	for (let index = 1; index <= followers; index++) {
		members.recordMember(createMember(index), 0);
	}

	return {registry, members};
}

// Guards against a source that its followers lose at the moment when all of them need its state, since its link can't carry it in time.
test('the state of a large deployment reaches all followers of one source within a third of the time that a change may take', () => {
	const {registry, members} = createFleetState();
	const updates = followerUpdates.createFollowerUpdates({registry, members, getNow: () => 0});
	const configurationInForce = createConfiguration();
	let bytes = 0;
	for (let count = 0; count < followers; count++) {
		const message = codec.toUpdateMessage({
			ageMilliseconds: 0, recoveryMilliseconds: 0, storeEra: 2, configuration: configurationInForce, configurationEra: 2, registryUpdate: updates.getRegistryUpdate(positions.initialPosition), evacuations: undefined, membersSource: 's', memberUpdate: updates.getMemberUpdate(-1), statementsRevision: 0, statements: [],
		}, true);
		bytes += protobuf.toBinary(generated.FollowResponseSchema, message).length;
	}

	expect(bytes).toBeLessThan(linkBytesPerMillisecond * configurationMilliseconds / 3);
});

test.each([true, false])('an update is read as it was sent (compressed: %s)', isCompressed => {
	const {registry, members} = createFleetState();
	const updates = followerUpdates.createFollowerUpdates({registry, members, getNow: () => 0});
	const update: codec.SharingUpdate = {
		ageMilliseconds: 3, recoveryMilliseconds: 1500, storeEra: 3.5, configuration: createConfiguration(), configurationEra: 3, registryUpdate: updates.getRegistryUpdate(positions.initialPosition), evacuations: {
			era: 3.5, version: 4, failureDomains: ['here'], remembersEarlier: true,
		}, membersSource: 's', memberUpdate: updates.getMemberUpdate(-1), statementsRevision: 0, statements: [],
	};
	const bytes = protobuf.toBinary(generated.FollowResponseSchema, codec.toUpdateMessage(update, isCompressed));
	expect(codec.toSharingUpdate(protobuf.fromBinary(generated.FollowResponseSchema, bytes))).toEqual(update);
});

test('complete updates are reused for a short while only, and not while removals are held back', () => {
	const {registry, members} = createFleetState();
	let now = 0;
	const updates = followerUpdates.createFollowerUpdates({registry, members, getNow: () => now});
	const [first, firstMembers] = [updates.getRegistryUpdate(positions.initialPosition), updates.getMemberUpdate(-1)];
	now = 150;
	expect(updates.getRegistryUpdate(positions.initialPosition)).toBe(first);
	expect(updates.getMemberUpdate(-1)).toBe(firstMembers);
	now = 250;
	expect(updates.getRegistryUpdate(positions.initialPosition)).not.toBe(first);
	expect(updates.getMemberUpdate(-1)).not.toBe(firstMembers);
	registry.applyRecords({era: 0, from: upstreamCount, to: upstreamCount + 1}, [{kind: 'removed', id: createRegistration(3).id}], 2000);
	const getDueTimes = () => updates.getRegistryUpdate(positions.initialPosition)!.changes.flatMap(change => change.kind === 'registered' ? change.removalDueInMilliseconds ?? [] : []);
	expect(getDueTimes()).toEqual([1750]);
	now = 300;
	expect(getDueTimes()).toEqual([1700]);
});

// Guards against an entry that takes the one that it asks for unready, and reads the store by itself, because that has just become ready.
test('a reused list of members never has an outdated state of its sender', () => {
	const {registry} = createFleetState();
	let isReady = false;
	const members = memberList.createMemberList(() => ({...createMember(0), isReady}));
	const updates = followerUpdates.createFollowerUpdates({registry, members, getNow: () => 0});
	expect(updates.getMemberUpdate(-1).members[0]!.isReady).toBe(false);
	isReady = true;
	expect(updates.getMemberUpdate(-1).members[0]!.isReady).toBe(true);
});

test('whenever followers ask, they end with the registry of their source', () => {
	const operation = fastCheck.oneof(
		fastCheck.record({kind: fastCheck.constant('record' as const), id: fastCheck.nat(3), isRemoved: fastCheck.boolean()}),
		fastCheck.record({kind: fastCheck.constant('snapshot' as const), ids: fastCheck.uniqueArray(fastCheck.nat(3))}),
		fastCheck.record({kind: fastCheck.constant('ask' as const), follower: fastCheck.nat(2)}),
		fastCheck.record({kind: fastCheck.constant('wait' as const), milliseconds: fastCheck.nat(300)}),
	);
	fastCheck.assert(fastCheck.property(fastCheck.array(operation, {maxLength: 40}), operations => {
		const source = upstreamRegistry.createUpstreamRegistry();
		const others = Array.from({length: 3}, () => upstreamRegistry.createUpstreamRegistry());
		const {members} = createFleetState();
		let now = 0;
		let sequence = 1;
		const updates = followerUpdates.createFollowerUpdates({registry: source, members, getNow: () => now});
		const createRecord = (id: number) => {
			const registration = createRegistration(id, sequence++);
			return {kind: 'registered', id: registration.id, registration} as const;
		};

		const ask = (follower: upstreamRegistry.UpstreamRegistry) => {
			const update = updates.getRegistryUpdate(follower.getPosition());
			if (update) {
				follower.applyUpdate(update, now);
			}
		};

		source.applySnapshot({era: 0, from: 0, to: 0}, []);
		for (const step of operations) {
			const {offset: position} = source.getPosition();
			switch (step.kind) {
				case 'record': {
					const record = createRecord(step.id);
					source.applyRecords({era: 0, from: position, to: position + 1}, [step.isRemoved ? {kind: 'removed', id: record.id} : record]);
					break;
				}

				case 'snapshot': {
					source.applySnapshot({era: 0, from: position, to: position + 1}, step.ids.map(id => createRecord(id)));
					break;
				}

				case 'ask': {
					ask(others[step.follower]!);
					break;
				}

				case 'wait': {
					now += step.milliseconds;
					break;
				}
			}
		}

		source.applyRecords({era: 0, from: source.getPosition().offset, to: source.getPosition().offset + 1}, [createRecord(4)]);
		for (const follower of others) {
			ask(follower);
			ask(follower);
			expect(follower.list().map(({id}) => id).toSorted()).toEqual(source.list().map(({id}) => id).toSorted());
		}
	}), {seed: 47, numRuns: 300});
});
