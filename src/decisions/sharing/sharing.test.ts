import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {chooseCallerAddresses} from './entry-selection.ts';
import {createMemberList, silenceMilliseconds} from './member-list.ts';
import {avoidanceMilliseconds, createSourceSelector, getPauseAfterFailures} from './source-selector.ts';
import {type Member, type MemberUpdate} from './types.ts';

const {expect, test} = vitest;

function createMember(name: string, startedAt = 0, changes: Partial<Member> = {}): Member {
	return {
		name, incarnation: `${name}-${startedAt}`, startedAt, failureDomain: 'a', region: 'east', callerAddress: `${name}:1`, peerAddress: `${name}:2`, isReady: true, canRead: true, isCutOff: false, linkMegabits: 1000, cores: 1, requestsPerSecond: 10, ...changes,
	};
}

const createAnswer = (...members: readonly Member[]): MemberUpdate => ({
	revision: 1, isComplete: false, members, removed: [],
});

test('all members follow the longest-running member, which reads the store itself', () => {
	const members = [createMember('b', 5), createMember('a', 7), createMember('c', 5)];
	expect(createSourceSelector({name: 'a'}).selectSource(members, 0)).toBe('b');
	expect(createSourceSelector({name: 'c'}).selectSource(members, 0)).toBe('b');
	expect(createSourceSelector({name: 'b'}).selectSource(members, 0)).toBeUndefined();
});

test('a failed member is avoided for a limited time, and the next one is followed', () => {
	const members = [createMember('a', 1), createMember('b', 2), createMember('c', 3)];
	const selector = createSourceSelector({name: 'c'});
	selector.avoid('a', 100);
	expect(selector.selectSource(members, 100)).toBe('b');
	selector.avoid('b', 100);
	expect(selector.selectSource(members, 100)).toBeUndefined();
	expect(selector.selectSource(members, 100 + avoidanceMilliseconds)).toBe('a');
});

// Guards against entries that ask hundreds of others for their whole state within a second while the store answers nobody.
test('an entry asks few sources while all of them fail, and the next one soon after the first that fails', () => {
	let asked = 0;
	let time = 0;
	while (time < avoidanceMilliseconds) {
		asked++;
		time += getPauseAfterFailures(asked);
	}

	expect(getPauseAfterFailures(1)).toBe(50);
	expect(asked).toBeLessThanOrEqual(8);
});

test('the first-ranked member follows another one if it can not read the store itself', () => {
	const members = [createMember('a', 1), createMember('b', 2)];
	const selector = createSourceSelector({name: 'a'});
	selector.avoid('a', 100);
	expect(selector.selectSource(members, 100)).toBe('b');
});

test('no entry follows a member that can not read the store while another member can', () => {
	const members = [createMember('a', 1, {canRead: false}), createMember('b', 2), createMember('c', 3)];
	expect(['a', 'b', 'c'].map(name => createSourceSelector({name}).selectSource(members, 0))).toEqual(['b', undefined, 'b']);
	const nonReaders = members.map(member => ({...member, canRead: false}));
	expect(['a', 'b', 'c'].map(name => createSourceSelector({name}).selectSource(nonReaders, 0))).toEqual([undefined, 'a', 'a']);
});

test('silent members are removed, and an earlier process does not replace a later one', () => {
	const list = createMemberList(() => createMember('self'));
	expect(list.recordMember(createMember('a', 5), 0)).toBe(true);
	expect(list.recordMember(createMember('a', 4), 0)).toBe(false);
	expect(list.recordMember(createMember('a', 5), 100)).toBe(false);
	expect(list.removeSilentMembers(100 + silenceMilliseconds)).toEqual([]);
	expect(list.removeSilentMembers(101 + silenceMilliseconds)).toEqual(['a']);
	expect(list.list().map(({name}) => name)).toEqual(['self']);
});

