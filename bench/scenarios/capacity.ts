/**
Measures the memory and processor time that each role costs per unit of its state, as slopes for docs/CAPACITY.md.

Each role is measured in this process at three or more sizes, and a line is fitted to the results by least squares.
`residualShare` is the largest distance of a point from the line, as a share of the largest value. Memory is exact only
if Node.js runs with `--expose-gc`; without it, the heap may include garbage that is not collected yet.
*/
import process from 'node:process';
import * as protobuf from '@bufbuild/protobuf';
import {createRandomSource} from '../../src/decisions/random.ts';
import {createDigest} from '../../src/decisions/membership/digest.ts';
import {createInitialMembership, mergeDigest} from '../../src/decisions/membership/merge.ts';
import {type EntryDescription, type Membership} from '../../src/decisions/membership/types.ts';
import {createKeyTable} from '../../src/decisions/outcomes/key-table.ts';
import {createReviewRecorder} from '../../src/decisions/review/recorder.ts';
import {type EditRecord, foldRecords, initialFoldState} from '../../src/decisions/table/fold.ts';
import {createSnapshot} from '../../src/decisions/table/snapshot.ts';
import {createTableView} from '../../src/decisions/table/service-view.ts';
import {type Row, rowSchema} from '../../src/decisions/table/rows.ts';
import {DigestSchema} from '../../src/generated/membership_pb.ts';
import {toDigestMessage} from '../../src/peers/membership-codec.ts';
import {measureDecision} from './routing-decision.ts';
import {type ScenarioOptions} from './types.ts';

/** Measured value at one size. */
export type Point = {readonly size: number; readonly value: number};

/** Line fitted to the points by least squares. */
export type Fit = {readonly intercept: number; readonly slope: number; readonly residualShare: number; readonly points: readonly Point[]};

const memberSizes = [15, 60, 120, 480];
const upstreamSizes = [28, 280, 1100];
const keySizes = [10_000, 40_000, 80_000];
const rowSizes = [100, 1000, 4000];
/** Numbers of cells of a review record: one cell for each service and operation. */
const cellSizes = [28, 112, 336];
const repetitions = 300;
const editsPerRowSize = 50;
const observationsPerCell = 200;
const bytesPerMebibyte = 1_048_576;
const microsecondsPerMillisecond = 1000;

/** Runs the scenario. docs/CAPACITY.md quotes the keys of the result. */
export async function run(options: ScenarioOptions): Promise<Record<string, unknown>> {
	return {
		decisionMicrosecondsByUpstreams: fitSizes(upstreamSizes, size => measureDecision('product', size, options.seed)),
		digestBytesByMembers: fitSizes(memberSizes, size => getDigestBytes(createMembership(size), options.seed)),
		exchangeMicrosecondsByMembers: fitSizes(memberSizes, size => measureExchange(createMembership(size), options.seed)),
		membershipHeapBytesByMembers: fitSizes(memberSizes, size => measureHeap(() => createMembership(size))),
		keyHeapBytesByKeys: fitSizes(keySizes, size => measureHeap(() => createFilledKeyTable(size))),
		keyMicrosecondsByKeys: fitSizes(keySizes, size => measureKeys(size)),
		editMicrosecondsByRows: fitSizes(rowSizes, size => measureEdits(size)),
		tableHeapBytesByRows: fitSizes(rowSizes, size => measureHeap(() => foldRows(size))),
		snapshotBytesByRows: fitSizes(rowSizes, size => JSON.stringify(createSnapshot(foldRows(size))).length),
		reviewRecordBytesByCells: fitSizes(cellSizes, size => JSON.stringify(createFilledRecorder(size).endInterval(60_000, false)).length),
		reviewMicrosecondsByCells: fitSizes(cellSizes, size => measureRecorder(size)),
		reviewHeapBytesByCells: fitSizes(cellSizes, size => measureHeap(() => createFilledRecorder(size))),
		heapMebibytes: Math.round(process.memoryUsage().heapUsed / bytesPerMebibyte),
	};
}

/** Measures each size and fits a line by least squares. */
function fitSizes(sizes: readonly number[], measureSize: (size: number) => number): Fit {
	const points = sizes.map(size => ({size, value: round(measureSize(size))}));
	const meanSize = getMean(points.map(point => point.size));
	const meanValue = getMean(points.map(point => point.value));
	const covariance = getMean(points.map(point => (point.size - meanSize) * (point.value - meanValue)));
	const variance = getMean(points.map(point => (point.size - meanSize) ** 2));
	const slope = covariance / variance;
	const intercept = meanValue - (slope * meanSize);
	const largest = Math.max(...points.map(point => Math.abs(point.value)));
	const residual = Math.max(...points.map(point => Math.abs(point.value - intercept - (slope * point.size))));
	return {
		intercept: round(intercept), slope: round(slope), residualShare: round(residual / largest), points,
	};
}

function getMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function round(value: number): number {
	return Number(value.toPrecision(4));
}

/** Returns the heap that a created value retains, in bytes, as the mean of two values. */
function measureHeap(create: () => unknown): number {
	globalThis.gc?.();
	const before = process.memoryUsage().heapUsed;
	const retained = [create(), create()];
	globalThis.gc?.();
	const after = process.memoryUsage().heapUsed;
	return (after - before) / retained.length;
}

/** Returns the mean time of one call of the action in microseconds, after a warm-up of as many calls. */
function measureTime(count: number, action: (index: number) => void): number {
	for (let index = 0; index < count; index++) {
		action(index);
	}

	const startedAt = performance.now();
	for (let index = 0; index < count; index++) {
		action(index);
	}

	return (performance.now() - startedAt) * microsecondsPerMillisecond / count;
}

