import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {createMerger, sortRollUpsBySize, type Merger} from './merge-records.ts';
import {type CallObservation} from './observation.ts';
import {createReviewRecorder, type ReviewRecorder} from './recorder.ts';
import {
	dayMilliseconds, hourMilliseconds, type IntervalRecord, type RollUp,
} from './records.ts';
import {createReport, type Report} from './report.ts';
import {createDueRollUps} from './roll-up.ts';
import {
	addFigures, createTally, encodeTally, getRateClass,
} from './tally.ts';

const {expect, test} = vitest;

const start = Date.UTC(2026, 10, 2, 8);
const rollUpOptions = {hourSettleMilliseconds: 0, daySettleMilliseconds: 0};
const seed = 20_261_204;

function createObservation(changes: Partial<CallObservation> = {}): CallObservation {
	return {
		service: 'desk',
		operation: 'price',
		failureDomain: 'riverside',
		isLong: false,
		result: 'answered',
		outcome: 'ran',
		attempts: 1,
		totalMilliseconds: 20,
		queuedMilliseconds: 4,
		behindLongMilliseconds: 0,
		upstreamMilliseconds: 15,
		...changes,
	};
}

function createTestRecorder(entry: string): ReviewRecorder {
	return createReviewRecorder({entry, incarnation: `${entry}-1`, failureDomain: 'riverside'}, start);
}

function merge(records: readonly IntervalRecord[], rollUps: readonly RollUp[] = []): Merger {
	const merger = createMerger();
	for (const rollUp of sortRollUpsBySize(rollUps)) {
		merger.addRollUp(rollUp);
	}

	for (const record of records) {
		merger.addInterval(record);
	}

	return merger;
}

function report(merger: Merger): Report {
	return createReport(merger, {
		from: start, to: start + dayMilliseconds, now: start + dayMilliseconds, silenceMilliseconds: hourMilliseconds,
	});
}

/** The figures that don't depend on how far records are rolled up: excludes the steps, the covered period and the mean rate. */
function getFigures(merger: Merger) {
	const {services, gaps, overlaps} = report(merger);
	return {services: services.map(service => ({...service, measurement: {...service.measurement, meanPerUpstreamSecond: 0}})), gaps, overlaps};
}

type Event = {entry: number; delayMilliseconds: number; operation: string; total: number; refused: boolean; isPoll: boolean; endsInterval: boolean};

const eventArbitrary: fastCheck.Arbitrary<Event> = fastCheck.record({
	entry: fastCheck.nat(2),
	delayMilliseconds: fastCheck.nat(400_000),
	operation: fastCheck.constantFrom('price', 'credit'),
	total: fastCheck.nat(3000),
	refused: fastCheck.boolean(),
	isPoll: fastCheck.boolean(),
	endsInterval: fastCheck.boolean(),
});

function createRecords(events: readonly Event[]): IntervalRecord[] {
	const recorders = ['a', 'b', 'c'].map(entry => createTestRecorder(entry));
	const records: IntervalRecord[] = [];
	let now = start;
	for (const event of events) {
		now += event.delayMilliseconds;
		const recorder = recorders[event.entry]!;
		recorder.recordCall(createObservation({operation: event.operation, totalMilliseconds: event.total, result: event.refused ? 'refused' : 'answered'}), now);
		if (event.isPoll) {
			recorder.recordMeasurement({
				service: 'desk', upstream: 'desk-1', failureDomain: 'riverside', kind: 'poll', durationMilliseconds: 1,
			}, now);
		}

		if (event.endsInterval) {
			records.push(...recorder.endInterval(now, false));
		}
	}

	return [...records, ...recorders.flatMap(recorder => recorder.endInterval(now, true))];
}

const recordsArbitrary = fastCheck.array(eventArbitrary, {maxLength: 60}).map(events => createRecords(events));

test('the merged figures depend neither on the order of the records nor on how often a record is read', () => {
	fastCheck.assert(fastCheck.property(recordsArbitrary, fastCheck.array(fastCheck.nat(1_000_000), {minLength: 150, maxLength: 150}), (records, sortKeys) => {
		const shuffled = [...records, ...records].map((record, index) => ({record, sortKey: sortKeys[index % sortKeys.length]!})).toSorted((left, right) => left.sortKey - right.sortKey);
		expect(report(merge(shuffled.map(({record}) => record)))).toEqual(report(merge(records)));
	}), {seed, numRuns: 50});
});

test('merging roll-ups of some records with all records gives the same figures as the records alone', () => {
	fastCheck.assert(fastCheck.property(recordsArbitrary, fastCheck.nat(60), fastCheck.integer({min: 1, max: 26}), (records, earlyCount, rollUpHours) => {
		const now = start + (rollUpHours * hourMilliseconds);
		const earlyRollUps = createDueRollUps(merge(records.slice(0, earlyCount)).listSlices(), now, rollUpOptions);
		const lateRollUps = createDueRollUps(merge(records, earlyRollUps).listSlices(), now, rollUpOptions);
		const rollUps = [...lateRollUps, ...earlyRollUps, ...lateRollUps];
		expect(getFigures(merge(records, rollUps))).toEqual(getFigures(merge(records)));
		expect(createDueRollUps(merge(records, rollUps).listSlices(), now, rollUpOptions)).toEqual([]);
	}), {seed, numRuns: 50});
});

