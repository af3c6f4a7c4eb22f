/** The state of the platform as this entry last received it, its age, and the waits for its next change. */
import * as routeTable from '../decisions/configuration/route-table.ts';
import * as workspaceKeys from '../decisions/configuration/workspace-keys.ts';
import type * as configuration from '../decisions/configuration/types.ts';
import * as evacuationsModule from '../decisions/registry/evacuations.ts';
import type * as registryChanges from '../decisions/registry/registry-changes.ts';
import * as upstreamRegistry from '../decisions/registry/upstream-registry.ts';
import {type Logger} from '../observability/logger.ts';

/** Source of an update, for logs: an entry, or the store. */
export type UpdateOrigin = string;

/** Dependencies of the platform state, and the listeners for its changes. */
export type PlatformStateHost = {
	readonly logger: Logger;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	onConfiguration(next: configuration.Configuration): void;
	onUpstreams(events: readonly registryChanges.RegistryEvent[], origin: UpdateOrigin): void;
	/** The set of evacuated failure domains has changed. */
	onEvacuations(): void;
};

/** The configuration that the entry applies to requests, and the index of its routes. */
export type ActiveConfiguration = {
	readonly configuration: configuration.Configuration;
	readonly routes: routeTable.RouteTable;
	readonly keys: workspaceKeys.KeyTable;
	/** Era of the store in which it was received. */
	readonly era: number;
};

/** The configuration and the registry of upstreams, as this entry last received them. The metrics and logs call their age the knowledge age. */
export type PlatformState = {
	readonly registry: upstreamRegistry.UpstreamRegistry;
	readonly evacuations: evacuationsModule.Evacuations;
	getActiveConfiguration(): ActiveConfiguration | undefined;
	/** Gets the latest era of the store that this entry or its peers have seen; undefined before the first. */
	getEra(): number | undefined;
	/**
	Records the era that the store or another entry has stated. Returns whether it has risen: then the store has lost
	records, and removals are held back until upstreams have registered again.
	*/
	recordEra(era: number, origin: UpdateOrigin): boolean;
	/**
	Applies a configuration; ignores one that is not newer than the active one. In a later era, one of the same version but
	with other content is newer, since the store may have lost the active one.
	*/
	applyConfiguration(next: configuration.Configuration, era: number, origin: UpdateOrigin): void;
	/** Logs changes that were already applied to the registry, and notifies the host and all waiters. */
	handleRegistryEvents(events: readonly registryChanges.RegistryEvent[], origin: UpdateOrigin): void;
	/** Logs a change of the evacuated failure domains, and notifies the host and all waiters. */
	handleEvacuationChange(origin: UpdateOrigin): void;
	/** Records that everything published up to a time has been received and applied. Lets removals that were held back until then take effect. */
	confirmUpTo(part: 'configuration' | 'registry', upTo: number): void;
	/** Records that an outage of the store has ended, and for how long removals are held back from now on. */
	recordRecovery(milliseconds: number): void;
	/** Gets the time until which removals are held back, because upstreams that lapsed in an outage may register again; undefined if there was none lately. */
	getRecoveryEnd(now: number): number | undefined;
	/** Whether the store may have been unreachable to all entries until now, by the time since the registry was last confirmed; false before it was. */
	mayFollowOutage(now: number): boolean;
	/** Age of the older of the two parts, in milliseconds; infinite until both were received. */
	getAge(now: number): number;
	/** Resolves at the next change, or after the given time. */
	waitForChange(milliseconds: number): Promise<void>;
	/** Resolves all waits for a change. */
	wakeWaiters(): void;
};

/** Time after the recovery of the store within which upstreams renew the registrations that lapsed during the outage, in milliseconds. */
export const recoveryMilliseconds = 2000;
/** Time for which a removal that is due waits for the confirmation that its upstream has not registered again, in milliseconds. */
const confirmationMilliseconds = 500;
/** Time without confirmations after which the store may have been unreachable to all entries, in milliseconds; an entry whose data is stale reads the store itself within 1700 ms. */
const outageMilliseconds = 1900;
const heldRemovalOrigin = 'held-removal';

