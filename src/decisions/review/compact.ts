/** Bounds the records that wait for the log: records of one hour are merged, then the oldest are given up. */
import {createHoldingSet} from './holdings.ts';
import {getHourStart} from './recorder.ts';
import {type IntervalRecord} from './records.ts';
import {
	addFigures, createTally, encodeTally, type ServiceTally,
} from './tally.ts';

export type CompactedRecords = {
	readonly kept: readonly IntervalRecord[];
	readonly lost: readonly IntervalRecord[];
};

/**
Reduces records of one incarnation to at most the given number.

Only records that were never sent may be passed: a merged record takes the place of its parts.
*/
export function compactRecords(records: readonly IntervalRecord[], largestCount: number): CompactedRecords {
	if (records.length <= largestCount) {
		return {kept: records, lost: []};
	}

	const hours = new Map<number, IntervalRecord[]>();
	for (const record of records) {
		const hour = getHourStart(record.holding.ranges[0]!.from);
		hours.set(hour, [...(hours.get(hour) ?? []), record]);
	}

	const merged = [...hours.values()].map(ofHour => mergeRecords(ofHour));
	const lostCount = Math.max(0, merged.length - largestCount);
	return {kept: merged.slice(lostCount), lost: merged.slice(0, lostCount)};
}

function mergeRecords(records: readonly IntervalRecord[]): IntervalRecord {
	if (records.length === 1) {
		return records[0]!;
	}

	const holdings = createHoldingSet();
	const tallies = new Map<string, ServiceTally>();
	for (const record of records) {
		holdings.add([record.holding]);
		for (const figures of record.services) {
			const tally = tallies.get(figures.service) ?? createTally(figures.service);
			tallies.set(figures.service, tally);
			addFigures(tally, figures);
		}
	}

	const [holding] = holdings.list();
	const {ranges} = (holding!);
	return {
		kind: 'interval',
		id: `${holding!.incarnation}/${ranges[0]!.first}-${ranges.at(-1)!.last}`,
		holding: holding!,
		services: [...tallies.values()].map(tally => encodeTally(tally)),
	};
}
