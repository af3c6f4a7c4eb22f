/** Starts a small cluster of real processes with fault proxies between them, and injects faults into it. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as undici from 'undici';
import {assertNever} from '../../src/decisions/assert-never.ts';
import {createFaultProxy, type FaultProxy, type FaultProxyFaults} from '../../stand-ins/fault-proxy.ts';
import {createEntrySettings} from './entry-settings.ts';
import {type Fault} from './fault-plan.ts';
import {findFreePorts} from './free-ports.ts';
import {type Child, startChild} from './processes.ts';

export const serviceName = 'payout-office';
export const entryCount = 3;
export const upstreamCount = 4;

const host = '127.0.0.1';
const restartMilliseconds = 500;
const readyTimeoutMilliseconds = 15_000;
const instanceListLagMilliseconds = 30_000;
const failureDomains = ['courthouse', 'riverside', 'pinehill'];

export type Cluster = {
	/** Host and port of each entry for callers. */
	readonly entryAddresses: readonly string[];
	/** Number of runs of each key, summed over all upstreams and their restarts. */
	readonly runCounts: ReadonlyMap<string, number>;
	/** Folder of the log files and settings files of all processes. */
	readonly logFolder: string;
	/** Starts a fault; resolves once it is in effect. */
	startFault(fault: Fault): Promise<void>;
	/** Ends a fault; resolves once a stopped process has restarted. */
	endFault(fault: Fault): Promise<void>;
	close(): Promise<void>;
};

type Program = {
	child: Child;
	readonly restart: () => Promise<Child>;
	/** Number of active faults that keep the program stopped. */
	activeStopFaults: number;
	/** Resolves once the latest restart is complete. */
	latestRestart: Promise<void>;
};

