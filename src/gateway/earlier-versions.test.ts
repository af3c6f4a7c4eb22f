/** Checks what entries exchange with entries of earlier versions of the program, whose messages lack the newer fields, after the store has returned from an older copy. */
import * as protobuf from '@bufbuild/protobuf';
import * as vitest from 'vitest';
import * as storeReplay from '../../test/support/store-replay.ts';
import * as evacuationsModule from '../decisions/registry/evacuations.ts';
import * as upstreamRegistry from '../decisions/registry/upstream-registry.ts';
import * as generated from '../generated/sharing_pb.ts';
import * as codec from '../peers/sharing-codec.ts';
import * as followerUpdates from './follower-updates.ts';
import * as newerState from './newer-state.ts';

const {expect, test} = vitest;

// Guards against an entry that takes the silence of an earlier version of the program for knowledge, or that asks it for nothing.
test('an entry that has read the copy follows one of an earlier version, and completes itself from one that remembers', () => {
	const getNow = () => 0;
	const read = (registry: upstreamRegistry.UpstreamRegistry, era: number, ids: readonly string[]) => {
		registry.applySnapshot({era, from: ids.length, to: ids.length}, ids.map(id => ({kind: 'registered' as const, id, registration: storeReplay.createRegistration(id, {address: `${id}:1`})})));
	};

	const remembering = upstreamRegistry.createUpstreamRegistry();
	read(remembering, 1, ['a', 'gone']);
	remembering.applyRecords({era: 1, from: 2, to: 3}, [{kind: 'removed', id: 'gone'}]);
	read(remembering, 2, ['a', 'gone']);
	const started = upstreamRegistry.createUpstreamRegistry();
	read(started, 2, ['a', 'gone']);
	const {getRegistryUpdate} = followerUpdates.createFollowerUpdates({registry: remembering, members: storeReplay.noMembers, getNow});
	const listIds = () => started.list().map(({id}) => id);
	const receive = (unsharedPosition: number | undefined, isEarlierVersion: boolean) => {
		const registryUpdate = getRegistryUpdate(started.getPosition(), unsharedPosition);
		const message = codec.toUpdateMessage({
			ageMilliseconds: 0, recoveryMilliseconds: 0, storeEra: 2, configuration: undefined, configurationEra: undefined, registryUpdate, evacuations: undefined, membersSource: 's', memberUpdate: {
				revision: 0, isComplete: true, members: [], removed: [],
			}, statementsRevision: 0, statements: [],
		}, false);
		if (isEarlierVersion && registryUpdate) {
			const {remembersEarlier: _remembersEarlier, latestRemovals: _latestRemovals, ...earlier} = registryUpdate;
			message.registryUpdate = JSON.stringify(earlier);
		}

		const update = codec.toSharingUpdate(message);
		return update.registryUpdate && started.applyUpdate(update.registryUpdate, 0);
	};

	remembering.applyRecords({era: 2, from: 2, to: 3}, [{kind: 'registered', id: 'new', registration: storeReplay.createRegistration('new', {address: 'new:1'})}]);
	receive(undefined, true);
	expect(listIds()).toEqual(['a', 'gone', 'new']);
	expect(started.getUnsharedPosition()).toBe(2);
	receive(started.getUnsharedPosition(), false);
	expect(listIds()).toEqual(['a', 'new']);
	expect(started.getUnsharedPosition()).toBeUndefined();
});

// Guards against a follower of an earlier version that is sent the whole registry with each of its requests.
test('a follower of an earlier version, which states no eras, gets no more than before', () => {
	const request = codec.toSharingRequest(protobuf.create(generated.FollowRequestSchema, {follower: {name: 'edge-1'}, registryPosition: 3n, evacuationsVersion: 3n}))!;
	expect(request).toMatchObject({unsharedPosition: undefined, lacksEarlierEvacuations: false, registryPosition: {era: undefined, offset: 3}});
	const evacuations = evacuationsModule.createEvacuations();
	evacuations.applySnapshot([{kind: 'evacuated', failureDomain: 'here'}], {era: 1, offset: 3});
	evacuations.applySnapshot([], {era: 2, offset: 3});
	expect(evacuations.getSet()).toMatchObject({remembersEarlier: true, failureDomains: ['here']});
	expect(newerState.getEvacuations({evacuations}, request)).toBeUndefined();
	expect(newerState.getEvacuations({evacuations}, {...request, lacksEarlierEvacuations: true})).toMatchObject({failureDomains: ['here']});
});
