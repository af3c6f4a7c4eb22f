/** Services of the table, each with a scheduler, a runner and a connection pool for each upstream. */
import {getFullMeshShare, type SubsetLimits} from '../decisions/membership/subsets.ts';
import {createRandomSource} from '../decisions/random.ts';
import {createServiceScheduler} from '../decisions/routing/scheduler.ts';
import {
	type AttemptResult, type FleetView, type LoadReport, type RoutingPolicy, type UpstreamDescription, type UpstreamStatus,
} from '../decisions/routing/types.ts';
import {type ServiceView, type TableView} from '../decisions/table/service-view.ts';
import {type AnswerSink, type Call} from './call.ts';
import {type ExecutionOptions} from './running-call.ts';
import {type ConnectionPool, createConnectionPool} from './connection-pool.ts';
import {
	createServiceRunner, type CallExecution, type ServiceRunner,
} from './service-runner.ts';

/** Functions of the entry that the services use. */
export type ServicesHost = {
	/** Current time of a monotonic clock, in milliseconds. */
	getNow(): number;
	/** Whether a call that is sent now can be finished before a planned stop of this entry. */
	canFinish(call: Call): boolean;
	/** Called for each load report in the header of an answer. */
	onLoadReport(service: string, upstream: string, report: LoadReport): void;
	/** Called at the end of each attempt. */
	onAttemptResult(call: Call, result: AttemptResult): void;
};

/** Initial fleet, routing policy and connection settings of all services. */
export type ServicesOptions = {
	readonly policy: RoutingPolicy;
	readonly seed: number;
	readonly fleet: FleetView;
	readonly connectTimeoutMilliseconds: number;
	readonly idleMilliseconds: number;
	readonly trustMilliseconds: number;
	readonly spares: number;
};

/** Status of one service for operators and metrics. */
export type ServiceStatus = {
	readonly service: string;
	/** Number of calls that wait for a slot. */
	readonly waiting: number;
	/** Number of calls that have not ended. */
	readonly calls: number;
	readonly upstreams: ReadonlyArray<UpstreamStatus & {readonly connections: number}>;
};

/** All services of an entry. */
export type Services = {
	setTable(view: TableView): void;
	setFleet(fleet: FleetView): void;
	/** Replaces the upstreams of all services; a service that is missing in the map has none. */
	setUpstreams(upstreams: ReadonlyMap<string, readonly UpstreamDescription[]>): void;
	/** Applies a load report that was received from a poll or a peer. */
	applyLoadReport(service: string, upstream: string, report: LoadReport, reportedAt: number): void;
	execute(call: Call, sink: AnswerSink, options: ExecutionOptions): CallExecution;
	/** Refuses the calls that wait for a slot or a connection and that a planned stop leaves no time for. */
	refuseUnsent(): void;
	/** Number of calls that have not ended. */
	countCalls(): number;
	getStatus(): readonly ServiceStatus[];
	close(): void;
};

type Service = {
	view: ServiceView;
	upstreams: readonly UpstreamDescription[];
	readonly pools: Map<string, {readonly address: string; readonly pool: ConnectionPool}>;
	readonly runner: ServiceRunner;
	getStatus(): readonly UpstreamStatus[];
	countWaiting(): number;
};

const idleCheckIntervalMilliseconds = 1000;

