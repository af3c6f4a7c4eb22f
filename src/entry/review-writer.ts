/**
Appends this entry's review figures to the log, one record per interval.

A record is appended again with the same id until the log confirms it; a duplicate counts once. While the log is
unavailable, records that were never sent are merged by hour, and the oldest hours are dropped when there are too many.
*/
import * as timers from 'node:timers/promises';
import {compactRecords} from '../decisions/review/compact-records.ts';
import {type MeasurementObservation, type CallObservation} from '../decisions/review/observation.ts';
import {createReviewRecorder} from '../decisions/review/recorder.ts';
import {intervalStream, type IntervalRecord} from '../decisions/review/records.ts';
import {type Logger} from '../observability/logger.ts';
import {type LogHost} from '../platform/types.ts';

const appendTimeoutMilliseconds = 5000;
const initialPauseMilliseconds = 500;
const maximumPauseMilliseconds = 30_000;
/** Limit on the records that wait for the log; one record covers up to an hour. */
const maximumPendingRecords = 48;
/** Share of an interval over which appends are spread, so that the entries do not all append at once. */
const spreadShare = 0.25;

export type ReviewWriterHost = {
	readonly log: Pick<LogHost, 'append'>;
	readonly logger: Logger;
	/** Milliseconds since the epoch. */
	now(): number;
	/** Returns a random number from 0 to 1. */
	random(): number;
};

export type ReviewWriterOptions = {
	readonly entry: string;
	readonly incarnation: string;
	readonly failureDomain: string;
	/** Length of an interval; must divide an hour evenly. */
	readonly intervalMilliseconds: number;
};

/** Writer of the review figures of one entry. */
export type ReviewWriter = {
	/** Records a call that ended now. */
	record(observation: CallObservation): void;
	/** Records a request that measured an upstream and ended now. */
	recordMeasurement(observation: MeasurementObservation): void;
	/** Sets the number of requests per second that may measure one upstream of a service. */
	setMeasurementBudget(service: string, requestsPerSecond: number): void;
	/** Starts appending records. */
	start(): void;
	/** Appends the final record and all pending ones within the given time; resolves to whether the log confirmed all of them. */
	flushAndClose(timeoutMilliseconds: number): Promise<boolean>;
	/** Counts the records that the log has not confirmed. */
	countPending(): number;
};

/** Creates the writer of one incarnation of an entry. */
export function createReviewWriter(host: ReviewWriterHost, options: ReviewWriterOptions): ReviewWriter {
	const recorder = createReviewRecorder({entry: options.entry, incarnation: options.incarnation, failureDomain: options.failureDomain}, host.now());
	const closeController = new AbortController();
	const stopController = new AbortController();
	let pending: readonly IntervalRecord[] = [];
	/** Record that was sent and may have reached the log; it is sent again unchanged until the log confirms it. */
	let unconfirmed: IntervalRecord | undefined;
	let currentSend: Promise<void> | undefined;

	/** Moves the figures recorded so far into pending records, and logs the records that exceed the limit. */
	function collectRecords(isFinal: boolean): void {
		const {kept, dropped: lost} = compactRecords([...pending, ...recorder.endInterval(host.now(), isFinal)], maximumPendingRecords);
		pending = kept;
		for (const record of lost) {
			const {from, to} = record.holding.ranges[0]!;
			host.logger.error('review-record-lost', {id: record.id, from: new Date(from).toISOString(), to: new Date(to).toISOString()});
		}
	}

	/** Appends the pending records one by one until none is left. */
	async function sendPending(): Promise<void> {
		let pause = initialPauseMilliseconds;
		while (!stopController.signal.aborted) {
			if (!unconfirmed) {
				[unconfirmed, ...pending] = pending;
			}

			if (!unconfirmed) {
				return;
			}

			const appended = await host.log.append(intervalStream, unconfirmed.id, unconfirmed, appendTimeoutMilliseconds);
			if (appended.isOk()) {
				host.logger.debug('review-record-appended', {id: unconfirmed.id, offset: appended.value});
				unconfirmed = undefined;
				pause = initialPauseMilliseconds;
				continue;
			}

			host.logger.warn('review-append-failed', {
				id: unconfirmed.id, kind: appended.error.kind, message: appended.error.message, pending: pending.length,
			});
			await sleep(pause, closeController.signal.aborted ? stopController.signal : closeController.signal);
			pause = closeController.signal.aborted ? initialPauseMilliseconds : Math.min(pause * 2, maximumPauseMilliseconds);
		}
	}

	function startSending(): void {
		currentSend ??= sendPending().finally(() => {
			currentSend = undefined;
		});
	}

	async function run(): Promise<void> {
		const interval = options.intervalMilliseconds;
		while (!closeController.signal.aborted) {
			await sleep(interval - (host.now() % interval), closeController.signal);
			if (closeController.signal.aborted) {
				return;
			}

			collectRecords(false);
			await sleep(host.random() * interval * spreadShare, closeController.signal);
			startSending();
		}
	}

	return {
		record(observation) {
			recorder.recordCall(observation, host.now());
		},
		recordMeasurement(observation) {
			recorder.recordMeasurement(observation, host.now());
		},
		setMeasurementBudget(service, requestsPerSecond) {
			recorder.setMeasurementBudget(service, requestsPerSecond);
		},
		start() {
			void run();
		},
		async flushAndClose(timeoutMilliseconds) {
			closeController.abort();
			collectRecords(true);
			await Promise.race([finishSending(), timers.setTimeout(timeoutMilliseconds)]);
			stopController.abort();
			return pending.length === 0 && unconfirmed === undefined;
		},
		countPending: () => pending.length + (unconfirmed ? 1 : 0),
	};

	async function finishSending(): Promise<void> {
		do {
			startSending();
			await currentSend;
		} while (pending.length > 0 && !stopController.signal.aborted);
	}
}

/** Waits for the given time or until the signal is aborted. */
async function sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
	await timers.setTimeout(milliseconds, undefined, {ref: false, signal}).catch(() => undefined);
}
