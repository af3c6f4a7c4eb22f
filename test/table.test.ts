/** Tests of concurrent table edits and of table readers during restarts and outages of the log. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as z from 'zod';
import {type EditRecord} from '../src/decisions/table/fold.ts';
import {rowSchema} from '../src/decisions/table/rows.ts';
import {createHttpLog} from '../src/platform/http-log.ts';
import {createReliableLog} from '../src/platform/reliable-log.ts';
import {type LogHost} from '../src/platform/types.ts';
import {createTableStore, type LoadedTable, type TableStore} from '../src/programs/table-tool/table-store.ts';
import {type Fleet, sendJson, startFleet} from '../stand-ins/fleet.ts';
import {createLogService, type LogFaults, type LogService} from '../stand-ins/log-service.ts';
import {startTableReader} from '../stand-ins/table-reader.ts';

const {describe, expect, onTestFinished, test} = vitest;
const deadlineMilliseconds = 30_000;
const statusSchema = z.object({state: z.string(), tableVersion: z.int().nullable()});

function createOperator(log: LogHost): TableStore {
	return createTableStore(createReliableLog({
		log, now: () => performance.now(), random: Math.random, sleep: async milliseconds => timers.setTimeout(milliseconds),
	}));
}

function createEdit(id: string, baseVersion: number, weight: number): EditRecord {
	const row = rowSchema.parse({
		kind: 'place', service: 'desk', failureDomain: 'north', weight,
	});
	return {
		kind: 'edit', id, baseVersion, operator: 'test', changes: [{action: 'put', row}],
	};
}

async function submit(operator: TableStore, loaded: LoadedTable, edit: EditRecord) {
	const verdict = await operator.submit(edit, loaded, performance.now() + deadlineMilliseconds);
	return verdict._unsafeUnwrap();
}

async function load(operator: TableStore): Promise<LoadedTable> {
	const loaded = await operator.load();
	return loaded._unsafeUnwrap();
}

async function publish(operator: TableStore, id: string, weight: number): Promise<number> {
	const loaded = await load(operator);
	const verdict = await submit(operator, loaded, createEdit(id, loaded.fold.table.version, weight));
	expect(verdict.rejection).toBeUndefined();
	return verdict.offset;
}

async function startSmallFleet(entries: number, retentionMilliseconds?: number): Promise<Fleet> {
	const fleet = await startFleet({
		entryCount: entries,
		failureDomains: ['north', 'south'],
		seed: 11,
		services: [{
			service: 'desk', upstreamCount: 1, slotsPerUpstream: 4, rows: [],
		}],
		...(retentionMilliseconds === undefined ? {} : {retentionMilliseconds}),
	});
	onTestFinished(async () => fleet.stop());
	return fleet;
}

async function readStatus(address: string) {
	return statusSchema.parse(await sendJson(`http://${address}/v1/status`, 'GET'));
}

async function setLogFaults(fleet: Fleet, faults: Partial<LogFaults>): Promise<void> {
	await sendJson(`${fleet.logUrl}/control`, 'PUT', faults);
}

/** Runs `fescuering-table` and returns its exit code and output. */
async function runTool(fleet: Fleet, ...toolArguments: readonly string[]): Promise<{exitCode: number; output: string}> {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'fescuering-table-'));
	const settings = path.join(folder, 'settings.json');
	fs.writeFileSync(settings, JSON.stringify({platform: {logUrl: fleet.logUrl, instanceListUrl: fleet.instanceListUrl}, operator: 'test'}));
	const file = path.resolve('dist', 'fescuering-table.mjs');
	const result = await new Promise<{exitCode: number; output: string}>(resolve => {
		const child = childProcess.execFile(process.execPath, [file, ...toolArguments, '--settings', settings], (_error, stdout, stderr) => {
			resolve({exitCode: child.exitCode ?? -1, output: stdout + stderr});
		});
	});
	fs.rmSync(folder, {recursive: true});
	return result;
}

