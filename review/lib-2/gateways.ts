/** Starts gateways as separate processes, with the command of the deploy file and settings like those of a small deployment. */
import * as childProcess from 'node:child_process';
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as path from 'node:path';
import process from 'node:process';

export type GatewayOptions = {
	readonly name: string;
	readonly zone: string;
	/** Loopback address of the gateway alone. */
	readonly host: string;
	/** Host and port of the store, or of a link to it. */
	readonly storeAddress: string;
	/** Peer addresses of the first gateways. */
	readonly seeds: readonly string[];
	/** Folder for the settings and the log. */
	readonly folder: string;
	readonly ports: GatewayPorts;
};

export type GatewayPorts = {readonly front: number; readonly ready: number; readonly control: number; readonly directory: number};

export type Gateway = {
	readonly name: string;
	readonly front: string;
	readonly ready: string;
	signal(name: NodeJS.Signals): void;
	/** Whether the process has ended by itself. */
	hasEnded(): boolean;
	stop(): Promise<void>;
};

const bounds = [
	'seedLagS=3',
	'reuseAfterS=2',
	'stableWindowMs=3000',
	'ackMs=4000',
	'catchupS=4',
	'drainMs=2000',
	'graceS=6',
	'lostSlackMs=200',
	'configMs=2000',
	'rollbackSlackMs=250',
	'stretchMaxMs=5000',
	'retryRatio=0.2',
	'retryWindowS=10',
	'retrySlack=58',
	'recoveryS=15',
	'ttl_max_s=5',
	'probesPerS=60',
];
const program = ['--max-old-space-size=160', '--max-semi-space-size=8', 'target/fescuering-gateway.cjs'];

/** Processes that were started and have not ended. */
const children = new Set<childProcess.ChildProcess>();

process.once('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

/** Draws a loopback network for one run; gateways of other runs may listen on other ones. */
export function drawNetwork(): string {
	return `127.${crypto.randomInt(64, 192)}.${crypto.randomInt(255)}`;
}

/** Finds ports that are free on a host. */
export async function findPorts(host: string): Promise<GatewayPorts> {
	const servers = await Promise.all(Array.from({length: 4}, async () => {
		const server = net.createServer();
		await new Promise<void>(resolve => {
			server.listen(0, host, resolve);
		});
		return server;
	}));
	const [front, ready, control, directory] = servers.map(server => {
		const address = server.address();
		return typeof address === 'object' && address ? address.port : 0;
	});
	for (const server of servers) {
		server.close();
	}

	return {
		front: front!, ready: ready!, control: control!, directory: directory!,
	};
}

/** Starts one gateway. */
export function startGateway(options: GatewayOptions): Gateway {
	const {name, zone, host, storeAddress, seeds, folder, ports} = options;
	const settingsFile = path.join(folder, `${name}.json`);
	fs.writeFileSync(settingsFile, JSON.stringify({
		node: name,
		role: 'gateway',
		class: 'edge',
		serves: ['edge', 'control', 'registry'],
		ip: host,
		zone,
		region: 'dixie-east',
		zones: {courthouse: 'dixie-east', riverside: 'dixie-east', pinehill: 'dixie-east'},
		listen: Object.fromEntries(Object.entries(ports).map(([key, port]) => [key, `${host}:${port}`])),
		seeds,
		bootstrap: true,
		limits: {
			cpuShare: 0.54, cores: 1, memoryLimitMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0,
		},
		dataDir: null,
		discovery: 'platform',
		entry: 'registry',
		heartbeatIntervalMs: 1500,
		bounds,
		platform: {
			addr: storeAddress, form: 'log', writesPerS: 400, readsPerS: 2000,
		},
	}));
	const log = fs.openSync(path.join(folder, `${name}.log`), 'a');
	const child = childProcess.spawn(process.execPath, program, {
		env: Object.fromEntries([['PATH', process.env.PATH], ['FESCUERING_CONFIG', settingsFile]]),
		stdio: ['ignore', log, log],
	});
	fs.closeSync(log);
	children.add(child);
	let isStopping = false;
	let hasEnded = false;
	const exited = new Promise<void>(resolve => {
		child.once('exit', () => {
			children.delete(child);
			hasEnded = !isStopping;
			resolve();
		});
	});
	return {
		name,
		front: `${host}:${ports.front}`,
		ready: `${host}:${ports.ready}`,
		signal(signal) {
			child.kill(signal);
		},
		hasEnded: () => hasEnded,
		async stop() {
			isStopping = true;
			child.kill('SIGCONT');
			child.kill('SIGKILL');
			await exited;
		},
	};
}

/** Waits until gateways report that they are ready; returns whether they did. */
export async function waitUntilReady(gateways: readonly Gateway[], milliseconds: number): Promise<boolean> {
	const endsAt = performance.now() + milliseconds;
	for (const {ready} of gateways) {
		while (!await isReady(ready)) {
			if (performance.now() >= endsAt) {
				return false;
			}

			await new Promise(resolve => {
				setTimeout(resolve, 50);
			});
		}
	}

	return true;
}

async function isReady(address: string): Promise<boolean> {
	try {
		const response = await fetch(`http://${address}/api/ready`);
		await response.arrayBuffer();
		return response.status === 200;
	} catch {
		return false;
	}
}
