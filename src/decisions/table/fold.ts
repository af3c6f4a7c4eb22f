/** Folds the records of the table stream, in the order of their offsets, into the table in force. */
import * as z from 'zod';
import {checkTable, type TableProblem} from './check-table.ts';
import {getRowKey} from './row-key.ts';
import {
	emptyTable, type Row, type RowKey, rowSchema, type Table,
} from './rows.ts';

/** Name of the log stream that holds the table. */
export const tableStream = 'table';

/** Verdicts that are kept for repeats of an edit and for the history. */
export const maximumVerdicts = 1024;

/** Removed keys whose version is kept; edits based on a version before the oldest of them are rejected. */
export const maximumRemovedKeys = 1024;

/** Changes that one edit may carry. */
export const maximumChanges = 10_000;

export const changeSchema = z.discriminatedUnion('action', [
	z.strictObject({action: z.literal('put'), row: rowSchema}),
	z.strictObject({action: z.literal('remove'), key: z.string()}),
]);

export type Change = z.infer<typeof changeSchema>;

/** An edit: all of its changes take effect, or none. */
export const editRecordSchema = z.strictObject({
	kind: z.literal('edit'),
	id: z.string().min(1).max(100),
	/** Version that the operator saw. */
	baseVersion: z.int(),
	operator: z.string().max(200),
	changes: z.array(changeSchema).min(1).max(maximumChanges),
});

export type EditRecord = z.infer<typeof editRecordSchema>;

const malformedEditSchema = z.object({kind: z.literal('edit'), id: z.string().min(1).max(100)});

export const editRejectionSchema = z.discriminatedUnion('kind', [
	/** The record does not follow the schema. */
	z.strictObject({kind: z.literal('malformed'), message: z.string()}),
	/** The base version is one that the table did not reach yet. */
	z.strictObject({kind: z.literal('base-unknown'), baseVersion: z.int(), version: z.int()}),
	/** The base version is older than the removals that are still known. */
	z.strictObject({kind: z.literal('base-expired'), baseVersion: z.int(), oldestBase: z.int()}),
	/** Another edit changed the row after the base version. */
	z.strictObject({kind: z.literal('conflict'), key: z.string(), version: z.int()}),
	/** The edit names one row twice. */
	z.strictObject({kind: z.literal('repeated-key'), key: z.string()}),
	/** The edit removes a row that is not there. */
	z.strictObject({kind: z.literal('row-missing'), key: z.string()}),
	/** The rows that the edit leads to contradict one another. */
	z.strictObject({kind: z.literal('invalid-table'), key: z.string(), message: z.string()}),
]);

/** Why an edit was rejected. */
export type EditRejection = z.infer<typeof editRejectionSchema>;

export const verdictSchema = z.strictObject({
	id: z.string(),
	/** Offset of the record that decided the edit; the version when the edit was accepted. */
	offset: z.int(),
	/** Why the edit was rejected; absent when it was accepted. */
	rejection: editRejectionSchema.optional(),
});

/** What became of an edit; a repeat of the edit gets the same. */
export type Verdict = z.infer<typeof verdictSchema>;

/** Record of the table stream as the fold needs it. */
export type TableStreamRecord = {
	readonly offset: number;
	readonly value: unknown;
};

/** State after folding all records before `nextOffset`. */
export type FoldState = {
	readonly table: Table;
	readonly nextOffset: number;
	/** Version that put or removed each key last. */
	readonly keyVersions: ReadonlyMap<RowKey, number>;
	/** Edits based on an older version are rejected. */
	readonly oldestBase: number;
	/** Verdicts by edit identity, oldest first. */
	readonly verdicts: ReadonlyMap<string, Verdict>;
};

export const initialFoldState: FoldState = {
	table: emptyTable,
	nextOffset: 0,
	keyVersions: new Map(),
	oldestBase: emptyTable.version,
	verdicts: new Map(),
};

/** What a record did. */
export type FoldEvent
	= | {readonly kind: 'edit-decided'; readonly verdict: Verdict; readonly edit: EditRecord | undefined}
		| {readonly kind: 'edit-repeated'; readonly verdict: Verdict}
		/** Snapshots and records of other kinds leave the state as it is. */
		| {readonly kind: 'passed'};

export type FoldStep = {
	readonly state: FoldState;
	readonly event: FoldEvent;
};

/** Folds one record; a record that was folded before changes nothing. */
export function foldRecord(state: FoldState, record: TableStreamRecord): FoldStep {
	if (record.offset < state.nextOffset) {
		return {state, event: {kind: 'passed'}};
	}

	const advanced = {...state, nextOffset: record.offset + 1};
	const identity = malformedEditSchema.safeParse(record.value);
	if (!identity.success) {
		return {state: advanced, event: {kind: 'passed'}};
	}

	const earlier = state.verdicts.get(identity.data.id);
	if (earlier) {
		return {state: advanced, event: {kind: 'edit-repeated', verdict: earlier}};
	}

	return decideEdit(advanced, identity.data.id, record);
}

