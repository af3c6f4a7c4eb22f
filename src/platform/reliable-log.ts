/**
Client of the log that retries appends and resolves lost responses.

Retries carry the same record ID. When the response to an append is lost, the client searches the stream for the ID.
An append whose response was lost and its retry may both write the record; readers drop the duplicate by its ID.
*/
import {err, ok, type Result} from 'neverthrow';
import {getBackoffDelay, type BackoffOptions} from './backoff.ts';
import {type LogHost, type LogPage, type PlatformError} from './types.ts';

export type ReliableLogHost = {
	readonly log: LogHost;
	/** Returns the milliseconds of a monotonic clock; deadlines use the same clock. */
	now(): number;
	/** Returns a random number in [0, 1). */
	random(): number;
	sleep(milliseconds: number): Promise<void>;
	/** Waits until this entry's share of the fleet's append rate allows an append; resolves to false when the deadline passes first. */
	waitForAppendBudget?(deadlineAt: number): Promise<boolean>;
};

export type ReliableLogOptions = {
	readonly attemptTimeoutMilliseconds: number;
	readonly recordsPerRead: number;
	readonly backoff: BackoffOptions;
};

export const defaultReliableLogOptions: ReliableLogOptions = {
	attemptTimeoutMilliseconds: 2000,
	recordsPerRead: 500,
	backoff: {initialDelayMilliseconds: 20, maximumDelayMilliseconds: 2000},
};

export type AppendReceipt = {
	readonly offset: number;
	readonly attempts: number;
	/** Whether the response was lost and a search of the stream found the record. */
	readonly isFoundBySearch: boolean;
};

/** Failure of an append: `not-appended` when nothing was written, `unknown` when the record may be in the log. */
export type AppendFailure = {
	readonly kind: 'not-appended' | 'unknown';
	readonly attempts: number;
	readonly message: string;
};

/** Page of a stream; `gap` is the range of records that expired before they were read. */
export type CheckedPage = LogPage & {
	readonly gap: {readonly fromOffset: number; readonly firstOffset: number} | undefined;
};

export type ReliableLog = {
	/** Appends one record, with retries until the deadline. */
	append(stream: string, id: string, value: unknown, deadlineAt: number): Promise<Result<AppendReceipt, AppendFailure>>;
	/** Reads one page and detects records that expired before they were read. */
	read(stream: string, fromOffset: number, waitMilliseconds: number): Promise<Result<CheckedPage, PlatformError>>;
	/** Searches for a record by its ID, from an offset on. */
	find(stream: string, id: string, fromOffset: number): Promise<Result<SearchResult, PlatformError>>;
};

/** Result of a search for a record. */
export type SearchResult = {
	/** Offset of the record; undefined when it was not found. */
	readonly offset: number | undefined;
	/** Whether no record expired within the searched range. */
	readonly isComplete: boolean;
};

type AppendRequest = {
	readonly stream: string;
	readonly id: string;
	readonly value: unknown;
	readonly deadlineAt: number;
	/** End of the stream as last observed before the first attempt; a search starts here. */
	readonly fromOffset: number;
};

/** Minimum timeout of the search for a lost append, even when the deadline is closer, so that the search can succeed. */
const minimumSearchMilliseconds = 100;

/** Creates a client of the log. */
export function createReliableLog(host: ReliableLogHost, options: ReliableLogOptions = defaultReliableLogOptions): ReliableLog {
	/** Highest observed offset of each stream; a later append gets this offset or a higher one. */
	const observedOffsets = new Map<string, number>();

	const recordOffset = (stream: string, offset: number): void => {
		observedOffsets.set(stream, Math.max(offset, observedOffsets.get(stream) ?? 0));
	};

	const read = async (stream: string, fromOffset: number, waitMilliseconds: number, timeoutMilliseconds = options.attemptTimeoutMilliseconds): Promise<Result<CheckedPage, PlatformError>> => {
		const page = await host.log.read(stream, fromOffset, {
			limit: options.recordsPerRead,
			waitMilliseconds,
			timeoutMilliseconds: waitMilliseconds + timeoutMilliseconds,
		});
		return page.map(value => {
			recordOffset(stream, value.nextOffset);
			const hasGap = value.firstOffset > fromOffset;
			return {...value, gap: hasGap ? {fromOffset, firstOffset: value.firstOffset} : undefined};
		});
	};

	const find = async (stream: string, id: string, fromOffset: number, timeoutMilliseconds = options.attemptTimeoutMilliseconds): Promise<Result<SearchResult, PlatformError>> => {
		let offset = fromOffset;
		let isComplete = true;
		for (;;) {
			const page = await read(stream, offset, 0, timeoutMilliseconds);
			if (page.isErr()) {
				return err(page.error);
			}

			isComplete &&= page.value.gap === undefined;
			const record = page.value.records.find(candidate => candidate.id === id);
			const isEnd = page.value.records.length < options.recordsPerRead;
			if (record !== undefined || isEnd) {
				return ok({offset: record?.offset, isComplete});
			}

			offset = page.value.nextOffset;
		}
	};

	const getAttemptTimeout = (request: AppendRequest): number => Math.max(1, Math.min(options.attemptTimeoutMilliseconds, request.deadlineAt - host.now()));

	const appendOnce = async (request: AppendRequest, attempts: number): Promise<Result<AppendReceipt, PlatformError>> => {
		const {stream, id, value, fromOffset} = request;
		const response = await host.log.append(stream, id, value, getAttemptTimeout(request));
		if (response.isOk()) {
			recordOffset(stream, response.value);
			return ok({offset: response.value, attempts, isFoundBySearch: false});
		}

		if (response.error.kind === 'refused') {
			return err(response.error);
		}

		const found = await find(stream, id, fromOffset, Math.max(minimumSearchMilliseconds, getAttemptTimeout(request)));
		const offset = found.isOk() ? found.value.offset : undefined;
		return offset === undefined ? err(response.error) : ok({offset, attempts, isFoundBySearch: true});
	};

	return {
		read,
		find,
		async append(stream, id, value, deadlineAt) {
			const request = {
				stream, id, value, deadlineAt, fromOffset: observedOffsets.get(stream) ?? 0,
			};
			let attempts = 0;
			let mayBeAppended = false;
			let message = 'the deadline passed before the first attempt';
			while (host.now() < deadlineAt && await (host.waitForAppendBudget?.(deadlineAt) ?? true)) {
				attempts++;
				const attempt = await appendOnce(request, attempts);
				if (attempt.isOk()) {
					return ok(attempt.value);
				}

				mayBeAppended ||= attempt.error.kind !== 'refused';
				message = attempt.error.message;
				const backoff = getBackoffDelay(options.backoff, attempts, host.random());
				await host.sleep(Math.min(backoff, Math.max(0, deadlineAt - host.now())));
			}

			return err({kind: mayBeAppended ? 'unknown' : 'not-appended', attempts, message});
		},
	};
}