describe('racing operators', () => {
	test('in 200 races of two edits of one row with lost responses, exactly one edit wins, and all readers agree', async () => {
		const fleet = await startSmallFleet(3);
		const log = createHttpLog(fleet.logUrl);
		const earlyReaders = [1, 2, 3].map(seed => startTableReader(log, seed));
		await setLogFaults(fleet, {lostAnswerShare: 0.3, refusedShare: 0.1, seed: 5});
		const operators = [createOperator(log), createOperator(createHttpLog(fleet.logUrl))] as const;
		const receivedVerdicts = new Map<string, string>();
		let acceptedCount = 0;
		let {version} = await load(operators[0]).then(loaded => loaded.fold.table);
		for (let round = 0; round < 200; round++) {
			const loaded = await Promise.all(operators.map(async operator => load(operator)));
			const edits = loaded.map((value, index) => createEdit(`edit-${round}-${index}`, value.fold.table.version, 1 + round + index));
			const verdicts = await Promise.all(operators.map(async (operator, index) => submit(operator, loaded[index]!, edits[index]!)));
			const winners = verdicts.filter(verdict => verdict.rejection === undefined);
			expect(winners).toHaveLength(1);
			expect(verdicts.find(verdict => verdict.rejection)?.rejection?.kind).toBe('conflict');
			version = winners[0]!.offset;
			acceptedCount += winners.length;
			for (const verdict of verdicts) {
				receivedVerdicts.set(verdict.id, JSON.stringify(verdict));
			}
		}

		expect(acceptedCount).toBe(200);
		await setLogFaults(fleet, {lostAnswerShare: 0, refusedShare: 0});
		const lateReader = startTableReader(log, 4);
		const readers = [...earlyReaders, lateReader];
		await vitest.vi.waitFor(() => {
			expect(readers.map(reader => reader.getTable()?.version)).toEqual(readers.map(() => version));
		}, {timeout: deadlineMilliseconds});
		for (const reader of readers) {
			expect(new Map(reader.getVerdicts().filter(verdict => receivedVerdicts.has(verdict.id)).map(verdict => [verdict.id, JSON.stringify(verdict)]))).toEqual(receivedVerdicts);
			reader.stop();
		}

		expect(new Set(readers.map(reader => reader.getTableHash())).size).toBe(1);
		const waited = await runTool(fleet, 'wait', String(version));
		expect(waited).toEqual({exitCode: 0, output: `version ${version} is in force on 3 entries\n`});
	});

	test('the tool prints the verdict of each edit, and a repeated edit with the same ID receives the same verdict', async () => {
		const fleet = await startSmallFleet(1);
		await setLogFaults(fleet, {lostAnswerShare: 0.5, seed: 9});
		const put = (weight: number) => JSON.stringify({
			kind: 'place', service: 'desk', failureDomain: 'north', weight,
		});
		for (const round of [0, 1, 2]) {
			const shown = await runTool(fleet, 'show', '--format', 'json');
			const {version} = z.object({version: z.int()}).parse(JSON.parse(shown.output));
			const edits = [0, 1].map(index => ['edit', '--base', String(version), '--id', `${round}-${index}`, '--put', put(1 + (10 * round) + index)]);
			const results = await Promise.all(edits.map(async edit => runTool(fleet, ...edit)));
			expect(results.map(result => result.exitCode).toSorted((left, right) => left - right)).toEqual([0, 1]);
			expect(results.find(result => result.exitCode === 1)?.output).toContain('FES2013');
			expect(await Promise.all(edits.map(async edit => runTool(fleet, ...edit)))).toEqual(results);
		}
	});
});

describe('table versions never decrease', () => {
	test('across restarts, snapshots and expired records', async () => {
		const retentionMilliseconds = 2500;
		const fleet = await startSmallFleet(3, retentionMilliseconds);
		const operator = createOperator(createHttpLog(fleet.logUrl));
		const abortController = new AbortController();
		let highestVersion = -1;
		const versionsByEntry = new Map<string, number[]>();
		const recordVersions = async () => {
			while (!abortController.signal.aborted) {
				for (const entry of fleet.entries) {
					const status = await readStatus(entry.address).catch(() => undefined);
					const version = status?.tableVersion ?? -1;
					versionsByEntry.set(entry.address, [...versionsByEntry.get(entry.address) ?? [], version].filter(value => value >= 0));
					highestVersion = Math.max(highestVersion, version);
				}

				await timers.setTimeout(20);
			}
		};

		let acceptedVersion = 0;
		const publishEdits = async () => {
			for (let count = 0; !abortController.signal.aborted; count++) {
				acceptedVersion = await publish(operator, `edit-${count}`, 1 + (count % 1000));
				await timers.setTimeout(40);
			}
		};

		const versionsAfterRestart: Array<{floor: number; version: number}> = [];
		const restartEntries = async () => {
			for (const index of [0, 1, 2]) {
				await timers.setTimeout(retentionMilliseconds / 2);
				await fleet.entries[index]!.program.stop('SIGKILL');
				const floor = highestVersion;
				const entry = await fleet.startEntry(index);
				fleet.entries[index] = entry;
				const status = await vitest.vi.waitFor(async () => {
					const current = await readStatus(entry.address);
					expect(current.state).toBe('serving');
					return current;
				}, {timeout: deadlineMilliseconds, interval: 5});
				versionsAfterRestart.push({floor, version: status.tableVersion ?? -1});
			}
		};

		const watching = recordVersions();
		const writing = publishEdits();
		await restartEntries();
		abortController.abort();
		await Promise.all([watching, writing]);
		for (const versions of versionsByEntry.values()) {
			expect(versions).toEqual(versions.toSorted((left, right) => left - right));
		}

		for (const {floor: minimumVersion, version} of versionsAfterRestart) {
			expect(version).toBeGreaterThanOrEqual(minimumVersion);
		}

		const page = z.object({firstOffset: z.int()}).parse(await sendJson(`${fleet.logUrl}/streams/table/records?from=0&limit=1`, 'GET'));
		expect(page.firstOffset).toBeGreaterThan(0);
		const waited = await runTool(fleet, 'wait', String(acceptedVersion));
		expect(waited.output).toBe(`version ${acceptedVersion} is in force on 3 entries\n`);
	});
});

