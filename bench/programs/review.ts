/**
Measures how long `fescuering-review` takes to read the figures of periods of several lengths.

One day of interval records is generated with a fixed seed, rolled up, and its roll-ups are repeated for the days before.
*/
import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as fs from 'node:fs';
import * as os from 'node:os';
import process from 'node:process';
import * as cac from 'cac';
import * as pureRand from 'pure-rand';
import {createMerger} from '../../src/decisions/review/merge.ts';
import {createReviewRecorder} from '../../src/decisions/review/recorder.ts';
import {
	dayMilliseconds, dayStream, hourMilliseconds, hourStream, intervalStream, type IntervalRecord, type RollUp,
} from '../../src/decisions/review/records.ts';
import {createDueRollUps} from '../../src/decisions/review/roll-up.ts';
import {createHttpLog} from '../../src/platform/http-log.ts';
import {createLogService} from '../../stand-ins/log-service.ts';

const minuteMilliseconds = 60_000;
const minutesPerDay = 1440;
const unrolledMinutes = 120;
const appendTimeoutMilliseconds = 10_000;

const command = cac.cac('bench-review');
command
	.option('--entries <count>', 'Entries', {default: 15})
	.option('--calls <count>', 'Calls per entry and minute', {default: 60})
	.option('--days <list>', 'Lengths of the periods in days', {default: '1,7,30'})
	.option('--places <list>', 'Failure domains', {default: 'north,south,east'})
	.option('--services <list>', 'Services with their operations', {default: 'orders:list+check+confirm,ledger:redeem+view'})
	.option('--page <file>', 'File for the page of the longest period')
	.help();
const {options} = command.parse();
const places = String(options.places).split(',');
const services = String(options.services).split(',').map(text => {
	const [service = '', operations = ''] = text.split(':');
	return {service, operations: operations.split('+')};
});
const random = pureRand.xoroshiro128plus(20_261_204);

function draw(): number {
	return pureRand.unsafeUniformIntDistribution(0, 999_999, random) / 1_000_000;
}

/** Creates the records of one day; the rate of calls has a peak in the middle of the day. */
function createDay(start: number): IntervalRecord[] {
	const recorders = Array.from({length: Number(options.entries)}, (_value, index) => {
		const failureDomain = places[index % places.length]!;
		return {failureDomain, recorder: createReviewRecorder({entry: `entry-${index}`, incarnation: `entry-${index}-1`, failureDomain}, start)};
	});
	const records: IntervalRecord[] = [];
	for (let minute = 0; minute < minutesPerDay; minute++) {
		const from = start + (minute * minuteMilliseconds);
		const load = 0.2 + (1.6 * (Math.sin(Math.PI * minute / minutesPerDay) ** 8));
		for (const {failureDomain, recorder} of recorders) {
			recordMinute(recorder, failureDomain, from, load);
			records.push(...recorder.cut(from + minuteMilliseconds, false));
		}
	}

	return records;
}

function recordMinute(recorder: ReturnType<typeof createReviewRecorder>, failureDomain: string, from: number, load: number): void {
	const calls = Math.round(Number(options.calls) * load);
	for (let call = 0; call < calls; call++) {
		const {service, operations} = services[Math.floor(draw() * services.length)]!;
		const index = Math.floor(draw() * operations.length);
		const isLong = index === operations.length - 1;
		const upstreamMilliseconds = (isLong ? 400 : 20) * (0.5 - Math.log(1 - draw()));
		const queuedMilliseconds = load * 4 * -Math.log(1 - draw());
		const isRefused = load > 1.6 && draw() < 0.03;
		recorder.record({
			service,
			operation: operations[index]!,
			failureDomain,
			isLong,
			result: isRefused ? 'refused' : 'answered',
			outcome: isRefused ? 'not-run' : 'ran',
			attempts: isRefused ? 0 : 1,
			totalMilliseconds: upstreamMilliseconds + queuedMilliseconds,
			queuedMilliseconds,
			behindLongMilliseconds: isLong || draw() > 0.1 ? 0 : queuedMilliseconds / 2,
			upstreamMilliseconds,
		}, from + 2000 + Math.floor(draw() * 57_000));
	}

	for (const {service} of services) {
		recorder.setBudget(service, 10);
		for (let second = 0; second < 60; second += 2) {
			recorder.recordMeasurement({
				service, upstream: `${service}-${Math.floor(draw() * 14)}`, failureDomain, kind: 'poll', durationMilliseconds: 1,
			}, from + (second * 1000));
		}
	}
}

