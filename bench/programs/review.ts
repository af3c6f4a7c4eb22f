/**
Measures how long `fescuering-review` takes to create a report over periods of several lengths.

The program generates one day of interval records with a fixed seed and rolls them up. Each earlier day of a period is
a copy of these roll-ups, shifted in time.
*/
import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as performanceHooks from 'node:perf_hooks';
import process from 'node:process';
import * as cac from 'cac';
import * as pureRand from 'pure-rand';
import {createMerger} from '../../src/decisions/review/merge-records.ts';
import {createReviewRecorder} from '../../src/decisions/review/recorder.ts';
import {
	dayMilliseconds, dayStream, hourMilliseconds, hourStream, intervalStream, type IntervalRecord, type RollUp,
} from '../../src/decisions/review/records.ts';
import {createDueRollUps} from '../../src/decisions/review/roll-up.ts';
import {createLogger} from '../../src/observability/logger.ts';
import {createHttpLog} from '../../src/platform/http-log.ts';
import {type LogHost} from '../../src/platform/types.ts';
import {createReviewRollUp} from '../../src/entry/review-roll-up.ts';
import {sendJson} from '../../stand-ins/fleet.ts';
import {parseReadyLine, startProgram} from '../../stand-ins/processes.ts';

const minuteMilliseconds = 60_000;
const minutesPerDay = 1440;
/** Length of the end of the last day that is not rolled up. */
const unrolledMinutes = 120;
const appendTimeoutMilliseconds = 10_000;

const command = cac.cac('bench-review');
command
	.option('--entries <count>', 'Number of entries', {default: 15})
	.option('--calls <count>', 'Calls per entry and minute', {default: 60})
	.option('--days <list>', 'Lengths of the measured periods in days', {default: '1,7,30'})
	.option('--places <list>', 'Failure domains', {default: 'north,south,east'})
	.option('--services <list>', 'Services with their operations; the last operation of each is long', {default: 'orders:list+check+confirm,ledger:redeem+view'})
	.option('--page <file>', 'File to which the page of the last period is written')
	.help();
const {options} = command.parse();
const failureDomains = String(options.places).split(',');
const services = String(options.services).split(',').map(text => {
	const [service = '', operations = ''] = text.split(':');
	return {service, operations: operations.split('+')};
});
const random = pureRand.xoroshiro128plus(20_261_204);

/** Draws a number from 0 up to, but not including, 1. */
function drawFraction(): number {
	return pureRand.unsafeUniformIntDistribution(0, 999_999, random) / 1_000_000;
}

/** Creates the interval records of one day. The rate of calls peaks in the middle of the day. */
function createDayRecords(start: number): IntervalRecord[] {
	const recorders = Array.from({length: Number(options.entries)}, (_value, index) => {
		const failureDomain = failureDomains[index % failureDomains.length]!;
		return {failureDomain, recorder: createReviewRecorder({entry: `entry-${index}`, incarnation: `entry-${index}-1`, failureDomain}, start)};
	});
	const records: IntervalRecord[] = [];
	for (let minute = 0; minute < minutesPerDay; minute++) {
		const from = start + (minute * minuteMilliseconds);
		const load = 0.2 + (1.6 * (Math.sin(Math.PI * minute / minutesPerDay) ** 8));
		for (const {failureDomain, recorder} of recorders) {
			recordMinute(recorder, failureDomain, from, load);
			records.push(...recorder.endInterval(from + minuteMilliseconds, false));
		}
	}

	return records;
}

