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

A registry that was first listed by such a copy remembers nothing of earlier eras. It merges all of the registry of an entry
that does, once, if that is up to the end of the copy or later.
*/
import * as addressOwners from './address-owners.ts';
import * as positions from './positions.ts';
import * as registrationClass from './registration-class.ts';
import type * as registryChanges from './registry-changes.ts';
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
	/** Position up to which the log contains the latest record; unlike `changedAt`, that of a heartbeat too. */
	readonly receivedAt: number;
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
	applySnapshot(range: positions.PositionRange, records: readonly types.RegistryRecord[], removalsDueAt?: number): readonly registryChanges.RegistryEvent[];
	/** Applies the records of a range in their order. Ignored unless the range starts at the current position. Removals are held back as by `applySnapshot`. */
	applyRecords(range: positions.PositionRange, records: readonly types.RegistryRecord[], removalsDueAt?: number): readonly registryChanges.RegistryEvent[];
	/** Applies an update from another entry. Ignored unless its position is ahead of the current one. Ready upstreams that an update of a later era lacks are held back until `removalsDueAt`, if given. */
	applyUpdate(update: registryChanges.RegistryUpdate, now: number, removalsDueAt?: number): readonly registryChanges.RegistryEvent[];
	/** Applies the removals that were held back until `confirmedAt`, up to which all records were received. */
	applyDueRemovals(confirmedAt: number): readonly registryChanges.RegistryEvent[];
	/** Holds back the removals that are not applied yet at least until a time. */
	extendHolds(dueAt: number): void;
	/** Gets the earliest time at which a removal is due; undefined if none is held back. */
	getNextRemovalAt(): number | undefined;
	/** Gets the changes after the position of a reader. */
	getUpdate(since: positions.Position, now: number): registryChanges.RegistryUpdate;
	/** Gets the position from which on an update of an entry that remembers earlier eras completes this registry, which has been listed by a copy; undefined if this one remembers them too. */
	getUnsharedPosition(): number | undefined;
	/** Gets the number of removed upstreams that are remembered. */
	countRemoved(): number;
	get(id: string): types.Registration | undefined;
	list(): readonly types.Registration[];
};

