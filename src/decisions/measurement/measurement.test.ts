import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {createRandomSource} from '../random.ts';
import {
	createPollPlan, type PlannedPoll, type PollPlan, roundMilliseconds,
} from './poll-plan.ts';
import {
	type PositionClaimRecord, createLeases, createPositionHolder, leaseMilliseconds, applyClaim, positionCount, type PositionHolder, usableMilliseconds,
} from './position-leases.ts';

const {expect, test} = vitest;
const seed = 20_261_204;

type SimulatedEntry = {
	holder: PositionHolder;
	plan: PollPlan;
	/** Offset of this entry's clock from the time of the log. */
	readonly clockOffset: number;
	readUntil: number;
	nextOffset: number;
	pausedUntil: number;
	readonly wanted: number;
	readonly open: Array<{readonly poll: PlannedPoll; readonly endsAt: number; readonly isAnswered: boolean}>;
};

type Faults = {
	readonly seed: number;
	readonly entries: number;
	readonly budget: number;
	/** Probability that an entry pauses in a round, in thousandths. */
	readonly pauses: number;
	/** Probability that the log is unavailable during a period of five seconds, in percent. */
	readonly outages: number;
	/** Probability that an entry restarts in a round, in thousandths. */
	readonly restarts: number;
};

/** Retention of the log: longer than a lease and the maximum lag of a reader together. */
const retentionMilliseconds = 100_000;

/** Simulates entries that claim different numbers of positions through a slow and unreliable log, and returns the times at which each upstream was polled. */
function simulateFleet(faults: Faults, durationMilliseconds: number): ReadonlyMap<string, readonly number[]> {
	const random = createRandomSource(faults.seed);
	const log: PositionClaimRecord[] = [];
	const delayed: Array<{readonly at: number; readonly record: Omit<PositionClaimRecord, 'appendedAt'>}> = [];
	const pollTimes = new Map<string, number[]>();
	const upstreams = ['u1', 'u2', 'u3'].map(upstream => ({
		service: 's', upstream, address: upstream, budgetPerSecond: faults.budget,
	}));
	const nodes = Array.from({length: faults.entries}, (_, index): SimulatedEntry => ({
		holder: createPositionHolder(`entry-${index}`, random),
		plan: createPollPlan(),
		clockOffset: random.nextInteger(1_000_000),
		readUntil: 0,
		nextOffset: 0,
		pausedUntil: 0,
		wanted: 1 + random.nextInteger(positionCount),
		open: [],
	}));

	function claim(node: SimulatedEntry, now: number, isDown: boolean): void {
		const id = `${now}-${nodes.indexOf(node)}`;
		const planned = node.holder.tryPlanClaim(id, node.wanted, now + node.clockOffset);
		if (planned && !isDown) {
			delayed.push({at: now + random.nextInteger(random.nextInteger(10) === 0 ? 60_000 : 500), record: {id, claim: planned}});
		}
	}

	function read(node: SimulatedEntry, now: number): void {
		const isLagging = random.nextInteger(20) === 0;
		node.readUntil = isLagging ? now + random.nextInteger(30_000) : node.readUntil;
		if (now >= node.readUntil) {
			node.holder.applyRecords(log.slice(node.nextOffset), now + node.clockOffset);
			node.nextOffset = log.length;
		}
	}

	function poll(node: SimulatedEntry, now: number): void {
		for (const ended of node.open.filter(({endsAt}) => endsAt <= now)) {
			node.plan.end(ended.poll, ended.isAnswered, now + node.clockOffset);
			node.open.splice(node.open.indexOf(ended), 1);
		}

		for (const planned of node.plan.planRound(upstreams, node.holder.listUsable(now + node.clockOffset), now + node.clockOffset)) {
			// The request may be delayed until a connection is open.
			const sentAt = now + random.nextInteger(900);
			pollTimes.set(planned.upstream, [...pollTimes.get(planned.upstream) ?? [], sentAt]);
			node.open.push({poll: planned, endsAt: sentAt + random.nextInteger(50), isAnswered: random.nextInteger(10) > 0});
		}
	}

	/** Replaces the entry by a new process of the same instance, which can read only the records that the log retains. */
	function restart(node: SimulatedEntry, now: number): void {
		const first = log.findIndex(({appendedAt}) => appendedAt > now - retentionMilliseconds);
		node.nextOffset = first === -1 ? log.length : first;
		node.holder = createPositionHolder(`entry-${nodes.indexOf(node)}-${now}`, random);
		node.holder.reset(node.nextOffset === 0);
		node.plan = createPollPlan();
		node.open.length = 0;
	}

	let isDown = false;
	for (let now = 0; now < durationMilliseconds; now += roundMilliseconds) {
		isDown = now % 5000 === 0 ? random.nextInteger(100) < faults.outages : isDown;
		for (const arrived of delayed.filter(({at}) => at <= now)) {
			delayed.splice(delayed.indexOf(arrived), 1);
			log.push({...arrived.record, appendedAt: now});
		}

		for (const node of nodes) {
			if (random.nextInteger(1000) < faults.pauses) {
				node.pausedUntil = now + random.nextInteger(90_000);
			}

			if (random.nextInteger(1000) < faults.restarts) {
				restart(node, now);
			}

			if (now >= node.pausedUntil) {
				read(node, now);
				poll(node, now);
				claim(node, now, isDown);
			}
		}
	}

	return pollTimes;
}

