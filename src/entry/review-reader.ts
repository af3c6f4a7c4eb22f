/** Reads the review figures from the log: days and hours that are rolled up, then the records not yet held by them. */
import * as timers from 'node:timers/promises';
import * as neverthrow from 'neverthrow';
import type * as z from 'zod';
import {
	createMerger, getDayStart, sortRollUps, type Merger,
} from '../decisions/review/merge.ts';
import {getHourStart} from '../decisions/review/recorder.ts';
import {
	dayStream, dayStreamSchema, hourStream, intervalRecordSchema, intervalStream, rollUpSchema, type Mark, type RollUp,
} from '../decisions/review/records.ts';
import {type LogHost, type LogRecord, type PlatformError} from '../platform/types.ts';

/** Records in one page; roll-ups are larger than records of intervals, and a page is parsed at one go. */
const pageLimits: Readonly<Record<string, number>> = {[intervalStream]: 50, [hourStream]: 4, [dayStream]: 8};
const readTimeoutMilliseconds = 10_000;
/** Attempts at one page before reading is given up. */
const largestAttempts = 5;
const pauseMilliseconds = 500;

/** A roll-up and when it was last appended. */
export type StoredRollUp = {readonly rollUp: RollUp; readonly offset: number; readonly appendedAt: number};

export type ReviewContents = {
	readonly merger: Merger;
	readonly rollUps: readonly StoredRollUp[];
	/** Ids of the marks that were read. */
	readonly marks: ReadonlySet<string>;
	/** Lowest offset of a record that was not held by a roll-up, by the start of its hour. */
	readonly unheldIntervals: ReadonlyMap<number, number>;
	/** Lowest offset of a roll-up of an hour, by the start of its day. */
	readonly hourOffsets: ReadonlyMap<number, number>;
	/** Ends of the streams as they were read. */
	readonly intervalEnd: number;
	readonly hourEnd: number;
	/** Interval records read. */
	readonly records: number;
	/** Records that did not fit their schema. */
	readonly invalidRecords: number;
};

type Counts = {invalid: number};

/** Reads everything that the log keeps of the review figures. */
export async function readReview(log: Pick<LogHost, 'read'>): Promise<neverthrow.Result<ReviewContents, PlatformError>> {
	try {
		return neverthrow.ok(await readContents(log));
	} catch (error) {
		if (error instanceof ReadError) {
			return neverthrow.err(error.platformError);
		}

		throw error;
	}
}

async function readContents(log: Pick<LogHost, 'read'>): Promise<ReviewContents> {
	const counts: Counts = {invalid: 0};
	const stored: StoredRollUp[] = [];
	const marks: Mark[] = [];
	await readStream(log, dayStream, 0, record => {
		const value = tryParse(dayStreamSchema, record, counts);
		if (value?.kind === 'mark') {
			marks.push(value);
		} else if (value) {
			stored.push({rollUp: value, offset: record.offset, appendedAt: record.appendedAt});
		}
	});
	const hourOffsets = new Map<number, number>();
	const hourEnd = await readStream(log, hourStream, Math.max(0, ...marks.map(mark => mark.hourOffset)), record => {
		const rollUp = tryParse(rollUpSchema, record, counts);
		if (rollUp) {
			stored.push({rollUp, offset: record.offset, appendedAt: record.appendedAt});
			setLowest(hourOffsets, getDayStart(rollUp.start), record.offset);
		}
	});
	const merger = createMerger();
	for (const rollUp of sortRollUps(stored.map(one => one.rollUp))) {
		merger.addRollUp(rollUp);
		await timers.setImmediate();
	}

	const unheldIntervals = new Map<number, number>();
	let records = 0;
	const intervalEnd = await readStream(log, intervalStream, Math.max(0, ...marks.map(mark => mark.intervalOffset)), record => {
		const value = tryParse(intervalRecordSchema, record, counts);
		records++;
		if (value && merger.addInterval(value)) {
			setLowest(unheldIntervals, getHourStart(value.holding.ranges[0]!.from), record.offset);
		}
	});
	return {
		merger, rollUps: stored, marks: new Set(marks.map(mark => mark.id)), unheldIntervals, hourOffsets, intervalEnd, hourEnd, records, invalidRecords: counts.invalid,
	};
}

function setLowest(target: Map<number, number>, key: number, offset: number): void {
	target.set(key, Math.min(target.get(key) ?? offset, offset));
}

function tryParse<Value>(schema: z.ZodType<Value>, record: LogRecord, counts: Counts): Value | undefined {
	const parsed = schema.safeParse(record.value);
	if (!parsed.success) {
		counts.invalid++;
	}

	return parsed.data;
}

class ReadError extends Error {
	override name = 'ReadError';

	constructor(readonly platformError: PlatformError) {
		super(platformError.message);
	}
}

/** Looks for a record of the stream of days by its id, from an offset on; also returns where to look on from. */
export async function findDayRecord(log: Pick<LogHost, 'read'>, id: string, fromOffset: number): Promise<{isFound: boolean; nextOffset: number}> {
	let isFound = false;
	try {
		const nextOffset = await readStream(log, dayStream, fromOffset, record => {
			isFound ||= record.id === id;
		});
		return {isFound, nextOffset};
	} catch (error) {
		if (error instanceof ReadError) {
			return {isFound, nextOffset: fromOffset};
		}

		throw error;
	}
}

/** Reads a stream to its end, giving way to other work after each record; returns the offset of the end. */
async function readStream(log: Pick<LogHost, 'read'>, stream: string, fromOffset: number, add: (record: LogRecord) => void): Promise<number> {
	let offset = fromOffset;
	for (;;) {
		const page = await readPage(log, stream, offset);
		for (const record of page.records) {
			add(record);
			await timers.setImmediate();
		}

		const next = Math.max(page.nextOffset, page.firstOffset);
		if (page.records.length === 0 || next <= offset) {
			return Math.max(offset, next);
		}

		offset = next;
	}
}

async function readPage(log: Pick<LogHost, 'read'>, stream: string, offset: number) {
	for (let attempt = 1; ; attempt++) {
		const page = await log.read(stream, offset, {limit: pageLimits[stream] ?? 1, waitMilliseconds: 0, timeoutMilliseconds: readTimeoutMilliseconds});
		if (page.isOk()) {
			return page.value;
		}

		if (attempt === largestAttempts) {
			throw new ReadError(page.error);
		}

		await timers.setTimeout(pauseMilliseconds * attempt);
	}
}
