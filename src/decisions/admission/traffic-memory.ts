/**
Limits the memory that callers and upstreams can make an entry hold, over everything that the entry receives or sends.

Load pattern: many connections, each of which holds as much as one may and stops just short of the end of what it sends.
No single limit is exceeded, but all of them together exceed the memory of the machine.

Each connection, request and response claims what it can hold. When the claims exceed their part of the memory, the
largest one that hasn't moved for a while gives way; if all of them move, the largest. A request that is complete is kept
until it ends, since an upstream may run it. Kept claims have a part of their own, so that a request can always arrive.

A connection with a response on its way gives way after those that hold nothing, and for no new one if an upstream has run
its request: the caller would not learn how it ended.
*/

/** What a claim is for. A claim of a port closes its connection when it gives way. */
export type ClaimGroup = 'callers' | 'directory' | 'readiness' | 'metrics' | 'peers' | 'peer-messages' | 'responses';

/** Response that has left the entry, but may not have reached the caller. */
export type ResponseOnItsWay = 'none' | 'refusal' | 'answer';

/** Memory of one connection, request or response. */
export type MemoryClaim = {
	/** Changes the size because data has moved. Other claims, or this one, may give way. */
	resize(bytes: number, now: number): void;
	/** Records that data has moved without a change of the size. */
	recordMove(now: number): void;
	/** Keeps the claim from giving way from now on; its size must not grow any more. Returns false, without an effect, if it gave way or too much is kept. */
	keep(): boolean;
	/** Records what is on its way on the connection of the claim. */
	setOnItsWay(response: ResponseOnItsWay): void;
	/** Frees the memory. */
	free(): void;
};

/** Memory of all claims. */
export type TrafficMemory = {
	/** Creates a claim; `onGiveWay` is called at most once, and never after `free`. */
	claim(group: ClaimGroup, now: number, onGiveWay: () => void): MemoryClaim;
	/** Lets the claim of a group that holds most and moves least give way, unless an answer is on its way. Returns false if there is none. */
	closeOne(group: ClaimGroup, now: number): boolean;
	/** Number of bytes that are claimed. */
	getUsed(): number;
};

type Entry = {readonly group: ClaimGroup; readonly onGiveWay: () => void; bytes: number; movedAt: number; isKept: boolean; onItsWay: ResponseOnItsWay};

/** Time without movement after which a claim gives way before those that move, in milliseconds. */
const stallMilliseconds = 1000;
/** Share of the memory for claims that are kept; the rest is for those that can give way. */
const keptShare = 0.5;
/** Size up to which a claim is small, in bytes, and the share of the part for kept claims that larger ones may take. */
const smallBytes = 65_536;
const largeKeptShare = 0.8;
/** Order in which connections give way. */
const orderOnItsWay: Readonly<Record<ResponseOnItsWay, number>> = {none: 0, refusal: 1, answer: 2};

/** Creates an empty memory of the given size. */
export function createTrafficMemory(maximumBytes: number): TrafficMemory {
	const maximumKeptBytes = keptShare * maximumBytes;
	const maximumMovingBytes = maximumBytes - maximumKeptBytes;
	const entries = new Set<Entry>();
	let used = 0;
	let kept = 0;

	function free(entry: Entry): void {
		if (entries.delete(entry)) {
			used -= entry.bytes;
			kept -= entry.isKept ? entry.bytes : 0;
		}
	}

	function findFirstToGiveWay(now: number, isCandidate: (entry: Entry) => boolean): Entry | undefined {
		let first: Entry | undefined;
		for (const entry of entries) {
			if (!entry.isKept && isCandidate(entry) && (!first || givesWayBefore(entry, first, now))) {
				first = entry;
			}
		}

		return first;
	}

	/** Large claims leave a part to small ones, so that bodies don't keep out requests without one. */
	function getKeepingLimit(bytes: number): number {
		return bytes <= smallBytes ? maximumKeptBytes : largeKeptShare * maximumKeptBytes;
	}

	function giveWay(entry: Entry): void {
		free(entry);
		entry.onGiveWay();
	}

	function makeRoom(now: number): void {
		const first = used - kept > maximumMovingBytes ? findFirstToGiveWay(now, () => true) : undefined;
		if (first) {
			giveWay(first);
			makeRoom(now);
		}
	}

	return {
		claim(group, now, onGiveWay) {
			const entry: Entry = {
				group, onGiveWay, bytes: 0, movedAt: now, isKept: false, onItsWay: 'none',
			};
			entries.add(entry);
			return {
				resize(bytes, movedAt) {
					if (!entries.has(entry)) {
						return;
					}

					const change = bytes - entry.bytes;
					entry.bytes = bytes;
					entry.movedAt = movedAt;
					used += change;
					kept += entry.isKept ? change : 0;
					makeRoom(movedAt);
				},
				recordMove(movedAt) {
					entry.movedAt = movedAt;
				},
				keep() {
					if (!entries.has(entry) || kept + entry.bytes > getKeepingLimit(entry.bytes)) {
						return false;
					}

					if (!entry.isKept) {
						entry.isKept = true;
						kept += entry.bytes;
					}

					return true;
				},
				setOnItsWay(response) {
					entry.onItsWay = response;
				},
				free() {
					free(entry);
				},
			};
		},
		closeOne(group, now) {
			const first = findFirstToGiveWay(now, entry => entry.group === group && entry.onItsWay !== 'answer');
			if (first) {
				giveWay(first);
			}

			return first !== undefined;
		},
		getUsed: () => used,
	};
}

function givesWayBefore(left: Entry, right: Entry, now: number): boolean {
	if (left.onItsWay !== right.onItsWay) {
		return orderOnItsWay[left.onItsWay] < orderOnItsWay[right.onItsWay];
	}

	const isLeftStalled = isStalled(left, now);
	if (isLeftStalled !== isStalled(right, now)) {
		return isLeftStalled;
	}

	return left.bytes === right.bytes ? left.movedAt < right.movedAt : left.bytes > right.bytes;
}

const isStalled = ({movedAt}: Entry, now: number) => now - movedAt >= stallMilliseconds;
