/** Starts gateways as processes with the command of the deploy file, each on a loopback address of its own. */
import * as childProcess from 'node:child_process';
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as path from 'node:path';
import process from 'node:process';

const ports = {
	front: 8144, ready: 8140, control: 8146, directory: 8143,
};
/** Port of the metrics, from the deploy file. */
const metricsPort = 9464;
/** Bounds of the smaller deployment of the county. */
const bounds = 'seedLagS=3 reuseAfterS=2 stableWindowMs=3000 ackMs=4000 catchupS=4 drainMs=2000 graceS=6 lostSlackMs=200 configMs=2000 '
	+ 'rollbackSlackMs=250 stretchMaxMs=5000 retryRatio=0.2 retryWindowS=10 retrySlack=58 recoveryS=15 ttl_max_s=5 probesPerS=60';
const command = ['--max-old-space-size=160', '--max-semi-space-size=8', 'target/fescuering-gateway.cjs'];

async function canListen(host, port) {
	return new Promise(resolve => {
		const server = net.createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Finds a network of free loopback addresses. */
export async function findNetwork(count) {
	for (let attempt = 0; attempt < 50; attempt++) {
		const network = `127.${crypto.randomInt(20, 250)}.${crypto.randomInt(1, 250)}`;
		const hosts = Array.from({length: count}, (_value, index) => `${network}.${index + 1}`);
		const results = await Promise.all(hosts.flatMap(host => [...Object.values(ports), metricsPort].map(port => canListen(host, port))));
		if (!results.includes(false)) {
			return hosts;
		}
	}

	throw new Error('no free loopback network');
}

export const getControlAddress = host => `${host}:${ports.control}`;

/** Settings of a process in the format of DEPLOY.md, with the figures of the smaller deployment of the county. */
function createSettings({name, host, zone, zones, seeds, isFirstStart, storeAddress}) {
	return {
		node: name,
		role: 'gateway',
		class: 'edge',
		serves: ['edge', 'control', 'registry'],
		ip: host,
		zone,
		region: 'dixie-east',
		zones: Object.fromEntries(zones.map(key => [key, 'dixie-east'])),
		listen: Object.fromEntries(Object.entries(ports).map(([key, port]) => [key, `${host}:${port}`])),
		portRange: [7660, 7675],
		seeds,
		bootstrap: isFirstStart,
		countsAsLoss: false,
		limits: {
			cpuShare: 0.54, cores: 1, memoryLimitMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0,
		},
		dataDir: null,
		discovery: 'platform',
		entry: 'registry',
		heartbeatIntervalMs: 1500,
		contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'health', 'platform'],
		tolerate: {machines: 1, zones: 0, regions: 0},
		bounds: bounds.split(' '),
		platform: {
			addr: storeAddress,
			form: 'log',
			writesPerS: 400,
			readsPerS: 2000,
			parts: 8,
			appendMs: 4,
			partMbS: 20,
			readMbS: 80,
			recordBytes: 262_144,
			callBytes: 2_097_152,
			...JSON.parse('{"keep_s": 300}'),
			partMb: 200,
			ttlMinMs: 1000,
		},
	};
}

/** Starts one gateway. */
export async function startGateway({name, host, zone, zones, seeds, isFirstStart, storeAddress, folder, note}) {
	const settingsFile = path.join(folder, `${name}.json`);
	const settings = createSettings({
		name, host, zone, zones, seeds, isFirstStart, storeAddress,
	});
	fs.writeFileSync(settingsFile, JSON.stringify(settings));
	const gateway = {
		name, host, zone, front: `${host}:${ports.front}`, directory: `${host}:${ports.directory}`, isRunning: false, unexpectedExits: 0, child: undefined, exited: undefined,
	};
	const logFile = path.join(folder, `${name}.log`);
	gateway.start = () => {
		const log = fs.openSync(logFile, 'a');
		const child = childProcess.spawn(process.execPath, command, {
			stdio: ['ignore', log, log],
			env: {PATH: process.env.PATH, HOME: process.env.HOME, FESCUERING_CONFIG: settingsFile},
		});
		fs.closeSync(log);
		gateway.child = child;
		gateway.isRunning = true;
		gateway.isStopping = false;
		gateway.exited = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				gateway.isRunning = false;
				note('gateway-ended', {gateway: name, code, signal});
				if (!gateway.isStopping) {
					gateway.unexpectedExits++;
				}

				resolve();
			});
		});
		note('gateway-started', {gateway: name});
	};

	gateway.signal = signal => {
		gateway.isStopping = signal === 'SIGTERM' || signal === 'SIGKILL';
		note('signal', {gateway: name, signal});
		gateway.child.kill(signal);
	};

	gateway.readLog = () => fs.readFileSync(logFile, 'utf8');
	gateway.start();
	return gateway;
}
