/** Starts a small fleet of real processes with fault proxies between them, and brings faults about. */
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
const staleMilliseconds = 30_000;
const failureDomains = ['courthouse', 'riverside', 'pinehill'];

export type Cluster = {
	/** Addresses of the entries for callers. */
	readonly entries: readonly string[];
	/** Times that each key ran, over all upstreams and their restarts. */
	readonly runs: ReadonlyMap<string, number>;
	readonly logFolder: string;
	/** Brings a fault about; resolves once it is there. */
	start(fault: Fault): Promise<void>;
	/** Ends a fault; resolves once things are back in place. */
	end(fault: Fault): Promise<void>;
	close(): Promise<void>;
};

type Program = {
	child: Child;
	readonly restart: () => Promise<Child>;
	/** Faults that keep the program stopped at this time. */
	stops: number;
	/** Ends when the latest restart is done. */
	restarted: Promise<void>;
};

/** Starts the fleet; resolves when every entry serves. */
export async function startCluster(dist = 'dist'): Promise<Cluster> {
	const logFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'fescuering-faults-'));
	const runs = new Map<string, number>();
	const ports = await findFreePorts(2 + upstreamCount + (entryCount * 2));
	const logPort = ports[0]!;
	const listPort = ports[1]!;
	const upstreamPorts = ports.slice(2, 2 + upstreamCount);
	const entryPorts = ports.slice(2 + upstreamCount, 2 + upstreamCount + entryCount);
	const peerPorts = ports.slice(2 + upstreamCount + entryCount);

	const startProgram = async (name: string, program: string, flags: readonly string[], onLine?: (line: string) => void): Promise<Program> => {
		const restart = async () => startChild({
			program: path.join(dist, program), arguments: flags, logFile: path.join(logFolder, `${name}.log`), ...(onLine ? {onLine} : {}),
		});
		return {
			child: await restart(), restart, stops: 0, restarted: Promise.resolve(),
		};
	};

	const createProxies = async (targets: readonly number[]): Promise<readonly FaultProxy[]> =>
		Promise.all(targets.map(async targetPort => createFaultProxy({targetHost: host, targetPort})));

	const countRun = (line: string): void => {
		const key = /^run (?<key>.+)$/v.exec(line)?.groups?.key;
		if (key !== undefined) {
			runs.set(key, (runs.get(key) ?? 0) + 1);
		}
	};

	const platform = await startProgram('platform', 'stand-in-platform.mjs', ['--log-port', String(logPort), '--instance-list-port', String(listPort)]);
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
	], countRun)));

	const upstreamProxies = await createProxies(upstreamPorts);
	const peerProxies = await createProxies(peerPorts);
	const logProxies = await createProxies(entryPorts.map(() => logPort));
	const listProxies = await createProxies(entryPorts.map(() => listPort));

	const send = async (url: string, method: 'PUT' | 'POST' | 'DELETE', body: unknown): Promise<void> => {
		const response = await undici.request(url, {method, body: JSON.stringify(body), headers: {'content-type': 'application/json'}});
		await response.body.dump();
	};

	const putInstance = async (name: string, body: unknown) => send(`http://${host}:${listPort}/instances/${name}`, 'PUT', body);
	const setLog = async (faults: unknown) => send(`http://${host}:${logPort}/control`, 'PUT', faults);
	const setList = async (faults: unknown) => send(`http://${host}:${listPort}/control`, 'PUT', faults);
	const setUpstream = async (index: number, behavior: unknown) => send(`http://${host}:${upstreamPorts[index]!}/control`, 'PUT', behavior);

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
			instanceListUrl: `http://${host}:${listProxies[index]!.port}`,
		}), null, '\t'));
		return startProgram(`entry-${index + 1}`, 'fescuering-entry.mjs', ['--settings', settingsFile]);
	}));
	const addresses = entryPorts.map(port => `${host}:${port}`);
	await Promise.all(addresses.map(async address => waitUntilServing(address)));

	const stopProgram = async (program: Program, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> => {
		program.stops++;
		await program.restarted;
		program.child.signal(signal);
		await program.child.exited;
	};

	const restartProgram = async (program: Program): Promise<void> => {
		await sleep(restartMilliseconds);
		program.stops--;
		if (program.stops > 0) {
			return;
		}

		program.restarted = (async () => {
			program.child = await program.restart();
		})();
		await program.restarted;
	};

	const setProxies = (proxies: ReadonlyArray<FaultProxy | undefined>, faults: Partial<FaultProxyFaults>): void => {
		for (const proxy of proxies) {
			proxy?.setFaults(faults);
		}
	};

	const start = async (fault: Fault): Promise<void> => {
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
				setProxies([peerProxies[fault.entry]], {silent: 'all'});
				return;
			}

			case 'entry-cut-from-log': {
				setProxies([logProxies[fault.entry], listProxies[fault.entry]], {silent: 'all'});
				return;
			}

			case 'upstream-killed': {
				return stopProgram(upstreams[fault.upstream]!, 'SIGKILL');
			}

			case 'upstream-cuts': {
				return setUpstream(fault.upstream, {cutShare: 0.5});
			}

			case 'upstream-refuses': {
				return setUpstream(fault.upstream, {isDraining: true});
			}

			case 'upstream-silent': {
				setProxies([upstreamProxies[fault.upstream]], {silent: 'open'});
				return;
			}

			case 'upstream-loses-answers': {
				setProxies([upstreamProxies[fault.upstream]], {loseAnswers: true});
				return;
			}

			case 'log-down': {
				return setLog({down: true});
			}

			case 'log-slow': {
				return setLog({appendDelayMilliseconds: 700});
			}

			case 'log-silent': {
				return setLog({silent: true});
			}

			case 'log-loses-answers': {
				return setLog({lostAnswerShare: 0.5});
			}

			case 'instances-stale': {
				return setList({lagMilliseconds: staleMilliseconds});
			}

			default: {
				return assertNever(fault);
			}
		}
	};

	const end = async (fault: Fault): Promise<void> => {
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
				setProxies([peerProxies[fault.entry]], {});
				return;
			}

			case 'entry-cut-from-log': {
				setProxies([logProxies[fault.entry], listProxies[fault.entry]], {});
				return;
			}

			case 'upstream-killed': {
				return restartProgram(upstreams[fault.upstream]!);
			}

			case 'upstream-cuts': {
				return setUpstream(fault.upstream, {cutShare: 0});
			}

			case 'upstream-refuses': {
				return setUpstream(fault.upstream, {isDraining: false});
			}

			case 'upstream-silent':
			case 'upstream-loses-answers': {
				setProxies([upstreamProxies[fault.upstream]], {});
				return;
			}

			case 'log-down':
			case 'log-slow':
			case 'log-silent':
			case 'log-loses-answers': {
				return setLog({
					down: false, silent: false, appendDelayMilliseconds: 0, lostAnswerShare: 0,
				});
			}

			case 'instances-stale': {
				return setList({lagMilliseconds: 0});
			}

			default: {
				return assertNever(fault);
			}
		}
	};

	return {
		entries: addresses, runs, logFolder, start, end,
		async close() {
			const programs = [...entries, ...upstreams, platform];
			await Promise.all(programs.map(async program => stopProgram(program, 'SIGKILL')));
			const proxies = [...upstreamProxies, ...peerProxies, ...logProxies, ...listProxies];
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
			// Not listening yet.
		}

		await sleep(50);
	}

	throw new Error(`The entry at ${address} does not serve. Read its log.`);
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
