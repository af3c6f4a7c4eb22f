/** Platform of a soak: the store, the upstreams behind fault proxies, and the configurations that an operator publishes. */
import * as faultProxy from '../../stand-ins/fault-proxy.ts';
import * as platformUpstream from '../../stand-ins/platform-upstream.ts';
import * as storeStandIn from '../../stand-ins/store.ts';
import * as responseForms from './response-forms.ts';

export const serviceNames = ['desk', 'office'] as const;
/** Service whose work may last longer than the grace period; its upstreams have no faults of their own. */
export const longServiceName = 'registry';
export type ServiceName = typeof serviceNames[number] | typeof longServiceName;
export const callerHost = 'desk.example';
/** Timeout of a request in the operator's configuration, in milliseconds. */
export const routeTimeoutMilliseconds = 1500;
/** Timeout of requests to the service with long work, in milliseconds; longer than the grace period. */
export const longRouteTimeoutMilliseconds = 10_000;
/** Maximum number of attempts of a request in the operator's configuration. */
export const maximumAttempts = 2;

/** Time span in milliseconds of the monotonic clock; `to` is infinite until the span ends. */
export type TimeSpan = {readonly from: number; to: number};

/** What an upstream states in its answers during a time span. */
export type SoakStatement
	= | {readonly kind: 'rate-limit'; readonly requestsPerSecond: number; readonly span: TimeSpan}
		| {readonly kind: 'leaving'; readonly span: TimeSpan}
		| {readonly kind: 'pause'; readonly milliseconds: number; readonly span: TimeSpan};

export type SoakUpstream = {
	readonly service: ServiceName;
	readonly standIn: platformUpstream.PlatformUpstream;
	readonly proxy: faultProxy.FaultProxy;
	readonly statements: SoakStatement[];
	/** Times in which the upstream or its link doesn't work as it should. */
	readonly faults: TimeSpan[];
	/** Time at which the store recorded that the upstream drains or is removed, in milliseconds of the monotonic clock. */
	retiredAt: number | undefined;
	isClosed: boolean;
};

/** Route and the times at which configurations added and withdrew it, in milliseconds of the monotonic clock. */
export type PublishedRoute = {
	readonly path: string;
	readonly isIdempotent: boolean;
	readonly service: ServiceName;
	readonly publishedAt: number;
	withdrawnAt: number | undefined;
	readonly timeoutMilliseconds: number;
};

export type SoakPlatform = {
	readonly store: storeStandIn.StoreStandIn;
	/** All upstreams, including those that were removed. */
	readonly upstreams: readonly SoakUpstream[];
	readonly routes: readonly PublishedRoute[];
	/** Route of the service with long work, which is always published and not among the others. */
	readonly longRoute: PublishedRoute;
	/** Lists the upstreams that are neither draining, removed nor closed, and state nothing. */
	listServingUpstreams(): readonly SoakUpstream[];
	/** Starts an upstream behind a fault proxy and registers it with the store. */
	startUpstream(service: ServiceName): Promise<SoakUpstream>;
	/** Registers the upstream as draining; it continues to serve until it is closed. */
	drainUpstream(upstream: SoakUpstream): void;
	/** Removes the registration of the upstream from the store. */
	removeUpstream(upstream: SoakUpstream): void;
	/** Closes the upstream and its proxy without a change to its registration. */
	crashUpstream(upstream: SoakUpstream): Promise<void>;
	/** Partitions clients from all upstreams, by their address; returns a function that ends it. */
	partition(clientAddresses: readonly string[], partition: faultProxy.ClientPartition): () => void;
	/** Publishes a configuration with one more route; beyond the maximum of added routes, the oldest one is withdrawn. */
	changeConfiguration(): void;
	close(): Promise<void>;
};

/** Behaviour of upstreams without a fault. */
export const defaultBehaviour: platformUpstream.PlatformUpstreamBehavior = {kind: 'choose', chooseResponse: responseForms.readForm};
const slots = 4;
const longSlots = 60;
const longUpstreams = 2;
export const failureDomains = ['courthouse', 'riverside', 'pinehill'];
const registryTopic = 'keyed.servers';
const operatorTopic = 'keyed.op';
/** Maximum number of added routes that are published at the same time. */
const maximumAddedRoutes = 2;

const getSlots = (service: ServiceName) => service === longServiceName ? longSlots : slots;

