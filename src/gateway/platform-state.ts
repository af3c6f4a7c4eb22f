/** The state of the platform as this entry last received it, its age, and the waits for its next change. */
import * as routeTable from '../decisions/configuration/route-table.ts';
import type * as configuration from '../decisions/configuration/types.ts';
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
	onUpstreams(events: readonly upstreamRegistry.RegistryEvent[]): void;
};

/** The configuration that the entry applies to requests, and the index of its routes. */
export type ActiveConfiguration = {
	readonly configuration: configuration.Configuration;
	readonly routes: routeTable.RouteTable;
};

/** The configuration and the registry of upstreams, as this entry last received them. The metrics and logs call their age the knowledge age. */
export type PlatformState = {
	readonly registry: upstreamRegistry.UpstreamRegistry;
	getActiveConfiguration(): ActiveConfiguration | undefined;
	/** Applies a configuration; ignores one that is not newer than the active one. */
	applyConfiguration(next: configuration.Configuration, origin: UpdateOrigin): void;
	/** Logs changes that were already applied to the registry, and notifies the host and all waiters. */
	handleRegistryEvents(events: readonly upstreamRegistry.RegistryEvent[], origin: UpdateOrigin): void;
	/** Records that everything published up to a time has been received. */
	confirmUpTo(part: 'configuration' | 'registry', upTo: number): void;
	/** Age of the older of the two parts, in milliseconds; infinite until both were received. */
	getAge(now: number): number;
	/** Resolves at the next change, or after the given time. */
	waitForChange(milliseconds: number): Promise<void>;
	/** Resolves all waits for a change. */
	wakeWaiters(): void;
};

/** Creates the empty state of an entry that has received nothing yet. */
export function createPlatformState(host: PlatformStateHost): PlatformState {
	const registry = upstreamRegistry.createUpstreamRegistry();
	const confirmedAt = {configuration: Number.NEGATIVE_INFINITY, registry: Number.NEGATIVE_INFINITY};
	const waiters = new Set<() => void>();
	let activeConfiguration: ActiveConfiguration | undefined;

	function wakeWaiters(): void {
		for (const resolve of waiters) {
			resolve();
		}

		waiters.clear();
	}

	return {
		registry,
		getActiveConfiguration: () => activeConfiguration,
		applyConfiguration(next, origin) {
			const activeVersion = activeConfiguration?.configuration.version;
			if (activeVersion !== undefined && next.version <= activeVersion) {
				return;
			}

			activeConfiguration = {configuration: next, routes: routeTable.createRouteTable(next)};
			host.logger.info('configuration-in-force', {
				version: next.version, previous: activeVersion, routes: next.routes.length, origin,
			});
			host.onConfiguration(next);
			wakeWaiters();
		},
		handleRegistryEvents(events, origin) {
			if (events.length === 0) {
				return;
			}

			for (const {kind, id, registration} of events) {
				host.logger.info('upstream-changed', {
					change: kind, upstream: id, service: registration.service, address: registration.address, incarnation: registration.incarnation, position: registry.getPosition(), origin,
				});
			}

			host.onUpstreams(events);
			wakeWaiters();
		},
		confirmUpTo(part, upTo) {
			confirmedAt[part] = Math.max(confirmedAt[part], upTo);
		},
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

