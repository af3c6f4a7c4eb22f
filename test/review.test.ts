/** Tests of the review reports with real processes, an outage of the log and a killed entry. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as csv from 'csv-parse/sync';
import * as undici from 'undici';
import * as vitest from 'vitest';
import * as z from 'zod';
import {intervalRecordSchema, intervalStream} from '../src/decisions/review/records.ts';
import {rowSchema} from '../src/decisions/table/rows.ts';
import {createHttpLog} from '../src/platform/http-log.ts';
import {type Fleet, sendJson, startFleet} from '../stand-ins/fleet.ts';

const {
	afterAll, beforeAll, expect, test, vi,
} = vitest;

const shortMilliseconds = 20;
const longMilliseconds = 150;
const waitOptions = {timeout: 50_000, interval: 100};
const temporaryFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'fescuering-review-'));
/** Durations that the callers measured, by operation. */
const callerMilliseconds = {price: [] as number[], audit: [] as number[]};
let fleet: Fleet;

beforeAll(async () => {
	const rows = [
		{
			kind: 'operation', service: 'desk', operation: 'price', method: 'GET', pathPrefix: '/price', idempotent: true, duration: 'short',
		},
		{
			kind: 'operation', service: 'desk', operation: 'audit', method: 'GET', pathPrefix: '/audit', idempotent: true, duration: 'long',
		},
	];
	fleet = await startFleet({
		entryCount: 3,
		failureDomains: ['north', 'south', 'east'],
		seed: 11,
		services: [{
			service: 'desk',
			upstreamCount: 4,
			slotsPerUpstream: 4,
			behavior: {durationMilliseconds: {default: shortMilliseconds, price: shortMilliseconds, audit: longMilliseconds}, durationKind: 'fixed'},
			rows: rows.map(row => rowSchema.parse(row)),
		}],
		entrySettings: {leaving: {noticeMilliseconds: 100, graceMilliseconds: 5000}, observability: {reviewIntervalMilliseconds: 1000}},
	});
});

afterAll(async () => {
	await fleet.stop();
	fs.rmSync(temporaryFolder, {recursive: true});
});

/** Sends calls to one entry, at most 4 at a time; each call must succeed. */
async function sendCalls(index: number, operation: 'price' | 'audit', count: number): Promise<void> {
	const {address} = fleet.entries[index]!;
	let remainingCalls = count;
	await Promise.all(Array.from({length: 4}, async () => {
		while (remainingCalls > 0) {
			remainingCalls--;
			const startedAt = performance.now();
			const response = await undici.request(`http://${address}/desk/${operation}`);
			await response.body.dump();
			callerMilliseconds[operation].push(performance.now() - startedAt);
			expect(response.statusCode).toBe(200);
		}
	}));
}

/** Reads the interval records of an entry. */
async function readIntervalRecords(entry: string) {
	const page = await createHttpLog(fleet.logUrl).read(intervalStream, 0, {limit: 100_000, waitMilliseconds: 0, timeoutMilliseconds: 10_000});
	return page._unsafeUnwrap().records.map(record => intervalRecordSchema.parse(record.value)).filter(record => record.holding.entry === entry);
}

async function countRecordedCalls(entry: string): Promise<number> {
	const all = await readIntervalRecords(entry);
	const records = new Map(all.map(record => [record.id, record]));
	const cells = [...records.values()].flatMap(record => record.services.flatMap(service => service.cells));
	return cells.reduce((sum, cell) => sum + Object.values(cell.calls).reduce((calls, count) => calls + count, 0), 0);
}

async function runReview(format: string): Promise<string> {
	const settings = path.join(temporaryFolder, 'settings.json');
	fs.writeFileSync(settings, JSON.stringify({logUrl: fleet.logUrl, silenceMilliseconds: 1000}));
	return new Promise((resolve, reject) => {
		childProcess.execFile(process.execPath, ['dist/fescuering-review.mjs', '--settings', settings, '--format', format], {maxBuffer: 10_000_000}, (error, output) => {
			if (error) {
				reject(new Error('fescuering-review failed', {cause: error}));
			} else {
				resolve(output);
			}
		});
	});
}

