/**
Divides the slots of a service's upstreams over the entries of the fleet.

Every entry computes the same division from the same view, without a message. Each slot goes to the entry that ranks
highest for it by a hash and still has room, so that a change of one member moves few slots.
*/

import {hashText, mixHashes} from '../hash.ts';

/** Upstream whose slots are divided. */
export type DividedUpstream = {
	readonly name: string;
	readonly slots: number;
};

/** Slots of one upstream that belong to one entry. */
export type SlotShare = {
	/** Slots in all. */
	readonly slots: number;
	/** Slots among them that may hold long work. */
	readonly longSlots: number;
};

type Slot = {
	readonly upstream: string;
	readonly key: number;
};

type Taker = {
	readonly name: string;
	readonly key: number;
	/** Slots that the entry may still take. */
	room: number;
};

/** Gets the number of slots of one upstream that long work may hold over the whole fleet. */
export function countLongSlots(slots: number, longShare: number): number {
	return Math.floor(slots * longShare);
}

/** Divides the slots; gets the shares of the entry `self` by upstream, without upstreams where it has none. */
export function divideSlots(upstreams: readonly DividedUpstream[], entries: readonly string[], self: string, longShare: number): ReadonlyMap<string, SlotShare> {
	const names = entries.includes(self) ? entries : [...entries, self];
	const longSlots: Slot[] = [];
	const shortSlots: Slot[] = [];
	for (const upstream of upstreams) {
		const longCount = countLongSlots(upstream.slots, longShare);
		for (let index = 0; index < upstream.slots; index++) {
			const slot = {upstream: upstream.name, key: hashText(`${upstream.name}/${index}`)};
			(index < longCount ? longSlots : shortSlots).push(slot);
		}
	}

	const taken = new Set<string>();
	const isLongAllowed = longShare > 0;
	const long = assignSlots(longSlots, names, taken, false);
	const short = assignSlots(shortSlots, names, taken, true);
	const shares = new Map<string, SlotShare>();
	let ownLong = 0;
	for (const upstream of upstreams) {
		const longCount = long.get(`${self}/${upstream.name}`) ?? 0;
		const count = longCount + (short.get(`${self}/${upstream.name}`) ?? 0);
		ownLong += longCount;
		if (count > 0) {
			shares.set(upstream.name, {slots: count, longSlots: longCount});
		}
	}

	if (isLongAllowed && ownLong === 0) {
		addLongSlot(shares, upstreams, self);
	}

	return shares;
}

/**
Gives an entry without a slot for long work one all the same, so that its long calls get through.

Over the fleet, long work then holds at most as many slots as there are entries, where that is more than its share.
*/
function addLongSlot(shares: Map<string, SlotShare>, upstreams: readonly DividedUpstream[], self: string): void {
	const candidates = shares.size > 0 ? upstreams.filter(upstream => shares.has(upstream.name)) : upstreams;
	const selfKey = hashText(self);
	let best: string | undefined;
	let bestRank = -1;
	for (const {name} of candidates) {
		const rank = mixHashes(hashText(name), selfKey);
		if (rank > bestRank) {
			best = name;
			bestRank = rank;
		}
	}

	if (best !== undefined) {
		shares.set(best, {slots: Math.max(1, shares.get(best)?.slots ?? 0), longSlots: 1});
	}
}

/** Assigns slots to entries; gets the number of slots by `entry/upstream`. */
function assignSlots(slots: readonly Slot[], entries: readonly string[], taken: Set<string>, isReversed: boolean): Map<string, number> {
	const counts = new Map<string, number>();
	const takers = createTakers(slots.length, entries, isReversed);
	const ordered = slots.toSorted((left, right) => left.key - right.key || (left.upstream < right.upstream ? -1 : 1));
	for (const slot of ordered) {
		const taker = chooseTaker(slot, takers, taken);
		const pair = `${taker.name}/${slot.upstream}`;
		taker.room -= 1;
		taken.add(pair);
		counts.set(pair, (counts.get(pair) ?? 0) + 1);
	}

	return counts;
}

/** Gives each entry the even number of slots, and one more to the entries that come first by hash. */
function createTakers(slots: number, entries: readonly string[], isReversed: boolean): readonly Taker[] {
	const even = Math.floor(slots / entries.length);
	const rest = slots % entries.length;
	const takers = entries
		.map(name => ({name, key: hashText(name), room: even}))
		.toSorted((left, right) => left.key - right.key || (left.name < right.name ? -1 : 1));
	if (isReversed) {
		takers.reverse();
	}

	for (const taker of takers.slice(0, rest)) {
		taker.room += 1;
	}

	return takers;
}

/** Chooses the entry with room that ranks highest; entries without a slot at the upstream go first. */
function chooseTaker(slot: Slot, takers: readonly Taker[], taken: ReadonlySet<string>): Taker {
	const open = takers.filter(taker => taker.room > 0);
	const fresh = open.filter(taker => !taken.has(`${taker.name}/${slot.upstream}`));
	const candidates = fresh.length > 0 ? fresh : open;
	let best = candidates[0]!;
	let bestRank = mixHashes(slot.key, best.key);
	for (const candidate of candidates) {
		const rank = mixHashes(slot.key, candidate.key);
		if (rank > bestRank) {
			best = candidate;
			bestRank = rank;
		}
	}

	return best;
}