function recordMinute(recorder: ReturnType<typeof createReviewRecorder>, failureDomain: string, from: number, load: number): void {
	const calls = Math.round(Number(options.calls) * load);
	for (let call = 0; call < calls; call++) {
		const {service, operations} = services[Math.floor(drawFraction() * services.length)]!;
		const index = Math.floor(drawFraction() * operations.length);
		const isLong = index === operations.length - 1;
		const upstreamMilliseconds = (isLong ? 400 : 20) * (0.5 - Math.log(1 - drawFraction()));
		const queuedMilliseconds = load * 4 * -Math.log(1 - drawFraction());
		const isRefused = load > 1.6 && drawFraction() < 0.03;
		recorder.recordCall({
			service,
			operation: operations[index]!,
			failureDomain,
			isLong,
			result: isRefused ? 'refused' : 'answered',
			outcome: isRefused ? 'not-run' : 'ran',
			attempts: isRefused ? 0 : 1,
			totalMilliseconds: upstreamMilliseconds + queuedMilliseconds,
			queuedMilliseconds,
			behindLongMilliseconds: isLong || drawFraction() > 0.1 ? 0 : queuedMilliseconds / 2,
			upstreamMilliseconds,
		}, from + 2000 + Math.floor(drawFraction() * 57_000));
	}

	for (const {service} of services) {
		recorder.setMeasurementBudget(service, 10);
		for (let second = 0; second < 60; second += 2) {
			recorder.recordMeasurement({
				service, upstream: `${service}-${Math.floor(drawFraction() * 14)}`, failureDomain, kind: 'poll', durationMilliseconds: 1,
			}, from + (second * 1000));
		}
	}
}

/** Copies a roll-up to an earlier day. */
function shiftRollUp(rollUp: RollUp, days: number): RollUp {
	const shiftMilliseconds = days * dayMilliseconds;
	return {
		...rollUp,
		id: `${rollUp.id}/${days}`,
		start: rollUp.start - shiftMilliseconds,
		holdings: rollUp.holdings.map(holding => ({
			...holding,
			incarnation: `${holding.incarnation}/${days}`,
			ranges: holding.ranges.map(range => ({...range, from: range.from - shiftMilliseconds, to: range.to - shiftMilliseconds})),
			isFinal: true,
		})),
	};
}

/** Fills the log of a new platform with the records of a period, then measures the report and one roll-up run. */
async function measurePeriod(day: number, records: readonly IntervalRecord[], days: number, page: string | undefined): Promise<void> {
	const platform = await startProgram('stand-in-platform');
	const logUrl = parseReadyLine(platform.readyLine).get('log')!;
	await sendJson(`${logUrl}/control`, 'PUT', {retentionMilliseconds: 100 * dayMilliseconds, appendsPerSecond: 1_000_000});
	const log = createHttpLog(logUrl);
	const bytesByStream = new Map<string, number>();
	const append = async (stream: string, id: string, value: unknown) => {
		const appended = await log.append(stream, id, value, appendTimeoutMilliseconds);
		appended._unsafeUnwrap();
		bytesByStream.set(stream, (bytesByStream.get(stream) ?? 0) + JSON.stringify(value).length);
	};

	const merger = createMerger();
	for (const record of records) {
		merger.addInterval(record);
	}

	const settleOptions = {hourSettleMilliseconds: 0, daySettleMilliseconds: 0};
	const dayRollUps = createDueRollUps(merger.listSlices(), day + dayMilliseconds, settleOptions);
	for (let daysBefore = days - 1; daysBefore > 0; daysBefore--) {
		for (const rollUp of dayRollUps) {
			const shiftedRollUp = shiftRollUp(rollUp, daysBefore);
			await append(dayStream, shiftedRollUp.id, shiftedRollUp);
		}
	}

	const unrolledFrom = day + dayMilliseconds - (unrolledMinutes * minuteMilliseconds);
	for (const rollUp of createDueRollUps(merger.listSlices(), unrolledFrom, settleOptions)) {
		await append(hourStream, rollUp.id, rollUp);
	}

	for (const record of records.filter(candidate => candidate.holding.ranges[0]!.from >= unrolledFrom - hourMilliseconds)) {
		await append(intervalStream, record.id, record);
	}

	await runReview(logUrl, {day, days, ...(page === undefined ? {} : {page})});
	const streams = [...bytesByStream].map(([stream, sum]) => `${stream}=${Math.round(sum / 1024)}KiB`);
	process.stdout.write(`  streams: ${streams.join(' ')}\n`);
	await measureRollUpRun(log, day + dayMilliseconds - hourMilliseconds + (15 * minuteMilliseconds));
	await platform.stop();
}