/** Starts the cluster from the bundled programs of a folder; resolves once every entry serves. */
export async function startCluster(programFolder = 'dist'): Promise<Cluster> {
	const logFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'fescuering-faults-'));
	const runCounts = new Map<string, number>();
	const ports = await findFreePorts(2 + upstreamCount + (entryCount * 2));
	const logPort = ports[0]!;
	const instanceListPort = ports[1]!;
	const upstreamPorts = ports.slice(2, 2 + upstreamCount);
	const entryPorts = ports.slice(2 + upstreamCount, 2 + upstreamCount + entryCount);
	const peerPorts = ports.slice(2 + upstreamCount + entryCount);

	const startProgram = async (name: string, program: string, flags: readonly string[], onLine?: (line: string) => void): Promise<Program> => {
		const restart = async () => startChild({
			program: path.join(programFolder, program), arguments: flags, logFile: path.join(logFolder, `${name}.log`), ...(onLine ? {onLine} : {}),
		});
		return {
			child: await restart(), restart, activeStopFaults: 0, latestRestart: Promise.resolve(),
		};
	};

	const createProxies = async (targets: readonly number[]): Promise<readonly FaultProxy[]> =>
		Promise.all(targets.map(async targetPort => createFaultProxy({targetHost: host, targetPort})));

	const recordRun = (line: string): void => {
		const key = /^run (?<key>.+)$/v.exec(line)?.groups?.key;
		if (key !== undefined) {
			runCounts.set(key, (runCounts.get(key) ?? 0) + 1);
		}
	};

	const platform = await startProgram('platform', 'stand-in-platform.mjs', ['--log-port', String(logPort), '--instance-list-port', String(instanceListPort)]);
	const upstreams = await Promise.all(upstreamPorts.map(async (port, index) => startProgram(`upstream-${index + 1}`, 'stand-in-upstreams.mjs', [
		'--prefix',
		`upstream-${index + 1}`,
		'--port',
		String(port),
		'--slots',
		'4',
		'--seed',
		String(index + 1),
		'--report-runs',
		'--behavior',
		JSON.stringify({durationMilliseconds: {default: 20}, durationKind: 'exponential', answerBytes: 2000}),
	], recordRun)));

	const upstreamProxies = await createProxies(upstreamPorts);
	const peerProxies = await createProxies(peerPorts);
	const logProxies = await createProxies(entryPorts.map(() => logPort));
	const instanceListProxies = await createProxies(entryPorts.map(() => instanceListPort));

	const send = async (url: string, method: 'PUT' | 'POST' | 'DELETE', body: unknown): Promise<void> => {
		const response = await undici.request(url, {method, body: JSON.stringify(body), headers: {'content-type': 'application/json'}});
		await response.body.dump();
	};

	const putInstance = async (name: string, body: unknown) => send(`http://${host}:${instanceListPort}/instances/${name}`, 'PUT', body);
	const setLogFaults = async (faults: unknown) => send(`http://${host}:${logPort}/control`, 'PUT', faults);
	const setInstanceListFaults = async (faults: unknown) => send(`http://${host}:${instanceListPort}/control`, 'PUT', faults);
	const setUpstreamBehavior = async (index: number, behavior: unknown) => send(`http://${host}:${upstreamPorts[index]!}/control`, 'PUT', behavior);

	await Promise.all(upstreamProxies.map(async (proxy, index) => putInstance(`upstream-${index + 1}`, {
		role: 'upstream', service: serviceName, region: 'north', failureDomain: failureDomains[index % 3], address: `${host}:${proxy.port}`, state: 'live',
	})));
	await Promise.all(entryPorts.map(async (port, index) => putInstance(`entry-${index + 1}`, {
		role: 'entry', region: 'north', failureDomain: failureDomains[index % 3], address: `${host}:${port}`, peerAddress: `${host}:${peerProxies[index]!.port}`, state: 'live',
	})));
	await send(`http://${host}:${logPort}/streams/table/records`, 'POST', {id: 'table-1', value: createTableEdit()});

	const entries = await Promise.all(entryPorts.map(async (port, index) => {
		const settingsFile = path.join(logFolder, `entry-${index + 1}.json`);
		fs.writeFileSync(settingsFile, JSON.stringify(createEntrySettings({
			name: `entry-${index + 1}`,
			failureDomain: failureDomains[index % 3]!,
			failureDomains,
			host,
			port,
			peerPort: peerPorts[index]!,
			announcedPeerPort: peerProxies[index]!.port,
			logUrl: `http://${host}:${logProxies[index]!.port}`,
			instanceListUrl: `http://${host}:${instanceListProxies[index]!.port}`,
		}), null, '\t'));
		return startProgram(`entry-${index + 1}`, 'fescuering-entry.mjs', ['--settings', settingsFile]);
	}));
	const entryAddresses = entryPorts.map(port => `${host}:${port}`);
	await Promise.all(entryAddresses.map(async address => waitUntilServing(address)));

	const stopProgram = async (program: Program, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> => {
		program.activeStopFaults++;
		await program.latestRestart;
		program.child.signal(signal);
		await program.child.exited;
	};

	const restartProgram = async (program: Program): Promise<void> => {
		await sleep(restartMilliseconds);
		program.activeStopFaults--;
		if (program.activeStopFaults > 0) {
			return;
		}

		program.latestRestart = (async () => {
			program.child = await program.restart();
		})();
		await program.latestRestart;
	};

	const setProxyFaults = (proxies: ReadonlyArray<FaultProxy | undefined>, faults: Partial<FaultProxyFaults>): void => {
		for (const proxy of proxies) {
			proxy?.setFaults(faults);
		}
	};

	const startFault = async (fault: Fault): Promise<void> => {
		switch (fault.kind) {
			case 'entry-killed': {
				return stopProgram(entries[fault.entry]!, 'SIGKILL');
			}

			case 'entry-left': {
				return stopProgram(entries[fault.entry]!, 'SIGTERM');
			}

			case 'entry-paused': {
				entries[fault.entry]!.child.signal('SIGSTOP');
				return;
			}

			case 'entry-cut-off': {
				setProxyFaults([peerProxies[fault.entry]], {silent: 'all'});
				return;
			}

			case 'entry-cut-from-log': {
				setProxyFaults([logProxies[fault.entry], instanceListProxies[fault.entry]], {silent: 'all'});
				return;
			}

			case 'upstream-killed': {
				return stopProgram(upstreams[fault.upstream]!, 'SIGKILL');
			}

			case 'upstream-cuts': {
				return setUpstreamBehavior(fault.upstream, {cutShare: 0.5});
			}

			case 'upstream-refuses': {
				return setUpstreamBehavior(fault.upstream, {isDraining: true});
			}

			case 'upstream-silent': {
				setProxyFaults([upstreamProxies[fault.upstream]], {silent: 'open'});
				return;
			}

			case 'upstream-loses-answers': {
				setProxyFaults([upstreamProxies[fault.upstream]], {loseAnswers: true});
				return;
			}

			case 'log-down': {
				return setLogFaults({down: true});
			}

			case 'log-slow': {
				return setLogFaults({appendDelayMilliseconds: 700});
			}

			case 'log-silent': {
				return setLogFaults({silent: true});
			}

			case 'log-loses-answers': {
				return setLogFaults({lostAnswerShare: 0.5});
			}

			case 'instances-stale': {
				return setInstanceListFaults({lagMilliseconds: instanceListLagMilliseconds});
			}

			default: {
				return assertNever(fault);
			}
		}
	};

	const endFault = async (fault: Fault): Promise<void> => {
		switch (fault.kind) {
			case 'entry-killed':
			case 'entry-left': {
				return restartProgram(entries[fault.entry]!);
			}

			case 'entry-paused': {
				entries[fault.entry]!.child.signal('SIGCONT');
				return;
			}

			case 'entry-cut-off': {
				setProxyFaults([peerProxies[fault.entry]], {});
				return;
			}

			case 'entry-cut-from-log': {
				setProxyFaults([logProxies[fault.entry], instanceListProxies[fault.entry]], {});
				return;
			}

			case 'upstream-killed': {
				return restartProgram(upstreams[fault.upstream]!);
			}

			case 'upstream-cuts': {
				return setUpstreamBehavior(fault.upstream, {cutShare: 0});
			}

			case 'upstream-refuses': {
				return setUpstreamBehavior(fault.upstream, {isDraining: false});
			}

			case 'upstream-silent':
			case 'upstream-loses-answers': {
				setProxyFaults([upstreamProxies[fault.upstream]], {});
				return;
			}

			case 'log-down':
			case 'log-slow':
			case 'log-silent':
			case 'log-loses-answers': {
				return setLogFaults({
					down: false, silent: false, appendDelayMilliseconds: 0, lostAnswerShare: 0,
				});
			}

			case 'instances-stale': {
				return setInstanceListFaults({lagMilliseconds: 0});
			}

			default: {
				return assertNever(fault);
			}
		}
	};

	return {
		entryAddresses, runCounts, logFolder, startFault, endFault,
		async close() {
			const programs = [...entries, ...upstreams, platform];
			await Promise.all(programs.map(async program => stopProgram(program, 'SIGKILL')));
			const proxies = [...upstreamProxies, ...peerProxies, ...logProxies, ...instanceListProxies];
			await Promise.all(proxies.map(async proxy => proxy.close()));
		},
	};
}

function createTableEdit(): unknown {
	const rows = [
		{kind: 'service', service: serviceName, slotsPerUpstream: 4},
		{
			kind: 'operation', service: serviceName, operation: 'redeem', method: 'POST', pathPrefix: '/redeem', idempotent: false, timeoutMilliseconds: 2000,
		},
	];
	return {
		kind: 'edit', id: 'table-1', baseVersion: -1, operator: 'faults', changes: rows.map(row => ({action: 'put', row})),
	};
}

async function waitUntilServing(address: string): Promise<void> {
	const deadlineAt = Date.now() + readyTimeoutMilliseconds;
	while (Date.now() < deadlineAt) {
		try {
			const response = await undici.request(`http://${address}/v1/entries`, {signal: AbortSignal.timeout(500)});
			await response.body.dump();
			if (response.statusCode === 200) {
				return;
			}
		} catch {
			// The entry does not listen yet.
		}

		await sleep(50);
	}

	throw new Error(`The entry at ${address} did not start to serve in time. Read its log.`);
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
