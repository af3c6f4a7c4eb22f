/**
Keeps which failure domains are evacuated, i.e. whose upstreams receive nothing new.

The version of the set is the position in the operators' log up to which it contains all records. Of two sets, the one
with the later version holds, whether it comes from the log or from another entry. The version grows with each record, also
if the set stays the same: another entry may have a set that this one never had.

The newest records in a later era may come from an older copy of the store. A domain about which a record was received in an
earlier era stays evacuated or restored until a record about it is written. An entry that remembers no earlier era takes over
the set of one that does at the same position, too.
*/
import * as positions from './positions.ts';

/** A record of the operators' log about a failure domain. */
export type EvacuationRecord
	= | {readonly kind: 'evacuated'; readonly failureDomain: string}
		| {readonly kind: 'restored'; readonly failureDomain: string};

/** The set of evacuated failure domains and its version. */
export type EvacuationSet = {
	readonly era: number;
	/** Position up to which the set contains all records; -1 before the first read. */
	readonly version: number;
	readonly failureDomains: readonly string[];
	/** Whether the sender has known an earlier era, or has taken over what an entry remembers that has. */
	readonly remembersEarlier: boolean;
};

/** Evacuations as an entry last received them. Functions that change the set return whether they did. */
export type Evacuations = {
	/** Applies the records of a part of the log that ends at a position. */
	applyRecords(records: readonly EvacuationRecord[], endPosition: positions.Position): boolean;
	/** Applies the newest record of each failure domain, which contain all changes up to a position. */
	applySnapshot(records: readonly EvacuationRecord[], position: positions.Position): boolean;
	/** Applies the set of another entry if it is newer, or remembers more. */
	applySet(set: EvacuationSet): boolean;
	isEvacuated(failureDomain: string): boolean;
	getSet(): EvacuationSet;
	/** Gets the position at the last change of this set. */
	getChangedPosition(): positions.Position;
};

/** Creates an empty set. */
export function createEvacuations(): Evacuations {
	/** The kind and the era of the latest record about each domain. */
	const known = new Map<string, {readonly kind: EvacuationRecord['kind']; readonly era: number}>();
	let failureDomains: ReadonlySet<string> = new Set();
	let position = positions.initialPosition;
	let changedPosition = positions.initialPosition;
	let remembersEarlier = false;

	function replace(next: ReadonlySet<string>, nextPosition: positions.Position): boolean {
		remembersEarlier ||= position.offset >= 0 && nextPosition.era > position.era;
		position = nextPosition;
		const isChanged = next.size !== failureDomains.size || [...next].some(failureDomain => !failureDomains.has(failureDomain));
		if (isChanged) {
			failureDomains = next;
			changedPosition = nextPosition;
		}

		return isChanged;
	}

	const listEvacuated = () => new Set([...known].filter(([, {kind}]) => kind === 'evacuated').map(([failureDomain]) => failureDomain));

	function record(records: readonly EvacuationRecord[], era: number): void {
		for (const {kind, failureDomain} of records) {
			known.set(failureDomain, {kind, era});
		}
	}

	/** Adopts the newest record of each domain, listed in an era, except where a record of an earlier era says otherwise. */
	function recordListed(listed: ReadonlySet<string>, era: number): void {
		for (const failureDomain of new Set([...known.keys(), ...listed])) {
			const kind = listed.has(failureDomain) ? 'evacuated' : 'restored';
			const latest = known.get(failureDomain);
			if (!latest || latest.era === era || latest.kind === kind) {
				known.set(failureDomain, {kind, era});
			}
		}
	}

	return {
		applyRecords(records, endPosition) {
			if (!positions.isLater(endPosition, position)) {
				return false;
			}

			record(records, endPosition.era);
			return replace(listEvacuated(), endPosition);
		},
		applySnapshot(records, nextPosition) {
			if (!positions.isLater(nextPosition, position)) {
				return false;
			}

			const evacuated = records.filter(({kind}) => kind === 'evacuated');
			recordListed(new Set(evacuated.map(({failureDomain}) => failureDomain)), nextPosition.era);
			return replace(listEvacuated(), nextPosition);
		},
		applySet({era, version, failureDomains: next, remembersEarlier: isRemembered}) {
			const nextPosition = {era, offset: version};
			const isNewer = positions.isLater(nextPosition, position);
			const completes = isRemembered && !remembersEarlier && !positions.isLater(position, nextPosition);
			if (!isNewer && !completes) {
				return false;
			}

			// An entry that has only read a copy knows no more than it lists.
			if (!isRemembered && era > position.era && position.offset >= 0) {
				recordListed(new Set(next), era);
				return replace(listEvacuated(), nextPosition);
			}

			remembersEarlier ||= isRemembered;

			for (const failureDomain of failureDomains) {
				known.set(failureDomain, {kind: 'restored', era});
			}

			record(next.map(failureDomain => ({kind: 'evacuated', failureDomain})), era);
			return replace(new Set(next), nextPosition);
		},
		isEvacuated: failureDomain => failureDomains.has(failureDomain),
		getSet: () => ({
			era: position.era, version: position.offset, failureDomains: [...failureDomains].toSorted(), remembersEarlier,
		}),
		getChangedPosition: () => changedPosition,
	};
}