/** Folds records one after the other. */
export function foldRecords(state: FoldState, records: readonly TableStreamRecord[]): FoldState {
	let folded = state;
	for (const record of records) {
		folded = foldRecord(folded, record).state;
	}

	return folded;
}

function decideEdit(state: FoldState, id: string, record: TableStreamRecord): FoldStep {
	const {offset} = record;
	const parsed = editRecordSchema.safeParse(record.value);
	if (!parsed.success) {
		const message = parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).slice(0, 5).join('; ');
		return createRejection(state, undefined, {id, offset, rejection: {kind: 'malformed', message}});
	}

	const edit = parsed.data;
	const table = applyEdit(state.table, edit, offset);
	const rejection = checkEdit(state, edit) ?? toRejection(checkTable(table, getServices(edit)));
	if (rejection) {
		return createRejection(state, edit, {id, offset, rejection});
	}

	const verdict = {id, offset};
	return {
		state: forgetRemovedKeys({
			...state,
			table,
			keyVersions: setVersions(state.keyVersions, edit, offset),
			verdicts: addVerdict(state.verdicts, verdict),
		}),
		event: {kind: 'edit-decided', verdict, edit},
	};
}

/** Checks an edit against the versions of the rows that it touches; returns undefined when they allow it. */
export function checkEdit(state: FoldState, edit: EditRecord): EditRejection | undefined {
	const {baseVersion} = edit;
	if (baseVersion > state.table.version) {
		return {kind: 'base-unknown', baseVersion, version: state.table.version};
	}

	if (baseVersion < state.oldestBase) {
		return {kind: 'base-expired', baseVersion, oldestBase: state.oldestBase};
	}

	const keys = new Set<RowKey>();
	for (const change of edit.changes) {
		const key = getChangedKey(change);
		if (keys.has(key)) {
			return {kind: 'repeated-key', key};
		}

		keys.add(key);
		const version = state.keyVersions.get(key);
		if (version !== undefined && version > baseVersion) {
			return {kind: 'conflict', key, version};
		}

		if (change.action === 'remove' && !state.table.rows.has(key)) {
			return {kind: 'row-missing', key};
		}
	}

	return undefined;
}

/** Applies an edit to a table without any check. */
export function applyEdit(table: Table, edit: Pick<EditRecord, 'changes'>, offset: number): Table {
	const rows = new Map<RowKey, Row>(table.rows);
	for (const change of edit.changes) {
		if (change.action === 'put') {
			rows.set(getRowKey(change.row), change.row);
		} else {
			rows.delete(change.key);
		}
	}

	return {version: offset, rows};
}

/** Gets the key of the row that a change puts or removes. */
export function getChangedKey(change: Change): RowKey {
	return change.action === 'put' ? getRowKey(change.row) : change.key;
}

function getServices(edit: EditRecord): ReadonlySet<string> {
	return new Set(edit.changes.map(change => getChangedKey(change).split('/')[1] ?? ''));
}

function toRejection(problem: TableProblem | undefined): EditRejection | undefined {
	return problem && {kind: 'invalid-table', ...problem};
}

function createRejection(state: FoldState, edit: EditRecord | undefined, verdict: Verdict): FoldStep {
	return {
		state: {...state, verdicts: addVerdict(state.verdicts, verdict)},
		event: {kind: 'edit-decided', verdict, edit},
	};
}

function addVerdict(verdicts: ReadonlyMap<string, Verdict>, verdict: Verdict): ReadonlyMap<string, Verdict> {
	const added = new Map(verdicts);
	added.set(verdict.id, verdict);
	for (const id of added.keys()) {
		if (added.size <= maximumVerdicts) {
			break;
		}

		added.delete(id);
	}

	return added;
}

function setVersions(versions: ReadonlyMap<RowKey, number>, edit: EditRecord, offset: number): ReadonlyMap<RowKey, number> {
	const changed = new Map(versions);
	for (const change of edit.changes) {
		changed.set(getChangedKey(change), offset);
	}

	return changed;
}

/** Forgets the removals that are too many, the oldest first, and raises the oldest base version accordingly. */
function forgetRemovedKeys(state: FoldState): FoldState {
	const excess = state.keyVersions.size - state.table.rows.size - maximumRemovedKeys;
	if (excess <= 0) {
		return state;
	}

	const removed = [...state.keyVersions]
		.filter(([key]) => !state.table.rows.has(key))
		.toSorted(([leftKey, left], [rightKey, right]) => left - right || (leftKey < rightKey ? -1 : 1))
		.slice(0, excess);
	const keyVersions = new Map(state.keyVersions);
	let {oldestBase} = state;
	for (const [key, version] of removed) {
		keyVersions.delete(key);
		oldestBase = Math.max(oldestBase, version);
	}

	return {...state, keyVersions, oldestBase};
}
