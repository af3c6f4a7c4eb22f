import * as fc from 'fast-check';
import * as vitest from 'vitest';
import {
	type EditRecord, foldRecord, foldRecords, type FoldState, getChangedKey, initialFoldState, maximumRemovedKeys, type TableStreamRecord,
} from './fold.ts';
import {
	createUpdate, applyPage, applyUpdate, initialFollowerState,
} from './table-follower.ts';
import {rowSchema} from './rows.ts';
import {mergeSnapshot, createSnapshot, restoreSnapshot} from './snapshot.ts';

const {describe, expect, test} = vitest;
const seed = 20_261_204;
const runs = {seed, numRuns: 300};

const name = fc.constantFrom('desk', 'office');
const row = fc.oneof(
	fc.record({kind: fc.constant('service'), service: name, slotsPerUpstream: fc.integer({min: 1, max: 300})}),
	fc.record({
		kind: fc.constant('operation'), service: name, operation: fc.constantFrom('price', 'credit'), method: fc.constant('GET'), pathPrefix: fc.constantFrom('/', '/p'), idempotent: fc.boolean(),
	}),
	fc.record({
		kind: fc.constant('place'), service: name, failureDomain: fc.constantFrom('riverside', 'pinehill'), weight: fc.integer({min: 0, max: 2}), callsPerSecond: fc.integer({min: 0, max: 20}),
	}),
	fc.record({kind: fc.constant('limit'), service: name, callsPerSecond: fc.integer({min: 10, max: 30})}),
);
const change = fc.oneof(
	{weight: 4, arbitrary: row.map(value => ({action: 'put', row: rowSchema.parse(value)}))},
	{weight: 1, arbitrary: fc.constantFrom('service/desk', 'place/desk/riverside', 'operation/office/price').map(key => ({action: 'remove', key}))},
	{weight: 1, arbitrary: fc.constant({action: 'put', row: {kind: 'service', service: 'desk', slotsPerUpstream: 'four'}})},
);

/** Records of a stream: first both services, then edits, some of which conflict, repeat earlier ones or are invalid. */
const records = fc.array(fc.record({
	id: fc.nat({max: 60}),
	lag: fc.nat({max: 4}),
	changes: fc.array(change, {minLength: 1, maxLength: 3}),
}), {maxLength: 40}).map(edits => [
	createEdit(0, -1, ['desk', 'office'].map(service => ({action: 'put', row: rowSchema.parse({kind: 'service', service, slotsPerUpstream: 4})}))),
	...edits.map((edit, index) => ({offset: index + 1, value: {...createEdit(index + 1, index - edit.lag, edit.changes).value, id: `edit-${edit.id}`}})),
]);

function createEdit(offset: number, baseVersion: number, changes: unknown[]) {
	return {
		offset, value: {
			kind: 'edit', id: `at-${offset}`, baseVersion, operator: 'test', changes,
		},
	};
}

function passThroughJson(value: unknown): unknown {
	const text = JSON.stringify(value);
	const copy: unknown = JSON.parse(text);
	return copy;
}

function createServiceEdit(offset: number, baseVersion: number, slotsPerUpstream: number) {
	return createEdit(offset, baseVersion, [{action: 'put', row: rowSchema.parse({kind: 'service', service: 'desk', slotsPerUpstream})}]);
}

function getRejection(stream: readonly TableStreamRecord[]) {
	const state = foldRecords(initialFoldState, stream);
	return [...state.verdicts.values()].at(-1)?.rejection;
}

