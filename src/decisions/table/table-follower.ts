/**
Follows the table stream page by page, from its start or from a snapshot when earlier records have expired.

A reader that fell behind the retention of the log keeps its version of the table until a snapshot in the log or an
update from a peer closes the gap.
*/
import * as z from 'zod';
import {
	type FoldEvent, foldRecord, foldRecords, type FoldState, initialFoldState, type TableStreamRecord,
} from './fold.ts';
import {
	mergeSnapshot, createSnapshot, hashTable, restoreSnapshot, type SnapshotRecord, snapshotRecordSchema,
} from './snapshot.ts';

/** Maximum number of records kept to update peers that are a few versions behind. */
export const maximumRecentRecords = 64;

/** A page of the table stream. Records before `firstOffset` have expired. */
export type TableStreamPage = {
	readonly firstOffset: number;
	readonly nextOffset: number;
	readonly records: readonly TableStreamRecord[];
};

/** A gap left by records that expired before they were read, and the records read after it. */
export type RetentionGap = {
	/** Offset of the first record after the gap. */
	readonly firstOffset: number;
	readonly records: readonly TableStreamRecord[];
};

/** State of a reader that follows the table stream. */
export type FollowerState = {
	/** State of the fold; undefined until the reader has a table. */
	readonly fold: FoldState | undefined;
	/** The open gap, if any. While it is open, the fold doesn't advance by records of the log. */
	readonly gap: RetentionGap | undefined;
	/** Offset of the next record to read. */
	readonly nextOffset: number;
	/** The latest folded records, to update peers. */
	readonly recentRecords: readonly TableStreamRecord[];
	/** When the latest usable snapshot was appended, by the clock of the log; undefined if none was read. */
	readonly lastSnapshotAt: number | undefined;
	/** Number of records folded since the latest usable snapshot. */
	readonly editsSinceSnapshot: number;
};

export const initialFollowerState: FollowerState = {
	fold: undefined, gap: undefined, nextOffset: 0, recentRecords: [], lastSnapshotAt: undefined, editsSinceSnapshot: 0,
};

/** An event that a reader reports to operators. */
export type FollowerEvent
	= | FoldEvent
		/** Records expired before they were read. */
		| {readonly kind: 'gap-found'; readonly fromOffset: number; readonly firstOffset: number}
		/** A snapshot or a peer closed the gap. */
		| {readonly kind: 'gap-closed'; readonly offset: number}
		/** A snapshot differs from the local rows of the same version, or is malformed or damaged. */
		| {readonly kind: 'snapshot-refused'; readonly offset: number; readonly message: string};

export type FollowerStep = {
	readonly state: FollowerState;
	readonly events: readonly FollowerEvent[];
};

/** Applies a page that was read starting from `state.nextOffset`. */
export function applyPage(state: FollowerState, page: TableStreamPage): FollowerStep {
	const events: FollowerEvent[] = [];
	let updated = preparePage(state, page, events);
	for (const record of page.records) {
		updated = applyRecord(updated, record, events);
	}

	const nextOffset = Math.max(updated.nextOffset, page.nextOffset);
	return {state: {...updated, nextOffset, fold: advanceFold(updated, nextOffset)}, events};
}

/** Opens a gap when records before the page expired unread; starts from an empty table when the stream is read from its start. */
function preparePage(state: FollowerState, page: TableStreamPage, events: FollowerEvent[]): FollowerState {
	if (page.firstOffset > state.nextOffset) {
		events.push({kind: 'gap-found', fromOffset: state.nextOffset, firstOffset: page.firstOffset});
		return {
			...state, gap: {firstOffset: page.firstOffset, records: []}, recentRecords: [], nextOffset: page.firstOffset,
		};
	}

	if (!state.fold && !state.gap) {
		return {...state, fold: initialFoldState};
	}

	return state;
}

function advanceFold(state: FollowerState, nextOffset: number): FoldState | undefined {
	return state.fold && !state.gap ? {...state.fold, nextOffset: Math.max(state.fold.nextOffset, nextOffset)} : state.fold;
}

function applyRecord(state: FollowerState, record: TableStreamRecord & {readonly appendedAt?: number}, events: FollowerEvent[]): FollowerState {
	if (record.offset < state.nextOffset) {
		return state;
	}

	const advanced = {...state, nextOffset: record.offset + 1};
	if (isSnapshotRecord(record.value)) {
		return applySnapshotRecord(advanced, record, events);
	}

	if (advanced.gap) {
		return {...advanced, gap: {...advanced.gap, records: [...advanced.gap.records, record]}};
	}

	const step = foldRecord(state.fold ?? initialFoldState, record);
	events.push(step.event);
	return {
		...advanced,
		fold: step.state,
		recentRecords: [...advanced.recentRecords, record].slice(-maximumRecentRecords),
		editsSinceSnapshot: advanced.editsSinceSnapshot + 1,
	};
}

function isSnapshotRecord(value: unknown): boolean {
	return typeof value === 'object' && value !== null && 'kind' in value && value.kind === 'snapshot';
}

