/** Gateways of a soak: real processes, each on its own loopback address, that connect to the store through a fault proxy. */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as faultProxy from '../../stand-ins/fault-proxy.ts';
import * as processes from '../faults/processes.ts';

export type SoakGateway = {
	readonly name: string;
	readonly failureDomain: string;
	/** Host of all its connections. */
	readonly host: string;
	/** Host and port for callers. */
	readonly callerAddress: string;
	/** Host and port of the directory, which lists the gateways to connect to. */
	readonly directoryAddress: string;
	/** Signals, exits, starts and store faults of the gateway, in order of time. */
	readonly disturbances: Disturbance[];
	/** Times at which its processes logged that they leave. */
	readonly leavingTimes: readonly number[];
	/** Sets the faults of the connections to the store; an empty object clears them. */
	setStoreConnectionFaults(faults: Partial<faultProxy.FaultProxyFaults>): void;
	/** Records that a partition from all upstreams begins or ends. */
	recordPartition(): void;
	signal(name: 'SIGHUP' | 'SIGSTOP' | 'SIGCONT'): void;
	/** Ends the process with a series of signals and starts a new one after a pause; `onFirstSignal` is called as the series begins. */
	restart(series: SignalSeries | readonly PlannedSignal[], pauseMilliseconds: number, onFirstSignal?: () => void): Promise<void>;
	/** Kills the process and closes its proxy; the gateway is not restarted. */
	stop(): Promise<void>;
	/** Counts the exits of the process that no signal of the soak caused. */
	countUnexpectedExits(): number;
};

