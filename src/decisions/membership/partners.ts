/** Chooses the entries that this entry exchanges digests with. */
import {type RandomSource} from '../random.ts';
import {partnerCount} from './constants.ts';
import {type Membership} from './types.ts';

/** Gets the peer addresses of all entries that may be partners: members that aren't gone, and listed entries. */
export function getCandidates(membership: Membership): readonly string[] {
	const addresses = new Set<string>();
	const names = new Set<string>();
	let own = '';
	for (const {record, state} of membership.members.values()) {
		if (record.incarnation === membership.self) {
			own = record.peerAddress;
		} else if (state !== 'gone') {
			addresses.add(record.peerAddress);
			names.add(record.name);
		}
	}

	for (const entry of membership.listing?.values() ?? []) {
		if (!names.has(entry.name)) {
			addresses.add(entry.peerAddress);
		}
	}

	addresses.delete(own);
	return [...addresses];
}

/**
Chooses partners: keeps those of the previous ones that are still candidates, and fills up at random.

A lasting set bounds the number of open connections; `dropped` ones give way to others when there are any.
*/
export function choosePartners(candidates: readonly string[], previous: readonly string[], dropped: ReadonlySet<string>, random: RandomSource): readonly string[] {
	const kept = previous.filter(address => candidates.includes(address) && !dropped.has(address));
	const fresh = shuffle(candidates.filter(address => !kept.includes(address) && !dropped.has(address)), random);
	const again = candidates.filter(address => dropped.has(address));
	return [...kept, ...fresh, ...again].slice(0, partnerCount);
}

/** Returns the items in random order. */
export function shuffle<Item>(items: readonly Item[], random: RandomSource): readonly Item[] {
	return items
		.map(item => ({item, order: random.nextFraction()}))
		.toSorted((left, right) => left.order - right.order)
		.map(({item}) => item);
}
