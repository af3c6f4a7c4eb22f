/**
Passes requests on through other entries while this entry is cut off from all upstreams.

To this entry, another one is a further kind of upstream: it gets the request as a caller would send it, with a mark that
prevents it from being passed on once more, and tells in its refusals which request they belong to and whether it has run.
*/
import * as relayChoice from '../decisions/routing/relay-choice.ts';
import type * as randomness from '../decisions/random.ts';
import type * as sharing from '../decisions/sharing/types.ts';
import * as upstreamStatistics from '../decisions/routing/upstream-statistics.ts';
import * as connectionPool from '../entry/connection-pool.ts';
import type * as upstreams from './upstreams.ts';

/** Dependencies of the relays. */
export type RelaysHost = {
	/** Name of this entry. */
	readonly name: string;
	readonly failureDomain: string;
	readonly random: randomness.RandomSource;
	/** Whether this entry is cut off from all upstreams. */
	isCutOff(): boolean;
	listMembers(): readonly sharing.Member[];
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

/** The other entries that can pass requests on. */
export type Relays = {
	/** Chooses an entry for a request that was sent to `tried`; undefined if this entry isn't cut off or no other one can help. */
	choose(tried: ReadonlySet<string>): upstreams.Upstream | undefined;
	closeIdle(): void;
	close(): void;
};

const connectTimeoutMilliseconds = 300;
const idleMilliseconds = 8000;
/** Maximum number of connections to one entry; it serves its own callers as well. */
const maximumConnections = 32;

/** Creates the relays without connections. */
export function createRelays(host: RelaysHost): Relays {
	const relaysByAddress = new Map<string, upstreams.Upstream>();

	function getRelay({name, callerAddress, failureDomain, startedAt}: sharing.Member): upstreams.Upstream {
		const existing = relaysByAddress.get(callerAddress);
		if (existing?.registration.id === name && existing.registration.incarnation === startedAt) {
			return existing;
		}

		existing?.pool.close();
		const relay: upstreams.Upstream = {
			kind: 'relay',
			registration: {
				id: name, service: '', address: callerAddress, failureDomain, slots: maximumConnections, state: 'ready', warmUpMilliseconds: 0, incarnation: startedAt, sequence: 0,
			},
			pool: connectionPool.createConnectionPool({
				address: callerAddress,
				connectTimeoutMilliseconds,
				idleMilliseconds,
				trustMilliseconds: idleMilliseconds,
				spares: 0,
				getLimit: () => maximumConnections,
				getNow: host.getNow,
			}),
			record: upstreamStatistics.createUpstreamStatistics(),
			warmUntil: 0,
		};
		relaysByAddress.set(callerAddress, relay);
		return relay;
	}

	return {
		choose(tried) {
			if (!host.isCutOff()) {
				return undefined;
			}

			const member = relayChoice.chooseRelay(host, host.listMembers(), tried, host.random);
			return member && getRelay(member);
		},
		closeIdle() {
			for (const {pool} of relaysByAddress.values()) {
				pool.closeExpired();
			}
		},
		close() {
			for (const {pool} of relaysByAddress.values()) {
				pool.close();
			}
		},
	};
}
