import * as fc from 'fast-check';
import {errAsync, okAsync} from 'neverthrow';
import * as vitest from 'vitest';
import {createAppendBudget} from './append-budget.ts';
import {createGroupCommit} from './group-commit.ts';
import {createReliableLog, type ReliableLogHost} from './reliable-log.ts';
import {type LogHost, type LogRecord} from './types.ts';

const {expect, test} = vitest;
const seed = 42;

type Fault = 'none' | 'refused' | 'lost-before' | 'lost-after';

/** Creates a log whose appends fail with the given faults in order and succeed afterwards. */
function createFaultyLog(faults: Fault[], areReadsDown = false) {
	const records: LogRecord[] = [];
	const log: LogHost = {
		append(_stream, id, value) {
			const fault = faults.shift() ?? 'none';
			if (fault === 'none' || fault === 'lost-after') {
				records.push({
					offset: records.length, id, value, appendedAt: 0,
				});
			}

			if (fault === 'none') {
				return okAsync(records.length - 1);
			}

			return errAsync({kind: fault === 'refused' ? 'refused' : 'lost', message: fault});
		},
		read: (_stream, fromOffset, options) => areReadsDown
			? errAsync({kind: 'refused', message: 'down'})
			: okAsync({firstOffset: 0, nextOffset: Math.min(records.length, fromOffset + options.limit), records: records.slice(fromOffset, fromOffset + options.limit)}),
	};
	return {log, records};
}

function createHost(log: LogHost): ReliableLogHost & {time: number} {
	const host = {
		log,
		time: 0,
		now: () => host.time,
		random: () => 0.5,
		async sleep(milliseconds: number) {
			host.time += milliseconds;
		},
	};
	return host;
}

const fault = fc.constantFrom<Fault>('none', 'refused', 'lost-before', 'lost-after');

test('a receipt gives the offset of the record, and no record is duplicated while the log is readable', async () => {
	await fc.assert(fc.asyncProperty(fc.array(fc.array(fault, {maxLength: 4}), {maxLength: 6}), async appends => {
		const faults = appends.flatMap(list => [...list]);
		const {log, records} = createFaultyLog(faults);
		const reliable = createReliableLog(createHost(log));
		for (const [index] of appends.entries()) {
			const receipt = await reliable.append('table', `id-${index}`, index, 1_000_000);
			expect(records[receipt._unsafeUnwrap().offset]?.id).toBe(`id-${index}`);
		}

		expect(new Set(records.map(record => record.id)).size).toBe(records.length);
	}), {seed, numRuns: 200});
});

test('a failed append reports whether the record may be in the log', async () => {
	await fc.assert(fc.asyncProperty(fc.array(fc.constantFrom<Fault>('refused', 'lost-before', 'lost-after'), {minLength: 60, maxLength: 60}), async faults => {
		const {log, records} = createFaultyLog([...faults], true);
		const failure = await createReliableLog(createHost(log)).append('table', 'id', 0, 500);
		const {kind, attempts} = failure._unsafeUnwrapErr();
		expect(attempts).toBeGreaterThan(0);
		expect(kind).toBe(faults.slice(0, attempts).every(value => value === 'refused') ? 'not-appended' : 'unknown');
		if (kind === 'not-appended') {
			expect(records).toEqual([]);
		}
	}), {seed, numRuns: 100});
});

test('a read reports the range of records that expired before it', async () => {
	const log: LogHost = {...createFaultyLog([]).log, read: () => okAsync({firstOffset: 7, nextOffset: 7, records: []})};
	const page = await createReliableLog(createHost(log)).read('table', 3, 0);
	expect(page._unsafeUnwrap().gap).toEqual({fromOffset: 3, firstOffset: 7});
});

test('entries with complete member lists stay within the append rate of the fleet', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 40}), fc.array(fc.integer({min: 0, max: 200}), {minLength: 1, maxLength: 60}), (entries, steps) => {
		const options = {fleetAppendsPerSecond: 200, burst: 2};
		const budgets = Array.from({length: entries}, () => createAppendBudget(options, entries, 0));
		let now = 0;
		let appendCount = 0;
		for (const step of steps) {
			now += step;
			for (const budget of budgets) {
				while (budget.tryConsume(now) === 0) {
					appendCount++;
				}
			}
		}

		expect(appendCount).toBeLessThanOrEqual((entries * options.burst) + (options.fleetAppendsPerSecond * now / 1000) + 0.001);
	}), {seed, numRuns: 200});
});

test('values committed while an append is in flight share the next record, and a value past its deadline is not appended', async () => {
	const groups: number[][] = [];
	const commit = createGroupCommit<number>({
		async append(values) {
			groups.push([...values]);
			const reliable = createReliableLog(createHost(createFaultyLog([]).log));
			return reliable.append('claims', 'id', values, 1000);
		},
		setTimer(milliseconds, callback) {
			const timer = setTimeout(callback, milliseconds);
			return () => {
				clearTimeout(timer);
			};
		},
		now: () => 0,
	}, {maximumValues: 3, delayMilliseconds: 0});
	const receipts = await Promise.all([1, 2, 3, 4, 5].map(async value => commit.commit(value, 1000)));
	expect(groups).toEqual([[1, 2, 3], [4, 5]]);
	expect(receipts.map(receipt => receipt._unsafeUnwrap().index)).toEqual([0, 1, 2, 0, 1]);
	const late = await commit.commit(6, 0);
	expect(late._unsafeUnwrapErr().kind).toBe('not-appended');
});