test('the figures survive the expiry of the interval records if all hours are rolled up', () => {
	const records = createRecords(Array.from({length: 40}, (_value, index) => ({
		entry: index % 3, delayMilliseconds: 300_000, operation: 'price', total: index * 7, refused: false, isPoll: true, endsInterval: true,
	})));
	const rollUps = createDueRollUps(merge(records).listSlices(), start + (10 * hourMilliseconds), rollUpOptions);
	const mergedRollUps = merge([], rollUps);
	expect(getFigures(mergedRollUps)).toEqual(getFigures(merge(records)));
	const dayRollUps = createDueRollUps(mergedRollUps.listSlices(), start + (2 * dayMilliseconds), rollUpOptions);
	expect(dayRollUps.map(rollUp => rollUp.kind)).toEqual(['day', 'day']);
	expect(getFigures(merge([], dayRollUps))).toEqual(getFigures(mergedRollUps));
});

test('decoding and encoding a tally again gives the same figures', () => {
	fastCheck.assert(fastCheck.property(recordsArbitrary, records => {
		for (const figures of records.flatMap(record => record.services)) {
			const tally = createTally(figures.service);
			addFigures(tally, figures);
			expect(encodeTally(tally)).toEqual(figures);
		}
	}), {seed, numRuns: 50});
});

test('gaps are listed before the first record, between records, and after the last record of an entry that ended without its final record', () => {
	const recorder = createTestRecorder('a');
	const records = [1, 2, 3, 4, 5].flatMap(minute => recorder.endInterval(start + (minute * 60_000), false));
	const gaps = report(merge([records[1]!, records[4]!])).gaps.map(({records: missing, from, to}) => [missing, from - start, to === undefined ? undefined : to - start]);
	expect(gaps).toEqual([[1, 60_000, 60_000], [2, 120_000, 240_000], [undefined, 300_000, undefined]]);
	expect(report(merge([...records, ...recorder.endInterval(start + 360_000, true)])).gaps).toEqual([]);
});

test('peak load is the busiest 1% of the seconds with calls, by the rate over all entries', () => {
	const recorders = [createTestRecorder('a'), createTestRecorder('b')];
	for (let second = 0; second < 200; second++) {
		const isBusy = second === 70 || second === 90;
		for (const [index, recorder] of recorders.entries()) {
			for (let call = 0; call < (isBusy ? 30 : 20); call++) {
				const isAnswered = !isBusy || call % 3 !== index;
				const result = isAnswered ? 'answered' : 'refused';
				recorder.recordCall(createObservation({result, totalMilliseconds: 10}), start + (second * 1000) + 500);
			}
		}
	}

	const [service] = report(merge(recorders.flatMap(recorder => recorder.endInterval(start + 200_000, true)))).services;
	expect(service?.crest).toMatchObject({
		activeSeconds: 200, seconds: 2, lowestRate: 60, highestRate: 60, rows: [{offered: 120, answered: 80}],
	});
});

test('measurement requests to an upstream are summed over all entries before the comparison with the budget', () => {
	const recorders = [createTestRecorder('a'), createTestRecorder('b')];
	for (const recorder of recorders) {
		recorder.setMeasurementBudget('desk', 5);
		for (let second = 0; second < 10; second++) {
			for (let request = 0; request < (second === 4 ? 3 : 2); request++) {
				recorder.recordMeasurement({
					service: 'desk', upstream: 'desk-1', failureDomain: 'riverside', kind: 'probe', durationMilliseconds: 2,
				}, start + (second * 1000));
			}
		}
	}

	const [service] = report(merge(recorders.flatMap(recorder => recorder.endInterval(start + 10_000, true)))).services;
	expect(service?.measurement).toMatchObject({
		upstreams: 1, requests: 42, budgetPerSecond: 5, highestPerUpstreamSecond: 6, upstreamSecondsOverBudget: 1, places: [{probes: 42, polls: 0, upstreamSeconds: 0.084}],
	});
});

test('quantiles are at most 0.8% above the recorded durations', () => {
	const recorder = createTestRecorder('a');
	for (let index = 1; index <= 1000; index++) {
		recorder.recordCall(createObservation({totalMilliseconds: index, behindLongMilliseconds: index > 900 ? index : 0}), start + index);
	}

	const [service] = report(merge(recorder.endInterval(start + 60_000, true))).services;
	const total = service!.latency[0]!.total!;
	for (const [share, value] of [[500, total.p50], [900, total.p90], [990, total.p99], [999, total.p999]] as const) {
		expect(value).toBeGreaterThanOrEqual(share);
		expect(value).toBeLessThanOrEqual(share * 1.008);
	}

	expect(service!.blocking[0]).toMatchObject({shortCalls: 1000, delayedShare: 0.1});
});

test('a rate class is at most 1/32 of its lowest rate wide', () => {
	for (let rate = 1; rate < 2000; rate++) {
		const lowest = getRateClass(rate);
		expect(lowest).toBeLessThanOrEqual(rate);
		expect((rate - lowest) * 32).toBeLessThanOrEqual(lowest);
		expect(getRateClass(lowest)).toBe(lowest);
	}
});
