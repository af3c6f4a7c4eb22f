/** The platform of a soak: the store, the upstreams behind proxies, and the configurations that an operator publishes. */
import * as faultProxy from '../../stand-ins/fault-proxy.ts';
import * as platformUpstream from '../../stand-ins/platform-upstream.ts';
import * as storeStandIn from '../../stand-ins/store.ts';

export const serviceNames = ['desk', 'office'] as const;
export type ServiceName = typeof serviceNames[number];
export const callerHost = 'desk.example';
/** Time that the operator lets a request wait, in milliseconds. */
export const routeTimeoutMilliseconds = 1500;
export const mostAttempts = 2;

export type SoakUpstream = {
	readonly service: ServiceName;
	readonly standIn: platformUpstream.PlatformUpstream;
	readonly proxy: faultProxy.FaultProxy;
	/** Time at which the store took its leaving or its removal; undefined while it serves. */
	leftAt: number | undefined;
	isClosed: boolean;
};

/** A path and the time from which on, and up to which, a configuration routed it. */
export type RouteSpan = {
	readonly path: string;
	readonly isIdempotent: boolean;
	readonly service: ServiceName;
	readonly publishedAt: number;
	withdrawnAt: number | undefined;
};

export type SoakSite = {
	readonly store: storeStandIn.StoreStandIn;
	/** All upstreams that ever ran. */
	readonly upstreams: readonly SoakUpstream[];
	readonly routes: readonly RouteSpan[];
	/** Upstreams that serve now. */
	listServing(): readonly SoakUpstream[];
	startUpstream(service: ServiceName): Promise<SoakUpstream>;
	/** Tells the store that the upstream leaves; it goes on to serve for a while. */
	leave(upstream: SoakUpstream): void;
	/** Takes the upstream's entry out of the store. */
	remove(upstream: SoakUpstream): void;
	/** Ends the process of an upstream. */
	crash(upstream: SoakUpstream): Promise<void>;
	/** Publishes a configuration with one more route, and without the oldest one that was added. */
	changeConfiguration(): void;
	close(): Promise<void>;
};

const slots = 4;
const workMilliseconds = 20;
export const failureDomains = ['courthouse', 'riverside', 'pinehill'];
const registryTopic = 'keyed.servers';
const operatorTopic = 'keyed.op';
/** Added routes that are kept. */
const keptRoutes = 2;

/** Starts the store and the upstreams of a site, and publishes its first configuration. */
export async function startSite(upstreamsOfService: number): Promise<SoakSite> {
	const store = await storeStandIn.startStore();
	const upstreams: SoakUpstream[] = [];
	const routes: RouteSpan[] = [
		{
			path: '/read/', isIdempotent: true, service: 'desk', publishedAt: performance.now(), withdrawnAt: undefined,
		},
		{
			path: '/write/', isIdempotent: false, service: 'office', publishedAt: performance.now(), withdrawnAt: undefined,
		},
	];
	let version = 0;
	let serial = 0;

	function publish(): void {
		version += 3;
		store.put(operatorTopic, 'config', {
			version: version.toString(16).padStart(8, '0'),
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
			},
			listeners: [{
				host: callerHost,
				rules: routes.filter(({withdrawnAt}) => withdrawnAt === undefined).map(({path, isIdempotent, service}) => ({
					name: path,
					kind: isIdempotent ? 'idempotent' : 'non_idempotent',
					targetLatencyMs: 400,
					priority: isIdempotent ? 1 : 0,
					match: {pathPrefix: path},
					action: {service, timeoutMs: routeTimeoutMilliseconds, attempts: mostAttempts},
				})),
			}],
			clusters: serviceNames.map(name => ({name, healthPath: '/healthz', maxConns: 200})),
		});
	}

	async function startUpstream(service: ServiceName): Promise<SoakUpstream> {
		const id = `${service}-${++serial}`;
		const standIn = await platformUpstream.startPlatformUpstream(id, slots);
		standIn.setBehaviour({kind: 'answer', milliseconds: workMilliseconds});
		const [targetHost, targetPort] = standIn.address.split(':');
		const proxy = await faultProxy.createFaultProxy({targetHost: targetHost!, targetPort: Number(targetPort)});
		const upstream: SoakUpstream = {
			service, standIn, proxy, leftAt: undefined, isClosed: false,
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
			slots,
			state,
			coldLeftMs: 0,
			seq: state === 'ready' ? 1 : 2,
			born: 1,
		});
	}

	publish();
	for (const service of serviceNames) {
		for (let count = 0; count < upstreamsOfService; count++) {
			await startUpstream(service);
		}
	}

	return {
		store,
		upstreams,
		listServing: () => upstreams.filter(({leftAt, isClosed}) => leftAt === undefined && !isClosed),
		routes,
		startUpstream,
		leave(upstream) {
			register(upstream, 'draining');
			upstream.leftAt ??= performance.now();
			upstream.standIn.setLeaving(true);
		},
		remove(upstream) {
			store.put(registryTopic, upstream.standIn.id, undefined);
			upstream.leftAt ??= performance.now();
		},
		async crash(upstream) {
			if (!upstream.isClosed) {
				upstream.isClosed = true;
				await Promise.all([upstream.standIn.close(), upstream.proxy.close()]);
			}
		},
		changeConfiguration() {
			const added = routes.filter(({path, withdrawnAt}) => path.startsWith('/added-') && withdrawnAt === undefined);
			if (added.length >= keptRoutes) {
				added[0]!.withdrawnAt = performance.now();
			}

			routes.push({
				path: `/added-${++serial}/`, isIdempotent: true, service: serviceNames[serial % serviceNames.length]!, publishedAt: performance.now(), withdrawnAt: undefined,
			});
			publish();
		},
		async close() {
			await Promise.all(upstreams.filter(({isClosed}) => !isClosed).flatMap(({standIn, proxy}) => [standIn.close(), proxy.close()]));
			await store.close();
		},
	};
}
