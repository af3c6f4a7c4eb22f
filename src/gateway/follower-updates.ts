/**
Provides the updates of the registry and the member list for followers, and reuses them.

When the source of all entries is lost, they begin to follow the next one in the same moment, and each needs all of its
state. The complete updates are reused for a short while, so that they are computed, encoded and compressed once. Updates
of the registry from one position to another are the same for all followers at that position.
*/
import * as positions from '../decisions/registry/positions.ts';
import type * as registryChanges from '../decisions/registry/registry-changes.ts';
import type * as upstreamRegistry from '../decisions/registry/upstream-registry.ts';
import type * as memberList from '../decisions/sharing/member-list.ts';
import type * as sharing from '../decisions/sharing/types.ts';

/** Dependencies of the updates. */
export type FollowerUpdatesHost = {
	readonly registry: Pick<upstreamRegistry.UpstreamRegistry, 'getPosition' | 'getRevision' | 'getNextRemovalAt' | 'getUpdate'>;
	readonly members: Pick<memberList.MemberList, 'getUpdate' | 'getOwnRevision'>;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

/** Updates for followers. */
export type FollowerUpdates = {
	/**
	Gets the changes of the registry after a position; undefined if there is no later position. A follower that remembers no
	earlier era states an unshared position: it gets all of the registry if this one remembers one and has come so far.
	*/
	getRegistryUpdate(since: positions.Position, unsharedPosition?: number): registryChanges.RegistryUpdate | undefined;
	/** Gets the changes of the member list after a revision; all members for -1. */
	getMemberUpdate(since: number): sharing.MemberUpdate;
};

/** Time for which a complete update is reused, in milliseconds; the changes after it follow with the next update. */
const reuseMilliseconds = 200;
/** The same for followers that enter a new era of the store together; the time of held removals in it is late by as much. */
const eraReuseMilliseconds = 50;

type Complete<Update> = {readonly update: Update; readonly madeAt: number};

/** Creates the updates of an entry. */
export function createFollowerUpdates(host: FollowerUpdatesHost): FollowerUpdates {
	const {registry} = host;
	let completeRegistry: Complete<registryChanges.RegistryUpdate> | undefined;
	let eraRegistry: Complete<registryChanges.RegistryUpdate> | undefined;
	let completeMembers: Complete<sharing.MemberUpdate> & {readonly ownRevision: number} | undefined;
	let incremental = {revision: -1, updates: new Map<number, registryChanges.RegistryUpdate>()};

	const isRecent = ({madeAt}: {readonly madeAt: number}, now: number) => now - madeAt <= reuseMilliseconds;

	const isCurrentEra = ({update}: Complete<registryChanges.RegistryUpdate>) => update.era === registry.getPosition().era;

	function findReusable(since: number, now: number): registryChanges.RegistryUpdate | undefined {
		if (since < 0) {
			return completeRegistry && isCurrentEra(completeRegistry) && isRecent(completeRegistry, now) ? completeRegistry.update : undefined;
		}

		return incremental.revision === registry.getRevision() ? incremental.updates.get(since) : undefined;
	}

	function keep(since: number, update: registryChanges.RegistryUpdate, now: number): void {
		if (since < 0) {
			completeRegistry = {update, madeAt: now};
			return;
		}

		const revision = registry.getRevision();
		if (incremental.revision !== revision) {
			incremental = {revision, updates: new Map()};
		}

		incremental.updates.set(since, update);
	}

	function createRegistryUpdate(since: number): registryChanges.RegistryUpdate {
		const now = host.getNow();
		const position = {era: registry.getPosition().era, offset: since};
		// The time until a removal that is held back depends on the present time.
		if (registry.getNextRemovalAt() !== undefined) {
			completeRegistry = undefined;
			incremental.updates.clear();
			return registry.getUpdate(position, now);
		}

		const reusable = findReusable(since, now);
		if (reusable) {
			return reusable;
		}

		const update = registry.getUpdate(position, now);
		keep(since, update, now);
		return update;
	}

	/** Gets all of the registry for a follower whose position belongs to an earlier era. */
	function getEraUpdate(since: positions.Position): registryChanges.RegistryUpdate {
		const now = host.getNow();
		if (!eraRegistry || !isCurrentEra(eraRegistry) || now - eraRegistry.madeAt > eraReuseMilliseconds) {
			eraRegistry = {update: registry.getUpdate(since, now), madeAt: now};
		}

		return eraRegistry.update;
	}

	/** Gets all of the registry for a follower that a copy of the store has told what this entry knows better. */
	function getMemoryUpdate(unsharedPosition: number): registryChanges.RegistryUpdate | undefined {
		const update = createRegistryUpdate(-1);
		return update.remembersEarlier && update.position >= unsharedPosition ? update : undefined;
	}

	return {
		getRegistryUpdate(since, unsharedPosition) {
			const position = registry.getPosition();
			const memory = unsharedPosition === undefined || since.era !== position.era ? undefined : getMemoryUpdate(unsharedPosition);
			if (memory) {
				return memory;
			}

			if (!positions.isLater(position, since)) {
				return undefined;
			}

			return since.era === position.era || since.offset < 0 ? createRegistryUpdate(since.offset) : getEraUpdate(since);
		},
		getMemberUpdate(since) {
			if (since >= 0) {
				return host.members.getUpdate(since);
			}

			const now = host.getNow();
			const ownRevision = host.members.getOwnRevision();
			// An entry that only asks once must not take this one for unready.
			if (completeMembers?.ownRevision !== ownRevision || !isRecent(completeMembers, now)) {
				completeMembers = {update: host.members.getUpdate(since), madeAt: now, ownRevision};
			}

			return completeMembers.update;
		},
	};
}
