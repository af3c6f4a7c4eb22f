/** The upstreams of all services, with their connection pools and their observed load and failures. */
import type * as upstreamStatements from '../decisions/backpressure/upstream-statements.ts';
import * as exhaustiveness from '../decisions/assert-never.ts';
import type * as registry from '../decisions/registry/types.ts';
import type * as prequalSelection from '../decisions/routing/prequal-selection.ts';
import * as upstreamStatistics from '../decisions/routing/upstream-statistics.ts';
import * as connectionPool from '../entry/connection-pool.ts';

/** A registered upstream, or another entry that passes requests on to one. */
export type Upstream = {
	readonly kind: 'upstream' | 'relay';
	readonly registration: registry.Registration;
	readonly pool: connectionPool.ConnectionPool;
	readonly record: upstreamStatistics.UpstreamStatistics;
	/** Time until which the upstream is expected to be slow after its start. */
	readonly warmUntil: number;
};

/** Dependencies of the set of upstreams. */
export type UpstreamsHost = {
	/** Local address of the connections to upstreams; the system chooses one if it is undefined. */
	readonly localAddress?: string | undefined;
	/** Maximum number of connections that one upstream of a service accepts from all entries together. */
	getMaximumConnections(service: string): number;
	/** Returns the number of running entries. */
	countEntries(): number;
	/** Whether the upstreams of a failure domain receive nothing new. */
	isEvacuated(failureDomain: string): boolean;
	/** Gets how an upstream may be used according to its own statements. */
	getAccess(upstream: upstreamStatements.UpstreamIncarnation, now: number): upstreamStatements.UpstreamAccess;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

/** The set of registered upstreams. */
export type Upstreams = {
	/** Replaces the set of upstreams by the given registrations; keeps the connections and records of unchanged processes. */
	update(registrations: readonly registry.Registration[]): void;
	/** Assigns the upstreams anew to the lists, after a change of how they may be used. */
	refresh(): void;
	/** Lists the upstreams of all services that may receive new requests without a permit. */
	listAll(): readonly Upstream[];
	/** Counts the failure domains of these upstreams. */
	countFailureDomains(): number;
	/** Lists the upstreams of a service that may receive new requests without a permit. */
	listUsable(service: string): readonly Upstream[];
	/** Lists the usable upstreams of a service inside the failure domain of this entry, or outside of it. */
	listByLocality(service: string, isLocal: boolean): readonly Upstream[];
	/** Lists the upstreams of a service that need a permit for each request. */
	listByPermit(service: string): readonly Upstream[];
	/** Whether all upstreams of a service are in evacuated failure domains. */
	isServiceEvacuated(service: string): boolean;
	/** Counts the upstreams that are cold. */
	countCold(): number;
	/** Gets the time at which the first of the paused or cold upstreams of a service accepts requests again; undefined if there is none. */
	getPauseEnd(service: string): number | undefined;
	/** Whether an upstream may still receive new requests without a permit. */
	isUsable(upstream: Upstream): boolean;
	/** Gets the share of the selections that may consider an upstream, from 0 to 1. */
	getSelectionShare(upstream: Upstream, now: number): number;
	getState(upstream: Upstream, now: number): prequalSelection.UpstreamState;
	/** Excludes an upstream until it registers with a new incarnation, because another upstream responded at its address. */
	exclude(id: string): void;
	closeIdle(): void;
	close(): void;
};

/** Share of an upstream's connection limit that the running entries use; the rest is left to entries that were just replaced. */
const usedConnectionShare = 0.7;
/** Maximum time to open a connection, in milliseconds. */
const connectTimeoutMilliseconds = 300;
/** Time after which an idle connection is closed, in milliseconds; below the 10 s after which the users' upstreams close it. */
const idleMilliseconds = 8000;

/** Usable upstreams of a service. */
type ServiceUpstreams = {readonly all: Upstream[]; readonly local: Upstream[]; readonly remote: Upstream[]; readonly byPermit: Upstream[]; readonly evacuated: Upstream[]; readonly pauseEnds: number[]};
const createServiceUpstreams = (): ServiceUpstreams => ({
	all: [], local: [], remote: [], byPermit: [], evacuated: [], pauseEnds: [],
});
const noUpstreams = createServiceUpstreams();

/** Creates an empty set of upstreams for an entry in the given failure domain. */
export function createUpstreams(host: UpstreamsHost, failureDomain: string): Upstreams {
	const upstreams = new Map<string, Upstream>();
	const usableByService = new Map<string, ServiceUpstreams>();
	const excludedIncarnations = new Map<string, number>();
	let all: readonly Upstream[] = [];
	let failureDomainCount = 0;

	function create(registration: registry.Registration): Upstream {
		return {
			kind: 'upstream',
			registration,
			pool: connectionPool.createConnectionPool({
				address: registration.address,
				connectTimeoutMilliseconds,
				idleMilliseconds,
				trustMilliseconds: idleMilliseconds,
				spares: 0,
				getLimit: () => Math.max(2, Math.floor(usedConnectionShare * host.getMaximumConnections(registration.service) / Math.max(1, host.countEntries()))),
				getNow: host.getNow,
				localAddress: host.localAddress,
			}),
			record: upstreamStatistics.createUpstreamStatistics(),
			warmUntil: host.getNow() + registration.warmUpMilliseconds,
		};
	}

	function isSameProcess(left: registry.Registration, right: registry.Registration): boolean {
		return left.incarnation === right.incarnation && left.address === right.address && left.service === right.service;
	}

	function addOrUpdate(registration: registry.Registration): void {
		const existing = upstreams.get(registration.id);
		if (existing && isSameProcess(existing.registration, registration)) {
			upstreams.set(registration.id, {...existing, registration});
			return;
		}

		existing?.pool.close();
		upstreams.set(registration.id, create(registration));
	}

	const isLocal = ({registration}: Upstream) => registration.failureDomain === failureDomain;

	function rebuildIndex(): void {
		const now = host.getNow();
		usableByService.clear();
		for (const upstream of upstreams.values()) {
			const {id, service, state, incarnation} = upstream.registration;
			if (state !== 'ready' || excludedIncarnations.get(id) === incarnation) {
				continue;
			}

			const usable = usableByService.get(service) ?? createServiceUpstreams();
			usableByService.set(service, usable);
			if (host.isEvacuated(upstream.registration.failureDomain)) {
				usable.evacuated.push(upstream);
			} else {
				addUpstream(usable, upstream, now);
			}
		}

		all = [...usableByService.values()].flatMap(usable => usable.all);
		failureDomainCount = new Set(all.map(upstream => upstream.registration.failureDomain)).size;
	}

	function addUpstream(usable: ServiceUpstreams, upstream: Upstream, now: number): void {
		const access = host.getAccess(upstream.registration, now);
		switch (access.kind) {
			case 'open': {
				usable.all.push(upstream);
				usable[isLocal(upstream) ? 'local' : 'remote'].push(upstream);
				break;
			}

			case 'by-permit': {
				usable.byPermit.push(upstream);
				if (access.coldUntil !== undefined) {
					usable.pauseEnds.push(access.coldUntil);
				}

				break;
			}

			case 'paused': {
				usable.pauseEnds.push(access.endsAt);
				break;
			}

			case 'leaving': {
				upstream.pool.close();
				break;
			}

			default: {
				exhaustiveness.assertNever(access);
			}
		}
	}

	return {
		update(registrations) {
			const ids = new Set(registrations.map(({id}) => id));
			for (const [id, upstream] of upstreams) {
				if (!ids.has(id)) {
					upstream.pool.close();
					upstreams.delete(id);
					excludedIncarnations.delete(id);
				}
			}

			for (const registration of registrations) {
				addOrUpdate(registration);
			}

			rebuildIndex();
		},
		refresh: rebuildIndex,
		listAll: () => all,
		countFailureDomains: () => failureDomainCount,
		listUsable: service => (usableByService.get(service) ?? noUpstreams).all,
		listByLocality: (service, isLocalRequested) => (usableByService.get(service) ?? noUpstreams)[isLocalRequested ? 'local' : 'remote'],
		listByPermit: service => (usableByService.get(service) ?? noUpstreams).byPermit,
		isServiceEvacuated(service) {
			const {all: open, byPermit, evacuated, pauseEnds} = usableByService.get(service) ?? noUpstreams;
			return evacuated.length > 0 && open.length + byPermit.length + pauseEnds.length === 0;
		},
		countCold() {
			const now = host.getNow();
			return [...upstreams.values()].filter(({registration}) => {
				const access = host.getAccess(registration, now);
				return access.kind === 'by-permit' && access.coldUntil !== undefined;
			}).length;
		},
		getPauseEnd(service) {
			const {pauseEnds} = usableByService.get(service) ?? noUpstreams;
			return pauseEnds.length === 0 ? undefined : Math.min(...pauseEnds);
		},
		isUsable({registration}) {
			const {id, service, incarnation} = registration;
			const existing = upstreams.get(id)?.registration;
			const isPresent = existing?.state === 'ready' && existing.service === service && existing.incarnation === incarnation;
			return isPresent && excludedIncarnations.get(id) !== incarnation && !host.isEvacuated(registration.failureDomain) && host.getAccess(registration, host.getNow()).kind === 'open';
		},
		getSelectionShare({registration}, now) {
			const access = host.getAccess(registration, now);
			return access.kind === 'open' ? access.selectionShare : 0;
		},
		getState: ({registration, record, warmUntil}, now) => ({
			id: registration.id,
			isLocal: registration.failureDomain === failureDomain,
			slots: registration.slots,
			isWarmingUp: now < warmUntil,
			...record.getState(now),
		}),
		exclude(id) {
			const upstream = upstreams.get(id);
			if (upstream) {
				excludedIncarnations.set(id, upstream.registration.incarnation);
				rebuildIndex();
			}
		},
		closeIdle() {
			for (const {pool} of upstreams.values()) {
				pool.closeExpired();
			}
		},
		close() {
			for (const {pool} of upstreams.values()) {
				pool.close();
			}
		},
	};
}
