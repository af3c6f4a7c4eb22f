/**
Follows the table stream page by page: from its start, or from a snapshot when earlier records have expired.

A reader that fell behind the log's retention keeps its version until a snapshot or a peer closes the gap.
*/
import * as z from 'zod';
import {
	type FoldEvent, foldRecord, foldRecords, type FoldState, initialFoldState, type TableStreamRecord,
} from './fold.ts';
import {
	adopt, createSnapshot, hashTable, restoreSnapshot, type SnapshotRecord, snapshotRecordSchema,
} from './snapshot.ts';

/** Records kept for peers that are a few versions behind. */
export const maximumRecentRecords = 64;

/** Page of the table stream; offsets before `firstOffset` have expired. */
export type TableStreamPage = {
	readonly firstOffset: number;
	readonly nextOffset: number;
	readonly records: readonly TableStreamRecord[];
};

/** Records that expired before they were read, and what was read after them. */
export type RetentionGap = {
	/** Offset of the first record after the gap. */
	readonly firstOffset: number;
	readonly records: readonly TableStreamRecord[];
};

export type FollowState = {
	/** State of the fold; undefined until the table is known. */
	readonly fold: FoldState | undefined;
	readonly gap: RetentionGap | undefined;
	/** Offset to read next. */
	readonly nextOffset: number;
	/** Latest folded records, for peers. */
	readonly recent: readonly TableStreamRecord[];
	/** When the latest usable snapshot was appended, by the clock of the log; undefined when none was seen. */
	readonly snapshotAt: number | undefined;
	/** Edits folded since the latest usable snapshot. */
	readonly editsSinceSnapshot: number;
};

export const initialFollowState: FollowState = {
	fold: undefined, gap: undefined, nextOffset: 0, recent: [], snapshotAt: undefined, editsSinceSnapshot: 0,
};

/** Something that a reader reports to its operators. */
export type FollowEvent
	= | FoldEvent
		/** Records expired before they were read. */
		| {readonly kind: 'gap-found'; readonly fromOffset: number; readonly firstOffset: number}
		/** A snapshot or a peer closed the gap. */
		| {readonly kind: 'gap-closed'; readonly offset: number}
		/** A snapshot of the same version holds other rows, or can't be read. */
		| {readonly kind: 'snapshot-refused'; readonly offset: number; readonly message: string};

export type FollowStep = {
	readonly state: FollowState;
	readonly events: readonly FollowEvent[];
};

/** Takes a page that was read from `state.nextOffset` on. */
export function followPage(state: FollowState, page: TableStreamPage): FollowStep {
	const events: FollowEvent[] = [];
	let followed = enterPage(state, page, events);
	for (const record of page.records) {
		followed = followRecord(followed, record, events);
	}

	const nextOffset = Math.max(followed.nextOffset, page.nextOffset);
	return {state: {...followed, nextOffset, fold: advanceFold(followed, nextOffset)}, events};
}

function enterPage(state: FollowState, page: TableStreamPage, events: FollowEvent[]): FollowState {
	if (page.firstOffset > state.nextOffset) {
		events.push({kind: 'gap-found', fromOffset: state.nextOffset, firstOffset: page.firstOffset});
		return {
			...state, gap: {firstOffset: page.firstOffset, records: []}, recent: [], nextOffset: page.firstOffset,
		};
	}

	if (!state.fold && !state.gap) {
		return {...state, fold: initialFoldState};
	}

	return state;
}

function advanceFold(state: FollowState, nextOffset: number): FoldState | undefined {
	return state.fold && !state.gap ? {...state.fold, nextOffset: Math.max(state.fold.nextOffset, nextOffset)} : state.fold;
}

function followRecord(state: FollowState, record: TableStreamRecord & {readonly appendedAt?: number}, events: FollowEvent[]): FollowState {
	if (record.offset < state.nextOffset) {
		return state;
	}

	const advanced = {...state, nextOffset: record.offset + 1};
	if (isSnapshotValue(record.value)) {
		return followSnapshot(advanced, record, events);
	}

	if (advanced.gap) {
		return {...advanced, gap: {...advanced.gap, records: [...advanced.gap.records, record]}};
	}

	const step = foldRecord(state.fold ?? initialFoldState, record);
	events.push(step.event);
	return {
		...advanced,
		fold: step.state,
		recent: [...advanced.recent, record].slice(-maximumRecentRecords),
		editsSinceSnapshot: advanced.editsSinceSnapshot + 1,
	};
}

function isSnapshotValue(value: unknown): boolean {
	return typeof value === 'object' && value !== null && 'kind' in value && value.kind === 'snapshot';
}

