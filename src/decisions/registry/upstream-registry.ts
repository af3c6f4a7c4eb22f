/**
Folds the records of the registry into the upstreams that may be used.

Within one incarnation `draining` is final and heartbeats that arrive out of order are passed over. A record that can't
be used leaves what is known of its upstream as it is.
*/
import type * as types from './types.ts';

/** An upstream as last registered, and the position at which that became known. */
export type KnownUpstream = {
	readonly registration: types.Registration;
	/** Position of the record with the last material change. */
	readonly changedAt: number;
};

/** Change of one upstream for a reader that lags. */
export type RegistryChange
	= | {readonly kind: 'registered'; readonly registration: types.Registration}
		| {readonly kind: 'removed'; readonly id: string};

/** What a reader at some position lacks. `isComplete` replaces all that the reader knows. */
export type RegistryUpdate = {
	readonly position: number;
	readonly isComplete: boolean;
	readonly changes: readonly RegistryChange[];
};

/** What became of an upstream by a fold. */
export type RegistryEvent = {
	readonly kind: 'joined' | 'restarted' | 'changed' | 'draining' | 'removed';
	readonly id: string;
	readonly registration: types.Registration;
};

export type UpstreamRegistry = {
	/** Position after the last record that was folded; -1 before the first. */
	getPosition(): number;
	/** Takes all newest records at once; upstreams that are not among them are gone. */
	takeSnapshot(position: number, records: readonly types.RegistryRecord[]): readonly RegistryEvent[];
	/** Takes the records before `position`, in their order. */
	takeRecords(position: number, records: readonly types.RegistryRecord[]): readonly RegistryEvent[];
	/** Takes what another entry knows; an update that is behind is passed over. */
	takeUpdate(update: RegistryUpdate): readonly RegistryEvent[];
	/** Gets what a reader at a position lacks. */
	getUpdate(since: number): RegistryUpdate;
	get(id: string): types.Registration | undefined;
	list(): readonly types.Registration[];
};

/** Removals that are remembered for readers that lag; older readers get everything. */
const rememberedRemovals = 512;

/** Creates a registry that knows no upstream. */
export function createUpstreamRegistry(): UpstreamRegistry {
	const known = new Map<string, KnownUpstream>();
	/** Positions of the latest removals by id, in the order of time. */
	const removals = new Map<string, number>();
	let position = -1;
	/** Readers at or after this position can be told single changes. */
	let changesSince = -1;

	function register(registration: types.Registration, at: number): RegistryEvent | undefined {
		const {id} = registration;
		const present = known.get(id)?.registration;
		const event = getEvent(present, registration);
		if (event === 'outdated') {
			return undefined;
		}

		const isMaterial = event !== 'heartbeat';
		known.set(id, {registration, changedAt: isMaterial ? at : known.get(id)!.changedAt});
		removals.delete(id);
		return isMaterial ? {kind: event, id, registration} : undefined;
	}

	function remove(id: string, at: number): RegistryEvent | undefined {
		const present = known.get(id);
		if (!present) {
			return undefined;
		}

		known.delete(id);
		removals.delete(id);
		removals.set(id, at);
		forgetRemovals();
		return {kind: 'removed', id, registration: present.registration};
	}

	function fold(record: types.RegistryRecord, at: number): RegistryEvent | undefined {
		switch (record.kind) {
			case 'registered': {
				return register(record.registration, at);
			}

			case 'removed': {
				return remove(record.id, at);
			}

			case 'unusable': {
				return undefined;
			}
		}
	}

	function forgetRemovals(): void {
		for (const [id, at] of removals) {
			if (removals.size <= rememberedRemovals) {
				return;
			}

			removals.delete(id);
			changesSince = Math.max(changesSince, at);
		}
	}

	function replaceAll(registrations: readonly types.Registration[], kept: ReadonlySet<string>, at: number): RegistryEvent[] {
		const gone = [...known.keys()].filter(id => !kept.has(id));
		return [
			...gone.map(id => remove(id, at)),
			...registrations.map(registration => register(registration, at)),
		].filter(event => event !== undefined);
	}

	return {
		getPosition: () => position,
		takeSnapshot(at, records) {
			if (at < position) {
				return [];
			}

			const registrations = records.flatMap(record => record.kind === 'registered' ? [record.registration] : []);
			const kept = new Set(records.flatMap(record => record.kind === 'removed' ? [] : [record.id]));
			position = at;
			return replaceAll(registrations, kept, at);
		},
		takeRecords(at, records) {
			position = Math.max(position, at);
			return records
				.map(record => fold(record, at))
				.filter(event => event !== undefined);
		},
		takeUpdate(update) {
			if (update.position <= position) {
				return [];
			}

			const registrations = update.changes.flatMap(change => change.kind === 'registered' ? [change.registration] : []);
			position = update.position;
			if (update.isComplete) {
				return replaceAll(registrations, new Set(registrations.map(({id}) => id)), position);
			}

			return update.changes
				.map(change => change.kind === 'registered' ? register(change.registration, position) : remove(change.id, position))
				.filter(event => event !== undefined);
		},
		getUpdate(since) {
			const isComplete = since < changesSince || since < 0;
			const registered = [...known.values()]
				.filter(({changedAt}) => isComplete || changedAt > since)
				.map(({registration}) => ({kind: 'registered' as const, registration}));
			const removed = isComplete
				? []
				: [...removals].filter(([, at]) => at > since).map(([id]) => ({kind: 'removed' as const, id}));
			return {position, isComplete, changes: [...removed, ...registered]};
		},
		get: id => known.get(id)?.registration,
		list: () => [...known.values()].map(({registration}) => registration),
	};
}

function getEvent(present: types.Registration | undefined, next: types.Registration): 'outdated' | 'heartbeat' | 'joined' | 'restarted' | 'changed' | 'draining' {
	if (!present) {
		return 'joined';
	}

	if (next.incarnation !== present.incarnation) {
		return next.incarnation > present.incarnation ? 'restarted' : 'outdated';
	}

	if (next.sequence < present.sequence || (present.state === 'draining' && next.state === 'ready')) {
		return 'outdated';
	}

	if (next.state !== present.state) {
		return 'draining';
	}

	const isSame = next.address === present.address && next.service === present.service && next.slots === present.slots && next.failureDomain === present.failureDomain;
	return isSame ? 'heartbeat' : 'changed';
}
