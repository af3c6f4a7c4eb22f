/** Sets of interval records, identified by incarnation and sequence number. Used to count each record only once. */
import {type RecordRanges, type SequenceRange} from './records.ts';

/** How many of the given records a set contains. */
export type Coverage = 'all' | 'none' | 'some';

/** A set of interval records, stored as sequence ranges per incarnation. */
export type RecordSet = {
	getCoverage(recordRanges: readonly RecordRanges[]): Coverage;
	add(recordRanges: readonly RecordRanges[]): void;
	/** Lists the sequence ranges sorted by incarnation; adjacent and overlapping ranges are joined. */
	list(): RecordRanges[];
};

/** Counts the records in sequence ranges. */
export function countRecords(recordRanges: readonly RecordRanges[]): number {
	let count = 0;
	for (const source of recordRanges) {
		for (const range of source.ranges) {
			count += range.last - range.first + 1;
		}
	}

	return count;
}

export function createRecordSet(): RecordSet {
	const rangesByIncarnation = new Map<string, RecordRanges>();
	return {
		getCoverage(recordRanges) {
			let common = 0;
			for (const source of recordRanges) {
				common += countCommonRecords(rangesByIncarnation.get(source.incarnation)?.ranges ?? [], source.ranges);
			}

			if (common === 0) {
				return 'none';
			}

			return common === countRecords(recordRanges) ? 'all' : 'some';
		},
		add(recordRanges) {
			for (const source of recordRanges) {
				const existing = rangesByIncarnation.get(source.incarnation);
				rangesByIncarnation.set(source.incarnation, {
					...source,
					isFinal: source.isFinal || (existing?.isFinal ?? false),
					ranges: joinRanges([...(existing?.ranges ?? []), ...source.ranges]),
				});
			}
		},
		list: () => [...rangesByIncarnation.values()].toSorted((left, right) => (left.incarnation < right.incarnation ? -1 : 1)),
	};
}

function countCommonRecords(left: readonly SequenceRange[], right: readonly SequenceRange[]): number {
	let common = 0;
	for (const leftRange of left) {
		for (const rightRange of right) {
			common += Math.max(0, Math.min(leftRange.last, rightRange.last) - Math.max(leftRange.first, rightRange.first) + 1);
		}
	}

	return common;
}

function joinRanges(ranges: readonly SequenceRange[]): SequenceRange[] {
	const joined: SequenceRange[] = [];
	for (const range of [...ranges].toSorted((left, right) => left.first - right.first)) {
		const previous = joined.at(-1);
		if (previous && range.first <= previous.last + 1) {
			joined[joined.length - 1] = {
				first: previous.first,
				last: Math.max(previous.last, range.last),
				from: Math.min(previous.from, range.from),
				to: Math.max(previous.to, range.to),
			};
		} else {
			joined.push(range);
		}
	}

	return joined;
}

/** Missing records of one incarnation, and the times between which they are missing. Times are milliseconds since the epoch. */
export type RecordGap = {
	readonly entry: string;
	readonly incarnation: string;
	readonly failureDomain: string;
	/** Number of missing records; undefined if the entry ended without its final record. */
	readonly records: number | undefined;
	readonly from: number;
	/** Undefined if the entry ended without its final record. */
	readonly to: number | undefined;
};

/** Lists the missing records. An entry whose last record is older than `silenceMilliseconds` counts as ended. */
export function listGaps(recordRanges: readonly RecordRanges[], now: number, silenceMilliseconds: number): RecordGap[] {
	return recordRanges.flatMap(source => listSourceGaps(source, now, silenceMilliseconds));
}

function listSourceGaps(source: RecordRanges, now: number, silenceMilliseconds: number): RecordGap[] {
	const {entry, incarnation, failureDomain, ranges} = source;
	const gaps: RecordGap[] = [];
	for (const [index, range] of ranges.entries()) {
		const previous = ranges[index - 1];
		const missing = range.first - (previous ? previous.last + 1 : 0);
		if (missing > 0) {
			gaps.push({
				entry, incarnation, failureDomain, records: missing, from: previous?.to ?? range.from, to: range.from,
			});
		}
	}

	const end = ranges.at(-1)!.to;
	if (!source.isFinal && end + silenceMilliseconds < now) {
		gaps.push({
			entry, incarnation, failureDomain, records: undefined, from: end, to: undefined,
		});
	}

	return gaps;
}
