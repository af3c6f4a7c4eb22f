/**
Appends what this entry observes to the log, one record an interval.

A record is repeated under its own id until the log confirms it: a doubled record counts once. While the log is down,
records that were never sent are merged by hour, and the oldest hours are given up when there are too many.
*/
import * as timers from 'node:timers/promises';
import {compactRecords} from '../decisions/review/compact.ts';
import {type MeasurementObservation, type Observation} from '../decisions/review/observation.ts';
import {createReviewRecorder} from '../decisions/review/recorder.ts';
import {intervalStream, type IntervalRecord} from '../decisions/review/records.ts';
import {type Logger} from '../observability/logger.ts';
import {type LogHost} from '../platform/types.ts';

const appendTimeoutMilliseconds = 5000;
const firstPauseMilliseconds = 500;
const longestPauseMilliseconds = 30_000;
/** Records that wait for the log; one of them may hold up to an hour. */
const largestPending = 48;
/** Appends are spread over this share of an interval, so that the entries do not append all at once. */
const spreadShare = 0.25;

export type ReviewWriterHost = {
	readonly log: Pick<LogHost, 'append'>;
	readonly logger: Logger;
	/** Milliseconds since the epoch. */
	now(): number;
	/** Random number from 0 to 1. */
	random(): number;
};

export type ReviewWriterOptions = {
	readonly entry: string;
	readonly incarnation: string;
	readonly failureDomain: string;
	/** Divides an hour. */
	readonly intervalMilliseconds: number;
};

export type ReviewWriter = {
	/** Counts a call that ended now. */
	record(observation: Observation): void;
	/** Counts a request that measured an upstream and ended now. */
	recordMeasurement(observation: MeasurementObservation): void;
	/** States how many requests may measure one upstream of a service in a second. */
	setBudget(service: string, requestsPerSecond: number): void;
	/** Starts to append records. */
	start(): void;
	/** Appends the final record and those that wait, for at most the given time; returns whether all were confirmed. */
	close(timeoutMilliseconds: number): Promise<boolean>;
	/** Records that wait for the log. */
	getPending(): number;
};

/** Creates the writer of one incarnation of an entry. */
export function createReviewWriter(host: ReviewWriterHost, options: ReviewWriterOptions): ReviewWriter {
	const recorder = createReviewRecorder({entry: options.entry, incarnation: options.incarnation, failureDomain: options.failureDomain}, host.now());
	const closing = new AbortController();
	const stopped = new AbortController();
	let pending: readonly IntervalRecord[] = [];
	/** The record that may have reached the log; it is sent again unchanged. */
	let sent: IntervalRecord | undefined;
	let sending: Promise<void> | undefined;

	function cut(isFinal: boolean): void {
		const {kept, lost} = compactRecords([...pending, ...recorder.cut(host.now(), isFinal)], largestPending);
		pending = kept;
		for (const record of lost) {
			const {from, to} = record.holding.ranges[0]!;
			host.logger.error('review-record-lost', {id: record.id, from: new Date(from).toISOString(), to: new Date(to).toISOString()});
		}
	}

	/** Sends records until none waits. */
	async function send(): Promise<void> {
		let pause = firstPauseMilliseconds;
		while (!stopped.signal.aborted) {
			if (!sent) {
				[sent, ...pending] = pending;
			}

			if (!sent) {
				return;
			}

			const appended = await host.log.append(intervalStream, sent.id, sent, appendTimeoutMilliseconds);
			if (appended.isOk()) {
				host.logger.debug('review-record-appended', {id: sent.id, offset: appended.value});
				sent = undefined;
				pause = firstPauseMilliseconds;
				continue;
			}

			host.logger.warn('review-append-failed', {
				id: sent.id, kind: appended.error.kind, message: appended.error.message, pending: pending.length,
			});
			await sleep(pause, closing.signal.aborted ? stopped.signal : closing.signal);
			pause = closing.signal.aborted ? firstPauseMilliseconds : Math.min(pause * 2, longestPauseMilliseconds);
		}
	}

	function startSending(): void {
		sending ??= send().finally(() => {
			sending = undefined;
		});
	}

	async function run(): Promise<void> {
		const interval = options.intervalMilliseconds;
		while (!closing.signal.aborted) {
			await sleep(interval - (host.now() % interval), closing.signal);
			if (closing.signal.aborted) {
				return;
			}

			cut(false);
			await sleep(host.random() * interval * spreadShare, closing.signal);
			startSending();
		}
	}

	return {
		record(observation) {
			recorder.record(observation, host.now());
		},
		recordMeasurement(observation) {
			recorder.recordMeasurement(observation, host.now());
		},
		setBudget(service, requestsPerSecond) {
			recorder.setBudget(service, requestsPerSecond);
		},
		start() {
			void run();
		},
		async close(timeoutMilliseconds) {
			closing.abort();
			cut(true);
			await Promise.race([finishSending(), timers.setTimeout(timeoutMilliseconds)]);
			stopped.abort();
			return pending.length === 0 && sent === undefined;
		},
		getPending: () => pending.length + (sent ? 1 : 0),
	};

	async function finishSending(): Promise<void> {
		do {
			startSending();
			await sending;
		} while (pending.length > 0 && !stopped.signal.aborted);
	}
}

/** Waits; ends early when aborted. */
async function sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
	await timers.setTimeout(milliseconds, undefined, {ref: false, signal}).catch(() => undefined);
}
