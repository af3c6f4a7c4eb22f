/**
Appends that settle a lost answer: retries carry the same record identity, and a lost answer is looked up in the log.

A record that a lost append and its retry have both made stands twice in the stream; readers drop the second by its identity.
*/
import {err, ok, type Result} from 'neverthrow';
import {createBackoff, type BackoffOptions} from './backoff.ts';
import {type LogHost, type LogPage, type PlatformError} from './types.ts';

export type ReliableLogHost = {
	readonly log: LogHost;
	/** Milliseconds of any steady clock; deadlines are given in the same. */
	now(): number;
	/** Random number from 0 up to 1. */
	random(): number;
	sleep(milliseconds: number): Promise<void>;
	/** Waits until an append is within this entry's share of the fleet's rate; returns false when the deadline comes first. */
	takeAppend?(deadlineAt: number): Promise<boolean>;
};

export type ReliableLogOptions = {
	readonly attemptTimeoutMilliseconds: number;
	readonly recordsPerRead: number;
	readonly backoff: BackoffOptions;
};

export const defaultReliableLogOptions: ReliableLogOptions = {
	attemptTimeoutMilliseconds: 2000,
	recordsPerRead: 500,
	backoff: {firstMilliseconds: 20, maximumMilliseconds: 2000},
};

export type AppendReceipt = {
	readonly offset: number;
	readonly attempts: number;
	/** Whether the answer was lost and the record was found in the log. */
	readonly isReadBack: boolean;
};

/** Why an append has no receipt: nothing was written, or the record may or may not stand in the log. */
export type AppendFailure = {
	readonly kind: 'not-appended' | 'unknown';
	readonly attempts: number;
	readonly message: string;
};

/** Page of a stream; `gap` tells which records expired before they were read. */
export type CheckedPage = LogPage & {
	readonly gap: {readonly fromOffset: number; readonly firstOffset: number} | undefined;
};

export type ReliableLog = {
	/** Appends one record before the deadline. */
	append(stream: string, id: string, value: unknown, deadlineAt: number): Promise<Result<AppendReceipt, AppendFailure>>;
	/** Reads one page and tells whether records expired unread. */
	read(stream: string, fromOffset: number, waitMilliseconds: number): Promise<Result<CheckedPage, PlatformError>>;
	/** Looks a record up by its identity, from an offset on. */
	find(stream: string, id: string, fromOffset: number): Promise<Result<FoundRecord, PlatformError>>;
};

/** Result of a look-up. */
export type FoundRecord = {
	/** Undefined when the record isn't there. */
	readonly offset: number | undefined;
	/** Whether no record expired within the searched part. */
	readonly isWhole: boolean;
};

type AppendRequest = {
	readonly stream: string;
	readonly id: string;
	readonly value: unknown;
	readonly deadlineAt: number;
	/** Offset that the stream had reached before the first attempt. */
	readonly fromOffset: number;
};

/** Shortest time that a look-up gets after the deadline came close, so that it can settle a lost answer. */
const minimumReadMilliseconds = 100;

/** Creates a client of the log. */
export function createReliableLog(host: ReliableLogHost, options: ReliableLogOptions = defaultReliableLogOptions): ReliableLog {
	/** Offsets that each stream is known to have reached; a later append comes at or after them. */
	const reachedOffsets = new Map<string, number>();

	const noteOffset = (stream: string, offset: number): void => {
		reachedOffsets.set(stream, Math.max(offset, reachedOffsets.get(stream) ?? 0));
	};

	const read = async (stream: string, fromOffset: number, waitMilliseconds: number, timeoutMilliseconds = options.attemptTimeoutMilliseconds): Promise<Result<CheckedPage, PlatformError>> => {
		const page = await host.log.read(stream, fromOffset, {
			limit: options.recordsPerRead,
			waitMilliseconds,
			timeoutMilliseconds: waitMilliseconds + timeoutMilliseconds,
		});
		return page.map(value => {
			noteOffset(stream, value.nextOffset);
			const isGap = value.firstOffset > fromOffset;
			return {...value, gap: isGap ? {fromOffset, firstOffset: value.firstOffset} : undefined};
		});
	};

	const find = async (stream: string, id: string, fromOffset: number, timeoutMilliseconds = options.attemptTimeoutMilliseconds): Promise<Result<FoundRecord, PlatformError>> => {
		let offset = fromOffset;
		let isWhole = true;
		for (;;) {
			const page = await read(stream, offset, 0, timeoutMilliseconds);
			if (page.isErr()) {
				return err(page.error);
			}

			isWhole &&= page.value.gap === undefined;
			const record = page.value.records.find(candidate => candidate.id === id);
			const isEnd = page.value.records.length < options.recordsPerRead;
			if (record !== undefined || isEnd) {
				return ok({offset: record?.offset, isWhole});
			}

			offset = page.value.nextOffset;
		}
	};

	const getTimeout = (request: AppendRequest): number => Math.max(1, Math.min(options.attemptTimeoutMilliseconds, request.deadlineAt - host.now()));

	const tryAppend = async (request: AppendRequest, attempts: number): Promise<Result<AppendReceipt, PlatformError>> => {
		const {stream, id, value, fromOffset} = request;
		const answer = await host.log.append(stream, id, value, getTimeout(request));
		if (answer.isOk()) {
			noteOffset(stream, answer.value);
			return ok({offset: answer.value, attempts, isReadBack: false});
		}

		if (answer.error.kind === 'refused') {
			return err(answer.error);
		}

		const found = await find(stream, id, fromOffset, Math.max(minimumReadMilliseconds, getTimeout(request)));
		const offset = found.isOk() ? found.value.offset : undefined;
		return offset === undefined ? err(answer.error) : ok({offset, attempts, isReadBack: true});
	};

	return {
		read,
		find,
		async append(stream, id, value, deadlineAt) {
			const request = {
				stream, id, value, deadlineAt, fromOffset: reachedOffsets.get(stream) ?? 0,
			};
			let attempts = 0;
			let isMaybeAppended = false;
			let message = 'the deadline passed before the first attempt';
			while (host.now() < deadlineAt && await (host.takeAppend?.(deadlineAt) ?? true)) {
				attempts++;
				const attempt = await tryAppend(request, attempts);
				if (attempt.isOk()) {
					return ok(attempt.value);
				}

				isMaybeAppended ||= attempt.error.kind !== 'refused';
				message = attempt.error.message;
				const backoff = createBackoff(options.backoff, attempts, host.random());
				await host.sleep(Math.min(backoff, Math.max(0, deadlineAt - host.now())));
			}

			return err({kind: isMaybeAppended ? 'unknown' : 'not-appended', attempts, message});
		},
	};
}
