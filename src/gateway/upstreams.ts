/** The upstreams of all services: their connections and what was learned of them. */
import type * as registry from '../decisions/registry/types.ts';
import type * as freshLoad from '../decisions/routing/fresh-load.ts';
import * as upstreamRecord from '../decisions/routing/upstream-record.ts';
import * as connectionPool from '../entry/connection-pool.ts';

/** An upstream that may get requests. */
export type Upstream = {
	readonly registration: registry.Registration;
	readonly pool: connectionPool.ConnectionPool;
	readonly record: upstreamRecord.UpstreamRecord;
	/** Time until which the upstream is slow after its start. */
	readonly warmUntil: number;
};

export type UpstreamsHost = {
	/** Connections that one upstream of a service accepts from all entries. */
	getMaximumConnections(service: string): number;
	/** Entries that run. */
	countEntries(): number;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

export type Upstreams = {
	/** Brings the upstreams in line with the registrations. */
	update(registrations: readonly registry.Registration[]): void;
	/** Gets the upstreams of a service that may get new requests. */
	listUsable(service: string): readonly Upstream[];
	/** Gets those of them in the failure domain of this entry, or the others. */
	listByDistance(service: string, isNear: boolean): readonly Upstream[];
	/** Whether an upstream may still get new requests. */
	isUsable(upstream: Upstream): boolean;
	getState(upstream: Upstream, now: number): freshLoad.UpstreamState;
	/** Takes an upstream out until it registers anew, since its address belongs to another one. */
	retire(id: string): void;
	closeIdle(): void;
	close(): void;
};

/** Part of the connections that an upstream accepts that all entries use; the rest is for entries that were just replaced. */
const usedConnectionShare = 0.7;
/** Time to open a connection, in milliseconds. */
const connectTimeoutMilliseconds = 300;
/** Time after which an idle connection is closed, in milliseconds; below the 10 s of the users' upstreams. */
const idleMilliseconds = 8000;

/** Usable upstreams of a service. */
type ServiceUpstreams = {readonly all: Upstream[]; readonly near: Upstream[]; readonly far: Upstream[]};
const noUpstreams: ServiceUpstreams = {all: [], near: [], far: []};

/** Creates the set of upstreams for an entry of a failure domain. */
export function createUpstreams(host: UpstreamsHost, failureDomain: string): Upstreams {
	const upstreams = new Map<string, Upstream>();
	const services = new Map<string, ServiceUpstreams>();
	const retired = new Map<string, number>();

	function create(registration: registry.Registration): Upstream {
		return {
			registration,
			pool: connectionPool.createConnectionPool({
				address: registration.address,
				connectTimeoutMilliseconds,
				idleMilliseconds,
				trustMilliseconds: idleMilliseconds,
				spares: 0,
				getLimit: () => Math.max(2, Math.floor(usedConnectionShare * host.getMaximumConnections(registration.service) / Math.max(1, host.countEntries()))),
				getNow: host.getNow,
			}),
			record: upstreamRecord.createUpstreamRecord(),
			warmUntil: host.getNow() + registration.warmUpMilliseconds,
		};
	}

	function isSameProcess(left: registry.Registration, right: registry.Registration): boolean {
		return left.incarnation === right.incarnation && left.address === right.address && left.service === right.service;
	}

	function put(registration: registry.Registration): void {
		const present = upstreams.get(registration.id);
		if (present && isSameProcess(present.registration, registration)) {
			upstreams.set(registration.id, {...present, registration});
			return;
		}

		present?.pool.close();
		upstreams.set(registration.id, create(registration));
	}

	const isNear = ({registration}: Upstream) => registration.failureDomain === failureDomain;

	function index(): void {
		services.clear();
		for (const upstream of upstreams.values()) {
			const {id, service, state, incarnation} = upstream.registration;
			if (state !== 'ready' || retired.get(id) === incarnation) {
				continue;
			}

			const usable = services.get(service) ?? {all: [], near: [], far: []};
			services.set(service, usable);
			usable.all.push(upstream);
			usable[isNear(upstream) ? 'near' : 'far'].push(upstream);
		}
	}

	return {
		update(registrations) {
			const ids = new Set(registrations.map(({id}) => id));
			for (const [id, upstream] of upstreams) {
				if (!ids.has(id)) {
					upstream.pool.close();
					upstreams.delete(id);
					retired.delete(id);
				}
			}

			for (const registration of registrations) {
				put(registration);
			}

			index();
		},
		listUsable: service => (services.get(service) ?? noUpstreams).all,
		listByDistance: (service, isNearWanted) => (services.get(service) ?? noUpstreams)[isNearWanted ? 'near' : 'far'],
		isUsable({registration: {id, service, incarnation}}) {
			const present = upstreams.get(id)?.registration;
			return present?.state === 'ready' && present.service === service && present.incarnation === incarnation && retired.get(id) !== incarnation;
		},
		getState: ({registration, record, warmUntil}, now) => ({
			id: registration.id,
			isNear: registration.failureDomain === failureDomain,
			slots: registration.slots,
			isWarmingUp: now < warmUntil,
			...record.getState(now),
		}),
		retire(id) {
			const upstream = upstreams.get(id);
			if (upstream) {
				retired.set(id, upstream.registration.incarnation);
				index();
			}
		},
		closeIdle() {
			for (const {pool} of upstreams.values()) {
				pool.closeIdle();
			}
		},
		close() {
			for (const {pool} of upstreams.values()) {
				pool.close();
			}
		},
	};
}
