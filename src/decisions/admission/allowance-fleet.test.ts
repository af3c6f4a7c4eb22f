/** Replays of workspaces that spread over many entries, in virtual time with seeded arrivals. */
import * as vitest from 'vitest';
import * as randomness from '../random.ts';
import * as allowanceGate from './allowance-gate.ts';
import * as allowanceLedger from './allowance-ledger.ts';

const {expect, test} = vitest;
const stepMilliseconds = 10;
const {reportMilliseconds} = allowanceLedger;
const windowMilliseconds = 5000;
const workspace = 'w';

type FleetOptions = {
	readonly seed: number;
	readonly entries: number;
	readonly allowance: allowanceLedger.Allowance;
	readonly milliseconds: number;
	/** Times at which the entry with the ledger is lost; another one takes over after `takeoverMilliseconds`. */
	readonly lossesAt?: readonly number[];
	/** Share of the entries that restart, spread over the run. */
	readonly restartShare?: number;
	/** Requests per second over all entries at a time. */
	getDemand(now: number): number;
};

/** Time until the other entries report to a new ledger. */
const takeoverMilliseconds = 1000;

function runFleet({seed, entries: count, allowance, milliseconds, getDemand, lossesAt = [], restartShare = 0}: FleetOptions) {
	const random = randomness.createRandomSource(seed);
	let ledger = allowanceLedger.createAllowanceLedger();
	let reachableFrom = 0;
	const createEntry = () => ({gate: allowanceGate.createAllowanceGate(random), reportAt: random.nextFraction() * reportMilliseconds, restartAt: random.nextFraction() < restartShare ? random.nextFraction() * milliseconds : Number.POSITIVE_INFINITY});
	const entries = Array.from({length: count}, createEntry);
	const admittedAt: number[] = [];
	let arrived = 0;
	for (let now = 0; now < milliseconds; now += stepMilliseconds) {
		if (lossesAt.includes(now)) {
			ledger = allowanceLedger.createAllowanceLedger();
			reachableFrom = now + takeoverMilliseconds;
		}

		const expected = getDemand(now) * stepMilliseconds / 1000;
		const arrivals = Math.floor(expected) + (random.nextFraction() < expected % 1 ? 1 : 0);
		for (let index = 0; index < arrivals; index++) {
			arrived++;
			if (entries[random.nextInteger(count)]!.gate.admit(workspace, now)) {
				admittedAt.push(now);
			}
		}

		for (const entry of entries) {
			if (now >= entry.restartAt) {
				entry.restartAt = Number.POSITIVE_INFINITY;
				entry.gate = allowanceGate.createAllowanceGate(random);
			}

			if (now >= entry.reportAt) {
				entry.reportAt += reportMilliseconds;
				const usages = entry.gate.takeUsages();
				if (now < reachableFrom) {
					entry.gate.restoreUsages(usages);
					continue;
				}

				entry.gate.applyGrants(ledger.report(usages, () => allowance, 1, now), now);
			}
		}
	}

	return {admittedAt, arrived};
}

function getWorstWindow(admittedAt: readonly number[]): number {
	let worst = 0;
	let end = 0;
	for (const [start, at] of admittedAt.entries()) {
		while (end < admittedAt.length && admittedAt[end]! < at + windowMilliseconds) {
			end++;
		}

		worst = Math.max(worst, end - start);
	}

	return worst;
}

/** Largest number of requests in any window, from the rules. */
const getAllowed = ({requestsPerSecond, burst}: allowanceLedger.Allowance) => (((requestsPerSecond * windowMilliseconds / 1000) + burst) * 1.1) + 20;
const sizes = [14, 40, 126, 312, 1000];
const rates = [2, 20, 223];
const cases = sizes.flatMap(entries => rates.map(rate => ({entries, rate})));
const usualShare = 1 / 1.6;
const isHot = (now: number) => now >= 8000 && now < 16_000;

test.each(cases)('a workspace at six times its usual rate of an allowance of $rate per second keeps it over $entries entries', ({entries, rate}) => {
	const allowance = {requestsPerSecond: rate, burst: rate};
	for (const seed of [1, 2, 3]) {
		const {admittedAt} = runFleet({
			seed, entries, allowance, milliseconds: 24_000, getDemand: now => rate * usualShare * (isHot(now) ? 6 : 1),
		});
		expect(getWorstWindow(admittedAt), `seed ${seed}`).toBeLessThanOrEqual(getAllowed(allowance));
		const hot = admittedAt.filter(at => isHot(at)).length;
		expect(hot, `seed ${seed}`).toBeGreaterThanOrEqual(0.8 * rate * 8);
	}
});

test.each(cases)('a workspace below its allowance of $rate per second is admitted at $entries entries', ({entries, rate}) => {
	const {admittedAt, arrived} = runFleet({
		seed: entries, entries, allowance: {requestsPerSecond: rate, burst: rate}, milliseconds: 20_000, getDemand: () => rate * usualShare,
	});
	expect(admittedAt.length).toBeGreaterThanOrEqual(0.95 * arrived);
});

test.each(cases)('the allowance of $rate per second holds over $entries entries while the ledger is lost and entries restart', ({entries, rate}) => {
	const allowance = {requestsPerSecond: rate, burst: rate};
	for (const seed of [1, 2]) {
		const {admittedAt} = runFleet({
			seed, entries, allowance, milliseconds: 24_000, getDemand: now => rate * usualShare * (isHot(now) ? 6 : 1), lossesAt: [10_000, 14_000], restartShare: 0.3,
		});
		expect(getWorstWindow(admittedAt), `seed ${seed}`).toBeLessThanOrEqual(getAllowed(allowance));
	}
});
