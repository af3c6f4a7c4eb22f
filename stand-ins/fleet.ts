/** Small deployment of real processes for tests: platform, upstreams and entries, with registrations and a table. */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as undici from 'undici';
import {type Row} from '../src/decisions/table/rows.ts';
import {type InstanceRecord} from '../src/platform/types.ts';
import {parseReadyLine, type RunningProgram, startProgram} from './processes.ts';
import {type UpstreamBehaviorChange} from './upstream.ts';

/** Service with its upstreams, which run in one process. */
export type FleetService = {
	readonly service: string;
	readonly upstreamCount: number;
	readonly slotsPerUpstream: number;
	readonly behavior?: UpstreamBehaviorChange;
	/** One-way network delay to the upstreams. */
	readonly oneWayMilliseconds?: number;
	/** Table rows of the service; without a service row, a default one with the given slots is added. */
	readonly rows: readonly Row[];
};

export type FleetOptions = {
	readonly entryCount: number;
	readonly failureDomains: readonly string[];
	readonly services: readonly FleetService[];
	/** Settings of all entries, which override the defaults. */
	readonly entrySettings?: Readonly<Record<string, unknown>>;
	/** Seed of the random numbers of the stand-ins. */
	readonly seed: number;
	/** Retention time of the log service. */
	readonly retentionMilliseconds?: number;
	/** Creates settings of a single entry, which override `entrySettings`. */
	createEntrySettings?(index: number): Promise<Readonly<Record<string, unknown>>>;
	/** Returns the address at which entries reach a server, e.g. the address of a proxy in front of it. */
	mapAddress?(kind: 'log' | 'instance-list' | 'upstream', address: string, name: string): Promise<string>;
};

/** Running entry. */
export type FleetEntry = {
	readonly name: string;
	readonly failureDomain: string;
	/** Host and port that callers connect to. */
	readonly address: string;
	/** Host and port that other entries connect to. */
	readonly peerAddress: string;
	readonly program: RunningProgram;
};

/** Running deployment. */
export type Fleet = {
	readonly logUrl: string;
	readonly instanceListUrl: string;
	readonly entries: FleetEntry[];
	/** Addresses of the upstreams by name. */
	readonly upstreams: ReadonlyMap<string, string>;
	/** Starts an entry under the name of its index, also to replace an entry that has exited. */
	startEntry(index: number): Promise<FleetEntry>;
	/** Publishes a table edit that puts rows and resolves to the offset of its record. */
	publishRows(rows: readonly Row[], baseVersion: number): Promise<number>;
	register(record: InstanceRecord): Promise<void>;
	deregister(name: string): Promise<void>;
	/** Kills all processes. */
	stop(): Promise<void>;
};

const defaultRetentionMilliseconds = 3_600_000;
const readyPollMilliseconds = 20;
const readyTimeoutMilliseconds = 20_000;

