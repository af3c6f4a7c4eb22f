import * as neverthrow from 'neverthrow';
import * as vitest from 'vitest';
import {type CallObservation} from '../decisions/review/observation.ts';
import {createReviewRecorder} from '../decisions/review/recorder.ts';
import {
	dayMilliseconds, dayStream, hourMilliseconds, hourStream, intervalStream,
} from '../decisions/review/records.ts';
import {createReport} from '../decisions/review/report.ts';
import {type Logger} from '../observability/logger.ts';
import {type LogHost, type LogRecord} from '../platform/types.ts';
import {readReview, type ReviewContents} from './review-reader.ts';
import {createReviewRollUp, getNextTurnAt} from './review-roll-up.ts';
import {createReviewWriter, type ReviewWriter} from './review-writer.ts';

const {expect, test, vi} = vitest;

const start = Date.UTC(2026, 10, 2, 8);
const silentLogger = {
	error: vi.fn<Logger['error']>(), warn: vi.fn<Logger['warn']>(), info: vi.fn<Logger['info']>(), debug: vi.fn<Logger['debug']>(),
};

const observation: CallObservation = {
	service: 'desk',
	operation: 'price',
	failureDomain: 'riverside',
	isLong: false,
	result: 'answered',
	outcome: 'ran',
	attempts: 1,
	totalMilliseconds: 20,
	queuedMilliseconds: 4,
	behindLongMilliseconds: 0,
	upstreamMilliseconds: 15,
};

/** Creates an in-memory log; `getFailure` decides for each append whether it is refused or its answer is lost. */
function createTestLog(clock: {now: number}, getFailure: () => 'refused' | 'lost' | undefined = () => undefined) {
	const streams = new Map<string, LogRecord[]>();
	const expired = new Map<string, number>();
	const getStream = (name: string) => {
		const stream = streams.get(name) ?? [];
		streams.set(name, stream);
		return stream;
	};

	const log: LogHost = {
		append(name, id, value) {
			const stream = getStream(name);
			const failure = getFailure();
			if (failure !== 'refused') {
				stream.push({
					offset: stream.length, id, appendedAt: clock.now, value: structuredClone(value),
				});
			}

			return failure ? neverthrow.errAsync({kind: failure, message: 'test'}) : neverthrow.okAsync(stream.length - 1);
		},
		read(name, from, {limit}) {
			const stream = getStream(name);
			const firstOffset = expired.get(name) ?? 0;
			const first = Math.min(Math.max(from, firstOffset), stream.length);
			const records = stream.slice(first, first + limit);
			return neverthrow.okAsync({firstOffset, nextOffset: first + records.length, records});
		},
	};
	return {log, getStream, expire: (name: string) => expired.set(name, getStream(name).length)};
}

function createTestWriter(log: LogHost, clock: {now: number}): ReviewWriter {
	return createReviewWriter({
		log, logger: silentLogger, now: () => clock.now, random: () => 0,
	}, {
		entry: 'a', incarnation: 'a-1', failureDomain: 'riverside', intervalMilliseconds: 20,
	});
}

async function read(log: LogHost): Promise<ReviewContents> {
	const contents = await readReview(log);
	return contents._unsafeUnwrap();
}

async function createTestReport(log: LogHost, now: number) {
	const {merger} = await read(log);
	return createReport(merger, {
		from: start, to: now, now, silenceMilliseconds: dayMilliseconds,
	});
}

test('retried appends after a lost answer or a refusal count each call once', async () => {
	const clock = {now: start};
	const failures = ['lost', undefined, 'refused', 'lost'] as const;
	let appends = 0;
	const {log, getStream} = createTestLog(clock, () => failures[appends++]);
	const writer = createTestWriter(log, clock);
	writer.start();
	for (let call = 0; call < 3; call++) {
		writer.record(observation);
		const before = getStream(intervalStream).length;
		await vi.waitFor(() => {
			expect(getStream(intervalStream).length).toBeGreaterThan(before);
		}, {timeout: 20_000});
		clock.now += 1000;
	}

	expect(await writer.flushAndClose(20_000)).toBe(true);
	const report = await createTestReport(log, start + hourMilliseconds);
	expect(report.services[0]?.latency[0]).toMatchObject({calls: 3, answered: 3});
	expect(report).toMatchObject({gaps: [], overlaps: 0});
	expect(new Set(getStream(intervalStream).map(record => record.id)).size).toBeLessThan(getStream(intervalStream).length);
});

