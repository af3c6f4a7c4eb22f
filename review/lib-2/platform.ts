/** The desired state and the upstreams of a small deployment. */
import * as platformUpstream from '../../stand-ins/platform-upstream.ts';
import type * as storeStandIn from '../../stand-ins/store.ts';

export const host = 'ficu95.example';
export const zones = ['courthouse', 'riverside', 'pinehill'] as const;
export const service = 'appraisal-desk';
export const slots = 4;

const operatorTopic = 'keyed.op';
const registryTopic = 'keyed.servers';

/** Publishes a desired state with a route for reads, `/read/`, and one for writes, `/write/`; times and limits are those of the users' small deployment. */
export function publishRoutes(store: storeStandIn.StoreStandIn, version: number, {readTimeoutMilliseconds = 1500, writeTimeoutMilliseconds = 2000} = {}): void {
	store.put(operatorTopic, 'config', {
		version: version.toString(16).padStart(8, '0'),
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		listeners: [{
			host,
			rules: [
				{
					name: 'r-read', kind: 'idempotent', targetLatencyMs: 400, priority: 2, match: {pathPrefix: '/read/'}, action: {service, timeoutMs: readTimeoutMilliseconds, attempts: 2},
				},
				{
					name: 'r-write', kind: 'non_idempotent', targetLatencyMs: 500, priority: 1, match: {pathPrefix: '/write/'}, action: {service, timeoutMs: writeTimeoutMilliseconds, attempts: 2},
				},
			],
		}],
		clusters: [{name: service, healthPath: '/healthz', maxConns: 220}],
	});
}

export type RegisteredUpstream = {
	readonly standIn: platformUpstream.PlatformUpstream;
	readonly zone: string;
	/** Renews the registration; returns the acknowledgement's time. */
	register(): void;
	/** Removes the registration. */
	remove(): number;
};

/** Starts an upstream that answers after some time, and registers it. */
export async function startUpstream(store: storeStandIn.StoreStandIn, id: string, zone: string, milliseconds: number): Promise<RegisteredUpstream> {
	const standIn = await platformUpstream.startPlatformUpstream(id, slots);
	standIn.setBehavior({kind: 'answer', milliseconds});
	const born = Date.now();
	let sequence = 0;
	let isRemoved = false;
	const register = () => {
		if (!isRemoved) {
			store.put(registryTopic, id, {
				service, addr: standIn.address, zone, version: 'v1', slots, state: 'ready', coldLeftMs: 0, seq: ++sequence, born,
			});
		}
	};

	register();
	return {
		standIn,
		zone,
		register,
		remove() {
			isRemoved = true;
			store.put(registryTopic, id, undefined);
			return performance.now();
		},
	};
}
