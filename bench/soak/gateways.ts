/** The gateways of a soak: real processes, each on a loopback address of its own, whose way to the store passes a proxy. */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as faultProxy from '../../stand-ins/fault-proxy.ts';
import * as processes from '../faults/processes.ts';

export type SoakGateway = {
	readonly name: string;
	/** Host and port for callers. */
	readonly front: string;
	/** Host and port that tells callers which gateways to use. */
	readonly directory: string;
	/** What was done to the process, in the order of time. */
	readonly disturbances: Disturbance[];
	/** Sets the faults on its way to the store; none mends it. */
	cutFromStore(faults: Partial<faultProxy.FaultProxyFaults>): void;
	signal(name: 'SIGHUP' | 'SIGSTOP' | 'SIGCONT'): void;
	/** Ends the process and starts it anew after a pause. */
	restart(signal: 'SIGKILL' | 'SIGTERM', pauseMilliseconds: number): Promise<void>;
	/** Ends the process for good. */
	stop(): Promise<void>;
	/** Times that the process ended without a signal of the soak. */
	countOwnEnds(): number;
};

export type Disturbance = {
	readonly kind: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP' | 'ended' | 'started' | 'cut-from-store';
	/** Milliseconds of the monotonic clock. */
	readonly at: number;
};

export type SoakGatewaysOptions = {
	readonly count: number;
	readonly failureDomains: readonly string[];
	readonly storeAddress: string;
	readonly folder: string;
};

/** Time from the signal to stop until the process is killed, in milliseconds, as on the platform. */
export const graceMilliseconds = 6000;
const ports = {
	front: 8144, ready: 8140, control: 8146, directory: 8143,
} as const;
const seedCount = 3;
/** Networks of the loopback range that the gateways of a run share; each has room for 254 of them. */
const firstNetwork = 64;
const lastNetwork = 192;
const largestOctet = 255;

/** Starts the gateways; resolves when all have written their first line. */
export async function startGateways(options: SoakGatewaysOptions): Promise<readonly SoakGateway[]> {
	// Drawn anew for each run, since gateways of a run that was killed may still hold theirs.
	const network = `127.${crypto.randomInt(firstNetwork, lastNetwork)}.${crypto.randomInt(largestOctet)}`;
	const hosts = Array.from({length: options.count}, (_value, index) => `${network}.${1 + index}`);
	return Promise.all(hosts.map(async (host, index) => startGateway(options, hosts, {host, index})));
}

async function startGateway(options: SoakGatewaysOptions, hosts: readonly string[], {host, index}: {readonly host: string; readonly index: number}): Promise<SoakGateway> {
	const name = `gateway-${index + 1}`;
	const [storeHost, storePort] = options.storeAddress.split(':');
	const storeProxy = await faultProxy.createFaultProxy({targetHost: storeHost!, targetPort: Number(storePort)});
	const settingsFile = path.join(options.folder, `${name}.json`);
	const logFile = path.join(options.folder, `${name}.log`);
	const disturbances: Disturbance[] = [];
	const note = (kind: Disturbance['kind']) => {
		disturbances.push({kind, at: performance.now()});
	};

	fs.writeFileSync(settingsFile, JSON.stringify({
		node: name,
		zone: options.failureDomains[index % options.failureDomains.length],
		region: 'east',
		listen: Object.fromEntries(Object.entries(ports).map(([key, port]) => [key, `${host}:${port}`])),
		seeds: hosts.slice(0, seedCount).map(seed => `${seed}:${ports.control}`),
		bounds: [`graceS=${graceMilliseconds / 1000}`, 'retryRatio=0.2', 'retryWindowS=10', 'retrySlack=58', 'probesPerS=60', 'ttl_max_s=5'],
		platform: {addr: `${storeProxy.host}:${storeProxy.port}`},
	}));
	let isStopping = false;
	let ownEnds = 0;
	let child: processes.Child;
	let restarting = Promise.resolve();

	async function start(): Promise<void> {
		child = await processes.startChild({
			program: 'dist/fescuering-gateway.mjs', arguments: ['--settings', settingsFile], logFile, onLine(line) {
				fs.appendFileSync(logFile, `${line}\n`);
			},
		});
		note('started');
		if (child.readyLine.includes('event=gateway-crashed')) {
			throw new Error(`${name} did not start: ${child.readyLine}`);
		}

		fs.appendFileSync(logFile, `${child.readyLine}\n`);
		const started = child;
		void started.exited.then(() => {
			if (!isStopping && started === child) {
				ownEnds++;
			}
		});
	}

	async function end(signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
		isStopping = true;
		note(signal);
		child.signal('SIGCONT');
		child.signal(signal);
		const timer = setTimeout(() => {
			child.signal('SIGKILL');
		}, graceMilliseconds);
		await child.exited;
		clearTimeout(timer);
		note('ended');
	}

	await start();
	return {
		name,
		front: `${host}:${ports.front}`,
		directory: `${host}:${ports.directory}`,
		disturbances,
		cutFromStore(faults) {
			note('cut-from-store');
			storeProxy.setFaults(faults);
		},
		signal(signal) {
			note(signal);
			child.signal(signal);
		},
		async restart(signal, pauseMilliseconds) {
			// Restarts come one after the other; a second signal while the process ends changes nothing.
			restarting = restarting.then(async () => {
				await end(signal);
				await new Promise(resolve => {
					setTimeout(resolve, pauseMilliseconds);
				});
				isStopping = false;
				await start();
			});
			return restarting;
		},
		async stop() {
			await restarting;
			await end('SIGKILL');
			await storeProxy.close();
		},
		countOwnEnds: () => ownEnds,
	};
}
