import * as vitest from 'vitest';
import * as randomness from '../random.ts';
import type * as sharing from '../sharing/types.ts';
import * as relayChoice from './relay-choice.ts';

const {expect, test} = vitest;
const self = {name: 'a1', failureDomain: 'a'};

function createMember(name: string, changes: Partial<sharing.Member> = {}): sharing.Member {
	return {
		name, incarnation: name, startedAt: 0, failureDomain: name.slice(0, 1), region: '', callerAddress: name, peerAddress: name, isReady: true, canRead: true, isCutOff: false, linkMegabits: 1, cores: 1, requestsPerSecond: 1, ...changes,
	};
}

test('the requests of a failure domain that is cut off are spread over the others by their capacity', () => {
	const random = randomness.createRandomSource(3);
	const members = [createMember('a1', {isCutOff: true}), createMember('a2', {isCutOff: true}), createMember('b1'), createMember('b2', {cores: 3}), createMember('c1', {isReady: false})];
	const counts = new Map<string, number>();
	for (let index = 0; index < 4000; index++) {
		const {name} = (relayChoice.chooseRelay(self, members, new Set(), random)!);
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	expect([...counts.keys()].toSorted()).toEqual(['b1', 'b2']);
	expect(counts.get('b2')! / counts.get('b1')!).toBeGreaterThan(2.5);
	expect(counts.get('b2')! / counts.get('b1')!).toBeLessThan(3.5);
});

test('near entries come first, a request is offered to two of them, and to nobody if all are cut off', () => {
	const random = randomness.createRandomSource(3);
	const members = [createMember('a1'), createMember('a2'), createMember('b1'), createMember('c1')];
	expect(relayChoice.chooseRelay(self, members, new Set(), random)!.name).toBe('a2');
	expect(['b1', 'c1']).toContain(relayChoice.chooseRelay(self, members, new Set(['a2', 'i-1']), random)!.name);
	expect(relayChoice.chooseRelay(self, members, new Set(['a2', 'b1']), random)).toBeUndefined();
	expect(relayChoice.chooseRelay(self, members.map(member => ({...member, isCutOff: true})), new Set(), random)).toBeUndefined();
});
