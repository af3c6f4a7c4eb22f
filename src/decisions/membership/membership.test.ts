import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {createRandomSource} from '../random.ts';
import {
	drainsPerDigest, exchangeIntervalMilliseconds, heartbeatsPerDigest, joiningExchangeCount, membersPerDigest, removalTimeoutMilliseconds, suspicionTimeoutMilliseconds, wantedPerDigest,
} from './constants.ts';
import {createDigest} from './digest.ts';
import {
	applyTimeouts, incrementHeartbeat, createInitialMembership, isSuperseded, markSelfLeaving, mergeDigest, mergeDrainRecords, mergeRecords, recordDrainObservation, setInstanceList,
} from './merge.ts';
import {choosePartners, listCandidateAddresses} from './partners.ts';
import {
	type Digest, type DrainRecord, type EntryDescription, type MemberRecord, type Membership,
} from './types.ts';

const {describe, expect, test} = vitest;
const seed = 20_261_204;

function createDescription(index: number, change: Partial<EntryDescription> = {}): EntryDescription {
	return {
		name: `entry-${index}`,
		incarnation: index.toString(16).padStart(16, '0'),
		generation: 1,
		region: 'north',
		failureDomain: `domain-${index % 3}`,
		address: `10.0.0.${index}:7000`,
		peerAddress: `10.0.0.${index}:7100`,
		...change,
	};
}

const record = fastCheck.record({
	index: fastCheck.nat(4), generation: fastCheck.nat(3), heartbeat: fastCheck.nat(9), isLeaving: fastCheck.boolean(), weight: fastCheck.nat(1), weightRevision: fastCheck.nat(3),
}).map(({index, ...rest}): MemberRecord => ({...createDescription(index), ...rest}));
const sameRecords = fastCheck.tuple(record, record, record).map(records => records.map(other => ({...other, ...createDescription(1), generation: other.generation})));
const drainRecord = fastCheck.record({
	upstream: fastCheck.constantFrom('u1', 'u2'), isDraining: fastCheck.boolean(), sequence: fastCheck.nat(3), origin: fastCheck.constantFrom('a', 'b'),
});

function createTestDigest(members: readonly MemberRecord[], drains: readonly DrainRecord[] = []): Digest {
	return {
		sender: 'x', isJoining: false, tablePosition: 0, members, heartbeats: [], wanted: [], drains, reports: [],
	};
}

const digest = fastCheck.tuple(fastCheck.array(record, {maxLength: 4}), fastCheck.array(drainRecord, {maxLength: 4}))
	.map(([members, drains]) => createTestDigest(members, drains));

/** Gets the member and drain records without local state such as times and counters. */
function getRecords(membership: Membership): unknown {
	return {
		members: [...membership.members.values()].map(member => member.record).toSorted((left, right) => left.incarnation.localeCompare(right.incarnation)),
		drains: [...membership.drains.values()].map(drain => drain.record).toSorted((left, right) => left.upstream.localeCompare(right.upstream)),
	};
}

function mergeAll(digests: readonly Digest[]): Membership {
	let membership = createInitialMembership(createDescription(99), 0);
	for (const [index, next] of digests.entries()) {
		membership = mergeDigest(membership, next, index).membership;
	}

	return membership;
}

describe('merge', () => {
	test('is commutative, associative and idempotent', () => {
		fastCheck.assert(fastCheck.property(sameRecords, ([first, second, third]) => {
			expect(mergeRecords(first!, second!)).toEqual(mergeRecords(second!, first!));
			expect(mergeRecords(mergeRecords(first!, second!), third!)).toEqual(mergeRecords(first!, mergeRecords(second!, third!)));
			expect(mergeRecords(first!, first!)).toEqual(first);
		}), {seed});
		fastCheck.assert(fastCheck.property(drainRecord, drainRecord, (left, right) => {
			const other = {...right, upstream: left.upstream};
			expect(mergeDrainRecords(left, other)).toEqual(mergeDrainRecords(other, left));
		}), {seed});
	});

	test('yields the same records for any order and repetition of digests', () => {
		fastCheck.assert(fastCheck.property(fastCheck.array(digest, {maxLength: 6}), fastCheck.array(fastCheck.nat(1000), {minLength: 12, maxLength: 12}), (digests, order) => {
			const reordered = [...digests, ...digests]
				.map((item, index) => ({item, key: order[index]!}))
				.toSorted((left, right) => left.key - right.key)
				.map(({item}) => item);
			expect(getRecords(mergeAll(reordered))).toEqual(getRecords(mergeAll(digests)));
		}), {seed});
	});

	test('never decreases a heartbeat, and a leaving member never becomes live or suspected in the same incarnation', () => {
		fastCheck.assert(fastCheck.property(fastCheck.array(digest, {maxLength: 8}), digests => {
			let membership = mergeAll([]);
			for (const [index, next] of digests.entries()) {
				const before = membership;
				membership = applyTimeouts(mergeDigest(membership, next, index * 3000).membership, index * 3000);
				for (const [incarnation, member] of before.members) {
					const after = membership.members.get(incarnation)!;
					expect(after.record.heartbeat).toBeGreaterThanOrEqual(member.record.heartbeat);
					expect(member.record.isLeaving && ['live', 'suspected'].includes(after.state)).toBe(false);
				}
			}
		}), {seed});
	});
});

