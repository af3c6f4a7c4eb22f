/** Chooses the partners of an entry: the entries with which it exchanges digests. */
import {type RandomSource} from '../random.ts';
import {partnerCount} from './constants.ts';
import {type Membership} from './types.ts';

/** Lists the peer addresses of all possible partners: members that aren't gone, and entries of the instance list. */
export function listCandidateAddresses(membership: Membership): readonly string[] {
	const addresses = new Set<string>();
	const memberNames = new Set<string>();
	let ownAddress = '';
	for (const {record, state} of membership.members.values()) {
		if (record.incarnation === membership.self) {
			ownAddress = record.peerAddress;
		} else if (state !== 'gone') {
			addresses.add(record.peerAddress);
			memberNames.add(record.name);
		}
	}

	for (const entry of membership.listedEntries?.values() ?? []) {
		if (!memberNames.has(entry.name)) {
			addresses.add(entry.peerAddress);
		}
	}

	addresses.delete(ownAddress);
	return [...addresses];
}

/**
Chooses partners: keeps the previous partners that are still candidates and adds others at random.

Keeping partners bounds the number of open connections. Addresses in `avoided` are chosen only if there are too few others.
*/
export function choosePartners(candidates: readonly string[], previous: readonly string[], avoided: ReadonlySet<string>, random: RandomSource): readonly string[] {
	const kept = previous.filter(address => candidates.includes(address) && !avoided.has(address));
	const fresh = shuffle(candidates.filter(address => !kept.includes(address) && !avoided.has(address)), random);
	const fallback = candidates.filter(address => avoided.has(address));
	return [...kept, ...fresh, ...fallback].slice(0, partnerCount);
}

/** Returns the items in random order. */
export function shuffle<Item>(items: readonly Item[], random: RandomSource): readonly Item[] {
	return items
		.map(item => ({item, order: random.nextFraction()}))
		.toSorted((left, right) => left.order - right.order)
		.map(({item}) => item);
}
