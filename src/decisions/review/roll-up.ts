/** Selects the hours and days whose roll-ups are due, and creates these roll-ups. Times are milliseconds since the epoch. */
import * as crypto from 'node:crypto';
import {createRecordSet} from './record-set.ts';
import {getDayStart, type TimeSlice} from './merge-records.ts';
import {dayMilliseconds, type RecordRanges, type RollUp} from './records.ts';
import {
	addTally, aggregateSecondsByRate, createTally, encodeTally, type ServiceTally,
} from './tally.ts';

export type RollUpOptions = {
	/** Time to wait after the end of an hour for its records to arrive. */
	readonly hourSettleMilliseconds: number;
	/** Time to wait after the end of a day for its records to arrive; afterwards its counts per second are aggregated by rate. */
	readonly daySettleMilliseconds: number;
};

/** Creates the roll-ups that are due: those of settled days, and of the settled hours of other days. */
export function createDueRollUps(slices: readonly TimeSlice[], now: number, options: RollUpOptions): RollUp[] {
	return [...generateDueRollUps(slices, now, options)].filter(rollUp => rollUp !== undefined);
}

/** Creates the roll-ups that are due, in steps; yields undefined between steps, so that the caller can do other work. */
export function * generateDueRollUps(slices: readonly TimeSlice[], now: number, options: RollUpOptions): Generator<RollUp | undefined> {
	for (const [start, daySlices] of groupByDay(slices)) {
		if (start + dayMilliseconds + options.daySettleMilliseconds <= now) {
			yield * generateDayRollUps(start, daySlices);
			continue;
		}

		for (const slice of daySlices) {
			if (slice.end + options.hourSettleMilliseconds <= now && needsRollUp(slice)) {
				yield createRollUp('hour', slice.start, slice.recordSet.list(), slice.tally);
			}
		}
	}
}

/** Whether the figures of a slice are not yet contained in a single roll-up. */
function needsRollUp(slice: TimeSlice): boolean {
	return slice.intervalCount > 0 || slice.rollUpCount > 1;
}

function groupByDay(slices: readonly TimeSlice[]): Map<number, TimeSlice[]> {
	const days = new Map<number, TimeSlice[]>();
	for (const slice of slices) {
		const start = getDayStart(slice.start);
		days.set(start, [...(days.get(start) ?? []), slice]);
	}

	return days;
}

function * generateDayRollUps(start: number, slices: readonly TimeSlice[]): Generator<RollUp | undefined> {
	for (const service of new Set(slices.map(slice => slice.service))) {
		const serviceSlices = slices.filter(slice => slice.service === service);
		if (serviceSlices.length === 1 && serviceSlices[0]!.kind === 'day' && !needsRollUp(serviceSlices[0]!)) {
			continue;
		}

		const recordSet = createRecordSet();
		const merged = createTally(service);
		for (const slice of serviceSlices) {
			recordSet.add(slice.recordSet.list());
			addTally(merged, createAggregatedTally(slice));
			yield undefined;
		}

		yield createRollUp('day', start, recordSet.list(), merged);
	}
}

/** Copies the tally of a slice and aggregates the counts per second of the copy by rate. */
export function createAggregatedTally(slice: TimeSlice): ServiceTally {
	const aggregated = createTally(slice.service);
	addTally(aggregated, slice.tally);
	aggregateSecondsByRate(aggregated);
	return aggregated;
}

/** Merges tallies of one service. */
export function mergeTallies(service: string, tallies: readonly ServiceTally[]): ServiceTally {
	const merged = createTally(service);
	for (const tally of tallies) {
		addTally(merged, tally);
	}

	return merged;
}

/** Creates a roll-up. Its ID depends only on the kind, service, start and included records, so equal roll-ups have equal IDs. */
function createRollUp(kind: RollUp['kind'], start: number, holdings: RecordRanges[], tally: ServiceTally): RollUp {
	const fingerprint = crypto.createHash('sha256').update(JSON.stringify(holdings)).digest('base64url').slice(0, 16);
	return {
		kind,
		id: `${kind}/${tally.service}/${new Date(start).toISOString()}/${fingerprint}`,
		start,
		holdings,
		figures: encodeTally(tally),
	};
}