/** Measures one roll-up run of an entry: its processor time and how long it blocks the event loop. */
async function measureRollUpRun(log: LogHost, now: number): Promise<void> {
	const delays = performanceHooks.monitorEventLoopDelay({resolution: 1});
	const cpuBefore = process.cpuUsage();
	delays.enable();
	const rollUp = createReviewRollUp({log, logger: createLogger('error'), now: () => now}, {incarnation: 'bench', retentionMilliseconds: 100 * dayMilliseconds, keepMilliseconds: 100 * dayMilliseconds});
	const appended = await rollUp.run();
	delays.disable();
	const cpu = process.cpuUsage(cpuBefore);
	process.stdout.write(`  turn: rollUps=${appended._unsafeUnwrap()} cpuSeconds=${((cpu.user + cpu.system) / 1_000_000).toFixed(2)} longestStallMilliseconds=${(delays.max / 1_000_000).toFixed(1)} p99StallMilliseconds=${(delays.percentile(99) / 1_000_000).toFixed(1)}\n`);
}

const recordedCalls = 200_000;

/** Measures the cost of recording one call, and the cost per operation of cutting an interval. */
function measureRecorder(): void {
	const recorder = createReviewRecorder({entry: 'entry', incarnation: 'entry-1', failureDomain: 'north'}, 0);
	const operations = 100;
	const startedAt = performance.now();
	for (let call = 0; call < recordedCalls; call++) {
		recorder.recordCall({
			service: 'orders',
			operation: `operation-${call % operations}`,
			failureDomain: 'north',
			isLong: false,
			result: 'answered',
			outcome: 'ran',
			attempts: 1,
			totalMilliseconds: 5 + (call % 997),
			queuedMilliseconds: call % 91,
			behindLongMilliseconds: call % 7,
			upstreamMilliseconds: 5 + (call % 499),
		}, 60_000 + (call % 1000));
	}

	const recordedAt = performance.now();
	const bytes = JSON.stringify(recorder.endInterval(120_000, false)).length;
	process.stdout.write(`recordMicroseconds=${((recordedAt - startedAt) * 1000 / recordedCalls).toFixed(2)} cutMillisecondsPerOperation=${((performance.now() - recordedAt) / operations).toFixed(3)} bytesPerOperation=${Math.round(bytes / operations)}\n`);
}

type Period = {readonly day: number; readonly days: number; readonly page?: string};

/** Runs `fescuering-review` over a period and prints the seconds that it took. */
async function runReview(logUrl: string, {day, days, page}: Period): Promise<void> {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bench-review-'));
	const settingsPath = path.join(folder, 'settings.json');
	fs.writeFileSync(settingsPath, JSON.stringify({logUrl}));
	const outputPath = page ?? path.join(folder, 'page.html');
	const programPath = path.join(import.meta.dirname, 'fescuering-review.mjs');
	const startedAt = performance.now();
	const end = day + dayMilliseconds;
	const child = childProcess.spawn(process.execPath, [
		programPath,
		'--settings',
		settingsPath,
		'--from',
		new Date(end - (days * dayMilliseconds)).toISOString(),
		'--to',
		new Date(end).toISOString(),
		'--format',
		'html',
		'--output',
		outputPath,
	], {stdio: 'inherit'});
	const exitCode = await new Promise<number | undefined>(resolve => {
		child.on('exit', resolve);
	});
	process.stdout.write(`days=${days} intervalRecordsRepresented=${days * minutesPerDay * Number(options.entries)} seconds=${((performance.now() - startedAt) / 1000).toFixed(2)} exit=${exitCode}\n`);
	fs.rmSync(folder, {recursive: true});
}

if (options.help !== true) {
	measureRecorder();
	const day = Date.UTC(2026, 10, 30);
	const startedAt = performance.now();
	const records = createDayRecords(day);
	process.stdout.write(`generated=${records.length} seconds=${((performance.now() - startedAt) / 1000).toFixed(1)} meanBytes=${Math.round(JSON.stringify(records.slice(-1000)).length / 1000)}\n`);
	const periods = String(options.days).split(',').map(Number);
	for (const days of periods) {
		const isLast = days === periods.at(-1);
		await measurePeriod(day, records, days, isLast && typeof options.page === 'string' ? options.page : undefined);
	}
}
