/** Measures the table of weights and limits: the time until an edit is in force on all readers, and its cost per reader. */
import * as net from 'node:net';
import process from 'node:process';
import * as timers from 'node:timers/promises';
import {
	type EditRecord, foldRecord, foldRecords, type FoldState, initialFoldState,
} from '../../src/decisions/table/fold.ts';
import {type Row, rowSchema} from '../../src/decisions/table/rows.ts';
import {createSnapshot, restoreSnapshot} from '../../src/decisions/table/snapshot.ts';
import {createHttpLog} from '../../src/platform/http-log.ts';
import {parseReadyLine, startProgram} from '../../stand-ins/processes.ts';
import {startTableReader} from '../../stand-ins/table-reader.ts';
import {type ScenarioOptions} from './types.ts';

const readerCounts = [5, 15, 30];
const serviceCounts = [7, 14, 28, 56];
const editsPerRun = 60;
const editIntervalMilliseconds = 100;
/** Mean number for 1100 upstreams of 28 services. */
const upstreamsPerService = 1100 / 28;
const failureDomainCount = 6;
const operationsPerService = 5;
const foldRepeats = 400;
const appendTimeoutMilliseconds = 5000;
const propagationTimeoutMilliseconds = 10_000;
/** Planned number of edits per day, from which the bytes per second are extrapolated. */
const editsPerDay = 560;
const microsecondsPerMillisecond = 1000;

/** Measures propagation with each number of readers, then the fold at each size of the table. */
export async function run(options: ScenarioOptions): Promise<Record<string, unknown>> {
	const spread = [];
	for (const readers of readerCounts) {
		spread.push(await measurePropagation(readers, options));
	}

	const folds = serviceCounts.map(services => measureFold(services));
	const [first, last] = [folds[0]!, folds.at(-1)!];
	return {
		spread,
		folds,
		foldNanosecondsPerRow: round(1000 * (last.microsecondsPerRecord - first.microsecondsPerRecord) / (last.rows - first.rows)),
		snapshotBytesPerRow: round((last.snapshotBytes - first.snapshotBytes) / (last.rows - first.rows)),
	};
}

/** Edits one row of a full-size table while a number of readers follow it through a proxy that counts bytes. */
async function measurePropagation(readerCount: number, options: ScenarioOptions) {
	const platform = await startProgram('stand-in-platform', '--seed', String(options.seed));
	const logUrl = new URL(parseReadyLine(platform.readyLine).get('log')!);
	const proxy = await createCountingProxy(Number(logUrl.port));
	const log = createHttpLog(logUrl.href.replace(/\/$/v, ''));
	await log.append('table', 'first', createEdit('first', -1, createRows(28)), appendTimeoutMilliseconds);
	const readers = Array.from({length: readerCount}, (_, index) => startTableReader(createHttpLog(`http://127.0.0.1:${proxy.port}`), options.seed + index));
	await waitForVersion(readers, 0);

	const idle = await measureCost(proxy, async () => timers.setTimeout(options.seconds * 1000));
	const delays: number[] = [];
	const busy = await measureCost(proxy, async () => {
		for (let edit = 0; edit < editsPerRun; edit++) {
			delays.push(...await publishEdit(edit));
			await timers.setTimeout(editIntervalMilliseconds);
		}
	});

	for (const reader of readers) {
		reader.stop();
	}

	await proxy.close();
	await platform.stop('SIGKILL');
	const getValuePerReader = (value: number): number => round(value / readerCount);
	return {
		readers: readerCount,
		milliseconds: {p50: getQuantile(delays, 0.5), p99: getQuantile(delays, 0.99), max: getQuantile(delays, 1)},
		idleBytesPerSecondPerNode: getValuePerReader(idle.bytes / idle.seconds),
		idleCorePercentPerNode: getValuePerReader(100 * idle.cpuSeconds / idle.seconds),
		bytesPerEditPerNode: getValuePerReader(busy.bytes / editsPerRun),
		cpuMillisecondsPerEditPerNode: getValuePerReader(1000 * busy.cpuSeconds / editsPerRun),
		bytesPerSecondPerNodeAtPlannedEdits: round(getValuePerReader(idle.bytes / idle.seconds) + (getValuePerReader(busy.bytes / editsPerRun) * editsPerDay / 86_400)),
	};

	/** Publishes an edit and returns the time from sending it until it is in force on the last reader. */
	async function publishEdit(edit: number): Promise<number[]> {
		const baseVersion = readers[0]!.getTable()!.version;
		const row = rowSchema.parse({
			kind: 'place', service: 'service-1', failureDomain: 'domain-1', weight: edit + 1,
		});
		const sentAt = performance.now();
		const offset = await log.append('table', `edit-${edit}`, createEdit(`edit-${edit}`, baseVersion, [row]), appendTimeoutMilliseconds);
		const version = offset._unsafeUnwrap();
		await waitForVersion(readers, version);
		return [Math.max(...readers.map(reader => reader.versions.at(-1)!.time)) - sentAt];
	}
}

