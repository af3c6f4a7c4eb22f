/**
Folds the records of the registry into the set of registered upstreams.

Within one incarnation the state `draining` is final, and heartbeats that arrive out of order are ignored. An unusable
record leaves the previous registration of its upstream in place.
*/
import type * as types from './types.ts';

/** Latest registration of an upstream and the position of its last material change. */
export type RegisteredUpstream = {
	readonly registration: types.Registration;
	/** Position of the last record that changed more than the heartbeat. */
	readonly changedAt: number;
};

/** Change of one upstream, sent to a reader at an earlier position. */
export type RegistryChange
	= | {readonly kind: 'registered'; readonly registration: types.Registration}
		| {readonly kind: 'removed'; readonly id: string};

/** Changes between the position of a reader and the position of this registry. */
export type RegistryUpdate = {
	/** Position of the reader after the update. */
	readonly position: number;
	/** Whether `changes` contains all upstreams and replaces the reader's registry. */
	readonly isComplete: boolean;
	readonly changes: readonly RegistryChange[];
};

/** Material change of one upstream caused by applied records. */
export type RegistryEvent = {
	readonly kind: 'joined' | 'restarted' | 'changed' | 'draining' | 'removed';
	readonly id: string;
	readonly registration: types.Registration;
};

export type UpstreamRegistry = {
	/** Gets the position after the last applied record; -1 before the first. */
	getPosition(): number;
	/** Applies a snapshot of the latest record of each upstream and removes all other upstreams. Ignored if it is behind the current position. */
	applySnapshot(position: number, records: readonly types.RegistryRecord[]): readonly RegistryEvent[];
	/** Applies the records before `position`, in their order. */
	applyRecords(position: number, records: readonly types.RegistryRecord[]): readonly RegistryEvent[];
	/** Applies an update from another entry. Ignored unless its position is ahead of the current one. */
	applyUpdate(update: RegistryUpdate): readonly RegistryEvent[];
	/** Gets the changes after the position of a reader. */
	getUpdate(since: number): RegistryUpdate;
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
	/** Oldest reader position for which an incremental update is possible. */
	let oldestIncrementalPosition = -1;

	function applyRegistration(registration: types.Registration, at: number): RegistryEvent | undefined {
		const {id} = registration;
		const current = upstreams.get(id)?.registration;
		const event = classifyRegistration(current, registration);
		if (event === 'outdated') {
			return undefined;
		}

		const isMaterial = event !== 'heartbeat';
		upstreams.set(id, {registration, changedAt: isMaterial ? at : upstreams.get(id)!.changedAt});
		removals.delete(id);
		return isMaterial ? {kind: event, id, registration} : undefined;
	}

	function applyRemoval(id: string, at: number): RegistryEvent | undefined {
		const current = upstreams.get(id);
		if (!current) {
			return undefined;
		}

		upstreams.delete(id);
		removals.delete(id);
		removals.set(id, at);
		discardOldRemovals();
		return {kind: 'removed', id, registration: current.registration};
	}

	function applyRecord(record: types.RegistryRecord, at: number): RegistryEvent | undefined {
		switch (record.kind) {
			case 'registered': {
				return applyRegistration(record.registration, at);
			}

			case 'removed': {
				return applyRemoval(record.id, at);
			}

			case 'unusable': {
				return undefined;
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

	function replaceUpstreams(registrations: readonly types.Registration[], keptIds: ReadonlySet<string>, at: number): RegistryEvent[] {
		const missing = [...upstreams.keys()].filter(id => !keptIds.has(id));
		return [
			...missing.map(id => applyRemoval(id, at)),
			...registrations.map(registration => applyRegistration(registration, at)),
		].filter(event => event !== undefined);
	}

	return {
		getPosition: () => position,
		applySnapshot(at, records) {
			if (at < position) {
				return [];
			}

			const registrations = records.flatMap(record => record.kind === 'registered' ? [record.registration] : []);
			const keptIds = new Set(records.flatMap(record => record.kind === 'removed' ? [] : [record.id]));
			position = at;
			return replaceUpstreams(registrations, keptIds, at);
		},
		applyRecords(at, records) {
			position = Math.max(position, at);
			return records
				.map(record => applyRecord(record, at))
				.filter(event => event !== undefined);
		},
		applyUpdate(update) {
			if (update.position <= position) {
				return [];
			}

			const registrations = update.changes.flatMap(change => change.kind === 'registered' ? [change.registration] : []);
			position = update.position;
			if (update.isComplete) {
				return replaceUpstreams(registrations, new Set(registrations.map(({id}) => id)), position);
			}

			return update.changes
				.map(change => change.kind === 'registered' ? applyRegistration(change.registration, position) : applyRemoval(change.id, position))
				.filter(event => event !== undefined);
		},
		getUpdate(since) {
			const isComplete = since < oldestIncrementalPosition || since < 0;
			const registered = [...upstreams.values()]
				.filter(({changedAt}) => isComplete || changedAt > since)
				.map(({registration}) => ({kind: 'registered' as const, registration}));
			const removed = isComplete
				? []
				: [...removals].filter(([, at]) => at > since).map(([id]) => ({kind: 'removed' as const, id}));
			return {position, isComplete, changes: [...removed, ...registered]};
		},
		get: id => upstreams.get(id)?.registration,
		list: () => [...upstreams.values()].map(({registration}) => registration),
	};
}

function classifyRegistration(current: types.Registration | undefined, next: types.Registration): 'outdated' | 'heartbeat' | 'joined' | 'restarted' | 'changed' | 'draining' {
	if (!current) {
		return 'joined';
	}

	if (next.incarnation !== current.incarnation) {
		return next.incarnation > current.incarnation ? 'restarted' : 'outdated';
	}

	if (next.sequence < current.sequence || (current.state === 'draining' && next.state === 'ready')) {
		return 'outdated';
	}

	if (next.state !== current.state) {
		return 'draining';
	}

	const isSame = next.address === current.address && next.service === current.service && next.slots === current.slots && next.failureDomain === current.failureDomain;
	return isSame ? 'heartbeat' : 'changed';
}
