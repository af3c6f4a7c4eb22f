/**
Table of the idempotency keys that this incarnation owns, bounded in bytes and age.

Dropping a key from the table never allows a second execution. Each bound key contains the bucket in which its prefix
was issued. Dropping a key raises the horizon to its bucket, and an absent key at or below the horizon is treated as
expired. The horizon never decreases, so this holds even when clocks are wrong: a wrong clock may lose stored answers,
but never allows a second execution.
*/
import {type Outcome} from './types.ts';

/** Answer of an upstream, stored for repeated calls with the same key. */
export type StoredAnswer = {
	readonly statusCode: number;
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: Uint8Array;
};

/** State of a key in its life cycle. */
export type KeyState
	/** Claimed by a call that has not been dispatched yet but still may be. */
	= | {readonly kind: 'claimed'}
	/** A byte of the call may have been sent to an upstream. */
		| {readonly kind: 'dispatched'}
	/** The outcome is final. The answer is undefined if there was none, or if it was dropped to save memory. */
		| {readonly kind: 'finished'; readonly outcome: Outcome; readonly answer: StoredAnswer | undefined};

/** Result of claiming a key for a call. */
export type KeyClaimResult
	/** The key is new and now claimed by this call. */
	= | {readonly kind: 'started'}
	/** Another call with this key has not finished yet. */
		| {readonly kind: 'in-flight'}
		| {readonly kind: 'finished'; readonly outcome: Outcome; readonly answer: StoredAnswer | undefined}
	/** The key is past its lifetime, may have been dropped, or was issued too far in the future. */
		| {readonly kind: 'expired'};

export type KeyTableOptions = {
	/** Maximum bytes of the table; only finished keys and their answers are dropped to stay within it. */
	readonly maximumBytes: number;
	/** Number of buckets after which a key expires. */
	readonly lifetimeBuckets: number;
	/** Maximum number of buckets by which a key may be ahead of this incarnation's clock. */
	readonly futureBuckets: number;
};

/** A key with its outcome, as it is handed over to other entries. */
export type RecordedKey = {readonly key: string; readonly outcome: Outcome};

export type KeyTable = {
	/** Claims a key for a call, or returns the state of an earlier call with the same key. */
	tryClaim(key: string, bucket: number, nowBucket: number): KeyClaimResult;
	/** Gets the state of a key without claiming it. */
	get(key: string): KeyState | undefined;
	/** Records that a byte of the call may be sent from now on; throws when the key is not in the state `claimed`. */
	markDispatched(key: string): void;
	/** Records the final outcome of a key; has no effect on a finished key. */
	finish(key: string, outcome: Outcome, answer: StoredAnswer | undefined): void;
	/** Removes a claimed key that another incarnation turned out to own; throws when the key was dispatched. */
	release(key: string): void;
	/** Drops finished keys past their lifetime. */
	expire(nowBucket: number): void;
	/** Lists all keys in the table with their outcomes; the outcome of unfinished keys is `unknown`. */
	listRecordedKeys(): readonly RecordedKey[];
	getSize(): {readonly keys: number; readonly bytes: number; readonly horizon: number};
};

/** Bytes counted for each key in addition to its text and its answer. */
const keyOverheadBytes = 160;

/** A key of the table with its issue bucket. */
type KeyRecord = {readonly bucket: number; state: KeyState};

