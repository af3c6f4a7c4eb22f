/**
Folds the records of the registry into the set of registered upstreams.

Within one incarnation the state `draining` is final, and heartbeats that arrive out of order are ignored. An unusable
record leaves the previous registration of its upstream in place.

A removal can be held back until a given time, because the store also removes upstreams that couldn't renew their
registration during an outage. The hold is part of the registry, and passed on with it: an entry whose position is
behind a removal has either applied it or holds it.

A snapshot or update of a later era may come from a copy of the store that is older than what this registry has applied.
It doesn't bring back what was draining or removed, and what it lacks is held back like a removal. Records read after
the snapshot were written in the new era.
*/
import * as positions from './positions.ts';
import * as removedUpstreams from './removed-upstreams.ts';
import type * as types from './types.ts';

/** Latest registration of an upstream and the position of its last material change. */
export type RegisteredUpstream = {
	readonly registration: types.Registration;
	/** Position of the last record that changed more than the heartbeat. */
	readonly changedAt: number;
	/** Time at which the removal of the upstream takes effect; undefined if it was not removed. */
	readonly removalDueAt: number | undefined;
	/** Era in which the registry has received the record or its removal. */
	readonly era: number;
};

type RegisteredChange = {
	readonly kind: 'registered';
	readonly registration: types.Registration;
	/** Time until a removal that is held back takes effect. */
	readonly removalDueInMilliseconds?: number | undefined;
};

/** Change of one upstream, sent to a reader at an earlier position. */
export type RegistryChange
	= | RegisteredChange
		| {readonly kind: 'removed'; readonly id: string};