export type PlannedSignal = {readonly name: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'; readonly afterMilliseconds: number};

export type Disturbance = {
	readonly kind: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP' | 'grace-over' | 'ended' | 'started' | 'cut-from-store' | 'cut-from-upstreams';
	/** Time in milliseconds of the monotonic clock. */
	readonly at: number;
};

export type SoakGatewaysOptions = {
	/** Number of gateways. */
	readonly count: number;
	readonly failureDomains: readonly string[];
	/** Host and port of the store. */
	readonly storeAddress: string;
	/** Folder for settings files and log files. */
	readonly folder: string;
};

/** Time between the stop signal and the kill of the process, in milliseconds, as on the platform. */
export const stopGraceMilliseconds = 6000;
/** Signals that end a process, with their times after the first. Those after the first SIGTERM may have no effect. */
const signalSeries = {
	kill: [{name: 'SIGKILL', afterMilliseconds: 0}],
	stop: [{name: 'SIGTERM', afterMilliseconds: 0}, {name: 'SIGHUP', afterMilliseconds: 20}, {name: 'SIGTERM', afterMilliseconds: 100}, {name: 'SIGTERM', afterMilliseconds: 1500}],
	'stop-after-rereads': [{name: 'SIGHUP', afterMilliseconds: 0}, {name: 'SIGHUP', afterMilliseconds: 150}, {name: 'SIGTERM', afterMilliseconds: 300}, {name: 'SIGTERM', afterMilliseconds: 300}, {name: 'SIGHUP', afterMilliseconds: 300}, {name: 'SIGTERM', afterMilliseconds: 400}],
	'stop-and-reread': [{name: 'SIGTERM', afterMilliseconds: 0}, {name: 'SIGHUP', afterMilliseconds: 0}],
	'stop-with-pauses': [
		{name: 'SIGTERM', afterMilliseconds: 0}, {name: 'SIGSTOP', afterMilliseconds: 100}, {name: 'SIGHUP', afterMilliseconds: 500}, {name: 'SIGCONT', afterMilliseconds: 1000}, {name: 'SIGSTOP', afterMilliseconds: 1200}, {name: 'SIGCONT', afterMilliseconds: 1500},
	],
} as const;
export type SignalSeries = keyof typeof signalSeries;
const listenPorts = {
	front: 8144, ready: 8140, control: 8146, directory: 8143,
} as const;
const leavingPattern = /time=(?<time>\S+) .*event=gateway-leaving /v;
const seedGatewayCount = 3;
/** Range of the second octet of the loopback network that the gateways of a run share; a network has 254 addresses. */
const firstNetwork = 64;
const lastNetwork = 192;
const maximumOctet = 255;

/** Starts the gateways; resolves once each has printed its first line. */
export async function startGateways(options: SoakGatewaysOptions): Promise<readonly SoakGateway[]> {
	// Each run uses a random network, since gateways left over from a killed run may still listen on their addresses.
	const network = `127.${crypto.randomInt(firstNetwork, lastNetwork)}.${crypto.randomInt(maximumOctet)}`;
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
	const leavingTimes: number[] = [];
	const failureDomain = options.failureDomains[index % options.failureDomains.length]!;
	const recordDisturbance = (kind: Disturbance['kind']) => {
		disturbances.push({kind, at: performance.now()});
	};

	fs.writeFileSync(settingsFile, JSON.stringify({
		node: name,
		zone: failureDomain,
		region: 'east',
		listen: Object.fromEntries(Object.entries(listenPorts).map(([key, port]) => [key, `${host}:${port}`])),
		seeds: hosts.slice(0, seedGatewayCount).map(seed => `${seed}:${listenPorts.control}`),
		bounds: [`graceS=${stopGraceMilliseconds / 1000}`, 'retryRatio=0.2', 'retryWindowS=10', 'retrySlack=58', 'probesPerS=60', 'ttl_max_s=5'],
		platform: {addr: `${storeProxy.host}:${storeProxy.port}`},
	}));
	let isStopping = false;
	let unexpectedExits = 0;
	let child: processes.Child;
	let pendingRestart = Promise.resolve();

	async function startProcess(): Promise<void> {
		child = await processes.startChild({
			program: 'dist/fescuering-gateway.mjs', arguments: ['--settings', settingsFile, '--source-address', host], logFile, onLine(line) {
				fs.appendFileSync(logFile, `${line}\n`);
				const loggedAt = leavingPattern.exec(line)?.groups?.time;
				if (loggedAt !== undefined) {
					leavingTimes.push(Date.parse(loggedAt) - performance.timeOrigin);
				}
			},
		});
		recordDisturbance('started');
		if (child.readyLine.includes('event=gateway-crashed')) {
			throw new Error(`${name} did not start: ${child.readyLine}`);
		}

		fs.appendFileSync(logFile, `${child.readyLine}\n`);
		const startedChild = child;
		void startedChild.exited.then(() => {
			if (!isStopping && startedChild === child) {
				unexpectedExits++;
			}
		});
	}

	async function endProcess(signals: readonly PlannedSignal[]): Promise<void> {
		child.signal('SIGCONT');
		let hasStopped = false;
		const sendSignal = (name: PlannedSignal['name']) => {
			// A stop begins at its first signal.
			const isRepeated = name === 'SIGTERM' && hasStopped;
			hasStopped ||= name === 'SIGTERM';
			isStopping ||= name === 'SIGTERM' || name === 'SIGKILL';
			if (!isRepeated) {
				recordDisturbance(name);
			}

			child.signal(name);
		};

		const repeats = signals.filter(({afterMilliseconds}) => afterMilliseconds > 0).map(({name, afterMilliseconds}) => setTimeout(sendSignal, afterMilliseconds, name));
		for (const {name} of signals.filter(({afterMilliseconds}) => afterMilliseconds === 0)) {
			sendSignal(name);
		}

		const stopsAfter = signals.find(({name}) => name === 'SIGTERM')?.afterMilliseconds ?? 0;
		const timer = setTimeout(() => {
			recordDisturbance('grace-over');
			child.signal('SIGKILL');
		}, stopsAfter + stopGraceMilliseconds);
		await child.exited;
		for (const repeat of [timer, ...repeats]) {
			clearTimeout(repeat);
		}

		recordDisturbance('ended');
	}

	await startProcess();
	return {
		name,
		failureDomain,
		host,
		callerAddress: `${host}:${listenPorts.front}`,
		directoryAddress: `${host}:${listenPorts.directory}`,
		disturbances,
		leavingTimes,
		setStoreConnectionFaults(faults) {
			recordDisturbance('cut-from-store');
			storeProxy.setFaults(faults);
		},
		recordPartition() {
			recordDisturbance('cut-from-upstreams');
		},
		signal(signal) {
			recordDisturbance(signal);
			child.signal(signal);
		},
		async restart(series, pauseMilliseconds, onFirstSignal) {
			// Restarts are serialized, since a second stop signal has no effect on a process that is already ending.
			pendingRestart = pendingRestart.then(async () => {
				onFirstSignal?.();
				await endProcess(typeof series === 'string' ? signalSeries[series] : series);
				await new Promise(resolve => {
					setTimeout(resolve, pauseMilliseconds);
				});
				isStopping = false;
				await startProcess();
			});
			return pendingRestart;
		},
		async stop() {
			await pendingRestart;
			await endProcess(signalSeries.kill);
			await storeProxy.close();
		},
		countUnexpectedExits: () => unexpectedExits,
	};
}