type Readers = ReadonlyArray<ReturnType<typeof startTableReader>>;

async function waitForVersion(readers: Readers, version: number): Promise<void> {
	const timeoutAt = performance.now() + propagationTimeoutMilliseconds;
	while (readers.some(reader => (reader.getTable()?.version ?? -1) < version)) {
		if (performance.now() > timeoutAt) {
			throw new Error(`Version ${version} did not come into force on every reader in time.`);
		}

		await timers.setTimeout(1);
	}
}

async function measureCost(proxy: CountingProxy, work: () => Promise<unknown>) {
	const [bytes, cpu, time] = [proxy.getBytes(), process.cpuUsage(), performance.now()];
	await work();
	const cpuUsed = process.cpuUsage(cpu);
	return {
		bytes: proxy.getBytes() - bytes,
		cpuSeconds: (cpuUsed.user + cpuUsed.system) / 1_000_000,
		seconds: (performance.now() - time) / 1000,
	};
}

/** Measures folding edits of one row into a table with the given number of services. */
function measureFold(services: number) {
	const rows = createRows(services);
	const first = foldRecord(initialFoldState, {offset: 0, value: createEdit('first', -1, rows)});
	const edits = Array.from({length: foldRepeats}, (_, index) => ({
		offset: index + 1,
		value: createEdit(`edit-${index}`, index, [rowSchema.parse({
			kind: 'upstream', service: 'service-1', upstream: 'upstream-1', weight: index,
		})]),
	}));
	foldRecords(first.state, edits);
	const startedAt = performance.now();
	const state = foldRecords(first.state, edits);
	const microsecondsPerRecord = round((performance.now() - startedAt) * microsecondsPerMillisecond / foldRepeats);
	if (state.table.version !== foldRepeats) {
		throw new Error('The table rejected an edit of the bench.');
	}

	return {
		services, rows: rows.length, microsecondsPerRecord, ...measureSnapshot(state),
	};
}

function measureSnapshot(state: FoldState) {
	const writeStartedAt = performance.now();
	const text = JSON.stringify(createSnapshot(state));
	const readStartedAt = performance.now();
	const value: unknown = JSON.parse(text);
	restoreSnapshot(value)._unsafeUnwrap();
	return {
		snapshotBytes: text.length,
		snapshotWriteMilliseconds: round(readStartedAt - writeStartedAt),
		snapshotReadMilliseconds: round(performance.now() - readStartedAt),
	};
}

/** Creates the rows of a table, with the planned number of rows for each service. */
function createRows(services: number): Row[] {
	return Array.from({length: services}, (_, index) => createServiceRows(`service-${index + 1}`)).flat();
}

function createServiceRows(service: string): Row[] {
	const listNumbers = (length: number) => Array.from({length}, (_, index) => index + 1);
	return [
		{kind: 'service', service, slotsPerUpstream: 4},
		{kind: 'limit', service, callsPerSecond: 100_000},
		...listNumbers(operationsPerService).map(index => ({
			kind: 'operation', service, operation: `operation-${index}`, method: 'POST', pathPrefix: `/operation-${index}`, idempotent: index % 2 === 0,
		})),
		...listNumbers(failureDomainCount).map(index => ({
			kind: 'place', service, failureDomain: `domain-${index}`, callsPerSecond: 10_000,
		})),
		...listNumbers(Math.round(upstreamsPerService)).map(index => ({
			kind: 'upstream', service, upstream: `upstream-${index}`, weight: 2,
		})),
	].map(row => rowSchema.parse(row));
}

function createEdit(id: string, baseVersion: number, rows: readonly Row[]): EditRecord {
	return {
		kind: 'edit', id, baseVersion, operator: 'bench', changes: rows.map(row => ({action: 'put', row})),
	};
}

/** A TCP proxy that counts the bytes that it forwards. */
type CountingProxy = {
	readonly port: number;
	/** Returns the bytes forwarded in both directions since the start. */
	getBytes(): number;
	close(): Promise<void>;
};

async function createCountingProxy(targetPort: number): Promise<CountingProxy> {
	let bytes = 0;
	const countBytes = (chunk: Uint8Array): void => {
		bytes += chunk.length;
	};

	const sockets = new Set<net.Socket>();
	const server = net.createServer(client => {
		const target = net.connect(targetPort, '127.0.0.1');
		for (const [from, to] of [[client, target], [target, client]] as const) {
			sockets.add(from);
			from.on('data', countBytes);
			from.on('error', () => {
				to.destroy();
			});
			from.pipe(to);
		}
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	return {
		port: typeof address === 'object' && address ? address.port : 0,
		getBytes: () => bytes,
		async close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}

function getQuantile(values: readonly number[], quantile: number): number {
	const sorted = [...values].toSorted((left, right) => left - right);
	return round(sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0);
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