/** Changes between the position of a reader and the position of this registry. */
export type RegistryUpdate = {
	readonly era: number;
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

export type UpstreamRegistry = {
	/** Gets the position after the last applied record. */
	getPosition(): positions.Position;
	/** Gets a number that increases whenever anything was applied. */
	getRevision(): number;
	/**
	Applies the latest record of each upstream and removes all other upstreams. The records were read while the end of the
	log moved through the range, and contain all changes up to its start. Ignored if the start is behind the current
	position, or its era before the current one. Removals of ready upstreams are held back until `removalsDueAt`, if given.
	*/
	applySnapshot(range: positions.PositionRange, records: readonly types.RegistryRecord[], removalsDueAt?: number): readonly RegistryEvent[];
	/** Applies the records of a range in their order. Ignored unless the range starts at the current position. Removals are held back as by `applySnapshot`. */
	applyRecords(range: positions.PositionRange, records: readonly types.RegistryRecord[], removalsDueAt?: number): readonly RegistryEvent[];
	/** Applies an update from another entry. Ignored unless its position is ahead of the current one. Ready upstreams that an update of a later era lacks are held back until `removalsDueAt`, if given. */
	applyUpdate(update: RegistryUpdate, now: number, removalsDueAt?: number): readonly RegistryEvent[];
	/** Applies the removals that were held back until `confirmedAt`, up to which all records were received. */
	applyDueRemovals(confirmedAt: number): readonly RegistryEvent[];
	/** Holds back the removals that are not applied yet at least until a time. */
	extendHolds(dueAt: number): void;
	/** Gets the earliest time at which a removal is due; undefined if none is held back. */
	getNextRemovalAt(): number | undefined;
	/** Gets the changes after the position of a reader. */
	getUpdate(since: positions.Position, now: number): RegistryUpdate;
	/** Gets the number of removed upstreams that are remembered. */
	countRemoved(): number;
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
	const removed = removedUpstreams.createRemovedUpstreams(retainedRemovals);
	let {era, offset: position} = positions.initialPosition;
	let revision = 0;
	/** Oldest reader position for which an incremental update is possible: removals before a snapshot may be unknown. */
	let oldestIncrementalPosition = -1;

	/** Lets the positions of the previous era go. Whoever is still in that era needs a complete update. */
	function enterEra(next: number): void {
		era = next;
		removals.clear();
		for (const [id, upstream] of upstreams) {
			upstreams.set(id, {...upstream, changedAt: -1});
		}
	}

	function applyRegistration(registration: types.Registration, at: number): RegistryEvent | undefined {
		const event = classifyRecord(upstreams.get(registration.id), registration);
		return event === 'outdated' ? undefined : storeRegistration(registration, event, at);
	}

	/** Applies a record that was read after the snapshot of this era. */
	function applyWrittenRegistration(registration: types.Registration, at: number): RegistryEvent | undefined {
		return !upstreams.has(registration.id) && removed.isRepeated(registration, era) ? undefined : applyRegistration(registration, at);
	}

	/** Whether a registration that is listed in this era may be from before a removal in an earlier one. */
	function mayPrecedeRemoval(registration: types.Registration): boolean {
		const current = upstreams.get(registration.id);
		return current
			? current.removalDueAt !== undefined && current.era < era && registration.incarnation <= current.registration.incarnation
			: removed.mayPrecedeRemoval(registration, era);
	}

	/** Leaves out registrations of unknown upstreams whose address belongs to one that started later. */
	function dropFormerOwners(registrations: readonly types.Registration[]): readonly types.Registration[] {
		const owners = new Map([...upstreams.values()].map(({registration}) => [registration.address, registration]));
		return registrations.filter(({id, address, incarnation}) => {
			const owner = owners.get(address);
			return upstreams.has(id) || owner === undefined || owner.incarnation <= incarnation;
		});
	}

	function storeRegistration(registration: types.Registration, event: RegistrationClass, at: number, removalDueAt?: number): RegistryEvent | undefined {
		const {id} = registration;
		const changedAt = event === 'heartbeat' ? upstreams.get(id)!.changedAt : at;
		upstreams.set(id, {
			registration, changedAt, removalDueAt, era,
		});
		removals.delete(id);
		removed.delete(id);
		return event === 'heartbeat' ? undefined : {kind: event, id, registration};
	}

	function applyRemoval(id: string, at: number, dueAt?: number): RegistryEvent | undefined {
		const current = upstreams.get(id);
		if (current && dueAt !== undefined && current.registration.state === 'ready') {
			return holdRemoval(current, at, dueAt);
		}

		upstreams.delete(id);
		if (current) {
			removed.add(current);
		}

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
		upstreams.set(id, {
			registration, changedAt: at, removalDueAt: dueAt, era,
		});
		return {kind: 'lapsed', id, registration};
	}

	function applyRecord(record: types.RegistryRecord, at: number, removalsDueAt: number | undefined): RegistryEvent | undefined {
		switch (record.kind) {
			case 'registered': {
				return applyWrittenRegistration(record.registration, at);
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

	/** Applies a change in a later era. A removal that the other entry holds back must be held back here too, since only its end is passed on. */
	function applyLaterChange(change: RegisteredChange, now: number): RegistryEvent | undefined {
		const {registration, removalDueInMilliseconds} = change;
		const current = upstreams.get(registration.id);
		if (!current || classifyRecord(current, registration) !== 'outdated') {
			return applyChange(change, position, now);
		}

		return removalDueInMilliseconds !== undefined && current.registration.state === 'ready' ? holdRemoval(current, position, now + removalDueInMilliseconds) : undefined;
	}

	/** Applies the removals that are held back if the address has a new owner, which proves that the upstream is gone. */
	function removeFormerOwners(at: number): ReadonlyArray<RegistryEvent | undefined> {
		const registrations = [...upstreams.values()];
		const held = registrations.filter(({removalDueAt}) => removalDueAt !== undefined);
		return held
			.filter(({registration: {address, incarnation}}) => registrations.some(({registration}) => registration.address === address && registration.incarnation > incarnation))
			.map(({registration}) => applyRemoval(registration.id, at));
	}

	/** Merges the upstreams of an entry that has entered a later era; what this registry remembers of them stands. */
	function applyLaterEra({changes}: RegistryUpdate, now: number, removalsDueAt: number | undefined): ReadonlyArray<RegistryEvent | undefined> {
		const registered = changes.filter(change => change.kind === 'registered');
		const accepted = new Set(dropFormerOwners(registered.map(({registration}) => registration)));
		return [
			...removeOthers(new Set(registered.map(({registration}) => registration.id)), position, removalsDueAt),
			...registered.map(change => accepted.has(change.registration) && !mayPrecedeRemoval(change.registration) ? applyLaterChange(change, now) : undefined),
			...removeFormerOwners(position),
		];
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
		getPosition: () => ({era, offset: position}),
		getRevision: () => revision,
		countRemoved: removed.count,
		applySnapshot({era: nextEra, from, to}, records, removalsDueAt) {
			if (positions.isLater({era, offset: position}, {era: nextEra, offset: from})) {
				return [];
			}

			if (nextEra > era) {
				enterEra(nextEra);
			}

			position = from;
			revision++;
			oldestIncrementalPosition = to;
			const keptIds = new Set(records.flatMap(record => record.kind === 'removed' ? [] : [record.id]));
			const registrations = records.flatMap(record => record.kind === 'registered' ? [record.registration] : []);
			const accepted = dropFormerOwners(registrations);
			return [
				...removeOthers(keptIds, to, removalsDueAt),
				...accepted.map(registration => mayPrecedeRemoval(registration) ? undefined : applyRegistration(registration, to)),
				...removeFormerOwners(to),
			].filter(event => event !== undefined);
		},
		applyRecords({era: recordsEra, from, to}, records, removalsDueAt) {
			if (recordsEra !== era || from !== position) {
				return [];
			}

			position = to;
			revision++;
			return [...records.map(record => applyRecord(record, to, removalsDueAt)), ...removeFormerOwners(to)]
				.filter(event => event !== undefined);
		},
		applyUpdate(update, now, removalsDueAt) {
			const isLaterEra = update.era > era;
			if (!positions.isLater({era: update.era, offset: update.position}, {era, offset: position}) || (isLaterEra && !update.isComplete)) {
				return [];
			}

			const isFirst = position < 0;
			if (isLaterEra) {
				enterEra(update.era);
			}

			position = update.position;
			revision++;
			if (update.isComplete) {
				oldestIncrementalPosition = position;
			}

			if (isLaterEra && !isFirst) {
				return applyLaterEra(update, now, removalsDueAt).filter(event => event !== undefined);
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
			const isComplete = since.era !== era || since.offset < oldestIncrementalPosition || since.offset < 0;
			const registered = [...upstreams.values()]
				.filter(({changedAt}) => isComplete || changedAt > since.offset)
				.map(({registration, removalDueAt}) => ({
					kind: 'registered' as const, registration, removalDueInMilliseconds: removalDueAt === undefined ? undefined : Math.max(0, removalDueAt - now),
				}));
			const removedChanges = isComplete
				? []
				: [...removals].filter(([, at]) => at > since.offset).map(([id]) => ({kind: 'removed' as const, id}));
			return {
				era, position, isComplete, changes: [...removedChanges, ...registered],
			};
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
