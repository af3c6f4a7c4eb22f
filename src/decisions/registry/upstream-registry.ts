/**
Folds the records of the registry into the set of registered upstreams.

Within one incarnation the state `draining` is final, and heartbeats that arrive out of order are ignored. An unusable
record leaves the previous registration of its upstream in place.

A removal can be held back until a given time, because the store also removes upstreams that couldn't renew their
registration during an outage. The hold is part of the registry, and passed on with it: an entry whose position is
behind a removal has either applied it or holds it.
*/
import type * as types from './types.ts';

/** Latest registration of an upstream and the position of its last material change. */
export type RegisteredUpstream = {
	readonly registration: types.Registration;
	/** Position of the last record that changed more than the heartbeat. */
	readonly changedAt: number;
	/** Time at which the removal of the upstream takes effect; undefined if it was not removed. */
	readonly removalDueAt: number | undefined;
};

/** Change of one upstream, sent to a reader at an earlier position. */
export type RegistryChange
	= | {
		readonly kind: 'registered';
		readonly registration: types.Registration;
		/** Time until a removal that is held back takes effect. */
		readonly removalDueInMilliseconds?: number | undefined;
	}
	| {readonly kind: 'removed'; readonly id: string};

/** Changes between the position of a reader and the position of this registry. */
export type RegistryUpdate = {
	/** Position of the reader after the update. */
	readonly position: number;
	/** Whether `changes` contains all upstreams and replaces the reader's registry. */
	readonly isComplete: boolean;
	readonly changes: readonly RegistryChange[];
};

/** Material change of one upstream caused by applied records. `lapsed` means that its removal is held back, `renewed` that it has registered again in time. */
export type RegistryEvent = {
	readonly kind: 'joined' | 'restarted' | 'changed' | 'draining' | 'lapsed' | 'renewed' | 'removed';
	readonly id: string;
	readonly registration: types.Registration;
};

/** Positions in the log, from the first record to the one after the last. */
export type PositionRange = {readonly from: number; readonly to: number};

export type UpstreamRegistry = {
	/** Gets the position after the last applied record; -1 before the first. */
	getPosition(): number;
	/** Gets a number that increases whenever anything was applied. */
	getRevision(): number;
	/**
	Applies the latest record of each upstream and removes all other upstreams. The records were read while the end of the
	log moved through the range, and contain all changes up to its start. Ignored if the start is behind the current
	position. Removals of ready upstreams are held back until `removalsDueAt`, if given.
	*/
	applySnapshot(range: PositionRange, records: readonly types.RegistryRecord[], removalsDueAt?: number): readonly RegistryEvent[];
	/** Applies the records of a range in their order. Ignored unless the range starts at the current position. Removals are held back as by `applySnapshot`. */
	applyRecords(range: PositionRange, records: readonly types.RegistryRecord[], removalsDueAt?: number): readonly RegistryEvent[];
	/** Applies an update from another entry. Ignored unless its position is ahead of the current one. */
	applyUpdate(update: RegistryUpdate, now: number): readonly RegistryEvent[];
	/** Applies the removals that were held back until `confirmedAt`, up to which all records were received. */
	applyDueRemovals(confirmedAt: number): readonly RegistryEvent[];
	/** Holds back the removals that are not applied yet at least until a time. */
	extendHolds(dueAt: number): void;
	/** Gets the earliest time at which a removal is due; undefined if none is held back. */
	getNextRemovalAt(): number | undefined;
	/** Gets the changes after the position of a reader. */
	getUpdate(since: number, now: number): RegistryUpdate;
	get(id: string): types.Registration | undefined;
	list(): readonly types.Registration[];
};

/** Maximum number of removals that are retained for incremental updates; readers before the oldest one get a complete update. */
const retainedRemovals = 512;