/** Creates an empty key table. */
export function createKeyTable(options: KeyTableOptions): KeyTable {
	const recordsByKey = new Map<string, KeyRecord>();
	/** Finished keys by bucket. */
	const finishedByBucket = new Map<number, Set<string>>();
	/** Highest bucket from which a key may have been dropped. */
	let horizon = -1;
	let bytes = 0;

	const getRecord = (key: string): KeyRecord => {
		const record = recordsByKey.get(key);
		if (!record) {
			throw new Error(`The key ${key} is not in the table. Call begin first.`);
		}

		return record;
	};

	const dropKey = (key: string, record: KeyRecord): void => {
		bytes -= getRecordBytes(key, record.state);
		recordsByKey.delete(key);
		horizon = Math.max(horizon, record.bucket);
	};

	const dropBucket = (bucket: number): void => {
		for (const key of finishedByBucket.get(bucket) ?? []) {
			dropKey(key, getRecord(key));
		}

		finishedByBucket.delete(bucket);
		horizon = Math.max(horizon, bucket);
	};

	const dropAnswers = (bucket: number): void => {
		for (const key of finishedByBucket.get(bucket) ?? []) {
			const record = getRecord(key);
			if (record.state.kind === 'finished' && record.state.answer) {
				bytes -= getAnswerBytes(record.state.answer);
				record.state = {...record.state, answer: undefined};
			}

			if (bytes <= options.maximumBytes) {
				return;
			}
		}
	};

	/** Drops the oldest answers, then the oldest keys, until the table is within its limit. */
	const enforceMaximumBytes = (): void => {
		if (bytes <= options.maximumBytes) {
			return;
		}

		const buckets = [...finishedByBucket.keys()].toSorted((left, right) => left - right);
		for (const dropFrom of [dropAnswers, dropBucket]) {
			for (const bucket of buckets) {
				if (bytes <= options.maximumBytes) {
					return;
				}

				dropFrom(bucket);
			}
		}
	};

	return {
		tryClaim(key, bucket, nowBucket) {
			const record = recordsByKey.get(key);
			if (record) {
				return record.state.kind === 'finished' ? record.state : {kind: 'in-flight'};
			}

			const isExpired = bucket <= horizon || bucket <= nowBucket - options.lifetimeBuckets;
			if (isExpired || bucket > nowBucket + options.futureBuckets) {
				return {kind: 'expired'};
			}

			const state: KeyState = {kind: 'claimed'};
			recordsByKey.set(key, {bucket, state});
			bytes += getRecordBytes(key, state);
			return {kind: 'started'};
		},
		get: key => recordsByKey.get(key)?.state,
		markDispatched(key) {
			const record = getRecord(key);
			if (record.state.kind !== 'claimed') {
				throw new Error(`The key ${key} is ${record.state.kind} and can't be dispatched. Dispatch a key once only.`);
			}

			record.state = {kind: 'dispatched'};
		},
		finish(key, outcome, answer) {
			const record = getRecord(key);
			if (record.state.kind === 'finished') {
				return;
			}

			record.state = {kind: 'finished', outcome, answer};
			bytes += answer ? getAnswerBytes(answer) : 0;
			const keys = finishedByBucket.get(record.bucket) ?? new Set();
			finishedByBucket.set(record.bucket, keys.add(key));
			enforceMaximumBytes();
		},
		release(key) {
			const record = getRecord(key);
			if (record.state.kind !== 'claimed') {
				throw new Error(`The key ${key} is ${record.state.kind} and can't be released. Release claimed keys only.`);
			}

			bytes -= getRecordBytes(key, record.state);
			recordsByKey.delete(key);
		},
		expire(nowBucket) {
			const newestExpired = nowBucket - options.lifetimeBuckets;
			for (const bucket of finishedByBucket.keys()) {
				if (bucket <= newestExpired) {
					dropBucket(bucket);
				}
			}

			horizon = Math.max(horizon, newestExpired);
		},
		listRecordedKeys: () => [...recordsByKey].map(([key, {state}]) => ({
			key, outcome: state.kind === 'finished' ? state.outcome : 'unknown',
		})),
		getSize: () => ({keys: recordsByKey.size, bytes, horizon}),
	};
}

function getRecordBytes(key: string, state: KeyState): number {
	const answer = state.kind === 'finished' ? state.answer : undefined;
	return keyOverheadBytes + (key.length * 2) + (answer ? getAnswerBytes(answer) : 0);
}

function getAnswerBytes(answer: StoredAnswer): number {
	let size = answer.body.byteLength;
	for (const [name, value] of answer.headers) {
		size += name.length + value.length;
	}

	return size;
}
