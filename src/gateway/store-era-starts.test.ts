/** Checks what an entry knows that starts after the store has returned from an older copy and reads it before it hears of the others, in virtual time. */
import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as storeReplay from '../../test/support/store-replay.ts';

const {afterEach, beforeEach, expect, test, vi} = vitest;
const stepMilliseconds = 250;
const heartbeatSteps = 2;
const upstreamCount = 6;
/** Steps from the first answer of another entry until the started one must know what that remembers: the other one may have yet to read as far as the copy goes. */
const learningSteps = 4;
/** Steps until removals that were held back are decided. */
const settlingSteps = 14;

type Change = {readonly kind: 'leave' | 'drain' | 'restart' | 'join' | 'evacuate'; readonly index: number};

type Order = {
	readonly changes: readonly Change[];
	/** Number of the changes that the copy has. */
	readonly copied: number;
	/** Steps after the return until the others read, and until the upstreams that live write again. */
	readonly unawareSteps: number;
	readonly rewriteSteps: number;
	/** Steps after the return at which the entry starts, and for how many it reads alone. */
	readonly startSteps: number;
	readonly aloneSteps: number;
	/** Whether the others follow the started entry, which then only asks them now and then, and what the second of them does. */
	readonly isReader: boolean;
	readonly secondEntry: 'follows' | 'reads' | 'starts-too';
};

const orders: fc.Arbitrary<Order> = fc.record({
	changes: fc.array(fc.record({kind: fc.constantFrom('leave' as const, 'drain' as const, 'restart' as const, 'join' as const, 'evacuate' as const), index: fc.nat(9)}), {minLength: 1, maxLength: 5}),
	copied: fc.nat(3),
	unawareSteps: fc.nat(4),
	rewriteSteps: fc.nat(5),
	startSteps: fc.nat(5),
	aloneSteps: fc.integer({min: 1, max: 6}),
	isReader: fc.boolean(),
	secondEntry: fc.constantFrom('follows' as const, 'reads' as const, 'starts-too' as const),
});

type Upstream = {readonly id: string; readonly address: string; readonly incarnation: number; sequence: number; state: 'ready' | 'draining'};

const describe = (upstreams: Iterable<{readonly id: string; readonly state: string; readonly incarnation: number}>) => [...upstreams].map(({id, state, incarnation}) => `${id} ${state} ${incarnation}`).toSorted();

function createEntry(store: ReturnType<typeof storeReplay.createStore>) {
	const state = storeReplay.createState();
	return {state, reader: storeReplay.createReader(store.host, state)};
}

async function run(order: Order): Promise<void> {
	const store = storeReplay.createStore();
	const first = createEntry(store);
	const second = createEntry(store);
	const living = new Map<string, Upstream>();
	const evacuated = new Set<string>();
	let created = 0;

	function write(upstream: Upstream): void {
		upstream.sequence++;
		store.register(storeReplay.createRegistration(upstream.id, {...upstream}));
	}

	function join(id = `i-${++created}`, address = `10.0.0.${created}:1`): void {
		living.set(id, {
			id, address, incarnation: ++created, sequence: 0, state: 'ready',
		});
		write(living.get(id)!);
	}

	function perform({kind, index}: Change): void {
		const upstream = [...living.values()][index % living.size]!;
		switch (kind) {
			case 'leave': {
				living.delete(upstream.id);
				store.remove(upstream.id);
				join();
				break;
			}

			case 'drain': {
				upstream.state = 'draining';
				write(upstream);
				break;
			}

			case 'restart': {
				join(upstream.id, upstream.address);
				break;
			}

			case 'join': {
				join();
				break;
			}

			case 'evacuate': {
				const failureDomain = `d-${index}`;
				evacuated.add(failureDomain);
				store.publish({kind: 'evacuated', failureDomain});
				break;
			}
		}
	}

	async function readBoth(): Promise<void> {
		await first.reader.readOnce();
		storeReplay.follow(second.state, first.state);
		await vi.advanceTimersByTimeAsync(stepMilliseconds);
	}

	for (let count = 0; count < upstreamCount; count++) {
		join();
	}

	await readBoth();
	let copy = store.getSizes();
	for (const [number, change] of order.changes.entries()) {
		copy = number === order.copied ? store.getSizes() : copy;
		perform(change);
		await readBoth();
	}

	store.loseRecords(copy);
	store.state.era = {kind: 'stated', value: 2};
	const started = createEntry(store);
	const third = order.secondEntry === 'starts-too' ? createEntry(store) : second;
	const followsFrom = order.startSteps + order.aloneSteps;
	const knowsFrom = Math.max(followsFrom, order.unawareSteps) + learningSteps;

	/** Lets the entries read and follow as in one step of the time. */
	async function play(step: number): Promise<void> {
		const isStarted = step >= order.startSteps;
		const isHeard = step >= followsFrom;
		if (isStarted && (!isHeard || order.isReader)) {
			await started.reader.readOnce();
		}

		if (step >= order.unawareSteps) {
			if (isHeard && order.isReader) {
				storeReplay.follow(first.state, started.state);
			} else {
				await first.reader.readOnce();
			}
		}

		if (order.secondEntry === 'follows') {
			storeReplay.follow(second.state, first.state);
		} else if (isStarted || order.secondEntry === 'reads') {
			await third.reader.readOnce();
		}

		// A reader asks the others by chance before or after they have its latest news, and hears of entries that know no more.
		if (isHeard) {
			storeReplay.follow(started.state, third.state);
			storeReplay.follow(started.state, first.state);
			storeReplay.follow(third.state, started.state);
		}
	}

	for (let step = 0; step < knowsFrom + settlingSteps; step++) {
		if (step >= order.rewriteSteps && step % heartbeatSteps === 0) {
			for (const upstream of living.values()) {
				write(upstream);
			}
		}

		await play(step);
		if (step >= knowsFrom) {
			for (const {state} of [started, third]) {
				const usable = state.registry.list().filter(({state: upstreamState}) => upstreamState === 'ready');
				const wrong = usable.filter(({id, incarnation}) => living.get(id)?.state !== 'ready' || living.get(id)!.incarnation !== incarnation);
				expect(describe(wrong), `step ${step}`).toEqual([]);
				expect(state.evacuations.getSet().failureDomains).toEqual([...evacuated].toSorted());
			}
		}

		await vi.advanceTimersByTimeAsync(stepMilliseconds);
	}

	for (const {state} of [first, second, started, third]) {
		expect(describe(state.registry.list())).toEqual(describe(living.values()));
	}
}

beforeEach(() => {
	vi.useFakeTimers({now: 1_000_000});
});

afterEach(() => {
	vi.useRealTimers();
});

// Guards against an entry that keeps what the copy lists, since the others' news name only what was written after it.
test.each([0, 50, 100, 150])('an entry that reads the copy before it hears of the others soon knows what they remember (from %i)', async start => {
	await fc.assert(fc.asyncProperty(orders, async order => {
		vi.setSystemTime(1_000_000);
		await run(order);
	}), {seed: 62, path: String(start), numRuns: 50});
});