/** Maximum number of removals that are retained for incremental updates; readers before the oldest one get a complete update. */
const retainedRemovals = 512;
/** Maximum number of removals that an entry learns of at its start: more than leave within a loss of some seconds. */
const sharedRemovals = 64;

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
	let remembersEarlier = false;
	/** End of the log when it was listed, or the position of the complete update that took its place. */
	let listedUntil = -1;

	/** Lets the positions of the previous era go. Whoever is still in that era needs a complete update. */
	function enterEra(next: number): void {
		era = next;
		remembersEarlier ||= position >= 0;
		removals.clear();
		for (const [id, upstream] of upstreams) {
			upstreams.set(id, {...upstream, changedAt: -1, receivedAt: -1});
		}
	}

	function applyRegistration(registration: types.Registration, at: number): registryChanges.RegistryEvent | undefined {
		const event = registrationClass.classifyRecord(upstreams.get(registration.id), registration);
		return event === 'outdated' ? undefined : storeRegistration(registration, event, at);
	}

	/** Applies a record that was read after the snapshot of this era. */
	function applyWrittenRegistration(registration: types.Registration, at: number): registryChanges.RegistryEvent | undefined {
		return !upstreams.has(registration.id) && removed.isRepeated(registration, era) ? undefined : applyRegistration(registration, at);
	}

	/** Whether a registration that is listed in this era may be from before a removal in an earlier one. */
	function mayPrecedeRemoval(registration: types.Registration): boolean {
		const current = upstreams.get(registration.id);
		return current
			? current.removalDueAt !== undefined && current.era < era && registration.incarnation <= current.registration.incarnation
			: removed.mayPrecedeRemoval(registration, era);
	}

	function storeRegistration(registration: types.Registration, event: registrationClass.RegistrationClass, at: number, removalDueAt?: number): registryChanges.RegistryEvent | undefined {
		const {id} = registration;
		const changedAt = event === 'heartbeat' ? upstreams.get(id)!.changedAt : at;
		upstreams.set(id, {
			registration, changedAt, removalDueAt, era, receivedAt: at,
		});
		removals.delete(id);
		removed.delete(id);
		return event === 'heartbeat' ? undefined : {kind: event, id, registration};
	}

	function applyRemoval(id: string, at: number, dueAt?: number): registryChanges.RegistryEvent | undefined {
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

	function holdRemoval({registration, removalDueAt}: RegisteredUpstream, at: number, dueAt: number): registryChanges.RegistryEvent | undefined {
		if (removalDueAt !== undefined) {
			return undefined;
		}

		const {id} = registration;
		upstreams.set(id, {
			registration, changedAt: at, removalDueAt: dueAt, era, receivedAt: at,
		});
		return {kind: 'lapsed', id, registration};
	}

	function applyRecord(record: types.RegistryRecord, at: number, removalsDueAt: number | undefined): registryChanges.RegistryEvent | undefined {
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

	function applyChange(change: registryChanges.RegistryChange, at: number, now: number): registryChanges.RegistryEvent | undefined {
		switch (change.kind) {
			case 'registered': {
				const {registration, removalDueInMilliseconds} = change;
				const removalDueAt = removalDueInMilliseconds === undefined ? undefined : now + removalDueInMilliseconds;
				return storeRegistration(registration, registrationClass.classifyChange(upstreams.get(registration.id), registration, removalDueAt), at, removalDueAt);
			}

			case 'removed': {
				return applyRemoval(change.id, at);
			}
		}
	}

	/** Whether a change in this era may come from an entry that has the upstream from an older copy. A single change without a hold follows from a record of this era. */
	function mayBringBack(change: registryChanges.RegistryChange, {isComplete}: registryChanges.RegistryUpdate): boolean {
		return change.kind === 'registered' && !upstreams.has(change.registration.id)
			&& (isComplete || change.removalDueInMilliseconds !== undefined) && removed.mayPrecedeRemoval(change.registration, era);
	}

	/** Applies a change in a later era. A removal that the other entry holds back must be held back here too, since only its end is passed on. */
	function applyLaterChange(change: registryChanges.RegisteredChange, now: number): registryChanges.RegistryEvent | undefined {
		const {registration, removalDueInMilliseconds} = change;
		const current = upstreams.get(registration.id);
		if (!current || registrationClass.classifyRecord(current, registration) !== 'outdated') {
			return applyChange(change, position, now);
		}

		return removalDueInMilliseconds !== undefined && current.registration.state === 'ready' ? holdRemoval(current, position, now + removalDueInMilliseconds) : undefined;
	}

	const removeFormerOwners = (at: number): ReadonlyArray<registryChanges.RegistryEvent | undefined> => addressOwners.listFormerOwners(upstreams).map(id => applyRemoval(id, at));

	/** Merges the upstreams of an entry that has entered a later era; what this registry remembers of them stands. */
	function applyLaterEra({changes}: registryChanges.RegistryUpdate, now: number, removalsDueAt: number | undefined): ReadonlyArray<registryChanges.RegistryEvent | undefined> {
		const registered = changes.filter(change => change.kind === 'registered');
		const accepted = new Set(addressOwners.dropFormerOwners(upstreams, registered.map(({registration}) => registration)));
		return [
			...removeOthers(new Set(registered.map(({registration}) => registration.id)), position, removalsDueAt),
			...registered.map(change => accepted.has(change.registration) && !mayPrecedeRemoval(change.registration) ? applyLaterChange(change, now) : undefined),
			...removeFormerOwners(position),
		];
	}

	function rememberRemovals({latestRemovals}: registryChanges.RegistryUpdate): void {
		for (const upstream of latestRemovals.filter(({registration}) => !upstreams.has(registration.id))) {
			removed.add(upstream);
		}
	}

	const canApplyMemory = (update: registryChanges.RegistryUpdate) => position >= 0 && !remembersEarlier
		&& update.remembersEarlier && update.isComplete && update.era === era && update.position >= listedUntil;

	/** Takes over what another entry remembers of earlier eras; what this registry has received after the update stands. */
	function applyMemory(update: registryChanges.RegistryUpdate, now: number): ReadonlyArray<registryChanges.RegistryEvent | undefined> {
		remembersEarlier = true;
		if (update.position > position) {
			({position} = update);
			oldestIncrementalPosition = position;
		}

		const registered = update.changes.filter(change => change.kind === 'registered');
		const registeredIds = new Set(registered.map(({registration}) => registration.id));
		rememberRemovals(update);
		const accepted = new Set(addressOwners.dropFormerOwners(upstreams, registered.map(({registration}) => registration)));
		const gone = [...upstreams].filter(([id, {receivedAt}]) => receivedAt <= update.position && !registeredIds.has(id));
		return [
			...gone.map(([id, {registration}]) => {
				const event = applyRemoval(id, position);
				removed.add({registration, era: positions.initialPosition.era});
				return event;
			}),
			...registered.map(change => accepted.has(change.registration) ? applyRemembered(change, update.position, now) : undefined),
			...removeFormerOwners(position),
		];
	}

	function applyRemembered(change: registryChanges.RegisteredChange, rememberedUntil: number, now: number): registryChanges.RegistryEvent | undefined {
		const {id} = change.registration;
		const current = upstreams.get(id);
		if (!current) {
			return (removals.get(id) ?? -1) > rememberedUntil ? undefined : applyLaterChange(change, now);
		}

		if (current.receivedAt <= rememberedUntil) {
			return applyLaterChange(change, now);
		}

		return current.removalDueAt === undefined ? applyLaterChange({...change, removalDueInMilliseconds: undefined}, now) : undefined;
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

	function removeOthers(keptIds: ReadonlySet<string>, at: number, dueAt?: number): ReadonlyArray<registryChanges.RegistryEvent | undefined> {
		return [...upstreams.keys()].filter(id => !keptIds.has(id)).map(id => applyRemoval(id, at, dueAt));
	}

	return {
		getPosition: () => ({era, offset: position}),
		getRevision: () => revision,
		getUnsharedPosition: () => remembersEarlier || position < 0 ? undefined : listedUntil,
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
			listedUntil = to;
			const keptIds = new Set(records.flatMap(record => record.kind === 'removed' ? [] : [record.id]));
			const registrations = records.flatMap(record => record.kind === 'registered' ? [record.registration] : []);
			const accepted = addressOwners.dropFormerOwners(upstreams, registrations);
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
			if (canApplyMemory(update)) {
				revision++;
				return applyMemory(update, now).filter(event => event !== undefined);
			}

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
				listedUntil = position;
				remembersEarlier ||= update.remembersEarlier;
			}

			if (isFirst) {
				rememberRemovals(update);
			}

			if (isLaterEra && !isFirst) {
				return applyLaterEra(update, now, removalsDueAt).filter(event => event !== undefined);
			}

			const registeredIds = new Set(update.changes.flatMap(change => change.kind === 'registered' ? [change.registration.id] : []));
			return [
				...(update.isComplete ? removeOthers(registeredIds, position) : []),
				...update.changes.filter(change => !mayBringBack(change, update)).map(change => applyChange(change, position, now)),
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
				era, position, isComplete, remembersEarlier, changes: [...removedChanges, ...registered], latestRemovals: since.offset < 0 ? removed.listLatest(sharedRemovals) : [],
			};
		},
		get: id => upstreams.get(id)?.registration,
		list: () => [...upstreams.values()].map(({registration}) => registration),
	};
}
