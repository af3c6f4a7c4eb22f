/** A fleet of gateways with upstreams in three failure domains, and a steady load on it. */
import * as timers from 'node:timers/promises';
import * as platformUpstream from '../../stand-ins/platform-upstream.ts';
import * as storeStandIn from '../../stand-ins/store.ts';
import * as gateways from './gateways.ts';

/** An answer and the gateway that gave it. */
export type FleetAnswer = gateways.Answer & {
	/** Position of the gateway in the fleet. */
	readonly gateway: number;
	readonly milliseconds: number;
};

/** Local address of a gateway's connections to upstreams, by which the upstreams tell the gateways apart. */
export const getLocalAddress = (gateway: number) => `127.0.1.${gateway + 1}`;

const failureDomains = ['riverside', 'hillside', 'lakeside'];

/** A store, its upstreams and gateways, all in this process. */
export type Fleet = {
	readonly store: storeStandIn.StoreStandIn;
	/** Starts upstreams in each failure domain, one by default. */
	startUpstreams(countInDomain?: number): Promise<readonly platformUpstream.PlatformUpstream[]>;
	/** Starts gateways that are spread over the failure domains and know each other. */
	startGateways(count: number): Promise<readonly gateways.RunningGateway[]>;
	/** Registers a function that is called at the end. */
	addCleanup(cleanup: () => Promise<void>): void;
	close(): Promise<void>;
};

/** Starts a store with a configuration. */
export async function startFleet(): Promise<Fleet> {
	const store = await storeStandIn.startStore();
	const cleanups = [store.close];
	store.put('keyed.op', 'config', gateways.createConfiguration(4));
	return {
		store,
		startUpstreams: async (countInDomain = 1) => Promise.all(Array.from({length: countInDomain * failureDomains.length}, async (_value, index) => {
			const upstream = await platformUpstream.startPlatformUpstream(`i-${index + 1}`);
			cleanups.push(upstream.close);
			gateways.register(store, upstream, {zone: failureDomains[index % failureDomains.length]});
			return upstream;
		})),
		async startGateways(count) {
			const running: gateways.RunningGateway[] = [];
			for (let index = 0; index < count; index++) {
				const gateway = await gateways.startGateway({
					name: `edge-${index + 1}`, storeAddress: store.address, seeds: running.slice(0, 1).map(({peers}) => peers), failureDomain: failureDomains[index % failureDomains.length], localAddress: getLocalAddress(index),
				});
				cleanups.push(gateway.gateway.leave);
				running.push(gateway);
			}

			await gateways.waitUntil(async () => {
				const states = await Promise.all(running.map(async gateway => gateways.isReady(gateway)));
				return states.every(Boolean);
			});
			return running;
		},
		addCleanup(cleanup) {
			cleanups.push(cleanup);
		},
		async close() {
			for (const cleanup of cleanups.splice(0).toReversed()) {
				await cleanup();
			}
		},
	};
}

/** Sends requests at a steady rate to the gateways in turn; the returned function stops that and returns the answers. */
export function startLoad(running: readonly gateways.RunningGateway[], requestsPerSecond: number, method = 'GET'): () => Promise<readonly FleetAnswer[]> {
	const answers: Array<Promise<FleetAnswer>> = [];
	const timer = setInterval(() => {
		const sentAt = performance.now();
		const gateway = answers.length % running.length;
		const answer = gateways.send(running[gateway]!.front, method === 'GET' ? '/price/1' : '/credit/1', method);
		answers.push(answer.then(result => ({...result, gateway, milliseconds: performance.now() - sentAt})));
	}, 1000 / requestsPerSecond);
	return async () => {
		clearInterval(timer);
		return Promise.all(answers);
	};
}

/** Sends requests at a steady rate for a time. */
export async function startLoadFor(running: readonly gateways.RunningGateway[], requestsPerSecond: number, milliseconds: number, method = 'GET'): Promise<readonly FleetAnswer[]> {
	const stopLoad = startLoad(running, requestsPerSecond, method);
	await timers.setTimeout(milliseconds);
	return stopLoad();
}
