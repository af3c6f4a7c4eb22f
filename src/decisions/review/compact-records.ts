/** Bounds the number of records that wait to be appended to the log: merges records by hour, then drops the oldest hours. */
import {createRecordSet} from './record-set.ts';
import {getHourStart} from './recorder.ts';
import {type IntervalRecord} from './records.ts';
import {
	addFigures, createTally, encodeTally, type ServiceTally,
} from './tally.ts';

export type CompactedRecords = {
	/** Records to append to the log. */
	readonly kept: readonly IntervalRecord[];
	/** Merged records of the oldest hours, which exceeded the bound and are dropped. */
	readonly dropped: readonly IntervalRecord[];
};

/**
Reduces the records of one incarnation to at most `maximumCount`.

Pass only records that were never sent to the log: a merged record replaces the records it was made of, and
readers couldn't count both the merged record and a part of it that also reached the log.
*/
export function compactRecords(records: readonly IntervalRecord[], maximumCount: number): CompactedRecords {
	if (records.length <= maximumCount) {
		return {kept: records, dropped: []};
	}

	const hours = new Map<number, IntervalRecord[]>();
	for (const record of records) {
		const hour = getHourStart(record.holding.ranges[0]!.from);
		hours.set(hour, [...(hours.get(hour) ?? []), record]);
	}

	const merged = [...hours.values()].map(hourRecords => mergeRecords(hourRecords));
	const droppedCount = Math.max(0, merged.length - maximumCount);
	return {kept: merged.slice(droppedCount), dropped: merged.slice(0, droppedCount)};
}

function mergeRecords(records: readonly IntervalRecord[]): IntervalRecord {
	if (records.length === 1) {
		return records[0]!;
	}

	const recordSet = createRecordSet();
	const tallies = new Map<string, ServiceTally>();
	for (const record of records) {
		recordSet.add([record.holding]);
		for (const figures of record.services) {
			const tally = tallies.get(figures.service) ?? createTally(figures.service);
			tallies.set(figures.service, tally);
			addFigures(tally, figures);
		}
	}

	const [recordRanges] = recordSet.list();
	const {ranges} = (recordRanges!);
	return {
		kind: 'interval',
		id: `${recordRanges!.incarnation}/${ranges[0]!.first}-${ranges.at(-1)!.last}`,
		holding: recordRanges!,
		services: [...tallies.values()].map(tally => encodeTally(tally)),
	};
}