function repeatDay(rollUp: RollUp, days: number): RollUp {
	const shift = days * dayMilliseconds;
	return {
		...rollUp,
		id: `${rollUp.id}/${days}`,
		start: rollUp.start - shift,
		holdings: rollUp.holdings.map(holding => ({
			...holding,
			incarnation: `${holding.incarnation}/${days}`,
			ranges: holding.ranges.map(range => ({...range, from: range.from - shift, to: range.to - shift})),
			isFinal: true,
		})),
	};
}

async function measure(day: number, records: readonly IntervalRecord[], days: number, page: string | undefined): Promise<void> {
	const service = await createLogService({faults: {retentionMilliseconds: 100 * dayMilliseconds, appendsPerSecond: 1_000_000}});
	const log = createHttpLog(service.url);
	const append = async (stream: string, id: string, value: unknown) => {
		const appended = await log.append(stream, id, value, appendTimeoutMilliseconds);
		appended._unsafeUnwrap();
	};

	const merger = createMerger();
	for (const record of records) {
		merger.addInterval(record);
	}

	const settle = {hourSettleMilliseconds: 0, daySettleMilliseconds: 0};
	const dayRollUps = createDueRollUps(merger.getSlices(), day + dayMilliseconds, settle);
	for (let before = days - 1; before > 0; before--) {
		for (const rollUp of dayRollUps) {
			const repeated = repeatDay(rollUp, before);
			await append(dayStream, repeated.id, repeated);
		}
	}

	const unrolledFrom = day + dayMilliseconds - (unrolledMinutes * minuteMilliseconds);
	for (const rollUp of createDueRollUps(merger.getSlices(), unrolledFrom, settle)) {
		await append(hourStream, rollUp.id, rollUp);
	}

	for (const record of records.filter(candidate => candidate.holding.ranges[0]!.from >= unrolledFrom - hourMilliseconds)) {
		await append(intervalStream, record.id, record);
	}

	await runReview(service.url, {day, days, ...(page === undefined ? {} : {page})});
	const streams = [dayStream, hourStream, intervalStream].map(name => `${name}=${service.getRecords(name).length}/${Math.round(JSON.stringify(service.getRecords(name)).length / 1024)}KiB`);
	process.stdout.write(`  streams: ${streams.join(' ')}\n`);
	await service.close();
}

type Period = {readonly day: number; readonly days: number; readonly page?: string};

async function runReview(logUrl: string, {day, days, page}: Period): Promise<void> {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bench-review-'));
	const settings = path.join(folder, 'settings.json');
	fs.writeFileSync(settings, JSON.stringify({logUrl}));
	const output = page ?? path.join(folder, 'page.html');
	const program = path.join(import.meta.dirname, 'fescuering-review.mjs');
	const startedAt = performance.now();
	const end = day + dayMilliseconds;
	const child = childProcess.spawn(process.execPath, [
		program,
		'--settings',
		settings,
		'--from',
		new Date(end - (days * dayMilliseconds)).toISOString(),
		'--to',
		new Date(end).toISOString(),
		'--format',
		'html',
		'--output',
		output,
	], {stdio: 'inherit'});
	const code = await new Promise<number | undefined>(resolve => {
		child.on('exit', resolve);
	});
	process.stdout.write(`days=${days} intervalRecordsRepresented=${days * minutesPerDay * Number(options.entries)} seconds=${((performance.now() - startedAt) / 1000).toFixed(2)} exit=${code}\n`);
	fs.rmSync(folder, {recursive: true});
}

if (options.help !== true) {
	const day = Date.UTC(2026, 10, 30);
	const startedAt = performance.now();
	const records = createDay(day);
	process.stdout.write(`generated=${records.length} seconds=${((performance.now() - startedAt) / 1000).toFixed(1)} meanBytes=${Math.round(JSON.stringify(records.slice(-1000)).length / 1000)}\n`);
	const periods = String(options.days).split(',').map(Number);
	for (const days of periods) {
		const isLast = days === periods.at(-1);
		await measure(day, records, days, isLast && typeof options.page === 'string' ? options.page : undefined);
	}
}
