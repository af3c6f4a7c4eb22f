/** Folds the records of the table stream, in the order of their offsets, into the current table. */
import * as z from 'zod';
import {checkTable, type TableProblem} from './check-table.ts';
import {getRowKey} from './row-key.ts';
import {
	emptyTable, type Row, type RowKey, rowSchema, type Table,
} from './rows.ts';

/** Name of the log stream that contains the edits and snapshots of the table. */
export const tableStream = 'table';

/** Maximum number of verdicts kept, for edits that are appended again and for the history. */
export const maximumVerdicts = 1024;

/** Maximum number of removed keys whose versions are kept; edits based on a version before the dropped ones are rejected. */
export const maximumRemovedKeys = 1024;

/** Maximum number of changes in one edit. */
export const maximumChanges = 10_000;

/** A change of one row. */
export const changeSchema = z.discriminatedUnion('action', [
	z.strictObject({action: z.literal('put'), row: rowSchema}),
	z.strictObject({action: z.literal('remove'), key: z.string()}),
]);

export type Change = z.infer<typeof changeSchema>;

/** An edit of the table. Either all of its changes take effect or none. */
export const editRecordSchema = z.strictObject({
	kind: z.literal('edit'),
	id: z.string().min(1).max(100),
	/** Version of the table on which the operator based the edit. */
	baseVersion: z.int(),
	operator: z.string().max(200),
	changes: z.array(changeSchema).min(1).max(maximumChanges),
});

export type EditRecord = z.infer<typeof editRecordSchema>;

/** Matches a record that is an edit with an ID, even if the rest of it is malformed. */
const editIdentitySchema = z.object({kind: z.literal('edit'), id: z.string().min(1).max(100)});

export const editRejectionSchema = z.discriminatedUnion('kind', [
	/** The record does not match the schema. */
	z.strictObject({kind: z.literal('malformed'), message: z.string()}),
	/** The base version is later than the version of the table. */
	z.strictObject({kind: z.literal('base-unknown'), baseVersion: z.int(), version: z.int()}),
	/** The base version is older than `oldestBase`, so that removals after it may no longer be recorded. */
	z.strictObject({kind: z.literal('base-expired'), baseVersion: z.int(), oldestBase: z.int()}),
	/** Another edit changed the row after the base version. */
	z.strictObject({kind: z.literal('conflict'), key: z.string(), version: z.int()}),
	/** The edit changes one row twice. */
	z.strictObject({kind: z.literal('repeated-key'), key: z.string()}),
	/** The edit removes a row that does not exist. */
	z.strictObject({kind: z.literal('row-missing'), key: z.string()}),
	/** The edit would make the rows of the table inconsistent. */
	z.strictObject({kind: z.literal('invalid-table'), key: z.string(), message: z.string()}),
]);

/** Reason why an edit was rejected. */
export type EditRejection = z.infer<typeof editRejectionSchema>;

export const verdictSchema = z.strictObject({
	id: z.string(),
	/** Offset of the record that contained the edit. If the edit was accepted, this is the version that it created. */
	offset: z.int(),
	/** Reason why the edit was rejected; absent when it was accepted. */
	rejection: editRejectionSchema.optional(),
});

/** Result of an edit. The same edit appended again gets the same verdict. */
export type Verdict = z.infer<typeof verdictSchema>;

/** The parts of a record of the table stream that the fold uses. */
export type TableStreamRecord = {
	readonly offset: number;
	readonly value: unknown;
};

/** State after folding all records before `nextOffset`. */
export type FoldState = {
	readonly table: Table;
	readonly nextOffset: number;
	/** Latest version that put or removed each key. */
	readonly keyVersions: ReadonlyMap<RowKey, number>;
	/** Oldest permitted base version; edits based on an older one are rejected. */
	readonly oldestBase: number;
	/** Verdicts by the ID of the edit, oldest first. */
	readonly verdicts: ReadonlyMap<string, Verdict>;
};