/** Starts all processes and resolves when all entries are ready. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
	const settingsFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'fescuering-fleet-'));
	const retentionMilliseconds = options.retentionMilliseconds ?? defaultRetentionMilliseconds;
	const platform = await startProgram('stand-in-platform', '--seed', String(options.seed), '--retention-milliseconds', String(retentionMilliseconds));
	const platformValues = parseReadyLine(platform.readyLine);
	const logUrl = platformValues.get('log')!;
	const instanceListUrl = platformValues.get('instances')!;
	const programs: RunningProgram[] = [platform];
	const upstreams = new Map<string, string>();
	const entries: FleetEntry[] = [];
	const mapAddress = options.mapAddress ?? (async (_kind, address) => address);
	const mappedLogUrl = await mapUrl('log', logUrl);
	const mappedInstanceListUrl = await mapUrl('instance-list', instanceListUrl);

	async function mapUrl(kind: 'log' | 'instance-list', url: string): Promise<string> {
		const {host} = new URL(url);
		return `http://${await mapAddress(kind, host, kind)}`;
	}

	async function startService(service: FleetService, index: number): Promise<void> {
		const program = await startProgram(
			'stand-in-upstreams',
			'--prefix',
			service.service,
			'--count',
			String(service.upstreamCount),
			'--slots',
			String(service.slotsPerUpstream),
			'--seed',
			String(options.seed + (1000 * index)),
			'--one-way-milliseconds',
			String(service.oneWayMilliseconds ?? 0),
			'--behavior',
			JSON.stringify(service.behavior ?? {}),
		);
		programs.push(program);
		let upstreamIndex = 0;
		for (const [name, address] of parseReadyLine(program.readyLine)) {
			upstreams.set(name, address);
			await register({
				name,
				role: 'upstream',
				service: service.service,
				region: 'local',
				failureDomain: options.failureDomains[upstreamIndex++ % options.failureDomains.length]!,
				address: await mapAddress('upstream', address, name),
				state: 'live',
			});
		}
	}

	async function register(record: InstanceRecord): Promise<void> {
		await sendJson(`${instanceListUrl}/instances/${record.name}`, 'PUT', record);
	}

	async function deregister(name: string): Promise<void> {
		await sendJson(`${instanceListUrl}/instances/${name}`, 'DELETE');
	}

	async function publishRows(rows: readonly Row[], baseVersion: number): Promise<number> {
		const id = `edit-${baseVersion}-${Date.now()}`;
		const result = await sendJson(`${logUrl}/streams/table/records`, 'POST', {
			id,
			value: {
				kind: 'edit', id, baseVersion, operator: 'fleet', changes: rows.map(row => ({action: 'put', row})),
			},
		});
		return (result as {offset: number}).offset; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	}

	/** The ports of one fleet may be given out again to another one. */
	const deployment = `fleet-${crypto.randomBytes(6).toString('hex')}`;

	async function startEntry(index: number): Promise<FleetEntry> {
		const name = `entry-${index + 1}`;
		const failureDomain = options.failureDomains[index % options.failureDomains.length]!;
		const file = path.join(settingsFolder, `${name}.json`);
		fs.writeFileSync(file, JSON.stringify({
			name,
			deployment,
			failureDomain,
			failureDomains: options.failureDomains,
			listen: {callerPort: 0, peerPort: 0},
			platform: {
				logUrl: mappedLogUrl, instanceListUrl: mappedInstanceListUrl, instanceListPollMilliseconds: 200, logRetentionMilliseconds: retentionMilliseconds,
			},
			...options.entrySettings,
			...await options.createEntrySettings?.(index),
		}));
		const program = await startProgram('fescuering-entry', '--settings', file);
		programs.push(program);
		const values = parseReadyLine(program.readyLine);
		const address = values.get('address')!;
		const entry = {
			name, failureDomain, address, peerAddress: values.get('peer') ?? address, program,
		};
		await register({
			name, role: 'entry', region: 'local', failureDomain, address, peerAddress: entry.peerAddress, state: 'live',
		});
		return entry;
	}

	for (const [index, service] of options.services.entries()) {
		await startService(service, index);
	}

	await publishRows(options.services.flatMap(service => createRows(service)), -1);
	entries.push(...await Promise.all(Array.from({length: options.entryCount}, async (_value, index) => startEntry(index))));
	await Promise.all(entries.map(async entry => waitUntilReady(entry.address, upstreams.size)));

	return {
		logUrl,
		instanceListUrl,
		entries,
		upstreams,
		startEntry,
		publishRows,
		register,
		deregister,
		async stop() {
			await Promise.all(programs.map(async program => program.stop('SIGKILL')));
			fs.rmSync(settingsFolder, {recursive: true});
		},
	};
}

function createRows(service: FleetService): Row[] {
	const rows = [...service.rows];
	if (!rows.some(row => row.kind === 'service')) {
		rows.unshift({
			kind: 'service',
			service: service.service,
			slotsPerUpstream: service.slotsPerUpstream,
			connectionsPerUpstream: 200,
			probesPerSecondPerUpstream: 10,
			longShare: 0.5,
			retryShare: 0.1,
			ejectionShare: 0.3,
		});
	}

	return rows;
}

/** Sends a JSON request and parses the JSON response; throws if the status code is not 200. */
export async function sendJson(url: string, method: 'GET' | 'PUT' | 'POST' | 'DELETE', value?: unknown): Promise<unknown> {
	const response = await undici.request(url, {
		method,
		...(value === undefined ? {} : {body: JSON.stringify(value), headers: {'content-type': 'application/json'}}),
	});
	const text = await response.body.text();
	if (response.statusCode !== 200) {
		throw new Error(`${method} ${url} returned status ${response.statusCode}: ${text}`);
	}

	return text === '' ? undefined : JSON.parse(text);
}

/** Waits until an entry is serving and lists at least a given number of upstreams. */
export async function waitUntilReady(address: string, upstreamCount: number): Promise<void> {
	const deadline = Date.now() + readyTimeoutMilliseconds;
	while (Date.now() < deadline) {
		const response = await undici.request(`http://${address}/v1/status`);
		const status = await response.body.json() as {state: string; services: Array<{upstreams: unknown[]}>}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		const knownUpstreamCount = status.services.reduce((sum, service) => sum + service.upstreams.length, 0);
		if (status.state === 'serving' && knownUpstreamCount >= upstreamCount) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, readyPollMilliseconds);
		});
	}

	throw new Error(`The entry at ${address} did not become ready in time.`);
}