function getMaximumPerSecond(times: readonly number[]): number {
	const sorted = times.toSorted((left, right) => left - right);
	let first = 0;
	let maximum = 0;
	for (const [last, time] of sorted.entries()) {
		while (time - sorted[first]! >= 1000) {
			first++;
		}

		maximum = Math.max(maximum, last - first + 1);
	}

	return maximum;
}

test('polls never exceed the budget in any second, despite pauses, restarts, and log delays and outages', () => {
	const faultCases = fastCheck.record({
		seed: fastCheck.integer({min: 1, max: 1_000_000}),
		entries: fastCheck.integer({min: 1, max: 12}),
		budget: fastCheck.integer({min: 0, max: 12}),
		pauses: fastCheck.nat(20),
		outages: fastCheck.nat(60),
		restarts: fastCheck.nat(5),
	});
	fastCheck.assert(fastCheck.property(faultCases, faults => {
		for (const times of simulateFleet(faults, 300_000).values()) {
			expect(getMaximumPerSecond(times)).toBeLessThanOrEqual(faults.budget);
		}
	}), {seed, numRuns: 40});
});

test('without faults, every upstream is polled', () => {
	const pollTimes = simulateFleet({
		seed, entries: 15, budget: 10, pauses: 0, outages: 0, restarts: 0,
	}, 60_000);
	expect([...pollTimes.keys()].toSorted()).toEqual(['u1', 'u2', 'u3']);
});

test('a position has one holder at a time and passes to another only after a full lease duration without claims', () => {
	const claim = (holder: string, appendedAt: number): PositionClaimRecord => ({id: `${holder}${appendedAt}`, appendedAt, claim: {holder, positions: [3]}});
	let {leases, granted} = applyClaim(createLeases(true), claim('a', 0));
	expect(granted).toEqual([3]);
	const apply = (record: PositionClaimRecord) => {
		({leases, granted} = applyClaim(leases, record));
		return granted;
	};

	expect(apply(claim('b', leaseMilliseconds - 1))).toEqual([]);
	expect(apply(claim('a', leaseMilliseconds))).toEqual([3]);
	expect(apply(claim('b', (2 * leaseMilliseconds) - 1))).toEqual([]);
	expect(apply(claim('b', (3 * leaseMilliseconds) + 1))).toEqual([3]);
});

test('a reader without the earlier records grants nothing until a lease from them would have expired', () => {
	const first = applyClaim(createLeases(false), {id: '1', appendedAt: 100, claim: {holder: 'a', positions: [3]}});
	expect(first.granted).toEqual([]);
	const early = applyClaim(first.leases, {id: '2', appendedAt: leaseMilliseconds, claim: {holder: 'a', positions: [4]}});
	expect(early.granted).toEqual([]);
	const later = applyClaim(early.leases, {id: '3', appendedAt: 101 + leaseMilliseconds, claim: {holder: 'a', positions: [4, 3]}});
	expect(later.granted).toEqual([3]);
});

test('a holder measures its lease from the time it sent the claim, however late it reads the grant', () => {
	const holder = createPositionHolder('a', createRandomSource(seed));
	const claim = holder.tryPlanClaim('1', 2, 1000)!;
	const record = {id: '1', appendedAt: 500_000, claim};
	holder.applyRecords([record], 1000 + usableMilliseconds - 1);
	expect(holder.listUsable(1000 + usableMilliseconds - 1)).toEqual(claim.positions);
	expect(holder.listUsable(1000 + usableMilliseconds)).toEqual([]);
});
