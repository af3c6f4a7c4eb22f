/** Tests of the choice of an entry's source, with the answers and the clock under control. */
import * as timers from 'node:timers/promises';
import * as neverthrow from 'neverthrow';
import * as vitest from 'vitest';
import * as storeReplay from '../../test/support/store-replay.ts';
import * as random from '../decisions/random.ts';
import type * as sharingTypes from '../decisions/sharing/types.ts';
import type * as codec from '../peers/sharing-codec.ts';
import * as sharingLoops from './sharing-loop.ts';

const {expect, test} = vitest;

function createMember(name: string, startedAt: number): sharingTypes.Member {
	return {
		name, incarnation: name, startedAt, failureDomain: 'a', region: 'east', callerAddress: `${name}:1`, peerAddress: `${name}:2`, isReady: true, canRead: true, isCutOff: false, linkMegabits: 1000, cores: 1, requestsPerSecond: 10,
	};
}

const answer: codec.SharingUpdate = {
	storeEra: undefined, ageMilliseconds: 1, recoveryMilliseconds: 0, configuration: undefined, configurationEra: undefined, registryUpdate: undefined, evacuations: undefined, membersSource: 'edge-1', memberUpdate: {
		revision: 1, isComplete: true, members: [createMember('edge-1', 1)], removed: [],
	}, statementsRevision: 0, statements: [],
};

/** Runs an entry that hears of another one, which then answers nothing; each request ends after a time. Returns the first steps of the entry. */
async function runWithSilentSource(requestMilliseconds: number): Promise<readonly string[]> {
	const steps: string[] = [];
	let now = 0;
	const loop = sharingLoops.createSharingLoop({
		logger: {
			error: () => undefined, warn: () => undefined, info: () => undefined, debug: () => undefined,
		},
		platformState: storeReplay.createState(),
		reader: {
			canRead: () => true,
			readOnce: async () => true,
			retry: async () => undefined,
			async readWhile(shouldContinue) {
				steps.push('read');
				while (shouldContinue()) {
					await timers.setTimeout(1);
				}
			},
		},
		statements: {getUpdate: () => ({revision: 0, statements: []}), recordShared: () => false},
		client: {
			follow(_address, request) {
				if (request.waitMilliseconds === 0) {
					return neverthrow.okAsync(answer);
				}

				steps.push('follow');
				now += requestMilliseconds;
				return neverthrow.errAsync({kind: 'no-answer', message: 'timed out'});
			},
			close: () => undefined,
		},
		isFirstStart: false,
		random: random.createRandomSource(1),
		getSelf: () => createMember('edge-2', 2),
		getSeeds: () => ['edge-1:2'],
		getNow: () => now,
		recordLateness: () => undefined,
	});
	loop.start();
	await vitest.vi.waitUntil(() => steps.includes('read'));
	loop.stop();
	return steps;
}

// Guards against entries that pass each other over for three seconds, and read the store, because they stood still themselves.
test('an entry that stood still asks its source once more before it passes it over', async () => {
	expect(await runWithSilentSource(1300)).toEqual(['follow', 'follow', 'read']);
});

test('an entry passes a silent source over at once', async () => {
	expect(await runWithSilentSource(650)).toEqual(['follow', 'read']);
});