export const initialFoldState: FoldState = {
	table: emptyTable,
	nextOffset: 0,
	keyVersions: new Map(),
	oldestBase: emptyTable.version,
	verdicts: new Map(),
};

/** Effect of one record. */
export type FoldEvent
	= | {readonly kind: 'edit-decided'; readonly verdict: Verdict; readonly edit: EditRecord | undefined}
		| {readonly kind: 'edit-repeated'; readonly verdict: Verdict}
		/** Snapshots, records of other kinds, and records that were folded before don't change the table. */
		| {readonly kind: 'passed'};

export type FoldStep = {
	readonly state: FoldState;
	readonly event: FoldEvent;
};

/** Folds one record. A record that was folded before has no effect. */
export function foldRecord(state: FoldState, record: TableStreamRecord): FoldStep {
	if (record.offset < state.nextOffset) {
		return {state, event: {kind: 'passed'}};
	}

	const advanced = {...state, nextOffset: record.offset + 1};
	const identity = editIdentitySchema.safeParse(record.value);
	if (!identity.success) {
		return {state: advanced, event: {kind: 'passed'}};
	}

	const earlierVerdict = state.verdicts.get(identity.data.id);
	if (earlierVerdict) {
		return {state: advanced, event: {kind: 'edit-repeated', verdict: earlierVerdict}};
	}

	return decideEdit(advanced, identity.data.id, record);
}

/** Folds records in the given order. */
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
		return createRejectedStep(state, undefined, {id, offset, rejection: {kind: 'malformed', message}});
	}

	const edit = parsed.data;
	const table = applyEdit(state.table, edit, offset);
	const rejection = checkEdit(state, edit) ?? toRejection(checkTable(table, getServices(edit)));
	if (rejection) {
		return createRejectedStep(state, edit, {id, offset, rejection});
	}

	const verdict = {id, offset};
	return {
		state: pruneRemovedKeys({
			...state,
			table,
			keyVersions: updateVersions(state.keyVersions, edit, offset),
			verdicts: addVerdict(state.verdicts, verdict),
		}),
		event: {kind: 'edit-decided', verdict, edit},
	};
}

/** Checks an edit against its base version and the versions of the rows that it changes. Returns undefined when it is permitted. */
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

/** Applies an edit to a table without checking it; `offset` becomes the version. */
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

function createRejectedStep(state: FoldState, edit: EditRecord | undefined, verdict: Verdict): FoldStep {
	return {
		state: {...state, verdicts: addVerdict(state.verdicts, verdict)},
		event: {kind: 'edit-decided', verdict, edit},
	};
}

function addVerdict(verdicts: ReadonlyMap<string, Verdict>, verdict: Verdict): ReadonlyMap<string, Verdict> {
	const updated = new Map(verdicts);
	updated.set(verdict.id, verdict);
	for (const id of updated.keys()) {
		if (updated.size <= maximumVerdicts) {
			break;
		}

		updated.delete(id);
	}

	return updated;
}

function updateVersions(versions: ReadonlyMap<RowKey, number>, edit: EditRecord, offset: number): ReadonlyMap<RowKey, number> {
	const updated = new Map(versions);
	for (const change of edit.changes) {
		updated.set(getChangedKey(change), offset);
	}

	return updated;
}

/** Drops the oldest removed keys in excess of the maximum, and raises the oldest permitted base version accordingly. */
function pruneRemovedKeys(state: FoldState): FoldState {
	const excess = state.keyVersions.size - state.table.rows.size - maximumRemovedKeys;
	if (excess <= 0) {
		return state;
	}

	const prunedKeys = [...state.keyVersions]
		.filter(([key]) => !state.table.rows.has(key))
		.toSorted(([leftKey, left], [rightKey, right]) => left - right || (leftKey < rightKey ? -1 : 1))
		.slice(0, excess);
	const keyVersions = new Map(state.keyVersions);
	let {oldestBase} = state;
	for (const [key, version] of prunedKeys) {
		keyVersions.delete(key);
		oldestBase = Math.max(oldestBase, version);
	}

	return {...state, keyVersions, oldestBase};
}
