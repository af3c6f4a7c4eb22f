/**
Snapshots of the folded table, from which a reader starts when the records before them have expired.

A snapshot contains the whole state up to a given offset, so writing it twice has no effect.
*/
import * as crypto from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {type FoldState, verdictSchema} from './fold.ts';
import {getRowKey} from './row-key.ts';
import {type Row, type RowKey, rowSchema} from './rows.ts';

/** A snapshot as a record of the table stream. */
export const snapshotRecordSchema = z.strictObject({
	kind: z.literal('snapshot'),
	/** Offset of the first record that the snapshot does not contain. */
	offset: z.int().min(0),
	version: z.int(),
	rows: z.array(z.strictObject({row: rowSchema, version: z.int()})),
	removed: z.array(z.strictObject({key: z.string(), version: z.int()})),
	oldestBase: z.int(),
	verdicts: z.array(verdictSchema),
	/** Hash of the version, the rows and the removed keys; see `hashTable`. */
	hash: z.string(),
});

export type SnapshotRecord = z.infer<typeof snapshotRecordSchema>;

export type SnapshotError = {
	readonly kind: 'malformed' | 'hash-mismatch';
	readonly message: string;
};

/** Creates a snapshot of a state. */
export function createSnapshot(state: FoldState): SnapshotRecord {
	const {rows} = state.table;
	return {
		kind: 'snapshot',
		offset: state.nextOffset,
		version: state.table.version,
		rows: sortEntries(rows).map(([key, row]) => ({row, version: state.keyVersions.get(key) ?? state.table.version})),
		removed: sortEntries(state.keyVersions).filter(([key]) => !rows.has(key)).map(([key, version]) => ({key, version})),
		oldestBase: state.oldestBase,
		verdicts: [...state.verdicts.values()],
		hash: hashTable(state),
	};
}

/** Restores the state from a snapshot after checking its schema and its hash. */
export function restoreSnapshot(value: unknown): Result<FoldState, SnapshotError> {
	const parsed = snapshotRecordSchema.safeParse(value);
	if (!parsed.success) {
		return err({kind: 'malformed', message: z.prettifyError(parsed.error)});
	}

	const snapshot = parsed.data;
	const rows = new Map<RowKey, Row>(snapshot.rows.map(entry => [getRowKey(entry.row), entry.row]));
	const state: FoldState = {
		table: {version: snapshot.version, rows},
		nextOffset: snapshot.offset,
		keyVersions: new Map([
			...snapshot.rows.map(entry => [getRowKey(entry.row), entry.version] as const),
			...snapshot.removed.map(entry => [entry.key, entry.version] as const),
		]),
		oldestBase: snapshot.oldestBase,
		verdicts: new Map(snapshot.verdicts.map(verdict => [verdict.id, verdict])),
	};
	const hash = hashTable(state);
	if (hash !== snapshot.hash) {
		return err({kind: 'hash-mismatch', message: `the hash in the snapshot is ${snapshot.hash}, but the hash of its contents is ${hash}`});
	}

	return ok(state);
}

/** Merges a snapshot into a state: returns the restored state if it is ahead, otherwise the given one. The version never decreases. */
export function mergeSnapshot(state: FoldState | undefined, snapshot: unknown): Result<FoldState, SnapshotError> {
	return restoreSnapshot(snapshot).map(restored => state && !isAhead(restored, state) ? state : restored);
}

function isAhead(candidate: FoldState, state: FoldState): boolean {
	return candidate.nextOffset > state.nextOffset && candidate.table.version >= state.table.version;
}

/** Hashes the version, the rows and the removed keys of a state. Readers with equal tables compute equal hashes. */
export function hashTable(state: FoldState): string {
	const hash = crypto.createHash('sha256');
	hash.update(`${state.table.version} ${state.oldestBase}\n`);
	for (const [key, version] of sortEntries(state.keyVersions)) {
		const row = state.table.rows.get(key);
		hash.update(`${key} ${version} ${row ? JSON.stringify(sortEntries(new Map(Object.entries(row)))) : 'removed'}\n`);
	}

	return hash.digest('hex');
}

function sortEntries<Value>(map: ReadonlyMap<string, Value>): Array<[string, Value]> {
	return [...map].toSorted(([left], [right]) => left < right ? -1 : 1);
}