test('a log outage merges pending records by hour, and drops the oldest hours with an error log and a reported gap', async () => {
	const clock = {now: start};
	let isDown = true;
	const {log} = createTestLog(clock, () => (isDown ? 'refused' : undefined));
	const writer = createTestWriter(log, clock);
	const hours = 60;
	for (let step = 0; step < hours * 4; step++) {
		writer.record(observation);
		clock.now += hourMilliseconds / 4;
	}

	writer.start();
	await vi.waitFor(() => {
		expect(writer.countPending()).toBeGreaterThan(40);
	}, {timeout: 20_000});
	isDown = false;
	clock.now += 1;
	expect(await writer.flushAndClose(20_000)).toBe(true);
	const report = await createTestReport(log, clock.now);
	const calls = report.services[0]?.latency[0]?.calls ?? 0;
	const missing = report.gaps.reduce((sum, gap) => sum + (gap.records ?? 0), 0);
	expect(missing).toBeGreaterThan(0);
	expect(silentLogger.error).toHaveBeenCalledTimes(missing);
	expect(calls + (missing * 4)).toBe(hours * 4);
});

test('roll-ups that several entries append repeatedly preserve the figures after the interval records and hour roll-ups expire', async () => {
	const clock = {now: start};
	const {log, getStream, expire} = createTestLog(clock);
	const recorders = ['a', 'b'].map(entry => createReviewRecorder({entry, incarnation: `${entry}-1`, failureDomain: 'riverside'}, start));
	const rollUps = ['a', 'b'].map(entry => createReviewRollUp({log, logger: silentLogger, now: () => clock.now}, {
		incarnation: `${entry}-1`, retentionMilliseconds: 40 * hourMilliseconds, keepMilliseconds: 60 * dayMilliseconds,
	}));
	const hours = 72;
	for (let step = 1; step <= hours * 4; step++) {
		clock.now += hourMilliseconds / 4;
		for (const [index, recorder] of recorders.entries()) {
			recorder.recordCall(observation, clock.now - 100);
			for (const record of recorder.endInterval(clock.now, step === hours * 4)) {
				await log.append(intervalStream, record.id, record, 1000);
			}

			if (step % 4 === index) {
				await Promise.all(rollUps.map(async rollUp => rollUp.run()));
			}
		}
	}

	const before = await createTestReport(log, clock.now);
	expect(before.services[0]?.latency[0]?.calls).toBe(hours * 4 * 2);
	clock.now += 2 * dayMilliseconds;
	for (const rollUp of rollUps) {
		await rollUp.run();
	}

	expire(intervalStream);
	expire(hourStream);
	const after = await createTestReport(log, clock.now);
	expect(after.services[0]?.latency).toEqual(before.services[0]?.latency);
	expect(after.services[0]?.crest).toEqual(before.services[0]?.crest);
	expect(after.gaps).toEqual([]);
	const contents = await read(log);
	expect(contents.intervalRecordCount).toBe(0);
	const copies = getStream(dayStream).filter(record => record.id.startsWith('day/desk/2026-11-02')).length;
	clock.now += 21 * hourMilliseconds;
	await rollUps[0]!.run();
	expect(getStream(dayStream).filter(record => record.id.startsWith('day/desk/2026-11-02')).length).toBe(copies + 1);
});

test('entries roll up at different times, after the previous hour has settled', () => {
	const turns = Array.from({length: 20}, (_value, index) => getNextTurnAt(`entry-${index}`, start));
	expect(new Set(turns).size).toBe(20);
	expect(Math.min(...turns)).toBeGreaterThanOrEqual(start + (10 * 60_000));
	expect(Math.max(...turns)).toBeLessThan(start + (50 * 60_000));
});
