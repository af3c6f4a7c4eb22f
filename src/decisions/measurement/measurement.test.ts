import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {createRandomSource} from '../random.ts';
import {
	createPollPlan, type PlannedPoll, type PollPlan, roundMilliseconds,
} from './poll-plan.ts';
import {
	type ClaimedRecord, createLeases, createPositionHolder, holdMilliseconds, judgeClaim, positionCount, type PositionHolder, useMilliseconds,
} from './positions.ts';

const {expect, test} = vitest;
const seed = 20_261_204;

type Node = {
	holder: PositionHolder;
	plan: PollPlan;
	/** Clock of this entry when the time of the log is 0. */
	readonly clock: number;
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
	/** Chance of a pause of an entry, in a thousand rounds. */
	readonly pauses: number;
	/** Chance that the log is down or slow in a stretch of rounds, in a hundred. */
	readonly outages: number;
	/** Chance that an entry is replaced, in a thousand rounds. */
	readonly restarts: number;
};

/** Longer than a lease and the longest lag of a reader together. */
const retentionMilliseconds = 100_000;

/** Runs entries whose views of the fleet differ, over a log that lags and fails, and returns when each upstream was polled. */
function runFleet(faults: Faults, durationMilliseconds: number): ReadonlyMap<string, readonly number[]> {
	const random = createRandomSource(faults.seed);
	const log: ClaimedRecord[] = [];
	const delayed: Array<{readonly at: number; readonly record: Omit<ClaimedRecord, 'appendedAt'>}> = [];
	const sends = new Map<string, number[]>();
	const upstreams = ['u1', 'u2', 'u3'].map(upstream => ({
		service: 's', upstream, address: upstream, budgetPerSecond: faults.budget,
	}));
	const nodes = Array.from({length: faults.entries}, (_, index): Node => ({
		holder: createPositionHolder(`entry-${index}`, random),
		plan: createPollPlan(),
		clock: random.nextInteger(1_000_000),
		readUntil: 0,
		nextOffset: 0,
		pausedUntil: 0,
		wanted: 1 + random.nextInteger(positionCount),
		open: [],
	}));

	function claim(node: Node, now: number, isDown: boolean): void {
		const id = `${now}-${nodes.indexOf(node)}`;
		const planned = node.holder.tryPlanClaim(id, node.wanted, now + node.clock);
		if (planned && !isDown) {
			delayed.push({at: now + random.nextInteger(random.nextInteger(10) === 0 ? 60_000 : 500), record: {id, claim: planned}});
		}
	}

	function read(node: Node, now: number): void {
		const isLagging = random.nextInteger(20) === 0;
		node.readUntil = isLagging ? now + random.nextInteger(30_000) : node.readUntil;
		if (now >= node.readUntil) {
			node.holder.take(log.slice(node.nextOffset), now + node.clock);
			node.nextOffset = log.length;
		}
	}

	function poll(node: Node, now: number): void {
		for (const ended of node.open.filter(({endsAt}) => endsAt <= now)) {
			node.plan.end(ended.poll, ended.isAnswered, now + node.clock);
			node.open.splice(node.open.indexOf(ended), 1);
		}

		for (const planned of node.plan.plan(upstreams, node.holder.getUsable(now + node.clock), now + node.clock)) {
			// A connection may have to be opened first.
			const sentAt = now + random.nextInteger(900);
			sends.set(planned.upstream, [...sends.get(planned.upstream) ?? [], sentAt]);
			node.open.push({poll: planned, endsAt: sentAt + random.nextInteger(50), isAnswered: random.nextInteger(10) > 0});
		}
	}

	/** A new process of the same instance knows only the records that the log still keeps. */
	function restart(node: Node, now: number): void {
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

	return sends;
}

function getMostInOneSecond(times: readonly number[]): number {
	const sorted = times.toSorted((left, right) => left - right);
	let first = 0;
	let most = 0;
	for (const [last, time] of sorted.entries()) {
		while (time - sorted[first]! >= 1000) {
			first++;
		}

		most = Math.max(most, last - first + 1);
	}

	return most;
}

test('no second has more polls than the budget, whatever the views, pauses and lags', () => {
	const faults = fastCheck.record({
		seed: fastCheck.integer({min: 1, max: 1_000_000}),
		entries: fastCheck.integer({min: 1, max: 12}),
		budget: fastCheck.integer({min: 0, max: 12}),
		pauses: fastCheck.nat(20),
		outages: fastCheck.nat(60),
		restarts: fastCheck.nat(5),
	});
	fastCheck.assert(fastCheck.property(faults, drawn => {
		for (const times of runFleet(drawn, 300_000).values()) {
			expect(getMostInOneSecond(times)).toBeLessThanOrEqual(drawn.budget);
		}
	}), {seed, numRuns: 40});
});

test('a quiet fleet polls every upstream', () => {
	const sends = runFleet({
		seed, entries: 15, budget: 10, pauses: 0, outages: 0, restarts: 0,
	}, 60_000);
	expect([...sends.keys()].toSorted()).toEqual(['u1', 'u2', 'u3']);
});

test('a position has one holder at a time and goes on after a silence only', () => {
	const claim = (holder: string, appendedAt: number): ClaimedRecord => ({id: `${holder}${appendedAt}`, appendedAt, claim: {holder, positions: [3]}});
	let {leases, granted} = judgeClaim(createLeases(true), claim('a', 0));
	expect(granted).toEqual([3]);
	const judge = (record: ClaimedRecord) => {
		({leases, granted} = judgeClaim(leases, record));
		return granted;
	};

	expect(judge(claim('b', holdMilliseconds - 1))).toEqual([]);
	expect(judge(claim('a', holdMilliseconds))).toEqual([3]);
	expect(judge(claim('b', (2 * holdMilliseconds) - 1))).toEqual([]);
	expect(judge(claim('b', (3 * holdMilliseconds) + 1))).toEqual([3]);
});

test('a reader without the earlier records grants nothing until a lease would have lapsed', () => {
	const first = judgeClaim(createLeases(false), {id: '1', appendedAt: 100, claim: {holder: 'a', positions: [3]}});
	expect(first.granted).toEqual([]);
	const early = judgeClaim(first.leases, {id: '2', appendedAt: holdMilliseconds, claim: {holder: 'a', positions: [4]}});
	expect(early.granted).toEqual([]);
	const later = judgeClaim(early.leases, {id: '3', appendedAt: 101 + holdMilliseconds, claim: {holder: 'a', positions: [4, 3]}});
	expect(later.granted).toEqual([3]);
});

test('a holder counts from before it sent its claim, however late it learns of the grant', () => {
	const holder = createPositionHolder('a', createRandomSource(seed));
	const claim = holder.tryPlanClaim('1', 2, 1000)!;
	const record = {id: '1', appendedAt: 500_000, claim};
	holder.take([record], 1000 + useMilliseconds - 1);
	expect(holder.getUsable(1000 + useMilliseconds - 1)).toEqual(claim.positions);
	expect(holder.getUsable(1000 + useMilliseconds)).toEqual([]);
});