/** Starts the store and the upstreams, and publishes the first configuration. */
export async function startSoakPlatform(upstreamsPerService: number): Promise<SoakPlatform> {
	const store = await storeStandIn.startStore();
	const upstreams: SoakUpstream[] = [];
	const routes: PublishedRoute[] = [
		{
			path: '/read/', isIdempotent: true, service: 'desk', publishedAt: performance.now(), withdrawnAt: undefined, timeoutMilliseconds: routeTimeoutMilliseconds,
		},
		{
			path: '/write/', isIdempotent: false, service: 'office', publishedAt: performance.now(), withdrawnAt: undefined, timeoutMilliseconds: routeTimeoutMilliseconds,
		},
	];
	const longRoute: PublishedRoute = {
		path: '/confirm/', isIdempotent: false, service: longServiceName, publishedAt: performance.now(), withdrawnAt: undefined, timeoutMilliseconds: longRouteTimeoutMilliseconds,
	};
	const partitionsByClient = new Map<string, faultProxy.ClientPartition>();
	const getPartition = (address: string) => partitionsByClient.get(address) ?? 'none';
	let version = 0;
	let lastSerialNumber = 0;

	function publish(): void {
		version += 3;
		store.put(operatorTopic, 'config', {
			version: version.toString(16).padStart(8, '0'),
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
			},
			listeners: [{
				host: callerHost,
				rules: [...routes, longRoute].filter(({withdrawnAt}) => withdrawnAt === undefined).map(({path, isIdempotent, service, timeoutMilliseconds}) => ({
					name: path,
					kind: isIdempotent ? 'idempotent' : 'non_idempotent',
					targetLatencyMs: 400,
					priority: isIdempotent ? 1 : 0,
					match: {pathPrefix: path},
					action: {service, timeoutMs: timeoutMilliseconds, attempts: maximumAttempts},
				})),
			}],
			clusters: [...serviceNames, longServiceName].map(name => ({name, healthPath: '/healthz', maxConns: 200})),
		});
	}

	async function startUpstream(service: ServiceName): Promise<SoakUpstream> {
		const id = `${service}-${++lastSerialNumber}`;
		const standIn = await platformUpstream.startPlatformUpstream(id, getSlots(service));
		standIn.setBehavior(defaultBehaviour);
		const [targetHost, targetPort] = standIn.address.split(':');
		const proxy = await faultProxy.createFaultProxy({targetHost: targetHost!, targetPort: Number(targetPort)});
		proxy.setPartition(getPartition);
		const upstream: SoakUpstream = {
			service, standIn, proxy, statements: [], faults: [], retiredAt: undefined, isClosed: false,
		};
		upstreams.push(upstream);
		register(upstream, 'ready');
		return upstream;
	}

	function register({service, standIn, proxy}: SoakUpstream, state: 'ready' | 'draining'): void {
		store.put(registryTopic, standIn.id, {
			service,
			addr: `${proxy.host}:${proxy.port}`,
			zone: failureDomains[upstreams.length % failureDomains.length],
			version: 'v1',
			slots: getSlots(service),
			state,
			coldLeftMs: 0,
			seq: state === 'ready' ? 1 : 2,
			born: 1,
		});
	}

	publish();
	for (const service of serviceNames) {
		for (let count = 0; count < upstreamsPerService; count++) {
			await startUpstream(service);
		}
	}

	for (let count = 0; count < longUpstreams; count++) {
		await startUpstream(longServiceName);
	}

	return {
		store,
		upstreams,
		listServingUpstreams: () => upstreams.filter(({retiredAt: leftAt, isClosed, statements}) => leftAt === undefined && !isClosed && !statements.some(({kind, span}) => kind === 'leaving' || performance.now() <= span.to)),
		routes,
		longRoute,
		startUpstream,
		drainUpstream(upstream) {
			register(upstream, 'draining');
			upstream.retiredAt ??= performance.now();
			upstream.standIn.setDraining(true);
		},
		removeUpstream(upstream) {
			store.put(registryTopic, upstream.standIn.id, undefined);
			upstream.retiredAt ??= performance.now();
		},
		async crashUpstream(upstream) {
			if (!upstream.isClosed) {
				upstream.isClosed = true;
				upstream.faults.push({from: performance.now(), to: Number.POSITIVE_INFINITY});
				await Promise.all([upstream.standIn.close(), upstream.proxy.close()]);
			}
		},
		partition(clientAddresses, partition) {
			const setAll = (value: faultProxy.ClientPartition) => {
				for (const address of clientAddresses) {
					partitionsByClient.set(address, value);
				}

				for (const {proxy} of upstreams) {
					proxy.setPartition(getPartition);
				}
			};

			setAll(partition);
			return () => {
				setAll('none');
			};
		},
		changeConfiguration() {
			const addedRoutes = routes.filter(({path, withdrawnAt}) => path.startsWith('/added-') && withdrawnAt === undefined);
			if (addedRoutes.length >= maximumAddedRoutes) {
				addedRoutes[0]!.withdrawnAt = performance.now();
			}

			routes.push({
				path: `/added-${++lastSerialNumber}/`, isIdempotent: true, service: serviceNames[lastSerialNumber % serviceNames.length]!, publishedAt: performance.now(), withdrawnAt: undefined, timeoutMilliseconds: routeTimeoutMilliseconds,
			});
			publish();
		},
		async close() {
			await Promise.all(upstreams.filter(({isClosed}) => !isClosed).flatMap(({standIn, proxy}) => [standIn.close(), proxy.close()]));
			await store.close();
		},
	};
}