describe('log outages around a restart', () => {
	async function startPublishedLog(): Promise<{service: LogService; log: LogHost; operator: TableStore}> {
		const service = await createLogService();
		onTestFinished(async () => service.close());
		const log = createHttpLog(service.url);
		const operator = createOperator(log);
		const row = rowSchema.parse({kind: 'service', service: 'desk', slotsPerUpstream: 4});
		await submit(operator, await load(operator), {
			kind: 'edit', id: 'first', baseVersion: -1, operator: 'test', changes: [{action: 'put', row}],
		});
		for (const weight of [1, 2, 3, 4]) {
			await publish(operator, `edit-${weight}`, weight);
		}

		return {service, log, operator};
	}

	function start(log: LogHost, seed: number, recordsPerRead = 200) {
		const reader = startTableReader(log, seed, {recordsPerRead, waitMilliseconds: 200});
		onTestFinished(() => {
			reader.stop();
		});
		return reader;
	}

	async function waitForVersion(reader: {getTable(): {version: number} | undefined}, version: number): Promise<void> {
		await vitest.vi.waitFor(() => {
			expect(reader.getTable()?.version).toBe(version);
		}, {timeout: deadlineMilliseconds});
	}

	test('log down at the start: a reader has no version until a peer or the log provides one', async () => {
		const {service, log, operator} = await startPublishedLog();
		const running = start(log, 1);
		await waitForVersion(running, 4);
		service.setFaults({down: true});
		const [readerWithPeer, readerWithoutPeer] = [start(log, 2), start(log, 3)];
		await vitest.vi.waitFor(() => {
			expect([readerWithPeer, readerWithoutPeer].map(reader => reader.getStatus().state)).toEqual(['log-unreachable', 'log-unreachable']);
		}, {timeout: deadlineMilliseconds});
		expect(readerWithPeer.getTable()).toBeUndefined();
		expect(readerWithPeer.adoptFromPeer(running.getUpdate(readerWithPeer.getStatus().nextOffset)!)).toBe(true);
		expect(readerWithPeer.getTableHash()).toBe(running.getTableHash());
		expect(readerWithoutPeer.getTable()).toBeUndefined();
		service.setFaults({down: false});
		const version = await publish(operator, 'after', 9);
		await Promise.all([running, readerWithPeer, readerWithoutPeer].map(async reader => waitForVersion(reader, version)));
		expect(readerWithPeer.versions.map(entry => entry.version)).toEqual([4, version]);
	});

	test('log down during the initial read: the partially read table does not take effect', async () => {
		const {service, log} = await startPublishedLog();
		let reads = 0;
		const failingLog: LogHost = {
			...log,
			read(stream, fromOffset, options) {
				service.setFaults({down: reads === 1});
				reads++;
				return log.read(stream, fromOffset, options);
			},
		};
		const reader = start(failingLog, 1, 2);
		await vitest.vi.waitFor(() => {
			expect(reader.getStatus().state).toBe('log-unreachable');
		}, {timeout: deadlineMilliseconds, interval: 1});
		expect(reader.getTable()).toBeUndefined();
		await waitForVersion(reader, 4);
		expect(reader.versions.map(entry => entry.version)).toEqual([4]);
	});

	test('log down after the initial read: the version stays, and later edits apply when the log recovers', async () => {
		const {service, log, operator} = await startPublishedLog();
		const reader = start(log, 1);
		await waitForVersion(reader, 4);
		service.setFaults({down: true});
		await vitest.vi.waitFor(() => {
			expect(reader.getStatus().state).toBe('log-unreachable');
		}, {timeout: deadlineMilliseconds});
		expect(reader.getTable()?.version).toBe(4);
		service.setFaults({down: false});
		await waitForVersion(reader, await publish(operator, 'after', 9));
	});

	test('a reader that missed expired records keeps its version until a snapshot closes the gap', async () => {
		const {service, log, operator} = await startPublishedLog();
		let isPartitioned = false;
		const partitionedLog: LogHost = {...log, read: (stream, fromOffset, options) => log.read(isPartitioned ? 'cut-off' : stream, fromOffset, options)};
		const [reader, peer] = [start(partitionedLog, 1), start(log, 2)];
		await waitForVersion(reader, 4);
		isPartitioned = true;
		await timers.setTimeout(300);
		const version = await publish(operator, 'unseen', 9);
		await waitForVersion(peer, version);
		service.expire('table', version + 1);
		isPartitioned = false;
		await vitest.vi.waitFor(() => {
			expect(reader.getStatus().state).toBe('behind-retention');
		}, {timeout: deadlineMilliseconds});
		expect(reader.getTable()?.version).toBe(4);
		const expired = await operator.load();
		expect(expired._unsafeUnwrapErr().code).toBe('FES2007');
		const update = peer.getUpdate(undefined)!;
		expect(update.kind).toBe('snapshot');
		await log.append('table', 'snapshot', update.kind === 'snapshot' ? update.snapshot : undefined, deadlineMilliseconds);
		await waitForVersion(reader, version);
		expect(reader.getTableHash()).toBe(peer.getTableHash());
	});
});
