/**
Table of the idempotency keys that this incarnation owns, bounded in bytes and age.

Forgetting never allows a second run. Each bound key carries the bucket in which its prefix was issued. Dropping a
key raises the horizon to its bucket, and an absent key at or below the horizon counts as expired. The horizon only
rises, so this holds whatever the clocks do; a wrong clock costs answers, never a second run.
*/
import {type Outcome} from './types.ts';

/** Answer of an upstream as it is held for repeats. */
export type HeldAnswer = {
	readonly statusCode: number;
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: Uint8Array;
};

/** Life cycle of a key. */
export type KeyState
	/** Taken by a call that may still be dispatched. */
	= | {readonly kind: 'claimed'}
	/** A byte of the call may have left for an upstream. */
		| {readonly kind: 'dispatched'}
	/** The outcome is final; the answer is present while there is room for it. */
		| {readonly kind: 'finished'; readonly outcome: Outcome; readonly answer: HeldAnswer | undefined};

export type KeyVerdict
	/** The key is new and now taken by this call. */
	= | {readonly kind: 'started'}
	/** Another call with this key has not ended yet. */
		| {readonly kind: 'in-flight'}
		| {readonly kind: 'finished'; readonly outcome: Outcome; readonly answer: HeldAnswer | undefined}
		| {readonly kind: 'expired'};

export type KeyTableOptions = {
	/** Bound on the bytes of keys and answers that have ended. */
	readonly maximumBytes: number;
	/** Number of buckets after which a key expires. */
	readonly lifetimeBuckets: number;
	/** Number of buckets that a key may be ahead of this entry's clock. */
	readonly futureBuckets: number;
};

/** A key with its outcome, as it is handed on. */
export type RecordedKey = {readonly key: string; readonly outcome: Outcome};

export type KeyTable = {
	/** Takes a key for a call, or says what became of an earlier call with it. */
	begin(key: string, bucket: number, nowBucket: number): KeyVerdict;
	/** Gets what is known of a key without taking it. */
	get(key: string): KeyState | undefined;
	/** Notes that a byte may leave; throws when the key is not claimed. */
	markDispatched(key: string): void;
	/** Ends a key for good. */
	finish(key: string, outcome: Outcome, answer: HeldAnswer | undefined): void;
	/** Releases a claimed key that another incarnation owns; throws when it was dispatched. */
	release(key: string): void;
	/** Drops keys past their lifetime. */
	expire(nowBucket: number): void;
	/** Gets the outcome of every key held; keys that have not ended are `unknown`. */
	getRecords(): readonly RecordedKey[];
	getSize(): {readonly keys: number; readonly bytes: number; readonly horizon: number};
};

/** Bytes that a key takes beside its text. */
const overheadBytes = 160;

type Item = {readonly bucket: number; state: KeyState};

/** Creates an empty table. */
export function createKeyTable(options: KeyTableOptions): KeyTable {
	const items = new Map<string, Item>();
	/** Keys that have ended, by bucket. */
	const finishedByBucket = new Map<number, Set<string>>();
	let horizon = -1;
	let bytes = 0;

	const getItem = (key: string): Item => {
		const item = items.get(key);
		if (!item) {
			throw new Error(`The key ${key} is not in the table. Call begin first.`);
		}

		return item;
	};

	const drop = (key: string, item: Item): void => {
		bytes -= getBytes(key, item.state);
		items.delete(key);
		horizon = Math.max(horizon, item.bucket);
	};

	const dropBucket = (bucket: number): void => {
		for (const key of finishedByBucket.get(bucket) ?? []) {
			drop(key, getItem(key));
		}

		finishedByBucket.delete(bucket);
		horizon = Math.max(horizon, bucket);
	};

	const dropAnswers = (bucket: number): void => {
		for (const key of finishedByBucket.get(bucket) ?? []) {
			const item = getItem(key);
			if (item.state.kind === 'finished' && item.state.answer) {
				bytes -= getAnswerBytes(item.state.answer);
				item.state = {...item.state, answer: undefined};
			}

			if (bytes <= options.maximumBytes) {
				return;
			}
		}
	};

	/** Drops the oldest answers first, then the oldest keys. */
	const shrink = (): void => {
		if (bytes <= options.maximumBytes) {
			return;
		}

		const buckets = [...finishedByBucket.keys()].toSorted((left, right) => left - right);
		for (const step of [dropAnswers, dropBucket]) {
			for (const bucket of buckets) {
				if (bytes <= options.maximumBytes) {
					return;
				}

				step(bucket);
			}
		}
	};

	return {
		begin(key, bucket, nowBucket) {
			const item = items.get(key);
			if (item) {
				return item.state.kind === 'finished' ? item.state : {kind: 'in-flight'};
			}

			const isExpired = bucket <= horizon || bucket <= nowBucket - options.lifetimeBuckets;
			if (isExpired || bucket > nowBucket + options.futureBuckets) {
				return {kind: 'expired'};
			}

			const state: KeyState = {kind: 'claimed'};
			items.set(key, {bucket, state});
			bytes += getBytes(key, state);
			return {kind: 'started'};
		},
		get: key => items.get(key)?.state,
		markDispatched(key) {
			const item = getItem(key);
			if (item.state.kind !== 'claimed') {
				throw new Error(`The key ${key} is ${item.state.kind} and can't be dispatched. Dispatch a key once only.`);
			}

			item.state = {kind: 'dispatched'};
		},
		finish(key, outcome, answer) {
			const item = getItem(key);
			if (item.state.kind === 'finished') {
				return;
			}

			item.state = {kind: 'finished', outcome, answer};
			bytes += answer ? getAnswerBytes(answer) : 0;
			const keys = finishedByBucket.get(item.bucket) ?? new Set();
			finishedByBucket.set(item.bucket, keys.add(key));
			shrink();
		},
		release(key) {
			const item = getItem(key);
			if (item.state.kind !== 'claimed') {
				throw new Error(`The key ${key} is ${item.state.kind} and can't be released. Release claimed keys only.`);
			}

			bytes -= getBytes(key, item.state);
			items.delete(key);
		},
		expire(nowBucket) {
			const oldest = nowBucket - options.lifetimeBuckets;
			for (const bucket of finishedByBucket.keys()) {
				if (bucket <= oldest) {
					dropBucket(bucket);
				}
			}

			horizon = Math.max(horizon, oldest);
		},
		getRecords: () => [...items].map(([key, {state}]) => ({
			key, outcome: state.kind === 'finished' ? state.outcome : 'unknown',
		})),
		getSize: () => ({keys: items.size, bytes, horizon}),
	};
}

function getBytes(key: string, state: KeyState): number {
	const answer = state.kind === 'finished' ? state.answer : undefined;
	return overheadBytes + (key.length * 2) + (answer ? getAnswerBytes(answer) : 0);
}

function getAnswerBytes(answer: HeldAnswer): number {
	let size = answer.body.byteLength;
	for (const [name, value] of answer.headers) {
		size += name.length + value.length;
	}

	return size;
}