function applySnapshotRecord(state: FollowerState, record: TableStreamRecord & {readonly appendedAt?: number}, events: FollowerEvent[]): FollowerState {
	const restored = restoreSnapshot(record.value);
	if (restored.isErr()) {
		events.push({kind: 'snapshot-refused', offset: record.offset, message: restored.error.message});
		return state;
	}

	const snapshot = restored.value;
	const stateWithSnapshot = {...state, lastSnapshotAt: record.appendedAt ?? state.lastSnapshotAt, editsSinceSnapshot: 0};
	if (state.gap) {
		return snapshot.nextOffset < state.gap.firstOffset ? state : closeGap(stateWithSnapshot, snapshot, events);
	}

	const fold = state.fold ?? initialFoldState;
	if (snapshot.table.version === fold.table.version && hashTable(fold) !== hashTable(snapshot)) {
		events.push({kind: 'snapshot-refused', offset: record.offset, message: `the rows of the snapshot differ from the local rows of version ${fold.table.version}`});
		return state;
	}

	return {...stateWithSnapshot, fold: {...fold, nextOffset: record.offset + 1}};
}

/** Closes the gap with a state that contains all records before the end of the gap. */
function closeGap(state: FollowerState, base: FoldState, events: FollowerEvent[]): FollowerState {
	if (!state.gap || (state.fold && base.table.version < state.fold.table.version)) {
		return state;
	}

	events.push({kind: 'gap-closed', offset: base.nextOffset});
	const fold = foldRecords(base, state.gap.records);
	const nextOffset = Math.max(state.nextOffset, fold.nextOffset);
	return {
		...state, gap: undefined, nextOffset, fold: {...fold, nextOffset},
	};
}

/** An update that a reader sends to a peer that is behind: the records that the peer lacks, or a whole snapshot. */
export const tableUpdateSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('records'),
		/** The update applies to readers that folded all records before this offset. */
		fromOffset: z.int().min(0),
		nextOffset: z.int().min(0),
		records: z.array(z.strictObject({offset: z.int().min(0), value: z.unknown()})),
	}),
	z.strictObject({kind: z.literal('snapshot'), snapshot: snapshotRecordSchema}),
]);

export type TableUpdate = z.infer<typeof tableUpdateSchema>;

/** Creates the smallest update for a reader at the given offset; undefined when this reader has nothing newer. */
export function createUpdate(state: FollowerState, fromOffset: number | undefined): TableUpdate | undefined {
	const {fold, recentRecords} = state;
	if (!fold || (fromOffset !== undefined && fold.nextOffset <= fromOffset)) {
		return undefined;
	}

	const oldestOffset = recentRecords[0]?.offset;
	if (fromOffset === undefined || oldestOffset === undefined || fromOffset < oldestOffset) {
		return {kind: 'snapshot', snapshot: createSnapshot(fold)};
	}

	const records = recentRecords.filter(record => record.offset >= fromOffset).map(({offset, value}) => ({offset, value}));
	return {
		kind: 'records', fromOffset, nextOffset: fold.nextOffset, records,
	};
}

/** Applies an update from a peer. An update that is older, doesn't apply to the current offset or is malformed changes nothing. */
export function applyUpdate(state: FollowerState, update: TableUpdate): FollowerStep {
	return update.kind === 'records'
		? applyPeerRecords(state, update)
		: applyPeerSnapshot(state, update.snapshot);
}

function applyPeerRecords(state: FollowerState, update: Extract<TableUpdate, {kind: 'records'}>): FollowerStep {
	const {fold} = state;
	if (!fold || update.fromOffset > fold.nextOffset || update.nextOffset <= fold.nextOffset) {
		return {state, events: []};
	}

	const folded = foldRecords(fold, update.records);
	return replaceFold(state, {...folded, nextOffset: Math.max(folded.nextOffset, update.nextOffset)});
}

function applyPeerSnapshot(state: FollowerState, snapshot: SnapshotRecord): FollowerStep {
	const merged = mergeSnapshot(state.fold, snapshot);
	if (merged.isErr()) {
		return {state, events: [{kind: 'snapshot-refused', offset: snapshot.offset, message: merged.error.message}]};
	}

	return merged.value === state.fold ? {state, events: []} : replaceFold(state, merged.value);
}

/** Replaces the fold by a newer one from a peer, which closes the gap if it contains all records before the end of the gap. */
function replaceFold(state: FollowerState, fold: FoldState): FollowerStep {
	const {gap} = state;
	if (!gap) {
		return {
			state: {
				...state, fold, nextOffset: Math.max(state.nextOffset, fold.nextOffset), recentRecords: [],
			},
			events: [],
		};
	}

	if (fold.nextOffset < gap.firstOffset) {
		return {state: {...state, fold}, events: []};
	}

	const events: FollowerEvent[] = [];
	return {state: {...closeGap(state, fold, events), recentRecords: []}, events};
}
