/** The services of the table, each with its scheduler, its runner and the connections to its upstreams. */
import {getEqualShare, type SubsetLimits} from '../decisions/membership/subsets.ts';
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
	createServiceRunner, type Execution, type ServiceRunner,
} from './service-runner.ts';

export type ServicesHost = {
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Is told of each load report that rode on an answer. */
	noteReport(service: string, upstream: string, report: LoadReport): void;
	noteAttempt(call: Call, result: AttemptResult): void;
};

export type ServicesOptions = {
	readonly policy: RoutingPolicy;
	readonly seed: number;
	readonly fleet: FleetView;
	readonly connectTimeoutMilliseconds: number;
	readonly idleMilliseconds: number;
	readonly trustMilliseconds: number;
	readonly spares: number;
};

export type ServiceStatus = {
	readonly service: string;
	/** Calls that wait for a slot. */
	readonly waiting: number;
	/** Calls that have not ended. */
	readonly calls: number;
	readonly upstreams: ReadonlyArray<UpstreamStatus & {readonly connections: number}>;
};

export type Services = {
	setTable(view: TableView): void;
	setFleet(fleet: FleetView): void;
	/** Sets the upstreams of all services; a service that is not named has none. */
	setUpstreams(upstreams: ReadonlyMap<string, readonly UpstreamDescription[]>): void;
	/** Passes on a report that came from a poll or a peer. */
	report(service: string, upstream: string, report: LoadReport, reportedAt: number): void;
	execute(call: Call, sink: AnswerSink, options: ExecutionOptions): Execution;
	/** Calls that have not ended. */
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
	getWaiting(): number;
};

const sweepMilliseconds = 1000;

/** Creates the services; there are none before the first table. */
export function createServices(host: ServicesHost, options: ServicesOptions): Services {
	const services = new Map<string, Service>();
	let {fleet, seed} = options;
	let allUpstreams: ReadonlyMap<string, readonly UpstreamDescription[]> = new Map();
	const sweepTimer = setInterval(closeIdleConnections, sweepMilliseconds);

	function createService(name: string, view: ServiceView): Service {
		const scheduler = createServiceScheduler({
			policy: options.policy, view, fleet, upstreams: [], random: createRandomSource(seed++), now: host.getNow(),
		});
		const pools: Service['pools'] = new Map();
		const runner = createServiceRunner({
			scheduler,
			getNow: host.getNow,
			resolvePool: upstream => pools.get(upstream)?.pool,
			noteReport(upstream, report) {
				host.noteReport(name, upstream, report);
			},
			noteAttempt: host.noteAttempt,
		});
		return {
			view,
			upstreams: [],
			pools,
			runner,
			getStatus: () => scheduler.getStatus(host.getNow()),
			getWaiting: () => scheduler.getWaiting(),
		};
	}

	function setServiceUpstreams(service: Service, upstreams: readonly UpstreamDescription[]): void {
		service.upstreams = upstreams;
		const known = new Map(upstreams.map(upstream => [upstream.name, upstream.address]));
		for (const [name, {address, pool}] of service.pools) {
			if (known.get(name) !== address) {
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

	/** This entry's share of the connections to one upstream. */
	function getConnectionLimit(service: Service): number {
		return getEqualShare(fleet.entries.length, getSubsetLimits(service));
	}

	function getSubsetLimits({view: {service}}: Service): SubsetLimits {
		return {connectionsPerUpstream: service.connectionsPerUpstream, slots: service.slotsPerUpstream};
	}

	function closeIdleConnections(): void {
		for (const service of services.values()) {
			for (const {pool} of service.pools.values()) {
				pool.closeIdle();
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

				const created = createService(name, view);
				services.set(name, created);
				setServiceUpstreams(created, allUpstreams.get(name) ?? []);
			}
		},
		setFleet(next) {
			fleet = next;
			for (const {runner} of services.values()) {
				runner.update((scheduler, now) => scheduler.setFleet(next, now));
			}
		},
		setUpstreams(upstreams) {
			allUpstreams = upstreams;
			for (const [name, service] of services) {
				setServiceUpstreams(service, upstreams.get(name) ?? []);
			}
		},
		report(service, upstream, report, reportedAt) {
			services.get(service)?.runner.update((scheduler, now) => scheduler.report(upstream, report, reportedAt, now));
		},
		execute: (call, sink, executionOptions) => services.get(call.service)!.runner.execute(call, sink, executionOptions),
		countCalls() {
			let count = 0;
			for (const {runner} of services.values()) {
				count += runner.count();
			}

			return count;
		},
		getStatus: () => [...services].map(([name, service]) => ({
			service: name,
			waiting: service.getWaiting(),
			calls: service.runner.count(),
			upstreams: service.getStatus().map(status => ({...status, connections: service.pools.get(status.upstream)?.pool.count() ?? 0})),
		})),
		close() {
			clearInterval(sweepTimer);
			for (const {pools, runner} of services.values()) {
				runner.close();
				for (const {pool} of pools.values()) {
					pool.close();
				}
			}
		},
	};
}
