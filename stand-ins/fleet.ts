/** A small deployment of real processes: platform, upstreams and entries, registered and with a table. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as undici from 'undici';
import {type Row} from '../src/decisions/table/rows.ts';
import {type InstanceRecord} from '../src/platform/types.ts';
import {getReadyValues, type RunningProgram, startProgram} from './processes.ts';
import {type UpstreamBehaviorChange} from './upstream.ts';

export type FleetService = {
	readonly service: string;
	readonly upstreams: number;
	readonly slots: number;
	readonly behavior?: UpstreamBehaviorChange;
	readonly oneWayMilliseconds?: number;
	/** Operations and other rows; the service row is made from `slots` unless it is here. */
	readonly rows: readonly Row[];
};

export type FleetOptions = {
	readonly entries: number;
	readonly failureDomains: readonly string[];
	readonly services: readonly FleetService[];
	/** Settings merged over the defaults of each entry. */
	readonly entrySettings?: Readonly<Record<string, unknown>>;
	readonly seed: number;
	/** Time for which the log service keeps records. */
	readonly retentionMilliseconds?: number;
	/** Settings of a single entry, merged over the others. */
	createEntrySettings?(index: number): Promise<Readonly<Record<string, unknown>>>;
	/** Replaces the address of the log service for the entries, e.g. by that of a proxy. */
	mapAddress?(kind: 'log' | 'instance-list' | 'upstream', address: string, name: string): Promise<string>;
};

export type FleetEntry = {
	readonly name: string;
	readonly failureDomain: string;
	/** Host and port for callers. */
	readonly address: string;
	readonly program: RunningProgram;
};

export type Fleet = {
	readonly logUrl: string;
	readonly instanceListUrl: string;
	readonly entries: FleetEntry[];
	/** Addresses of the upstreams by name. */
	readonly upstreams: ReadonlyMap<string, string>;
	/** Starts one more entry, or one that replaces another of the same name. */
	startEntry(index: number): Promise<FleetEntry>;
	/** Publishes an edit of the table. */
	putRows(rows: readonly Row[], baseVersion: number): Promise<number>;
	register(record: InstanceRecord): Promise<void>;
	deregister(name: string): Promise<void>;
	/** Ends all processes. */
	stop(): Promise<void>;
};

const defaultRetentionMilliseconds = 3_600_000;
const readyPollMilliseconds = 20;
const readyTimeoutMilliseconds = 20_000;

/** Starts the processes; resolves when all entries are ready. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'fescuering-fleet-'));
	const retentionMilliseconds = options.retentionMilliseconds ?? defaultRetentionMilliseconds;
	const platform = await startProgram('stand-in-platform', '--seed', String(options.seed), '--retention-milliseconds', String(retentionMilliseconds));
	const platformValues = getReadyValues(platform.readyLine);
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
			String(service.upstreams),
			'--slots',
			String(service.slots),
			'--seed',
			String(options.seed + (1000 * index)),
			'--one-way-milliseconds',
			String(service.oneWayMilliseconds ?? 0),
			'--behavior',
			JSON.stringify(service.behavior ?? {}),
		);
		programs.push(program);
		let position = 0;
		for (const [name, address] of getReadyValues(program.readyLine)) {
			upstreams.set(name, address);
			await register({
				name,
				role: 'upstream',
				service: service.service,
				region: 'local',
				failureDomain: options.failureDomains[position++ % options.failureDomains.length]!,
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

	async function putRows(rows: readonly Row[], baseVersion: number): Promise<number> {
		const id = `edit-${baseVersion}-${Date.now()}`;
		const answer = await sendJson(`${logUrl}/streams/table/records`, 'POST', {
			id,
			value: {
				kind: 'edit', id, baseVersion, operator: 'fleet', changes: rows.map(row => ({action: 'put', row})),
			},
		});
		return (answer as {offset: number}).offset; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	}

	async function startEntry(index: number): Promise<FleetEntry> {
		const name = `entry-${index + 1}`;
		const failureDomain = options.failureDomains[index % options.failureDomains.length]!;
		const file = path.join(folder, `${name}.json`);
		fs.writeFileSync(file, JSON.stringify({
			name,
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
		const values = getReadyValues(program.readyLine);
		const entry = {
			name, failureDomain, address: values.get('address')!, program,
		};
		await register({
			name, role: 'entry', region: 'local', failureDomain, address: entry.address, peerAddress: values.get('peer') ?? entry.address, state: 'live',
		});
		return entry;
	}

	for (const [index, service] of options.services.entries()) {
		await startService(service, index);
	}

	await putRows(options.services.flatMap(service => createRows(service)), -1);
	entries.push(...await Promise.all(Array.from({length: options.entries}, async (_value, index) => startEntry(index))));
	await Promise.all(entries.map(async entry => waitUntilReady(entry.address, upstreams.size)));

	return {
		logUrl,
		instanceListUrl,
		entries,
		upstreams,
		startEntry,
		putRows,
		register,
		deregister,
		async stop() {
			await Promise.all(programs.map(async program => program.stop('SIGKILL')));
			fs.rmSync(folder, {recursive: true});
		},
	};
}

function createRows(service: FleetService): Row[] {
	const rows = [...service.rows];
	if (!rows.some(row => row.kind === 'service')) {
		rows.unshift({
			kind: 'service',
			service: service.service,
			slotsPerUpstream: service.slots,
			connectionsPerUpstream: 200,
			probesPerSecondPerUpstream: 10,
			longShare: 0.5,
			retryShare: 0.1,
			ejectionShare: 0.3,
		});
	}

	return rows;
}

/** Sends JSON and reads JSON; throws when the status is not 200. */
export async function sendJson(url: string, method: 'GET' | 'PUT' | 'POST' | 'DELETE', value?: unknown): Promise<unknown> {
	const response = await undici.request(url, {
		method,
		...(value === undefined ? {} : {body: JSON.stringify(value), headers: {'content-type': 'application/json'}}),
	});
	const text = await response.body.text();
	if (response.statusCode !== 200) {
		throw new Error(`${method} ${url} was answered with ${response.statusCode}: ${text}`);
	}

	return text === '' ? undefined : JSON.parse(text);
}

/** Waits until an entry serves and knows a number of upstreams. */
export async function waitUntilReady(address: string, upstreams: number): Promise<void> {
	const endsAt = Date.now() + readyTimeoutMilliseconds;
	while (Date.now() < endsAt) {
		const response = await undici.request(`http://${address}/v1/status`);
		const status = await response.body.json() as {state: string; services: Array<{upstreams: unknown[]}>}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		const known = status.services.reduce((sum, service) => sum + service.upstreams.length, 0);
		if (status.state === 'serving' && known >= upstreams) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, readyPollMilliseconds);
		});
	}

	throw new Error(`The entry at ${address} was not ready in time.`);
}
