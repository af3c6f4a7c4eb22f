/** Tests of the choice of the coordinators of workspaces. */
import * as vitest from 'vitest';
import type * as sharing from '../sharing/types.ts';
import * as allowanceRoles from './allowance-roles.ts';

const {expect, test} = vitest;

const createMembers = (count: number, cores: (index: number) => number): readonly sharing.Member[] => Array.from({length: count}, (_value, index) => ({
	name: `edge-${index}`, incarnation: 'a', startedAt: 0, failureDomain: `domain-${index % 4}`, region: 'r', callerAddress: '', peerAddress: '', isReady: true, canRead: true, isCutOff: false, linkMegabits: 10, cores: cores(index), requestsPerSecond: 1,
}));
const workspaces = Array.from({length: 82}, (_value, index) => `w-${index}`);

function listAll(members: readonly sharing.Member[]): readonly sharing.Member[] {
	const candidates = allowanceRoles.chooseCandidates(members);
	return [...new Set(workspaces.flatMap(workspace => allowanceRoles.chooseCoordinators(workspace, candidates)))];
}

// Guards against a fleet whose allowances hang on an entry that is too small to answer.
test('the largest entries count, one in each failure domain', () => {
	const members = createMembers(126, index => index < 8 ? 1.35 : 0.27);
	for (const workspace of workspaces) {
		const coordinators = allowanceRoles.chooseCoordinators(workspace, allowanceRoles.chooseCandidates(members));
		expect(coordinators.every(({cores}) => cores === 1.35)).toBe(true);
		expect(new Set(coordinators.map(({failureDomain}) => failureDomain)).size).toBe(4);
	}

	expect(listAll(members).length).toBe(8);
});

test('a few entries count for a fleet of equal ones, and four for one with a single large entry', () => {
	expect(listAll(createMembers(1000, () => 1)).length).toBeLessThanOrEqual(16);
	expect(listAll(createMembers(126, index => index === 0 ? 8 : 0.2)).length).toBe(4);
	expect(listAll(createMembers(2, () => 1)).length).toBe(2);
	expect(allowanceRoles.chooseCandidates([])).toEqual([]);
});

test('an entry that starts, stops or is cut off from upstreams changes the coordinators of its own place only', () => {
	const members = createMembers(40, () => 1);
	for (const workspace of workspaces.slice(0, 10)) {
		const before = allowanceRoles.chooseCoordinators(workspace, allowanceRoles.chooseCandidates(members));
		const changed = members.map(member => member === before[0] ? {...member, isReady: false} : member);
		const after = allowanceRoles.chooseCoordinators(workspace, allowanceRoles.chooseCandidates(changed));
		const names = new Set(after.map(({name}) => name));
		expect(names.has(before[0]!.name)).toBe(false);
		expect(before.filter(({name}) => names.has(name)).length).toBeGreaterThanOrEqual(2);
	}
});