describe('verdicts', () => {
	test('the first of two edits of one row with the same base version is accepted, the second is rejected', () => {
		const state = foldRecords(initialFoldState, [createServiceEdit(0, -1, 4), createServiceEdit(1, 0, 5), createServiceEdit(2, 0, 6)]);
		expect(state.table.version).toBe(1);
		expect(state.verdicts.get('at-2')?.rejection).toEqual({kind: 'conflict', key: 'service/desk', version: 1});
	});

	test.each([
		['an edit with a base version later than the table', createServiceEdit(1, 7, 4), 'base-unknown'],
		['an edit that changes one row twice', createEdit(1, 0, [{action: 'remove', key: 'service/desk'}, {action: 'remove', key: 'service/desk'}]), 'repeated-key'],
		['an edit that removes a missing row', createEdit(1, 0, [{action: 'remove', key: 'service/office'}]), 'row-missing'],
		['an edit that puts a row of an unknown service', createEdit(1, 0, [{action: 'put', row: {kind: 'limit', service: 'office'}}]), 'invalid-table'],
		['an edit that sets more slots than connections', createServiceEdit(1, 0, 201), 'invalid-table'],
		['an edit that sets the minimum number of slots', createServiceEdit(1, 0, 1), undefined],
		['an edit with an unknown field', createEdit(1, 0, [{action: 'put', row: {kind: 'limit', service: 'desk', callsPerHour: 5}}]), 'malformed'],
	])('%s', (_title, edit, kind) => {
		expect(getRejection([createServiceEdit(0, -1, 4), edit])?.kind).toBe(kind);
	});

	test('dropping the oldest removed keys raises the oldest permitted base version', () => {
		const keys = Array.from({length: maximumRemovedKeys + 1}, (_, index) => `u${index}`);
		const put = keys.map(upstream => ({action: 'put', row: rowSchema.parse({kind: 'upstream', service: 'desk', upstream})}));
		const remove = keys.map(upstream => ({action: 'remove', key: `upstream/desk/${upstream}`}));
		const stream = [createServiceEdit(0, -1, 4), createEdit(1, 0, put), createEdit(2, 1, remove), createEdit(3, 1, put.slice(0, 1))];
		expect(getRejection(stream)).toEqual({kind: 'base-expired', baseVersion: 1, oldestBase: 2});
	});
});

describe('properties', () => {
	test('an edit takes effect completely or not at all, and never overwrites a change made after its base version', () => {
		fc.assert(fc.property(records, stream => {
			let state = initialFoldState;
			const writers = new Map<string, number>();
			for (const record of stream) {
				const step = foldRecord(state, record);
				checkStep(state, step.state, step.event.kind === 'edit-decided' && !step.event.verdict.rejection ? step.event.edit : undefined, writers);
				state = step.state;
			}
		}), runs);
	});

	test('an edit appended again gets the same verdict, for any division of the stream into pages', () => {
		fc.assert(fc.property(records, fc.array(fc.integer({min: 1, max: 9})), (stream, sizes) => {
			const full = foldRecords(initialFoldState, stream);
			const twice = foldRecords(full, stream.map(record => ({...record, offset: record.offset + stream.length})));
			expect(twice.table).toEqual(full.table);
			expect(twice.verdicts).toEqual(full.verdicts);
			expect(followPages(stream, sizes).fold).toEqual(full);
		}), runs);
	});

	test('folding from any snapshot gives the same state as folding all records', () => {
		fc.assert(fc.property(records, fc.nat(), (stream, cut) => {
			const full = foldRecords(initialFoldState, stream);
			const middle = foldRecords(initialFoldState, stream.slice(0, cut % stream.length));
			const restored = restoreSnapshot(passThroughJson(createSnapshot(middle)))._unsafeUnwrap();
			expect(foldRecords(restored, stream)).toEqual(full);
			expect(createSnapshot(foldRecords(restored, stream)).hash).toBe(createSnapshot(full).hash);
		}), runs);
	});

	test('a reader that starts after expired records gets the complete table if a usable snapshot remains, otherwise none', () => {
		fc.assert(fc.property(records, fc.array(fc.nat(), {maxLength: 4}), fc.nat(), fc.nat({max: 3}), (stream, insertionPoints, first, delay) => {
			const log = insertSnapshots(stream, new Set(insertionPoints.map(index => index % stream.length)), delay);
			const firstOffset = first % log.length;
			const page = {firstOffset, nextOffset: log.length, records: log.slice(firstOffset)};
			const {fold} = applyPage(initialFollowerState, page).state;
			const full = applyPage(initialFollowerState, {firstOffset: 0, nextOffset: log.length, records: log}).state.fold;
			if (fold) {
				expect(fold).toEqual(full);
			}

			const isUsable = log.some((record, offset) => offset >= firstOffset && isSnapshotFrom(record.value, firstOffset));
			expect(fold !== undefined).toBe(firstOffset === 0 || isUsable);
		}), runs);
	});

	test('updates from peers never decrease the version, and an update advances a peer to the version of its sender', () => {
		fc.assert(fc.property(records, fc.nat(), fc.nat(), (stream, left, right) => {
			const ahead = followPages(stream.slice(0, left % (stream.length + 1)), [3]);
			const behind = followPages(stream.slice(0, right % (stream.length + 1)), [5]);
			const update = createUpdate(ahead, behind.fold?.nextOffset);
			const after = update ? applyUpdate(behind, update).state : behind;
			expect(after.fold?.table.version).toBe(Math.max(ahead.fold?.table.version ?? -1, behind.fold?.table.version ?? -1));
			const merged = mergeSnapshot(after.fold, createSnapshot(behind.fold ?? initialFoldState))._unsafeUnwrap();
			expect(merged.table.version).toBe(after.fold?.table.version);
		}), runs);
	});
});

