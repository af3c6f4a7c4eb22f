/**
Group commit: appends many values to the log in one record.

One append is in flight at a time. Values that are committed meanwhile go into the next record, which is appended after
a short delay and holds a limited number of values.
*/
import {err, type Result} from 'neverthrow';
import {type AppendFailure, type AppendReceipt} from './reliable-log.ts';

export type GroupCommitHost<Value> = {
	/** Appends one record with all values; `deadlineAt` is the latest deadline of the values. */
	append(values: readonly Value[], deadlineAt: number): Promise<Result<AppendReceipt, AppendFailure>>;
	setTimer(milliseconds: number, callback: () => void): () => void;
	now(): number;
};

export type GroupCommitOptions = {
	readonly maximumValues: number;
	/** Time that an incomplete group waits for more values. */
	readonly delayMilliseconds: number;
};

/** Position of a committed value in the log. */
export type CommitReceipt = AppendReceipt & {
	/** Index of the value within its record. */
	readonly index: number;
};

export type GroupCommit<Value> = {
	/** Commits a value; fails with `not-appended` when the deadline passes before the record of its group is appended. */
	commit(value: Value, deadlineAt: number): Promise<Result<CommitReceipt, AppendFailure>>;
	/** Number of values that wait for the next record. */
	countPendingValues(): number;
};

type PendingValue<Value> = {
	readonly value: Value;
	readonly deadlineAt: number;
	resolve(result: Result<CommitReceipt, AppendFailure>): void;
};

/** Creates a group commit for one stream. */
export function createGroupCommit<Value>(host: GroupCommitHost<Value>, options: GroupCommitOptions): GroupCommit<Value> {
	let pendingValues: Array<PendingValue<Value>> = [];
	let isAppending = false;
	let isScheduled = false;

	const schedule = (): void => {
		if (isAppending || isScheduled || pendingValues.length === 0) {
			return;
		}

		isScheduled = true;
		host.setTimer(pendingValues.length >= options.maximumValues ? 0 : options.delayMilliseconds, () => {
			isScheduled = false;
			void appendGroup();
		});
	};

	const appendGroup = async (): Promise<void> => {
		const group = dequeueGroup();
		if (group.length === 0) {
			schedule();
			return;
		}

		isAppending = true;
		const deadlineAt = Math.max(...group.map(entry => entry.deadlineAt));
		const result = await host.append(group.map(entry => entry.value), deadlineAt);
		isAppending = false;
		for (const [index, entry] of group.entries()) {
			entry.resolve(result.map(receipt => ({...receipt, index})));
		}

		schedule();
	};

	const dequeueGroup = (): Array<PendingValue<Value>> => {
		const now = host.now();
		for (const entry of pendingValues.filter(candidate => candidate.deadlineAt <= now)) {
			entry.resolve(err({kind: 'not-appended', attempts: 0, message: 'the deadline passed before the record was written'}));
		}

		const unexpired = pendingValues.filter(candidate => candidate.deadlineAt > now);
		pendingValues = unexpired.slice(options.maximumValues);
		return unexpired.slice(0, options.maximumValues);
	};

	return {
		commit: async (value, deadlineAt) => new Promise(resolve => {
			pendingValues.push({value, deadlineAt, resolve});
			schedule();
		}),
		countPendingValues: () => pendingValues.length,
	};
}
