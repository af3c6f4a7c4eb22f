/**
Rolls the review figures up ahead of the log's retention.

Any entry may do it; the entries take turns by a hash, and a roll-up that two of them write counts once.
*/
import * as crypto from 'node:crypto';
import * as timers from 'node:timers/promises';
import * as neverthrow from 'neverthrow';
import {getHourStart} from '../decisions/review/recorder.ts';
import {
	dayMilliseconds, dayStream, hourMilliseconds, hourStream, type Mark, type RollUp,
} from '../decisions/review/records.ts';
import {generateDueRollUps} from '../decisions/review/roll-up.ts';
import {type Logger} from '../observability/logger.ts';
import {type LogHost, type PlatformError} from '../platform/types.ts';
import {findDayRecord, readReview, type ReviewContents} from './review-reader.ts';

const appendTimeoutMilliseconds = 10_000;
const minuteMilliseconds = 60_000;
const hourSettleMilliseconds = 10 * minuteMilliseconds;
const daySettleMilliseconds = 6 * hourMilliseconds;
/** Turns of the entries are spread over this part of an hour. */
const spreadMilliseconds = 40 * minuteMilliseconds;

export type ReviewRollUpHost = {
	readonly log: LogHost;
	readonly logger: Logger;
	/** Milliseconds since the epoch. */
	now(): number;
};

export type ReviewRollUpOptions = {
	readonly incarnation: string;
	/** How long the log keeps records; roll-ups are appended again at half of it. */
	readonly retentionMilliseconds: number;
	/** How long roll-ups are kept. */
	readonly keepMilliseconds: number;
};

export type ReviewRollUp = {
	/** Starts to take turns. */
	start(): void;
	/** Rolls up what is due now, unless it is done already; returns the number of roll-ups appended. */
	run(): Promise<neverthrow.Result<number, PlatformError>>;
	close(): void;
};

export function createReviewRollUp(host: ReviewRollUpHost, options: ReviewRollUpOptions): ReviewRollUp {
	const closing = new AbortController();

	async function run(): Promise<neverthrow.Result<number, PlatformError>> {
		const now = host.now();
		const read = await readReview(host.log);
		if (read.isErr()) {
			host.logger.warn('review-read-failed', {kind: read.error.kind, message: read.error.message});
			return neverthrow.err(read.error);
		}

		const markId = getMarkId(now);
		if (read.value.marks.has(markId)) {
			return neverthrow.ok(0);
		}

		const appended = await write(host, read.value, {markId, now, options});
		if (appended.isErr()) {
			host.logger.warn('review-roll-up-failed', {kind: appended.error.kind, message: appended.error.message});
		} else {
			host.logger.info('review-rolled-up', {rollUps: appended.value, mark: markId, records: read.value.records});
		}

		return appended;
	}

	async function takeTurns(): Promise<void> {
		let dayOffset = 0;
		while (!closing.signal.aborted) {
			await timers.setTimeout(getNextTurn(options.incarnation, host.now()) - host.now(), undefined, {ref: false, signal: closing.signal}).catch(() => undefined);
			if (closing.signal.aborted) {
				return;
			}

			const mark = await findDayRecord(host.log, getMarkId(host.now()), dayOffset);
			dayOffset = mark.nextOffset;
			if (!mark.isFound) {
				await run();
			}
		}
	}

	return {
		start() {
			void takeTurns();
		},
		run,
		close() {
			closing.abort();
		},
	};
}

/** Gets the id of the mark that states that the hours settled by now are rolled up. */
function getMarkId(now: number): string {
	return `mark/${new Date(getHourStart(now - hourSettleMilliseconds)).toISOString()}`;
}

/** Gets the next time at which an entry looks whether the hour before is rolled up. */
export function getNextTurn(incarnation: string, now: number): number {
	for (let hour = getHourStart(now); ; hour += hourMilliseconds) {
		const hash = crypto.createHash('sha256').update(`${incarnation}/${hour}`).digest().readUInt32BE();
		const turn = hour + hourSettleMilliseconds + (hash % spreadMilliseconds);
		if (turn > now) {
			return turn;
		}
	}
}

type Run = {readonly markId: string; readonly now: number; readonly options: ReviewRollUpOptions};

/** Appends what is due and expires soon; the mark goes last and only when all before it is in the log. */
async function write(host: ReviewRollUpHost, contents: ReviewContents, run: Run): Promise<neverthrow.Result<number, PlatformError>> {
	const rollUpOptions = {hourSettleMilliseconds, daySettleMilliseconds};
	const due: RollUp[] = [];
	for (const rollUp of generateDueRollUps(contents.merger.getSlices(), run.now, rollUpOptions)) {
		if (rollUp) {
			due.push(rollUp);
		}

		await timers.setImmediate();
	}

	const rollUps = [...due, ...getExpiring(contents, due, run)];
	for (const rollUp of rollUps) {
		const appended = await host.log.append(rollUp.kind === 'day' ? dayStream : hourStream, rollUp.id, rollUp, appendTimeoutMilliseconds);
		if (appended.isErr()) {
			return neverthrow.err(appended.error);
		}
	}

	const mark = createMark(contents, run);
	const marked = await host.log.append(dayStream, mark.id, mark, appendTimeoutMilliseconds);
	return marked.map(() => rollUps.length);
}

function isHourSettled(start: number, now: number): boolean {
	return start + hourMilliseconds + hourSettleMilliseconds <= now;
}

function isDaySettled(start: number, now: number): boolean {
	return start + dayMilliseconds + daySettleMilliseconds <= now;
}

function createMark(contents: ReviewContents, run: Run): Mark {
	const intervals = [...contents.unheldIntervals].filter(([start]) => !isHourSettled(start, run.now)).map(([, offset]) => offset);
	const hours = [...contents.hourOffsets].filter(([start]) => !isDaySettled(start, run.now)).map(([, offset]) => offset);
	return {
		kind: 'mark',
		id: run.markId,
		intervalOffset: Math.min(contents.intervalEnd, ...intervals),
		hourOffset: Math.min(contents.hourEnd, ...hours),
	};
}

/** Lists the roll-ups in force whose last copy has used up half of the retention. */
function getExpiring(contents: ReviewContents, due: readonly RollUp[], {now, options}: Run): RollUp[] {
	const latest = new Map<string, {rollUp: RollUp; appendedAt: number}>();
	for (const {rollUp, appendedAt} of contents.rollUps) {
		latest.set(rollUp.id, {rollUp, appendedAt: Math.max(appendedAt, latest.get(rollUp.id)?.appendedAt ?? 0)});
	}

	const replaced = new Set(due.map(rollUp => `${rollUp.kind}/${rollUp.figures.service}/${rollUp.start}`));
	return [...latest.values()]
		.filter(({appendedAt}) => appendedAt + (options.retentionMilliseconds / 2) <= now)
		.map(({rollUp}) => rollUp)
		.filter(rollUp => rollUp.start + options.keepMilliseconds > now && !replaced.has(`${rollUp.kind}/${rollUp.figures.service}/${rollUp.start}`))
		.filter(rollUp => rollUp.kind === 'day' || !isDaySettled(rollUp.start, now));
}