test('a reader that fell behind the retention keeps its version until a snapshot closes the gap', () => {
	const stream = [createServiceEdit(0, -1, 4), createServiceEdit(1, 0, 5), createServiceEdit(2, 1, 6)];
	const full = foldRecords(initialFoldState, stream);
	const start = applyPage(initialFollowerState, {firstOffset: 0, nextOffset: 1, records: stream.slice(0, 1)}).state;
	const behind = applyPage(start, {firstOffset: 2, nextOffset: 3, records: stream.slice(2)});
	expect(behind.events.map(event => event.kind)).toEqual(['gap-found']);
	expect(behind.state.fold?.table.version).toBe(0);
	const closed = applyPage(behind.state, {firstOffset: 2, nextOffset: 4, records: [{offset: 3, value: createSnapshot(full)}]});
	expect(closed.events.map(event => event.kind)).toEqual(['gap-closed']);
	expect(closed.state.fold?.table).toEqual(full.table);
});

test('a snapshot whose hash does not match its contents is rejected', () => {
	const snapshot = createSnapshot(foldRecords(initialFoldState, [createServiceEdit(0, -1, 4)]));
	const damaged = {...snapshot, version: 5};
	expect(restoreSnapshot(damaged)._unsafeUnwrapErr().kind).toBe('hash-mismatch');
});

function checkStep(before: FoldState, after: FoldState, edit: EditRecord | undefined, writers: Map<string, number>): void {
	expect(after.table.version).toBeGreaterThanOrEqual(before.table.version);
	const expected = new Map(before.table.rows);
	for (const entry of edit?.changes ?? []) {
		const key = getChangedKey(entry);
		expect(writers.get(key) ?? -1).toBeLessThanOrEqual(edit!.baseVersion);
		writers.set(key, after.table.version);
		if (entry.action === 'put') {
			expected.set(key, entry.row);
		} else {
			expect(expected.delete(key)).toBe(true);
		}
	}

	expect(after.table.rows).toEqual(expected);
	for (const value of after.table.rows.values()) {
		expect(after.table.rows.has(`service/${value.service}`)).toBe(true);
	}
}

function followPages(stream: readonly TableStreamRecord[], sizes: readonly number[]) {
	let {state} = applyPage(initialFollowerState, {firstOffset: 0, nextOffset: 0, records: []});
	let index = 0;
	while (state.nextOffset < stream.length) {
		const page = stream.slice(state.nextOffset, state.nextOffset + (sizes[index % sizes.length] ?? 1));
		state = applyPage(state, {firstOffset: 0, nextOffset: state.nextOffset + page.length, records: page}).state;
		index++;
	}

	return state;
}

/** Inserts a snapshot after each of the given records of a stream; each contains the state from `delay` records before. */
function insertSnapshots(stream: readonly TableStreamRecord[], insertionPoints: ReadonlySet<number>, delay: number): TableStreamRecord[] {
	const log: TableStreamRecord[] = [];
	const states: FoldState[] = [initialFoldState];
	for (const [index, {value}] of stream.entries()) {
		append(value);
		if (insertionPoints.has(index)) {
			append(passThroughJson(createSnapshot(states.at(-1 - Math.min(delay, states.length - 1))!)));
		}
	}

	return log;

	function append(value: unknown): void {
		const record = {offset: log.length, value};
		log.push(record);
		states.push(foldRecord(states.at(-1)!, record).state);
	}
}

function isSnapshotFrom(value: unknown, firstOffset: number): boolean {
	const snapshot = restoreSnapshot(value);
	return snapshot.isOk() && snapshot.value.nextOffset >= firstOffset;
}