test('a complete update removes listed members that it no longer contains', () => {
	const list = createMemberList(() => createMember('self'));
	list.applyUpdate({
		revision: 2, isComplete: true, members: [createMember('a'), createMember('b')], removed: [],
	}, 0);
	list.recordMember(createMember('c'), 0);
	list.applyUpdate({
		revision: 3, isComplete: true, members: [createMember('b')], removed: [],
	}, 10);
	expect(list.list().map(({name}) => name)).toEqual(['b', 'c', 'self']);
});

test('a follower that applies incremental updates at arbitrary times has the same list as its source', () => {
	const step = fastCheck.record({
		kind: fastCheck.constantFrom('hear', 'pass', 'follow'),
		name: fastCheck.constantFrom('a', 'b', 'c', 'd'),
		isReady: fastCheck.boolean(),
		milliseconds: fastCheck.integer({min: 0, max: silenceMilliseconds}),
	});
	fastCheck.assert(fastCheck.property(fastCheck.array(step, {maxLength: 60}), steps => {
		let isSourceReady = false;
		const source = createMemberList(() => createMember('source', 0, {isReady: isSourceReady}));
		const follower = createMemberList(() => createMember('follower'));
		let now = 0;
		let knownRevision = -1;
		const follow = () => {
			const update = source.getUpdate(knownRevision);
			follower.applyUpdate(update, now);
			knownRevision = update.revision;
		};

		for (const {kind, name, isReady, milliseconds} of steps) {
			now += kind === 'pass' ? milliseconds : 0;
			source.removeSilentMembers(now);
			if (kind === 'hear') {
				source.recordMember(createMember(name, now, {isReady}), now);
				isSourceReady = isReady;
			} else if (kind === 'follow') {
				follow();
			}
		}

		follow();
		expect(follower.list().filter(member => member.name !== 'follower')).toEqual(source.list());
		expect(source.getUpdate(knownRevision).members).toEqual([]);
	}), {seed: 20_269});
});

test('a listed member that also sends a request itself stays in the list as long as it is listed', () => {
	const source = createMemberList(() => createMember('source'));
	const follower = createMemberList(() => createMember('follower'));
	follower.applyUpdate(source.getUpdate(-1), 0);
	follower.recordMember(createMember('source'), 100);
	for (let now = 400; now <= 3 * silenceMilliseconds; now += 400) {
		follower.applyUpdate(source.getUpdate(source.getRevision()), now);
		expect(follower.removeSilentMembers(now)).toEqual([]);
	}

	follower.applyUpdate({
		revision: 1, isComplete: true, members: [], removed: [],
	}, 3 * silenceMilliseconds);
	expect(follower.list().map(({name}) => name)).toEqual(['follower']);
});

test('a member that recently sent a request stays in the list when the source removes it', () => {
	const follower = createMemberList(() => createMember('follower'));
	follower.applyUpdate({
		revision: 1, isComplete: true, members: [createMember('a')], removed: [],
	}, 0);
	follower.recordMember(createMember('a'), 1000);
	follower.applyUpdate({
		revision: 2, isComplete: false, members: [], removed: ['a'],
	}, 1100);
	expect(follower.list().map(({name}) => name)).toEqual(['a', 'follower']);
	expect(follower.removeSilentMembers(1001 + silenceMilliseconds)).toEqual(['a']);
});

test('an incremental update contains only the changes after its revision', () => {
	const list = createMemberList(() => createMember('self'));
	for (const name of ['a', 'b', 'c']) {
		list.recordMember(createMember(name), 0);
	}

	const revision = list.getRevision();
	list.recordMember(createMember('b', 0, {isReady: false}), 10);
	expect(list.getUpdate(revision)).toMatchObject({isComplete: false, members: [{name: 'b', isReady: false}], removed: []});
	expect(list.getUpdate(-1).members).toHaveLength(4);
});