/** Creates an empty set of services; `setTable` adds the services of the table. */
export function createServices(host: ServicesHost, options: ServicesOptions): Services {
	const services = new Map<string, Service>();
	let {fleet, seed} = options;
	let upstreamsByService: ReadonlyMap<string, readonly UpstreamDescription[]> = new Map();
	const idleCheckTimer = setInterval(closeIdleConnections, idleCheckIntervalMilliseconds);

	function createService(name: string, view: ServiceView): Service {
		const scheduler = createServiceScheduler({
			policy: options.policy, view, fleet, upstreams: [], random: createRandomSource(seed++), now: host.getNow(),
		});
		const pools: Service['pools'] = new Map();
		const runner = createServiceRunner({
			scheduler,
			getNow: host.getNow,
			canFinish: host.canFinish,
			findPool: upstream => pools.get(upstream)?.pool,
			onLoadReport(upstream, report) {
				host.onLoadReport(name, upstream, report);
			},
			onAttemptResult: host.onAttemptResult,
		});
		return {
			view,
			upstreams: [],
			pools,
			runner,
			getStatus: () => scheduler.getStatus(host.getNow()),
			countWaiting: () => scheduler.countWaitingCalls(),
		};
	}

	function setServiceUpstreams(service: Service, upstreams: readonly UpstreamDescription[]): void {
		service.upstreams = upstreams;
		const addresses = new Map(upstreams.map(upstream => [upstream.name, upstream.address]));
		for (const [name, {address, pool}] of service.pools) {
			if (addresses.get(name) !== address) {
				pool.close();
				service.pools.delete(name);
			}
		}

		for (const {name, address} of upstreams) {
			if (!service.pools.has(name)) {
				service.pools.set(name, {address, pool: createPool(service, address)});
			}
		}

		service.runner.update((scheduler, now) => scheduler.setUpstreams(upstreams, now));
	}

	function createPool(service: Service, address: string): ConnectionPool {
		return createConnectionPool({
			address,
			connectTimeoutMilliseconds: options.connectTimeoutMilliseconds,
			idleMilliseconds: options.idleMilliseconds,
			trustMilliseconds: options.trustMilliseconds,
			spares: options.spares,
			getLimit: () => getConnectionLimit(service),
			getNow: host.getNow,
		});
	}

	/** Returns the number of connections that this entry may open to one upstream of a service: an equal share among the entries. */
	function getConnectionLimit(service: Service): number {
		return getFullMeshShare(fleet.entries.length, getSubsetLimits(service));
	}

	function getSubsetLimits({view: {service}}: Service): SubsetLimits {
		return {connectionsPerUpstream: service.connectionsPerUpstream, slots: service.slotsPerUpstream};
	}

	function closeIdleConnections(): void {
		for (const service of services.values()) {
			for (const {pool} of service.pools.values()) {
				pool.closeExpired();
			}
		}
	}

	return {
		setTable(table) {
			for (const [name, view] of table.services) {
				const service = services.get(name);
				if (service) {
					service.view = view;
					service.runner.update((scheduler, now) => scheduler.setView(view, now));
					continue;
				}

				const newService = createService(name, view);
				services.set(name, newService);
				setServiceUpstreams(newService, upstreamsByService.get(name) ?? []);
			}
		},
		setFleet(newFleet) {
			fleet = newFleet;
			for (const {runner} of services.values()) {
				runner.update((scheduler, now) => scheduler.setFleet(newFleet, now));
			}
		},
		setUpstreams(upstreams) {
			upstreamsByService = upstreams;
			for (const [name, service] of services) {
				setServiceUpstreams(service, upstreams.get(name) ?? []);
			}
		},
		applyLoadReport(service, upstream, report, reportedAt) {
			services.get(service)?.runner.update((scheduler, now) => scheduler.applyReport(upstream, report, reportedAt, now));
		},
		execute: (call, sink, executionOptions) => services.get(call.service)!.runner.execute(call, sink, executionOptions),
		refuseUnsent() {
			for (const {runner} of services.values()) {
				runner.refuseUnsent();
			}
		},
		countCalls() {
			let count = 0;
			for (const {runner} of services.values()) {
				count += runner.count();
			}

			return count;
		},
		getStatus: () => [...services].map(([name, service]) => ({
			service: name,
			waiting: service.countWaiting(),
			calls: service.runner.count(),
			upstreams: service.getStatus().map(status => ({...status, connections: service.pools.get(status.upstream)?.pool.count() ?? 0})),
		})),
		close() {
			clearInterval(idleCheckTimer);
			for (const {pools, runner} of services.values()) {
				runner.close();
				for (const {pool} of pools.values()) {
					pool.close();
				}
			}
		},
	};
}
