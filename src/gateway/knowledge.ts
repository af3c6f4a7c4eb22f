/** What this entry knows of the platform, how old that is, and who waits for news. */
import * as routeTable from '../decisions/configuration/route-table.ts';
import type * as configuration from '../decisions/configuration/types.ts';
import * as upstreamRegistry from '../decisions/registry/upstream-registry.ts';
import {type Logger} from '../observability/logger.ts';

/** Where news came from; names an entry, or the store. */
export type NewsOrigin = string;

export type KnowledgeHost = {
	readonly logger: Logger;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	onConfiguration(next: configuration.Configuration): void;
	onUpstreams(events: readonly upstreamRegistry.RegistryEvent[]): void;
};

/** The configuration in force and the index of its routes. */
export type ConfigurationInForce = {
	readonly configuration: configuration.Configuration;
	readonly routes: routeTable.RouteTable;
};

export type Knowledge = {
	readonly registry: upstreamRegistry.UpstreamRegistry;
	getInForce(): ConfigurationInForce | undefined;
	/** Takes a configuration; one that is not newer than the one in force is passed over. */
	takeConfiguration(next: configuration.Configuration, origin: NewsOrigin): void;
	/** Takes what became of upstreams. */
	takeEvents(events: readonly upstreamRegistry.RegistryEvent[], origin: NewsOrigin): void;
	/** All that was published up to a time is known. */
	confirm(part: 'configuration' | 'registry', upTo: number): void;
	/** Age of the oldest part of what is known, in milliseconds. */
	getAge(now: number): number;
	/** Resolves at the next news, or after the wait. */
	waitForNews(milliseconds: number): Promise<void>;
	/** Wakes all that wait for news. */
	wake(): void;
};

/** Creates the knowledge of an entry that knows nothing. */
export function createKnowledge(host: KnowledgeHost): Knowledge {
	const registry = upstreamRegistry.createUpstreamRegistry();
	const confirmedAt = {configuration: Number.NEGATIVE_INFINITY, registry: Number.NEGATIVE_INFINITY};
	const waiters = new Set<() => void>();
	let inForce: ConfigurationInForce | undefined;

	function wake(): void {
		for (const resolve of waiters) {
			resolve();
		}

		waiters.clear();
	}

	return {
		registry,
		getInForce: () => inForce,
		takeConfiguration(next, origin) {
			const present = inForce?.configuration.version;
			if (present !== undefined && next.version <= present) {
				return;
			}

			inForce = {configuration: next, routes: routeTable.createRouteTable(next)};
			host.logger.info('configuration-in-force', {
				version: next.version, previous: present, routes: next.routes.length, origin,
			});
			host.onConfiguration(next);
			wake();
		},
		takeEvents(events, origin) {
			if (events.length === 0) {
				return;
			}

			for (const {kind, id, registration} of events) {
				host.logger.info('upstream-changed', {
					change: kind, upstream: id, service: registration.service, address: registration.address, incarnation: registration.incarnation, position: registry.getPosition(), origin,
				});
			}

			host.onUpstreams(events);
			wake();
		},
		confirm(part, upTo) {
			confirmedAt[part] = Math.max(confirmedAt[part], upTo);
		},
		getAge: now => now - Math.min(confirmedAt.configuration, confirmedAt.registry),
		async waitForNews(milliseconds) {
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
		wake,
	};
}