test('ready members are followed before others, and members with a higher bandwidth before those with a lower one', () => {
	const members = [createMember('a', 1, {isReady: false}), createMember('b', 2, {linkMegabits: 10}), createMember('c', 3, {linkMegabits: 200})];
	expect(createSourceSelector({name: 'a'}).selectSource(members, 0)).toBe('c');
	expect(createSourceSelector({name: 'a'}).selectSource(members.slice(0, 2), 0)).toBe('b');
});

test('members from other entries are added if they are new, and do not confirm existing members', () => {
	const list = createMemberList(() => createMember('self'));
	list.recordMember(createMember('a'), 0);
	list.applyAnswer(createAnswer(createMember('a'), createMember('b')), 'other', silenceMilliseconds);
	expect(list.list().map(({name}) => name)).toEqual(['a', 'b', 'self']);
	expect(list.removeSilentMembers(silenceMilliseconds + 1)).toEqual(['a']);
});

// Guards against an entry that takes those it asked at its start for unready until they were silent, and reads the store meanwhile.
test('an answer changes what is known of its sender, and of members that were not heard lately', () => {
	const list = createMemberList(() => createMember('self'));
	const getReady = () => list.list().filter(({name, isReady}) => name !== 'self' && isReady).map(({name}) => name);
	list.recordMember(createMember('heard', 0, {isReady: false}), 0);
	list.applyAnswer(createAnswer(createMember('sender', 0, {isReady: false}), createMember('reported', 0, {isReady: false})), 'sender-0', 0);
	expect(getReady()).toEqual([]);
	const later = createAnswer(createMember('sender'), createMember('heard'), createMember('reported'));
	list.applyAnswer(later, 'sender-0', 100);
	expect(getReady()).toEqual(['reported', 'sender']);
	list.applyAnswer(later, 'sender-0', silenceMilliseconds + 1);
	expect(getReady()).toEqual(['heard', 'reported', 'sender']);
	expect(list.removeSilentMembers(silenceMilliseconds + 1)).toEqual(['heard', 'reported']);
});

test('an answer without changes confirms its sender, and a later process of a member replaces an earlier one', () => {
	const list = createMemberList(() => createMember('self'));
	list.recordMember(createMember('a', 5), 0);
	list.applyAnswer(createAnswer(createMember('sender')), 'sender-0', 0);
	list.applyAnswer(createAnswer(createMember('a', 6, {isReady: false})), 'sender-0', 100);
	list.applyAnswer(createAnswer(createMember('a', 5)), 'sender-0', 200);
	expect(list.list()).toMatchObject([{name: 'a', startedAt: 6, isReady: false}, {name: 'self'}, {name: 'sender'}]);
	expect(list.removeSilentMembers(150 + silenceMilliseconds)).toEqual(['a']);
});

test('callers get the ready entries of their failure domain, or all ready entries if there are none', () => {
	const members = [createMember('a'), createMember('b', 0, {failureDomain: 'b'}), createMember('c', 0, {failureDomain: 'b', isReady: false})];
	expect(chooseCallerAddresses(members, {failureDomain: 'b', region: 'east'}, 64)).toEqual(['b:1']);
	expect(chooseCallerAddresses(members, {failureDomain: 'x', region: 'west'}, 64)).toEqual(['a:1', 'b:1']);
	expect(chooseCallerAddresses([], {failureDomain: 'b', region: 'east'}, 64)).toEqual([]);
});

test('a change of demand alone is not urgent, but part of the next update', () => {
	const list = createMemberList(() => createMember('self'));
	list.recordMember(createMember('a'), 0);
	const revision = list.getRevision();
	const urgentRevision = list.getUrgentRevision();
	expect(list.recordMember(createMember('a', 0, {requestsPerSecond: 40}), 10)).toBe(false);
	expect(list.getUrgentRevision()).toBe(urgentRevision);
	expect(list.getUpdate(revision).members).toMatchObject([{name: 'a', requestsPerSecond: 40}]);
	expect(list.recordMember(createMember('a', 0, {requestsPerSecond: 40, isReady: false}), 20)).toBe(true);
	expect(list.getUrgentRevision()).toBeGreaterThan(urgentRevision);
});