/** Creates the empty state of an entry that has received nothing yet. */
export function createPlatformState(host: PlatformStateHost): PlatformState {
	const registry = upstreamRegistry.createUpstreamRegistry();
	const evacuations = evacuationsModule.createEvacuations();
	const confirmedAt = {configuration: Number.NEGATIVE_INFINITY, registry: Number.NEGATIVE_INFINITY};
	const waiters = new Set<() => void>();
	let activeConfiguration: ActiveConfiguration | undefined;
	let removalTimer: NodeJS.Timeout | undefined;
	let recoveryEndsAt = Number.NEGATIVE_INFINITY;
	let knownEra: number | undefined;

	function wakeWaiters(): void {
		for (const resolve of waiters) {
			resolve();
		}

		waiters.clear();
	}

	function handleRegistryEvents(events: readonly registryChanges.RegistryEvent[], origin: UpdateOrigin): void {
		if (events.length === 0) {
			return;
		}

		for (const {kind, id, registration} of events) {
			host.logger.info('upstream-changed', {
				change: kind, upstream: id, service: registration.service, address: registration.address, incarnation: registration.incarnation, position: registry.getPosition().offset, origin,
			});
		}

		host.onUpstreams(events, origin);
		wakeWaiters();
	}

	/** Applies the removals that are due. After an outage, upstreams still need time to register again. */
	function confirmRemovals(previous: number, confirmed: number): void {
		if (Number.isFinite(previous) && confirmed - previous > outageMilliseconds) {
			registry.extendHolds(confirmed + recoveryMilliseconds);
		}

		handleRegistryEvents(registry.applyDueRemovals(confirmed), heldRemovalOrigin);
		scheduleRemovals();
	}

	/** Lets due removals take effect without a confirmation that is new enough, unless there may be an outage: requests to an upstream that has left are lost. */
	function scheduleRemovals(): void {
		const dueAt = registry.getNextRemovalAt();
		const milliseconds = dueAt === undefined ? 0 : dueAt + confirmationMilliseconds - host.getNow();
		if (milliseconds <= 0 || removalTimer) {
			return;
		}

		removalTimer = setTimeout(() => {
			removalTimer = undefined;
			const now = host.getNow();
			if (now - confirmedAt.registry <= outageMilliseconds) {
				handleRegistryEvents(registry.applyDueRemovals(now - confirmationMilliseconds), heldRemovalOrigin);
			}

			scheduleRemovals();
		}, Math.ceil(milliseconds));
	}

	function recordRecovery(milliseconds: number): void {
		recoveryEndsAt = Math.max(recoveryEndsAt, host.getNow() + milliseconds);
	}

	function isSuperseded(next: configuration.Configuration, era: number): boolean {
		if (!activeConfiguration) {
			return false;
		}

		const {configuration: active, era: activeEra} = activeConfiguration;
		return next.version === active.version
			? era <= activeEra || JSON.stringify(next) === JSON.stringify(active)
			: next.version < active.version;
	}

	function logEraChange(previous: number, era: number, origin: UpdateOrigin): void {
		const evacuated = evacuations.getSet();
		host.logger.warn('store-era-changed', {
			previousEra: previous,
			era,
			registryPosition: registry.getPosition().offset,
			operatorPosition: evacuated.version,
			configuration: activeConfiguration?.configuration.version,
			upstreams: registry.list().length,
			removedUpstreams: registry.countRemoved(),
			evacuations: evacuated.failureDomains.length,
			origin,
		});
	}

	return {
		registry,
		evacuations,
		getActiveConfiguration: () => activeConfiguration,
		getEra: () => knownEra,
		recordEra(era, origin) {
			const previous = knownEra;
			if (previous !== undefined && era <= previous) {
				return false;
			}

			knownEra = era;
			if (previous === undefined) {
				return false;
			}

			logEraChange(previous, era, origin);
			recordRecovery(recoveryMilliseconds);
			return true;
		},
		applyConfiguration(next, era, origin) {
			const activeVersion = activeConfiguration?.configuration.version;
			if (isSuperseded(next, era)) {
				return;
			}

			activeConfiguration = {
				configuration: next, routes: routeTable.createRouteTable(next), keys: workspaceKeys.createKeyTable(next.workspaces), era,
			};
			host.logger.info('configuration-in-force', {
				version: next.version, previous: activeVersion, routes: next.routes.length, origin,
			});
			host.onConfiguration(next);
			wakeWaiters();
		},
		handleRegistryEvents,
		handleEvacuationChange(origin) {
			const {version, failureDomains} = evacuations.getSet();
			host.logger.info('evacuations-changed', {failureDomains: failureDomains.join(',') || 'none', version, origin});
			host.onEvacuations();
			wakeWaiters();
		},
		confirmUpTo(part, upTo) {
			const previous = confirmedAt[part];
			confirmedAt[part] = Math.max(previous, upTo);
			if (part === 'registry') {
				confirmRemovals(previous, confirmedAt.registry);
			}
		},
		recordRecovery,
		getRecoveryEnd: now => now < recoveryEndsAt ? recoveryEndsAt : undefined,
		mayFollowOutage: now => Number.isFinite(confirmedAt.registry) && now - confirmedAt.registry > outageMilliseconds,
		getAge: now => now - Math.min(confirmedAt.configuration, confirmedAt.registry),
		async waitForChange(milliseconds) {
			return new Promise(resolve => {
				const finish = () => {
					clearTimeout(timer);
					waiters.delete(finish);
					resolve();
				};

				const timer = setTimeout(finish, milliseconds);
				waiters.add(finish);
			});
		},
		wakeWaiters,
	};
}