function createDescription(index: number): EntryDescription {
	return {
		name: `entry-${index}`,
		incarnation: index.toString(16).padStart(16, '0'),
		generation: 1,
		region: `region-${index % 2}`,
		failureDomain: `domain-${index % 6}`,
		address: `10.0.${index % 250}.1:7000`,
		peerAddress: `10.0.${index % 250}.1:7100`,
	};
}

/** Creates the membership state of one entry in a fleet of the given size. */
function createMembership(size: number): Membership {
	const members = Array.from({length: size - 1}, (_value, index) => ({
		...createDescription(index + 1), heartbeat: 1000 + index, isLeaving: false, weight: 1, weightRevision: 0,
	}));
	return mergeDigest(createInitialMembership(createDescription(0), 0), {
		sender: members[0]?.incarnation ?? '', isJoining: false, tablePosition: 0, members, heartbeats: [], wanted: [], drains: [], reports: [],
	}, 1).membership;
}

/** Creates a digest after many earlier digests, so that changes were mentioned often enough to be left out. */
function createConvergedDigest(membership: Membership, seed: number) {
	const random = createRandomSource(seed);
	let current = membership;
	for (let index = 0; index < repetitions; index++) {
		current = createDigest(current, {
			isJoining: false, tablePosition: 1, reports: [], random,
		}, index).membership;
	}

	return createDigest(current, {
		isJoining: false, tablePosition: 1, reports: [], random,
	}, repetitions);
}

function getDigestBytes(membership: Membership, seed: number): number {
	const {digest} = createConvergedDigest(membership, seed);
	return protobuf.toBinary(DigestSchema, toDigestMessage(digest)).length;
}

/** Returns the mean time in microseconds to create one digest and merge another. */
function measureExchange(membership: Membership, seed: number): number {
	const random = createRandomSource(seed);
	const {digest} = createConvergedDigest(membership, seed);
	let current = membership;
	return measureTime(repetitions, index => {
		current = createDigest(current, {
			isJoining: false, tablePosition: 1, reports: [], random,
		}, index).membership;
		current = mergeDigest(current, digest, index).membership;
	});
}

function createFilledKeyTable(size: number) {
	const table = createKeyTable({maximumBytes: Number.MAX_SAFE_INTEGER, lifetimeBuckets: 100, futureBuckets: 10});
	for (let index = 0; index < size; index++) {
		completeKey(table, index);
	}

	return table;
}

/** Begins, dispatches and finishes the call of one idempotency key. */
function completeKey(table: ReturnType<typeof createKeyTable>, index: number): void {
	const key = `0123456789abcdef~abcdef.${index.toString(36).padStart(16, '0')}`;
	table.tryClaim(key, 1, 1);
	table.markDispatched(key);
	table.finish(key, 'ran', undefined);
}

function measureKeys(size: number): number {
	const table = createFilledKeyTable(size);
	let next = size;
	return measureTime(repetitions * 10, () => {
		completeKey(table, next++);
	});
}

function createRow(index: number): Row {
	const service = `service-${index % 28}`;
	return index < 28
		? rowSchema.parse({kind: 'service', service, slotsPerUpstream: 4})
		: rowSchema.parse({
			kind: 'upstream', service, upstream: `upstream-${index}`, weight: 1,
		});
}

function createEdit(id: string, baseVersion: number, rows: readonly Row[]): EditRecord {
	return {
		kind: 'edit', id, baseVersion, operator: 'bench', changes: rows.map(row => ({action: 'put', row})),
	};
}

function foldRows(size: number) {
	const rows = Array.from({length: size}, (_value, index) => createRow(index));
	return foldRecords(initialFoldState, [{offset: 0, value: createEdit('first', -1, rows)}]);
}

/** Returns the mean time in microseconds to fold an edit of one row and to create the table view of the data path. */
function measureEdits(size: number): number {
	let state = foldRows(size);
	let offset = 1;
	return measureTime(editsPerRowSize, () => {
		const id = `edit-${offset}`;
		state = foldRecords(state, [{offset, value: createEdit(id, state.table.version, [createRow(30 + (offset % 60))])}]);
		offset++;
		createTableView(state.table);
	});
}

/** Creates a recorder that has recorded one minute, with the same number of calls in each cell. */
function createFilledRecorder(size: number) {
	const recorder = createReviewRecorder({entry: 'entry-1', incarnation: 'a', failureDomain: 'domain-1'}, 0);
	for (let cell = 0; cell < size; cell++) {
		for (let index = 0; index < observationsPerCell; index++) {
			recorder.recordCall(createObservation(cell, index), index * 60_000 / observationsPerCell);
		}
	}

	return recorder;
}

function createObservation(cell: number, index: number) {
	return {
		service: `service-${cell % 28}`,
		operation: `operation-${Math.floor(cell / 28)}`,
		failureDomain: 'domain-1',
		isLong: false,
		result: 'answered',
		outcome: 'ran',
		attempts: 1,
		totalMilliseconds: 5 + (index % 50),
		queuedMilliseconds: index % 7,
		behindLongMilliseconds: 0,
		upstreamMilliseconds: 5 + (index % 43),
	} as const;
}

function measureRecorder(size: number): number {
	const recorder = createFilledRecorder(size);
	return measureTime(repetitions * 20, index => {
		recorder.recordCall(createObservation(index % size, index), 59_000);
	});
}
