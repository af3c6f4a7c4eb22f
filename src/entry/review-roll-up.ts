/**
Rolls up the review figures before the log's retention removes the underlying records.

Every entry can append roll-ups. A hash spreads the entries over time, so that usually the first one in an hour does
the work; a roll-up that two entries append counts once.
*/
import * as crypto from 'node:crypto';
import * as timers from 'node:timers/promises';
import * as neverthrow from 'neverthrow';
import {getHourStart} from '../decisions/review/recorder.ts';
import {
	dayMilliseconds, dayStream, hourMilliseconds, hourStream, type Checkpoint, type RollUp,
} from '../decisions/review/records.ts';
import {generateDueRollUps} from '../decisions/review/roll-up.ts';
import {type Logger} from '../observability/logger.ts';
import {type LogHost, type PlatformError} from '../platform/types.ts';
import {findDayRecord, readReview, type ReviewContents} from './review-reader.ts';

const appendTimeoutMilliseconds = 10_000;
const minuteMilliseconds = 60_000;
/** Time after the end of an hour before it is rolled up, for records that arrive late. */
const hourSettleMilliseconds = 10 * minuteMilliseconds;
/** Time after the end of a day before it is rolled up. */
const daySettleMilliseconds = 6 * hourMilliseconds;
/** Part of each hour over which the entries' turns are spread. */
const turnSpreadMilliseconds = 40 * minuteMilliseconds;

export type ReviewRollUpHost = {
	readonly log: LogHost;
	readonly logger: Logger;
	/** Milliseconds since the epoch. */
	now(): number;
};

export type ReviewRollUpOptions = {
	readonly incarnation: string;
	/** Time for which the log keeps records; roll-ups are appended again after half of it. */
	readonly retentionMilliseconds: number;
	/** Time after its start for which a roll-up is kept by appending it again. */
	readonly keepMilliseconds: number;
};

export type ReviewRollUp = {
	/** Starts the hourly turns of this entry. */
	start(): void;
	/** Appends the roll-ups that are due, unless an entry has done so already; resolves to the number of roll-ups appended. */
	run(): Promise<neverthrow.Result<number, PlatformError>>;
	close(): void;
};

/** Creates the roll-up of the review figures; call `start` to begin. */
export function createReviewRollUp(host: ReviewRollUpHost, options: ReviewRollUpOptions): ReviewRollUp {
	const closeController = new AbortController();

	async function run(): Promise<neverthrow.Result<number, PlatformError>> {
		const now = host.now();
		const read = await readReview(host.log);
		if (read.isErr()) {
			host.logger.warn('review-read-failed', {kind: read.error.kind, message: read.error.message});
			return neverthrow.err(read.error);
		}

		const markId = getCheckpointId(now);
		if (read.value.checkpointIds.has(markId)) {
			return neverthrow.ok(0);
		}

		const appended = await appendRollUps(host, read.value, {markId, now, options});
		if (appended.isErr()) {
			host.logger.warn('review-roll-up-failed', {kind: appended.error.kind, message: appended.error.message});
		} else {
			host.logger.info('review-rolled-up', {rollUps: appended.value, mark: markId, records: read.value.intervalRecordCount});
		}

		return appended;
	}

	async function runTurns(): Promise<void> {
		let dayOffset = 0;
		while (!closeController.signal.aborted) {
			await timers.setTimeout(getNextTurnAt(options.incarnation, host.now()) - host.now(), undefined, {ref: false, signal: closeController.signal}).catch(() => undefined);
			if (closeController.signal.aborted) {
				return;
			}

			const checkpoint = await findDayRecord(host.log, getCheckpointId(host.now()), dayOffset);
			dayOffset = checkpoint.nextOffset;
			if (!checkpoint.isFound) {
				await run();
			}
		}
	}

	return {
		start() {
			void runTurns();
		},
		run,
		close() {
			closeController.abort();
		},
	};
}

/** Gets the id of the checkpoint that records that all hours settled by now are rolled up. */
function getCheckpointId(now: number): string {
	return `mark/${new Date(getHourStart(now - hourSettleMilliseconds)).toISOString()}`;
}

/** Gets the next time at which an entry checks whether the previous hour has been rolled up. */
export function getNextTurnAt(incarnation: string, now: number): number {
	for (let hour = getHourStart(now); ; hour += hourMilliseconds) {
		const hash = crypto.createHash('sha256').update(`${incarnation}/${hour}`).digest().readUInt32BE();
		const turn = hour + hourSettleMilliseconds + (hash % turnSpreadMilliseconds);
		if (turn > now) {
			return turn;
		}
	}
}

type RunContext = {readonly markId: string; readonly now: number; readonly options: ReviewRollUpOptions};

/** Appends the roll-ups that are due or expire soon, then the checkpoint, and the checkpoint only after every roll-up was appended. */
async function appendRollUps(host: ReviewRollUpHost, contents: ReviewContents, run: RunContext): Promise<neverthrow.Result<number, PlatformError>> {
	const rollUpOptions = {hourSettleMilliseconds, daySettleMilliseconds};
	const due: RollUp[] = [];
	for (const rollUp of generateDueRollUps(contents.merger.listSlices(), run.now, rollUpOptions)) {
		if (rollUp) {
			due.push(rollUp);
		}

		await timers.setImmediate();
	}

	const rollUps = [...due, ...listExpiringRollUps(contents, due, run)];
	for (const rollUp of rollUps) {
		const appended = await host.log.append(rollUp.kind === 'day' ? dayStream : hourStream, rollUp.id, rollUp, appendTimeoutMilliseconds);
		if (appended.isErr()) {
			return neverthrow.err(appended.error);
		}
	}

	const checkpoint = createCheckpoint(contents, run);
	const appendedCheckpoint = await host.log.append(dayStream, checkpoint.id, checkpoint, appendTimeoutMilliseconds);
	return appendedCheckpoint.map(() => rollUps.length);
}

function isHourSettled(start: number, now: number): boolean {
	return start + hourMilliseconds + hourSettleMilliseconds <= now;
}

function isDaySettled(start: number, now: number): boolean {
	return start + dayMilliseconds + daySettleMilliseconds <= now;
}

function createCheckpoint(contents: ReviewContents, run: RunContext): Checkpoint {
	const intervals = [...contents.uncoveredIntervalOffsets].filter(([start]) => !isHourSettled(start, run.now)).map(([, offset]) => offset);
	const hours = [...contents.hourOffsets].filter(([start]) => !isDaySettled(start, run.now)).map(([, offset]) => offset);
	return {
		kind: 'mark',
		id: run.markId,
		intervalOffset: Math.min(contents.intervalEnd, ...intervals),
		hourOffset: Math.min(contents.hourEnd, ...hours),
	};
}

/** Lists the current roll-ups whose latest copy is older than half of the retention. */
function listExpiringRollUps(contents: ReviewContents, due: readonly RollUp[], {now, options}: RunContext): RollUp[] {
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