describe('life cycle of an instance', () => {
	const other = createDescription(1);

	function receiveRecord(membership: Membership, heartbeat: number, now: number): Membership {
		return mergeDigest(membership, createTestDigest([{
			...other, heartbeat, isLeaving: false, weight: 1, weightRevision: 0,
		}]), now).membership;
	}

	/** Advances time in steps that are too short to count as a pause of this entry. */
	function advanceTime(membership: Membership, from: number, to: number): Membership {
		let next = membership;
		for (let now = from; now <= to; now += 500) {
			next = applyTimeouts(next, now);
		}

		return next;
	}

	const getState = (membership: Membership) => membership.members.get(other.incarnation)?.state;
	const liveMembership = receiveRecord(receiveRecord(createInitialMembership(createDescription(0), 0), 1, 0), 2, 100);
	const listed = {
		name: other.name, failureDomain: other.failureDomain, peerAddress: other.peerAddress, state: 'live',
	} as const;

	test('a silent instance is only suspected while it is listed or no list is read, and an absent one is removed only when it is silent', () => {
		expect(getState(advanceTime(setInstanceList(liveMembership, [listed]), 0, 10 * removalTimeoutMilliseconds))).toBe('suspected');
		expect(getState(advanceTime(liveMembership, 0, 10 * removalTimeoutMilliseconds))).toBe('suspected');
		const absent = setInstanceList(liveMembership, []);
		expect(getState(advanceTime(absent, 0, suspicionTimeoutMilliseconds - 1000))).toBe('live');
		expect(getState(advanceTime(absent, 0, removalTimeoutMilliseconds + 1000))).toBe('gone');
	});

	test('a gone instance becomes live again after a partition only if its heartbeat has increased', () => {
		const gone = advanceTime(setInstanceList(liveMembership, []), 0, removalTimeoutMilliseconds + 1000);
		expect(getState(receiveRecord(gone, 2, 22_000))).toBe('gone');
		expect(getState(receiveRecord(gone, 3, 22_000))).toBe('live');
	});

	test('a pause of this entry doesn\'t count as silence of the others', () => {
		const resumed = applyTimeouts(advanceTime(setInstanceList(liveMembership, []), 0, 1000), 120_000);
		expect(getState(resumed)).toBe('live');
		expect(getState(advanceTime(resumed, 120_500, 120_500 + removalTimeoutMilliseconds))).toBe('gone');
	});

	test('a restarted instance raises its generation above that of a silent earlier incarnation of its name', () => {
		const old = createDescription(0, {incarnation: 'ffffffffffffffff', generation: 7});
		const merged = mergeDigest(liveMembership, createTestDigest([{
			...old, heartbeat: 50, isLeaving: false, weight: 1, weightRevision: 0,
		}]), 200).membership;
		const raised = advanceTime(merged, 500, suspicionTimeoutMilliseconds + 1000);
		expect(raised.members.get(raised.self)?.record.generation).toBe(8);
		expect(isSuperseded(raised)).toBe(false);
	});

	test('an incarnation is superseded by a live, newer incarnation of its name', () => {
		const later = {
			...createDescription(0, {incarnation: 'ffffffffffffffff', generation: 7}), isLeaving: false, weight: 1, weightRevision: 0,
		};
		const first = mergeDigest(liveMembership, createTestDigest([{...later, heartbeat: 1}]), 200).membership;
		expect(isSuperseded(mergeDigest(first, createTestDigest([{...later, heartbeat: 2}]), 700).membership)).toBe(true);
	});

	test('a drain ends only after a report that is newer by the hold-down time', () => {
		const draining = recordDrainObservation(liveMembership, {upstream: 'u', isDraining: true, reportedAt: 1000}, 1000).membership;
		const crossed = recordDrainObservation(draining, {upstream: 'u', isDraining: false, reportedAt: 1200}, 1300);
		expect(crossed.membership.drains.get('u')?.record.isDraining).toBe(true);
		const ended = recordDrainObservation(draining, {upstream: 'u', isDraining: false, reportedAt: 2000}, 2000);
		expect(ended.membership.drains.get('u')?.record.isDraining).toBe(false);
		expect(ended.isUrgent).toBe(true);
	});
});

