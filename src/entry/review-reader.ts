/** Reads the review figures from the log: the roll-ups of days and hours, then the interval records that they do not cover. */
import * as timers from 'node:timers/promises';
import * as neverthrow from 'neverthrow';
import type * as z from 'zod';
import {
	createMerger, getDayStart, sortRollUpsBySize, type Merger,
} from '../decisions/review/merge-records.ts';
import {getHourStart} from '../decisions/review/recorder.ts';
import {
	dayStream, dayStreamSchema, hourStream, intervalRecordSchema, intervalStream, rollUpSchema, type Checkpoint, type RollUp,
} from '../decisions/review/records.ts';
import {type LogHost, type LogRecord, type PlatformError} from '../platform/types.ts';

/** Records per page, by stream; fewer for roll-ups, which are larger than interval records, because a page is parsed in one step. */
const pageLimits: Readonly<Record<string, number>> = {[intervalStream]: 50, [hourStream]: 4, [dayStream]: 8};
const readTimeoutMilliseconds = 10_000;
/** Attempts to read one page before the whole read fails. */
const maximumAttempts = 5;
const retryPauseMilliseconds = 500;

/** A copy of a roll-up in the log, with its offset and the time of its append. */
export type StoredRollUp = {readonly rollUp: RollUp; readonly offset: number; readonly appendedAt: number};

/** Review figures in the log, and the offsets that roll-ups and checkpoints are created from. */
export type ReviewContents = {
	readonly merger: Merger;
	readonly rollUps: readonly StoredRollUp[];
	/** Ids of all checkpoints in the log. */
	readonly checkpointIds: ReadonlySet<string>;
	/** Lowest offset of an interval record that no roll-up covers, by the start of its hour. */
	readonly uncoveredIntervalOffsets: ReadonlyMap<number, number>;
	/** Lowest offset of an hour's roll-up, by the start of its day. */
	readonly hourOffsets: ReadonlyMap<number, number>;
	/** End offsets of the streams at the time of the read. */
	readonly intervalEnd: number;
	readonly hourEnd: number;
	/** Number of interval records read. */
	readonly intervalRecordCount: number;
	/** Number of records that did not match their schema. */
	readonly invalidRecords: number;
};

type ParseCounts = {invalid: number};

/** Reads all review figures that the log retains. */
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
	const counts: ParseCounts = {invalid: 0};
	const storedRollUps: StoredRollUp[] = [];
	const checkpoints: Checkpoint[] = [];
	await readStream(log, dayStream, 0, record => {
		const value = tryParse(dayStreamSchema, record, counts);
		if (value?.kind === 'mark') {
			checkpoints.push(value);
		} else if (value) {
			storedRollUps.push({rollUp: value, offset: record.offset, appendedAt: record.appendedAt});
		}
	});
	const hourOffsets = new Map<number, number>();
	const hourEnd = await readStream(log, hourStream, Math.max(0, ...checkpoints.map(checkpoint => checkpoint.hourOffset)), record => {
		const rollUp = tryParse(rollUpSchema, record, counts);
		if (rollUp) {
			storedRollUps.push({rollUp, offset: record.offset, appendedAt: record.appendedAt});
			setMinimum(hourOffsets, getDayStart(rollUp.start), record.offset);
		}
	});
	const merger = createMerger();
	for (const rollUp of sortRollUpsBySize(storedRollUps.map(stored => stored.rollUp))) {
		merger.addRollUp(rollUp);
		await timers.setImmediate();
	}

	const uncoveredIntervalOffsets = new Map<number, number>();
	let intervalRecordCount = 0;
	const intervalEnd = await readStream(log, intervalStream, Math.max(0, ...checkpoints.map(checkpoint => checkpoint.intervalOffset)), record => {
		const value = tryParse(intervalRecordSchema, record, counts);
		intervalRecordCount++;
		if (value && merger.addInterval(value)) {
			setMinimum(uncoveredIntervalOffsets, getHourStart(value.holding.ranges[0]!.from), record.offset);
		}
	});
	return {
		merger, rollUps: storedRollUps, checkpointIds: new Set(checkpoints.map(checkpoint => checkpoint.id)),
		uncoveredIntervalOffsets, hourOffsets, intervalEnd, hourEnd, intervalRecordCount, invalidRecords: counts.invalid,
	};
}

/** Sets the value of a key to the offset, unless the value is lower already. */
function setMinimum(target: Map<number, number>, key: number, offset: number): void {
	target.set(key, Math.min(target.get(key) ?? offset, offset));
}

function tryParse<Value>(schema: z.ZodType<Value>, record: LogRecord, counts: ParseCounts): Value | undefined {
	const parsed = schema.safeParse(record.value);
	if (!parsed.success) {
		counts.invalid++;
	}

	return parsed.data;
}

/** Carries a platform error out of the nested reads. */
class ReadError extends Error {
	override name = 'ReadError';

	constructor(readonly platformError: PlatformError) {
		super(platformError.message);
	}
}

/** Searches the stream of days for a record id, from an offset on; also returns the offset for the next search. */
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

/** Reads a stream to its end and yields to the event loop after each record; resolves to the end offset. */
async function readStream(log: Pick<LogHost, 'read'>, stream: string, fromOffset: number, onRecord: (record: LogRecord) => void): Promise<number> {
	let offset = fromOffset;
	for (;;) {
		const page = await readPage(log, stream, offset);
		for (const record of page.records) {
			onRecord(record);
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

		if (attempt === maximumAttempts) {
			throw new ReadError(page.error);
		}

		await timers.setTimeout(retryPauseMilliseconds * attempt);
	}
}