const quantilesSchema = z.object({
	p50: z.number(), p90: z.number(), p99: z.number(), p999: z.number(),
});
const reportSchema = z.object({
	services: z.array(z.object({
		service: z.string(),
		latency: z.array(z.object({
			place: z.string(), operation: z.string(), calls: z.number(), answered: z.number(), total: quantilesSchema, upstream: quantilesSchema,
		})),
		blocking: z.array(z.object({operation: z.string(), shortCalls: z.number()})),
		crest: z.object({activeSeconds: z.number(), rows: z.array(z.object({offered: z.number(), answered: z.number()}))}),
		measurement: z.object({budgetPerSecond: z.number()}),
	})),
	gaps: z.array(z.object({entry: z.string(), records: z.number().optional()})),
	overlaps: z.number(),
});

test('after an outage of the log, the review counts each call once and reports the gap of a killed entry', async () => {
	await sendJson(`${fleet.logUrl}/control`, 'PUT', {lostAnswerShare: 1});
	await Promise.all([sendCalls(0, 'price', 300), sendCalls(1, 'audit', 40), sendCalls(2, 'price', 200)]);
	await vi.waitFor(async () => {
		for (const {name} of fleet.entries) {
			const records = await readIntervalRecords(name);
			expect(new Set(records.map(record => record.id)).size).toBeLessThan(records.length);
		}
	}, waitOptions);
	await sendJson(`${fleet.logUrl}/control`, 'PUT', {lostAnswerShare: 0});
	await vi.waitFor(async () => {
		expect(await countRecordedCalls('entry-3')).toBe(200);
	}, waitOptions);

	await sendJson(`${fleet.logUrl}/control`, 'PUT', {down: true});
	await sendCalls(2, 'price', 30);
	const [first, second, killed] = fleet.entries;
	await killed!.program.stop('SIGKILL');
	await Promise.all([sendCalls(0, 'price', 100), sendCalls(1, 'audit', 20), sendCalls(1, 'price', 50)]);
	await sendJson(`${fleet.logUrl}/control`, 'PUT', {down: false});
	expect(await Promise.all([first!.program.stop('SIGTERM'), second!.program.stop('SIGTERM')])).toEqual([0, 0]);
	await new Promise(resolve => {
		setTimeout(resolve, 1500);
	});

	const report = reportSchema.parse(JSON.parse(await runReview('json')));
	const [desk] = report.services;
	const calls = desk!.latency.map(row => [row.place, row.operation, row.calls, row.answered]);
	expect(calls).toEqual(expect.arrayContaining([
		['north', 'price', 400, 400],
		['south', 'audit', 60, 60],
		['south', 'price', 50, 50],
		['east', 'price', 200, 200],
		['all', 'price', 650, 650],
	]));
	expect(report.gaps).toEqual([{entry: 'entry-3'}]);
	expect(report.overlaps).toBe(0);
	expect(desk!.blocking.find(row => row.operation === 'price')?.shortCalls).toBeGreaterThan(0);
	expect(desk!.measurement.budgetPerSecond).toBe(10);
	expect(desk!.crest.activeSeconds).toBeGreaterThan(0);
	for (const row of desk!.crest.rows) {
		expect(row.answered).toBe(row.offered);
	}
}, 120_000);

test('reported durations lie between the duration at the upstream and the duration at the caller', async () => {
	const {services} = reportSchema.parse(JSON.parse(await runReview('json')));
	const readError = 1.008;
	const timerError = 1;
	for (const {operation, total, upstream} of services[0]!.latency) {
		const [minimumMilliseconds, measuredMilliseconds] = operation === 'audit' ? [longMilliseconds, callerMilliseconds.audit] : [shortMilliseconds, callerMilliseconds.price];
		expect(upstream.p50).toBeGreaterThanOrEqual(minimumMilliseconds - timerError);
		expect(total.p50).toBeGreaterThanOrEqual(upstream.p50 / readError);
		expect(total.p50).toBeLessThanOrEqual(Math.max(...measuredMilliseconds) * readError);
	}
});

test('all output formats contain the same figures', async () => {
	const rows = z.array(z.record(z.string(), z.string())).parse(csv.parse(await runReview('csv'), {columns: true}));
	expect(rows).toContainEqual({
		measure: 'tail-latency', service: 'desk', place: 'all', operation: 'price', name: 'offered', unit: 'calls', value: '650',
	});
	const text = await runReview('text');
	expect(text).toMatch(/^all +price .* 650 +650 +0 +0 +0$/mv);
	expect(text).toContain('entry-3 (east');
	const page = await runReview('html');
	expect(page.match(/<svg/gv)?.length).toBe(7);
	expect(page).toContain('latency in milliseconds, log scale');
});
