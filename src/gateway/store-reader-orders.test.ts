/** Checks the reading of the registry after random orders of cuts, outages, removals and renewals, in virtual time. */
import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as storeReplay from '../../test/support/store-replay.ts';

const {afterEach, beforeEach, expect, test, vi} = vitest;
const {getNow} = storeReplay;
const stepMilliseconds = 250;
const staleMilliseconds = 1200;
/** Bounds of the rules: time for a removal, time for which a disruption excuses, and time in which lapsed upstreams are back. */
const drainMilliseconds = 2000;
const stableMilliseconds = 3000;
const renewalMilliseconds = 1750;
/** Time for which the store serves on after renewals, so that an entry can read them. */
const readableMilliseconds = 1000;

type Action
	= | {readonly kind: 'cut'; readonly isIsolated: boolean; readonly steps: number}
		| {readonly kind: 'outage'; readonly steps: number; readonly lapsed: readonly number[]}
		| {readonly kind: 'leave'}
		| {readonly kind: 'wait'; readonly steps: number};

const actions = fc.array(fc.oneof(
	fc.record({kind: fc.constant('cut' as const), isIsolated: fc.boolean(), steps: fc.integer({min: 1, max: 22})}),
	// Three intervals of silence let a registration lapse, which an outage of less can't cause.
	fc.record({kind: fc.constant('outage' as const), steps: fc.integer({min: 13, max: 24}), lapsed: fc.uniqueArray(fc.nat(5))}),
	fc.record({kind: fc.constant('leave' as const)}),
	fc.record({kind: fc.constant('wait' as const), steps: fc.integer({min: 1, max: 14})}),
), {minLength: 2, maxLength: 8});

beforeEach(() => {
	vi.useFakeTimers({now: 1_000_000});
});

afterEach(() => {
	vi.useRealTimers();
});

/** Runs two entries: the first reads while it can, the other one while the news of the first are old. */
async function run(order: readonly Action[]): Promise<void> {
	const store = storeReplay.createStore();
	const states = [storeReplay.createState(), storeReplay.createState()] as const;
	const [first, second] = states;
	const link = {isCut: false, isIsolated: false, disturbedAt: Number.NEGATIVE_INFINITY};
	const follow = (follower: storeReplay.State, source: storeReplay.State) => {
		if (!link.isIsolated) {
			storeReplay.follow(follower, source);
		}
	};

	const readers = [
		storeReplay.createReader(storeReplay.createCuttableHost(store.host, link), first, async () => {
			follow(first, second);
		}),
		storeReplay.createReader(store.host, second, async () => {
			follow(second, first);
		}),
	] as const;
	const living = new Set<string>();
	/** Upstreams that each entry knew at its latest check. */
	const seen: Array<ReadonlySet<string>> = [new Set(), new Set()];
	const lapsed = new Set<string>();
	const leftAt = new Map<string, number>();
	let unstableUntil = Number.NEGATIVE_INFINITY;
	let sequence = 1;
	let created = 0;
	const register = (id: string) => {
		store.register(storeReplay.createRegistration(id, {sequence: ++sequence}));
	};

	const join = () => {
		const id = `i-${created++}`;
		living.add(id);
		register(id);
	};

	function check(): void {
		const now = getNow();
		for (const [index, state] of states.entries()) {
			if (index === 0 && now - link.disturbedAt < stableMilliseconds) {
				continue;
			}

			const known = new Set(storeReplay.listIds(state));
			for (const [id, at] of leftAt) {
				const isDue = now - at > drainMilliseconds && at > unstableUntil + stableMilliseconds && now > unstableUntil + stableMilliseconds;
				expect(isDue && known.has(id), `${id} has left ${now - at} ms ago, and entry ${index} knows it`).toBe(false);
			}

			for (const id of seen[index]!) {
				expect(known.has(id) || !living.has(id), `${id} lives, and entry ${index} has dropped it`).toBe(true);
			}

			seen[index] = known;
		}
	}

	async function advance(steps: number): Promise<void> {
		for (let step = 0; step < steps; step++) {
			await vi.advanceTimersByTimeAsync(stepMilliseconds);
			if (link.isCut || link.isIsolated) {
				link.disturbedAt = getNow();
			}

			if (!await readers[0].readOnce() && second.getAge(getNow()) > staleMilliseconds) {
				await readers[1].readOnce();
			}

			if (first.getAge(getNow()) < second.getAge(getNow())) {
				follow(second, first);
			} else {
				follow(first, second);
			}

			check();
		}
	}

	for (let count = 0; count < 6; count++) {
		join();
	}

	await advance(14);
	for (const action of order) {
		switch (action.kind) {
			case 'cut': {
				link.isCut = true;
				link.isIsolated = action.isIsolated;
				await advance(action.steps);
				link.isCut = false;
				link.isIsolated = false;
				break;
			}

			case 'outage': {
				store.state.isDown = true;
				unstableUntil = Number.POSITIVE_INFINITY;
				await advance(action.steps);
				for (const index of action.lapsed) {
					const id = [...living][index % living.size]!;
					lapsed.add(id);
					store.remove(id);
				}

				store.state.isDown = false;
				unstableUntil = getNow();
				await advance(renewalMilliseconds / stepMilliseconds);
				for (const id of lapsed) {
					register(id);
				}

				lapsed.clear();
				// Nobody can know of a renewal that the store took just before its next outage.
				await advance(readableMilliseconds / stepMilliseconds);
				break;
			}

			case 'leave': {
				const [id] = living;
				living.delete(id!);
				leftAt.set(id!, getNow());
				store.remove(id!);
				join();
				await advance(1);
				break;
			}

			case 'wait': {
				await advance(action.steps);
				break;
			}
		}
	}

	await advance(20);
	for (const state of states) {
		expect(storeReplay.listIds(state)).toEqual([...living].toSorted((left, right) => left.localeCompare(right)));
	}
}

// Guards against removals that are held back anew by each trouble of the reader, and against upstreams that are given up after an outage.
test('in any order of cuts, outages, removals and renewals, what has left is dropped in time and what lives is kept', async () => {
	await fc.assert(fc.asyncProperty(actions, async order => {
		vi.setSystemTime(1_000_000);
		await run(order);
	}), {seed: 7, numRuns: 300});
});
