/**
Keeps which failure domains are evacuated, i.e. whose upstreams receive nothing new.

The version of the set is the position in the operators' log up to which it contains all records. Of two sets, the one
with the later version holds, whether it comes from the log or from another entry. The version grows with each record, also
if the set stays the same: another entry may have a set that this one never had.
*/

/** A record of the operators' log about a failure domain. */
export type EvacuationRecord
	= | {readonly kind: 'evacuated'; readonly failureDomain: string}
		| {readonly kind: 'restored'; readonly failureDomain: string};

/** The set of evacuated failure domains and its version. */
export type EvacuationSet = {
	/** Position up to which the set contains all records; -1 before the first read. */
	readonly version: number;
	readonly failureDomains: readonly string[];
};

/** Evacuations as an entry last received them. Functions that change the set return whether they did. */
export type Evacuations = {
	/** Applies the records of a part of the log that ends at a position. */
	applyRecords(records: readonly EvacuationRecord[], endPosition: number): boolean;
	/** Applies the newest record of each failure domain, which contain all changes up to a position. */
	applySnapshot(records: readonly EvacuationRecord[], position: number): boolean;
	/** Applies the set of another entry if it is newer. */
	applySet(set: EvacuationSet): boolean;
	isEvacuated(failureDomain: string): boolean;
	getSet(): EvacuationSet;
	/** Gets the version at the last change of this set; -1 if there was none. */
	getChangedVersion(): number;
};

/** Creates an empty set. */
export function createEvacuations(): Evacuations {
	let failureDomains: ReadonlySet<string> = new Set();
	let version = -1;
	let changedVersion = -1;

	function replace(next: ReadonlySet<string>, nextVersion: number): boolean {
		version = nextVersion;
		const isChanged = next.size !== failureDomains.size || [...next].some(failureDomain => !failureDomains.has(failureDomain));
		if (isChanged) {
			failureDomains = next;
			changedVersion = nextVersion;
		}

		return isChanged;
	}

	function applyTo(base: ReadonlySet<string>, records: readonly EvacuationRecord[]): ReadonlySet<string> {
		const next = new Set(base);
		for (const {kind, failureDomain} of records) {
			if (kind === 'evacuated') {
				next.add(failureDomain);
			} else {
				next.delete(failureDomain);
			}
		}

		return next;
	}

	return {
		applyRecords: (records, endPosition) => endPosition > version && replace(applyTo(failureDomains, records), endPosition),
		applySnapshot: (records, position) => position > version && replace(applyTo(new Set(), records), position),
		applySet: set => set.version > version && replace(new Set(set.failureDomains), set.version),
		isEvacuated: failureDomain => failureDomains.has(failureDomain),
		getSet: () => ({version, failureDomains: [...failureDomains].toSorted()}),
		getChangedVersion: () => changedVersion,
	};
}