/** Creates an empty registry. */
export function createUpstreamRegistry(): UpstreamRegistry {
	const upstreams = new Map<string, RegisteredUpstream>();
	/** Positions of the latest removals by upstream ID, oldest first. */
	const removals = new Map<string, number>();
	let position = -1;
	let revision = 0;
	/** Oldest reader position for which an incremental update is possible: removals before a snapshot may be unknown. */
	let oldestIncrementalPosition = -1;

	function applyRegistration(registration: types.Registration, at: number): RegistryEvent | undefined {
		const event = classifyRecord(upstreams.get(registration.id), registration);
		return event === 'outdated' ? undefined : storeRegistration(registration, event, at);
	}

	function storeRegistration(registration: types.Registration, event: RegistrationClass, at: number, removalDueAt?: number): RegistryEvent | undefined {
		const {id} = registration;
		const changedAt = event === 'heartbeat' ? upstreams.get(id)!.changedAt : at;
		upstreams.set(id, {registration, changedAt, removalDueAt});
		removals.delete(id);
		return event === 'heartbeat' ? undefined : {kind: event, id, registration};
	}

	function applyRemoval(id: string, at: number, dueAt?: number): RegistryEvent | undefined {
		const current = upstreams.get(id);
		if (current && dueAt !== undefined && current.registration.state === 'ready') {
			return holdRemoval(current, at, dueAt);
		}

		upstreams.delete(id);
		// An entry that follows this one may know an upstream that this one doesn't.
		removals.delete(id);
		removals.set(id, at);
		discardOldRemovals();
		return current && {kind: 'removed', id, registration: current.registration};
	}

	function holdRemoval({registration, removalDueAt}: RegisteredUpstream, at: number, dueAt: number): RegistryEvent | undefined {
		if (removalDueAt !== undefined) {
			return undefined;
		}

		const {id} = registration;
		upstreams.set(id, {registration, changedAt: at, removalDueAt: dueAt});
		return {kind: 'lapsed', id, registration};
	}

	function applyRecord(record: types.RegistryRecord, at: number, removalsDueAt: number | undefined): RegistryEvent | undefined {
		switch (record.kind) {
			case 'registered': {
				return applyRegistration(record.registration, at);
			}

			case 'removed': {
				return applyRemoval(record.id, at, removalsDueAt);
			}

			case 'unusable': {
				return undefined;
			}
		}
	}

	function applyChange(change: RegistryChange, at: number, now: number): RegistryEvent | undefined {
		switch (change.kind) {
			case 'registered': {
				const {registration, removalDueInMilliseconds} = change;
				const removalDueAt = removalDueInMilliseconds === undefined ? undefined : now + removalDueInMilliseconds;
				return storeRegistration(registration, classifyChange(upstreams.get(registration.id), registration, removalDueAt), at, removalDueAt);
			}

			case 'removed': {
				return applyRemoval(change.id, at);
			}
		}
	}

	function discardOldRemovals(): void {
		for (const [id, at] of removals) {
			if (removals.size <= retainedRemovals) {
				return;
			}

			removals.delete(id);
			oldestIncrementalPosition = Math.max(oldestIncrementalPosition, at);
		}
	}

	function removeOthers(keptIds: ReadonlySet<string>, at: number, dueAt?: number): ReadonlyArray<RegistryEvent | undefined> {
		return [...upstreams.keys()].filter(id => !keptIds.has(id)).map(id => applyRemoval(id, at, dueAt));
	}

	return {
		getPosition: () => position,
		getRevision: () => revision,
		applySnapshot({from, to}, records, removalsDueAt) {
			if (from < position) {
				return [];
			}

			position = from;
			revision++;
			oldestIncrementalPosition = to;
			const keptIds = new Set(records.flatMap(record => record.kind === 'removed' ? [] : [record.id]));
			return [
				...removeOthers(keptIds, to, removalsDueAt),
				...records.map(record => record.kind === 'registered' ? applyRegistration(record.registration, to) : undefined),
			].filter(event => event !== undefined);
		},
		applyRecords({from, to}, records, removalsDueAt) {
			if (from !== position) {
				return [];
			}

			position = to;
			revision++;
			return records
				.map(record => applyRecord(record, to, removalsDueAt))
				.filter(event => event !== undefined);
		},
		applyUpdate(update, now) {
			if (update.position <= position) {
				return [];
			}

			position = update.position;
			revision++;
			if (update.isComplete) {
				oldestIncrementalPosition = position;
			}

			const registeredIds = new Set(update.changes.flatMap(change => change.kind === 'registered' ? [change.registration.id] : []));
			return [
				...(update.isComplete ? removeOthers(registeredIds, position) : []),
				...update.changes.map(change => applyChange(change, position, now)),
			].filter(event => event !== undefined);
		},
		applyDueRemovals(confirmedAt) {
			revision++;
			return [...upstreams]
				.filter(([, {removalDueAt}]) => removalDueAt !== undefined && removalDueAt <= confirmedAt)
				.map(([id, {changedAt}]) => applyRemoval(id, changedAt))
				.filter(event => event !== undefined);
		},
		extendHolds(dueAt) {
			revision++;
			for (const [id, upstream] of upstreams) {
				if (upstream.removalDueAt !== undefined && upstream.removalDueAt < dueAt) {
					upstreams.set(id, {...upstream, removalDueAt: dueAt});
				}
			}
		},
		getNextRemovalAt() {
			const dueTimes = [...upstreams.values()].flatMap(({removalDueAt}) => removalDueAt ?? []);
			return dueTimes.length === 0 ? undefined : Math.min(...dueTimes);
		},
		getUpdate(since, now) {
			const isComplete = since < oldestIncrementalPosition || since < 0;
			const registered = [...upstreams.values()]
				.filter(({changedAt}) => isComplete || changedAt > since)
				.map(({registration, removalDueAt}) => ({
					kind: 'registered' as const, registration, removalDueInMilliseconds: removalDueAt === undefined ? undefined : Math.max(0, removalDueAt - now),
				}));
			const removed = isComplete
				? []
				: [...removals].filter(([, at]) => at > since).map(([id]) => ({kind: 'removed' as const, id}));
			return {position, isComplete, changes: [...removed, ...registered]};
		},
		get: id => upstreams.get(id)?.registration,
		list: () => [...upstreams.values()].map(({registration}) => registration),
	};
}

