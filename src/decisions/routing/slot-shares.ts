/**
Divides the slots of the upstreams of a service among the entries of the fleet.

Every entry computes the same division from the same view of the fleet, without coordination. Each slot is assigned by
rendezvous hashing to the highest-ranked entry whose quota is not used up, so that a change of one member moves few
slots.
*/

import {hashText, mixHashes} from '../hash.ts';

/** Upstream whose slots are divided. */
export type DividedUpstream = {
	readonly name: string;
	readonly slots: number;
};

/** Slots of one upstream that are assigned to one entry. */
export type SlotShare = {
	/** Total number of slots. */
	readonly slots: number;
	/** Number of these slots that long calls may use. */
	readonly longSlots: number;
};

/** One slot of an upstream, with the hash by which it is assigned. */
type Slot = {
	readonly upstream: string;
	readonly key: number;
};

/** Number of slots that an entry may still be assigned. */
type EntryQuota = {
	readonly name: string;
	readonly key: number;
	remaining: number;
};

/** Returns the number of slots of one upstream that long calls of the whole fleet may use. */
export function countLongSlots(slots: number, longShare: number): number {
	return Math.floor(slots * longShare);
}

/** Divides the slots and returns the shares of the entry `self` by upstream, without upstreams where it has no slot. */
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

	const assignedPairs = new Set<string>();
	const isLongWorkAllowed = longShare > 0;
	const long = assignSlots(longSlots, names, assignedPairs, false);
	const short = assignSlots(shortSlots, names, assignedPairs, true);
	const shares = new Map<string, SlotShare>();
	let ownLongSlots = 0;
	for (const upstream of upstreams) {
		const longCount = long.get(`${self}/${upstream.name}`) ?? 0;
		const count = longCount + (short.get(`${self}/${upstream.name}`) ?? 0);
		ownLongSlots += longCount;
		if (count > 0) {
			shares.set(upstream.name, {slots: count, longSlots: longCount});
		}
	}

	if (isLongWorkAllowed && ownLongSlots === 0) {
		addLongSlot(shares, upstreams, self);
	}

	return shares;
}

/**
Assigns a slot for long calls to an entry that would have none, so that its long calls are not blocked.

Where there are more entries than long slots, long calls of the fleet may then use as many slots as there are entries.
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

/**
Assigns slots to entries and returns the number of slots by `entry/upstream`.

Adds each pair of an entry and an upstream that receives a slot to `assignedPairs`.
*/
function assignSlots(slots: readonly Slot[], entries: readonly string[], assignedPairs: Set<string>, isRemainderOrderReversed: boolean): Map<string, number> {
	const counts = new Map<string, number>();
	const quotas = createQuotas(slots.length, entries, isRemainderOrderReversed);
	const ordered = slots.toSorted((left, right) => left.key - right.key || (left.upstream < right.upstream ? -1 : 1));
	for (const slot of ordered) {
		const quota = chooseQuota(slot, quotas, assignedPairs);
		const pair = `${quota.name}/${slot.upstream}`;
		quota.remaining -= 1;
		assignedPairs.add(pair);
		counts.set(pair, (counts.get(pair) ?? 0) + 1);
	}

	return counts;
}

/** Creates even quotas; the entries that come first by hash, or last if reversed, get one slot more. */
function createQuotas(slots: number, entries: readonly string[], isRemainderOrderReversed: boolean): readonly EntryQuota[] {
	const evenShare = Math.floor(slots / entries.length);
	const remainder = slots % entries.length;
	const quotas = entries
		.map(name => ({name, key: hashText(name), remaining: evenShare}))
		.toSorted((left, right) => left.key - right.key || (left.name < right.name ? -1 : 1));
	if (isRemainderOrderReversed) {
		quotas.reverse();
	}

	for (const quota of quotas.slice(0, remainder)) {
		quota.remaining += 1;
	}

	return quotas;
}

/** Chooses the highest-ranked entry with a quota left, preferring entries that have no slot at the upstream yet. */
function chooseQuota(slot: Slot, quotas: readonly EntryQuota[], assignedPairs: ReadonlySet<string>): EntryQuota {
	const available = quotas.filter(quota => quota.remaining > 0);
	const withoutSlot = available.filter(quota => !assignedPairs.has(`${quota.name}/${slot.upstream}`));
	const candidates = withoutSlot.length > 0 ? withoutSlot : available;
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