function followSnapshot(state: FollowState, record: TableStreamRecord & {readonly appendedAt?: number}, events: FollowEvent[]): FollowState {
	const restored = restoreSnapshot(record.value);
	if (restored.isErr()) {
		events.push({kind: 'snapshot-refused', offset: record.offset, message: restored.error.message});
		return state;
	}

	const snapshot = restored.value;
	const counted = {...state, snapshotAt: record.appendedAt ?? state.snapshotAt, editsSinceSnapshot: 0};
	if (state.gap) {
		return snapshot.nextOffset < state.gap.firstOffset ? state : closeGap(counted, snapshot, events);
	}

	const fold = state.fold ?? initialFoldState;
	if (snapshot.table.version === fold.table.version && hashTable(fold) !== hashTable(snapshot)) {
		events.push({kind: 'snapshot-refused', offset: record.offset, message: `it has other rows than version ${fold.table.version} here`});
		return state;
	}

	return {...counted, fold: {...fold, nextOffset: record.offset + 1}};
}

/** Starts again from a state that contains everything before the end of the gap. */
function closeGap(state: FollowState, start: FoldState, events: FollowEvent[]): FollowState {
	if (!state.gap || (state.fold && start.table.version < state.fold.table.version)) {
		return state;
	}

	events.push({kind: 'gap-closed', offset: start.nextOffset});
	const fold = foldRecords(start, state.gap.records);
	const nextOffset = Math.max(state.nextOffset, fold.nextOffset);
	return {
		...state, gap: undefined, nextOffset, fold: {...fold, nextOffset},
	};
}

/** What one reader passes on to another that is behind: the records in between, or a whole snapshot. */
export const tableUpdateSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('records'),
		/** The update fits readers that folded all records before this offset. */
		fromOffset: z.int().min(0),
		nextOffset: z.int().min(0),
		records: z.array(z.strictObject({offset: z.int().min(0), value: z.unknown()})),
	}),
	z.strictObject({kind: z.literal('snapshot'), snapshot: snapshotRecordSchema}),
]);

export type TableUpdate = z.infer<typeof tableUpdateSchema>;

/** Creates the smallest update for a reader at an offset; undefined when there is nothing newer here. */
export function createUpdate(state: FollowState, fromOffset: number | undefined): TableUpdate | undefined {
	const {fold, recent} = state;
	if (!fold || (fromOffset !== undefined && fold.nextOffset <= fromOffset)) {
		return undefined;
	}

	const oldest = recent[0]?.offset;
	if (fromOffset === undefined || oldest === undefined || fromOffset < oldest) {
		return {kind: 'snapshot', snapshot: createSnapshot(fold)};
	}

	const records = recent.filter(record => record.offset >= fromOffset).map(({offset, value}) => ({offset, value}));
	return {
		kind: 'records', fromOffset, nextOffset: fold.nextOffset, records,
	};
}

/** Takes an update from a peer; one that is older, doesn't fit or can't be read changes nothing. */
export function followUpdate(state: FollowState, update: TableUpdate): FollowStep {
	return update.kind === 'records'
		? followPeerRecords(state, update)
		: followPeerSnapshot(state, update.snapshot);
}

function followPeerRecords(state: FollowState, update: Extract<TableUpdate, {kind: 'records'}>): FollowStep {
	const {fold} = state;
	if (!fold || update.fromOffset > fold.nextOffset || update.nextOffset <= fold.nextOffset) {
		return {state, events: []};
	}

	const folded = foldRecords(fold, update.records);
	return takeOver(state, {...folded, nextOffset: Math.max(folded.nextOffset, update.nextOffset)});
}

function followPeerSnapshot(state: FollowState, snapshot: SnapshotRecord): FollowStep {
	const adopted = adopt(state.fold, snapshot);
	if (adopted.isErr()) {
		return {state, events: [{kind: 'snapshot-refused', offset: snapshot.offset, message: adopted.error.message}]};
	}

	return adopted.value === state.fold ? {state, events: []} : takeOver(state, adopted.value);
}

function takeOver(state: FollowState, fold: FoldState): FollowStep {
	const {gap} = state;
	if (!gap) {
		return {
			state: {
				...state, fold, nextOffset: Math.max(state.nextOffset, fold.nextOffset), recent: [],
			},
			events: [],
		};
	}

	if (fold.nextOffset < gap.firstOffset) {
		return {state: {...state, fold}, events: []};
	}

	const events: FollowEvent[] = [];
	return {state: {...closeGap(state, fold, events), recent: []}, events};
}