type Node = {membership: Membership; partners: readonly string[]};

/** Creates entries that exchange digests in memory; each entry initiates one exchange per round. */
function createFleet(size: number) {
	const random = createRandomSource(seed);
	const listing = Array.from({length: size}, (_, index) => ({...createDescription(index), state: 'live' as const}));
	const nodes = new Map<string, Node>(listing.map(entry => [entry.peerAddress, {membership: setInstanceList(createInitialMembership(entry, 0), listing), partners: []}]));
	let now = 0;
	let largest = {
		members: 0, heartbeats: 0, drains: 0, wanted: 0,
	};

	function createMeasuredDigest(membership: Membership, answered?: Digest) {
		const created = createDigest(membership, {
			isJoining: now <= joiningExchangeCount * exchangeIntervalMilliseconds, tablePosition: 0, reports: [], random, answered,
		}, now);
		if (!answered?.isJoining) {
			const {members, heartbeats, drains, wanted} = created.digest;
			largest = {
				members: Math.max(largest.members, members.length),
				heartbeats: Math.max(largest.heartbeats, heartbeats.length),
				drains: Math.max(largest.drains, drains.length),
				wanted: Math.max(largest.wanted, wanted.length),
			};
		}

		return created;
	}

	function exchange(node: Node): void {
		const avoided = new Set(random.nextInteger(20) === 0 ? node.partners.slice(0, 1) : []);
		node.partners = choosePartners(listCandidateAddresses(node.membership), node.partners, avoided, random);
		const partner = nodes.get(node.partners[random.nextInteger(node.partners.length)] ?? '');
		if (!partner) {
			return;
		}

		const request = createMeasuredDigest(incrementHeartbeat(node.membership, now));
		const answer = createMeasuredDigest(mergeDigest(partner.membership, request.digest, now).membership, request.digest);
		partner.membership = answer.membership;
		node.membership = mergeDigest(request.membership, answer.digest, now).membership;
	}

	return {
		nodes,
		getLargest: () => largest,
		run(rounds: number): void {
			for (let round = 0; round < rounds; round++) {
				now += exchangeIntervalMilliseconds;
				for (const node of nodes.values()) {
					node.membership = applyTimeouts(node.membership, now);
					exchange(node);
				}
			}
		},
		getNow: () => now,
	};
}

describe('digest exchange between many entries', () => {
	test.each([5, 15, 60])('%i entries discover each other, propagate leaving and drains, and keep digests within their limits', size => {
		const fleet = createFleet(size);
		fleet.run(40);
		for (const {membership} of fleet.nodes.values()) {
			expect([...membership.members.values()].filter(member => member.state === 'live')).toHaveLength(size);
		}

		fleet.run(40);
		for (const {membership} of fleet.nodes.values()) {
			expect([...membership.members.values()].filter(member => member.state === 'live')).toHaveLength(size);
		}

		const first = fleet.nodes.get('10.0.0.0:7100')!;
		first.membership = markSelfLeaving(first.membership, fleet.getNow());
		for (let index = 0; index < 12; index++) {
			first.membership = recordDrainObservation(first.membership, {upstream: `u${index}`, isDraining: true, reportedAt: 0}, fleet.getNow()).membership;
		}

		fleet.run(2 + (2 * Math.ceil(Math.log2(size))));
		for (const {membership} of fleet.nodes.values()) {
			expect(membership.members.get(first.membership.self)?.state).toBe('leaving');
			expect([...membership.drains.values()].filter(drain => drain.record.isDraining)).toHaveLength(12);
		}

		const largest = fleet.getLargest();
		expect(largest.members).toBeLessThanOrEqual(membersPerDigest);
		expect(largest.heartbeats).toBeLessThanOrEqual(heartbeatsPerDigest);
		expect(largest.drains).toBeLessThanOrEqual(drainsPerDigest);
		expect(largest.wanted).toBeLessThanOrEqual(wantedPerDigest);
	});
});
