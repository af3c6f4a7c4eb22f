/** Starts gateways with the real platform adapter in this process, against stand-ins for the store and the upstreams. */
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as freePorts from '../../bench/faults/free-ports.ts';
import * as createPlatform from '../../platform/create-platform.ts';
import * as platformSettings from '../../platform/settings.ts';
import * as createGateway from '../../src/gateway/create-gateway.ts';
import type * as types from '../../src/gateway/types.ts';
import type * as logger from '../../src/observability/logger.ts';
import * as gatewayMetrics from '../../src/observability/gateway-metrics.ts';
import type * as platformUpstream from '../../stand-ins/platform-upstream.ts';
import type * as storeStandIn from '../../stand-ins/store.ts';

/** Host name of all routes. */
export const host = 'desk.example';

/** Creates a configuration as operators publish it, with one service `desk`; `/credit/` is not idempotent. */
export function createConfiguration(version: number, paths: readonly string[] = ['/price/', '/credit/'], timeoutMilliseconds = 1500) {
	return {
		version: version.toString(16).padStart(8, '0'),
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		listeners: [{
			host,
			rules: paths.map(pathPrefix => ({
				name: pathPrefix, kind: pathPrefix === '/credit/' ? 'non_idempotent' : 'idempotent', targetLatencyMs: 400, priority: 1, match: {pathPrefix}, action: {service: 'desk', timeoutMs: timeoutMilliseconds, attempts: 2},
			})),
		}],
		clusters: [{
			name: 'desk', healthPath: '/healthz', maxConns: 200, protocol: 'h1', tls: false,
		}],
	};
}

/** Publishes the registration of an upstream. */
export function register(store: storeStandIn.StoreStandIn, upstream: Pick<platformUpstream.PlatformUpstream, 'id' | 'address'>, changes: Readonly<Record<string, unknown>> = {}): void {
	store.put('keyed.servers', upstream.id, {
		service: 'desk', addr: upstream.address, zone: 'riverside', version: 'v1', slots: 4, state: 'ready', coldLeftMs: 0, seq: 1, born: 1000, ...changes,
	});
}

/** A gateway of this process and its addresses. */
export type RunningGateway = {readonly gateway: createGateway.Gateway; readonly front: string; readonly directory: string; readonly ready: string; readonly peers: string};

export type GatewayOptions = {
	readonly name: string;
	readonly storeAddress: string;
	readonly seeds?: readonly string[];
	/** Address for the other gateways; a free port by default. */
	readonly peers?: string | undefined;
	readonly failureDomain?: string | undefined;
	/** Local address of the connections to upstreams. */
	readonly localAddress?: string | undefined;
	/** Receives the log lines; none by default. */
	readonly logger?: logger.Logger;
	/** Port of the metrics; a free one by default. */
	readonly metricsPort?: number;
	/** Replaces functions that read and create the headers of the platform. */
	changeHeaders?(headers: types.HeaderHost): types.HeaderHost;
};

const silentLogger: logger.Logger = {
	error: () => undefined, warn: () => undefined, info: () => undefined, debug: () => undefined,
};

/** Starts a gateway; resolves before it has a configuration. */
export async function startGateway(options: GatewayOptions): Promise<RunningGateway> {
	const {name, storeAddress} = options;
	const ports = await freePorts.findFreePorts(4);
	const [front, ready, freeControl, directory] = ports.map(port => `127.0.0.1:${port}`);
	const control = options.peers ?? freeControl;
	const settings = platformSettings.decodePlatformSettings({
		node: name,
		zone: options.failureDomain ?? 'riverside',
		region: 'east',
		listen: {
			front, ready, control, directory,
		},
		seeds: options.seeds ?? [],
		bounds: ['graceS=1', 'retryRatio=0.2', 'retryWindowS=10', 'retrySlack=58', 'probesPerS=60', 'ttl_max_s=5', 'unknown=true'],
		platform: {addr: storeAddress, unknown: 1},
		unknown: 'ignored',
	})._unsafeUnwrap();
	const getNow = () => performance.now();
	const platform = createPlatform.createPlatform(storeAddress, getNow, () => undefined);
	const gateway = await createGateway.createGateway(settings, {
		platform: {...platform, headers: options.changeHeaders?.(platform.headers) ?? platform.headers},
		logger: options.logger ?? silentLogger,
		metrics: gatewayMetrics.createGatewayMetrics(),
		metricsPort: options.metricsPort ?? 0,
		getNow,
		getWallTime: () => Date.now(),
		localAddress: options.localAddress,
	});
	return {
		gateway, front: front!, directory: directory!, ready: ready!, peers: control!,
	};
}

/** Answer to a caller. */
export type Answer = {readonly status: number; readonly headers: http.IncomingHttpHeaders; readonly body: string; readonly id: string};

/** Sends a request on a connection of its own. */
export async function send(address: string, path: string, method = 'GET', body = '', headers: http.OutgoingHttpHeaders = {}): Promise<Answer> {
	const id = crypto.randomBytes(8).toString('hex');
	return new Promise((resolve, reject) => {
		const request = http.request(`http://${address}${path}`, {
			method, agent: false, headers: {
				host, 'attempt-id': id, 'deadline-ms': '2000', ...(body === '' ? {} : {'content-length': String(body.length)}), ...headers,
			},
		}, response => {
			let text = '';
			response.on('data', chunk => {
				text += String(chunk);
			});
			response.on('end', () => {
				resolve({
					status: response.statusCode ?? 0, headers: response.headers, body: text, id,
				});
			});
			response.on('error', reject);
		});
		request.on('error', reject);
		request.end(body);
	});
}

/** Waits until a condition holds. */
export async function waitUntil(condition: () => Promise<boolean> | boolean): Promise<void> {
	for (let count = 0; count < 600; count++) {
		if (await condition()) {
			return;
		}

		await timers.setTimeout(20);
	}

	throw new Error('The condition did not become true within 600 checks.');
}

/** Whether a gateway serves callers. */
export const isReady = async ({ready}: Pick<RunningGateway, 'ready'>) => {
	const answer = await send(ready, '/api/ready');
	return answer.status === 200;
};
