/** Decides which roll-ups of the review figures are due, and creates them. Times are milliseconds since the epoch. */
import * as crypto from 'node:crypto';
import {createHoldingSet} from './holdings.ts';
import {getDayStart, type Slice} from './merge.ts';
import {dayMilliseconds, type Holding, type RollUp} from './records.ts';
import {
	addTally, closeSeconds, createTally, encodeTally, type ServiceTally,
} from './tally.ts';

export type RollUpOptions = {
	/** Time after the end of an hour in which its records come in. */
	readonly hourSettleMilliseconds: number;
	/** Time after the end of a day in which its records come in; the seconds of the day are closed afterwards. */
	readonly daySettleMilliseconds: number;
};

/** Creates the roll-ups that are due: days that have settled, and the settled hours of other days. */
export function createDueRollUps(slices: readonly Slice[], now: number, options: RollUpOptions): RollUp[] {
	return [...generateDueRollUps(slices, now, options)].filter(rollUp => rollUp !== undefined);
}

/** Creates the roll-ups that are due in steps; steps without a roll-up give the caller a chance to do other work. */
export function * generateDueRollUps(slices: readonly Slice[], now: number, options: RollUpOptions): Generator<RollUp | undefined> {
	for (const [start, ofDay] of groupByDay(slices)) {
		if (start + dayMilliseconds + options.daySettleMilliseconds <= now) {
			yield * generateDayRollUps(start, ofDay);
			continue;
		}

		for (const slice of ofDay) {
			if (slice.end + options.hourSettleMilliseconds <= now && isUnstored(slice)) {
				yield createRollUp('hour', slice.start, slice.holdings.list(), slice.tally);
			}
		}
	}
}

/** Whether a slice holds more than one roll-up does. */
function isUnstored(slice: Slice): boolean {
	return slice.intervals > 0 || slice.rollUps > 1;
}

function groupByDay(slices: readonly Slice[]): Map<number, Slice[]> {
	const days = new Map<number, Slice[]>();
	for (const slice of slices) {
		const start = getDayStart(slice.start);
		days.set(start, [...(days.get(start) ?? []), slice]);
	}

	return days;
}

function * generateDayRollUps(start: number, slices: readonly Slice[]): Generator<RollUp | undefined> {
	for (const service of new Set(slices.map(slice => slice.service))) {
		const ofService = slices.filter(slice => slice.service === service);
		if (ofService.length === 1 && ofService[0]!.kind === 'day' && !isUnstored(ofService[0]!)) {
			continue;
		}

		const holdings = createHoldingSet();
		const merged = createTally(service);
		for (const slice of ofService) {
			holdings.add(slice.holdings.list());
			addTally(merged, createClosedTally(slice));
			yield undefined;
		}

		yield createRollUp('day', start, holdings.list(), merged);
	}
}

/** Copies the tally of a slice and closes the seconds of the copy. */
export function createClosedTally(slice: Slice): ServiceTally {
	const closed = createTally(slice.service);
	addTally(closed, slice.tally);
	closeSeconds(closed);
	return closed;
}

/** Merges tallies of one service. */
export function mergeTallies(service: string, tallies: readonly ServiceTally[]): ServiceTally {
	const merged = createTally(service);
	for (const tally of tallies) {
		addTally(merged, tally);
	}

	return merged;
}

/** Creates a roll-up; equal contents have equal ids. */
function createRollUp(kind: RollUp['kind'], start: number, holdings: Holding[], tally: ServiceTally): RollUp {
	const fingerprint = crypto.createHash('sha256').update(JSON.stringify(holdings)).digest('base64url').slice(0, 16);
	return {
		kind,
		id: `${kind}/${tally.service}/${new Date(start).toISOString()}/${fingerprint}`,
		start,
		holdings,
		figures: encodeTally(tally),
	};
}
