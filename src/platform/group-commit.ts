/**
Writes many values in one record of the log.

One record is under way at a time; values that come meanwhile go into the next, up to a number and after a short delay.
*/
import {err, type Result} from 'neverthrow';
import {type AppendFailure, type AppendReceipt} from './reliable-log.ts';

export type GroupCommitHost<Value> = {
	/** Appends one record with all values; `deadlineAt` is the latest of theirs. */
	append(values: readonly Value[], deadlineAt: number): Promise<Result<AppendReceipt, AppendFailure>>;
	setTimer(milliseconds: number, callback: () => void): () => void;
	now(): number;
};

export type GroupCommitOptions = {
	readonly maximumValues: number;
	/** Time that the first value of a group waits for others. */
	readonly delayMilliseconds: number;
};

/** Where a value stands in the log. */
export type CommitReceipt = AppendReceipt & {
	/** Place of the value within its record. */
	readonly index: number;
};

export type GroupCommit<Value> = {
	/** Commits a value; a value whose group did not go out before its deadline is `not-appended`. */
	commit(value: Value, deadlineAt: number): Promise<Result<CommitReceipt, AppendFailure>>;
	/** Values that wait for the next record. */
	getWaiting(): number;
};

type Waiting<Value> = {
	readonly value: Value;
	readonly deadlineAt: number;
	resolve(result: Result<CommitReceipt, AppendFailure>): void;
};

/** Creates a group commit for one stream. */
export function createGroupCommit<Value>(host: GroupCommitHost<Value>, options: GroupCommitOptions): GroupCommit<Value> {
	let waiting: Array<Waiting<Value>> = [];
	let isWriting = false;
	let isScheduled = false;

	const schedule = (): void => {
		if (isWriting || isScheduled || waiting.length === 0) {
			return;
		}

		isScheduled = true;
		host.setTimer(waiting.length >= options.maximumValues ? 0 : options.delayMilliseconds, () => {
			isScheduled = false;
			void write();
		});
	};

	const write = async (): Promise<void> => {
		const group = takeGroup();
		if (group.length === 0) {
			schedule();
			return;
		}

		isWriting = true;
		const deadlineAt = Math.max(...group.map(entry => entry.deadlineAt));
		const result = await host.append(group.map(entry => entry.value), deadlineAt);
		isWriting = false;
		for (const [index, entry] of group.entries()) {
			entry.resolve(result.map(receipt => ({...receipt, index})));
		}

		schedule();
	};

	const takeGroup = (): Array<Waiting<Value>> => {
		const now = host.now();
		for (const entry of waiting.filter(candidate => candidate.deadlineAt <= now)) {
			entry.resolve(err({kind: 'not-appended', attempts: 0, message: 'the deadline passed before the record was written'}));
		}

		const alive = waiting.filter(candidate => candidate.deadlineAt > now);
		waiting = alive.slice(options.maximumValues);
		return alive.slice(0, options.maximumValues);
	};

	return {
		commit: async (value, deadlineAt) => new Promise(resolve => {
			waiting.push({value, deadlineAt, resolve});
			schedule();
		}),
		getWaiting: () => waiting.length,
	};
}