type RegistrationClass = RegistryEvent['kind'] | 'heartbeat';

/** Classifies a record of the store, which may be older than the current registration unless that was removed. */
function classifyRecord(current: RegisteredUpstream | undefined, next: types.Registration): RegistrationClass | 'outdated' {
	if (!current || current.removalDueAt !== undefined) {
		return classifyChange(current, next, undefined);
	}

	const {incarnation, sequence, state} = current.registration;
	const isOutdated = next.incarnation === incarnation
		? next.sequence < sequence || (state === 'draining' && next.state === 'ready')
		: next.incarnation < incarnation;
	return isOutdated ? 'outdated' : classifyChange(current, next, undefined);
}

/** Classifies a registration that is newer than the current one. */
function classifyChange(current: RegisteredUpstream | undefined, next: types.Registration, removalDueAt: number | undefined): RegistrationClass {
	if (!current) {
		return 'joined';
	}

	const {registration} = current;
	if (next.incarnation !== registration.incarnation) {
		return 'restarted';
	}

	if (next.state !== registration.state) {
		return next.state === 'draining' ? 'draining' : 'changed';
	}

	if ((removalDueAt === undefined) !== (current.removalDueAt === undefined)) {
		return removalDueAt === undefined ? 'renewed' : 'lapsed';
	}

	const isCooler = next.warmUpMilliseconds > registration.warmUpMilliseconds;
	const isSame = !isCooler && next.address === registration.address && next.service === registration.service && next.slots === registration.slots && next.failureDomain === registration.failureDomain;
	return isSame ? 'heartbeat' : 'changed';
}
