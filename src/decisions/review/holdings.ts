/** Sets of interval records, by incarnation and sequence number, so that no record is counted twice. */
import {type Holding, type Range} from './records.ts';

/** Whether records are among those of a set: all of them, none, or some. */
export type Coverage = 'all' | 'none' | 'some';

export type HoldingSet = {
	getCoverage(holdings: readonly Holding[]): Coverage;
	add(holdings: readonly Holding[]): void;
	/** Lists the records by incarnation, with adjacent ones joined. */
	list(): Holding[];
};

/** Gets the number of records in holdings. */
export function countHeld(holdings: readonly Holding[]): number {
	let held = 0;
	for (const holding of holdings) {
		for (const range of holding.ranges) {
			held += range.last - range.first + 1;
		}
	}

	return held;
}

export function createHoldingSet(): HoldingSet {
	const known = new Map<string, Holding>();
	return {
		getCoverage(holdings) {
			let common = 0;
			for (const holding of holdings) {
				common += countCommon(known.get(holding.incarnation)?.ranges ?? [], holding.ranges);
			}

			if (common === 0) {
				return 'none';
			}

			return common === countHeld(holdings) ? 'all' : 'some';
		},
		add(holdings) {
			for (const holding of holdings) {
				const before = known.get(holding.incarnation);
				known.set(holding.incarnation, {
					...holding,
					isFinal: holding.isFinal || (before?.isFinal ?? false),
					ranges: joinRanges([...(before?.ranges ?? []), ...holding.ranges]),
				});
			}
		},
		list: () => [...known.values()].toSorted((left, right) => (left.incarnation < right.incarnation ? -1 : 1)),
	};
}

function countCommon(left: readonly Range[], right: readonly Range[]): number {
	let common = 0;
	for (const one of left) {
		for (const other of right) {
			common += Math.max(0, Math.min(one.last, other.last) - Math.max(one.first, other.first) + 1);
		}
	}

	return common;
}

function joinRanges(ranges: readonly Range[]): Range[] {
	const joined: Range[] = [];
	for (const range of [...ranges].toSorted((left, right) => left.first - right.first)) {
		const last = joined.at(-1);
		if (last && range.first <= last.last + 1) {
			joined[joined.length - 1] = {
				first: last.first,
				last: Math.max(last.last, range.last),
				from: Math.min(last.from, range.from),
				to: Math.max(last.to, range.to),
			};
		} else {
			joined.push(range);
		}
	}

	return joined;
}

/** Records that are missing, and between which times. */
export type Gap = {
	readonly entry: string;
	readonly incarnation: string;
	readonly failureDomain: string;
	/** Number of missing records; undefined when the entry ended without its final record. */
	readonly records: number | undefined;
	readonly from: number;
	/** Undefined when the entry ended without its final record. */
	readonly to: number | undefined;
};

/** Lists the records that are missing; an entry that wrote nothing for the given time counts as ended. */
export function listGaps(holdings: readonly Holding[], now: number, silenceMilliseconds: number): Gap[] {
	return holdings.flatMap(holding => listHoldingGaps(holding, now, silenceMilliseconds));
}

function listHoldingGaps(holding: Holding, now: number, silenceMilliseconds: number): Gap[] {
	const {entry, incarnation, failureDomain, ranges} = holding;
	const gaps: Gap[] = [];
	for (const [index, range] of ranges.entries()) {
		const before = ranges[index - 1];
		const missing = range.first - (before ? before.last + 1 : 0);
		if (missing > 0) {
			gaps.push({
				entry, incarnation, failureDomain, records: missing, from: before?.to ?? range.from, to: range.from,
			});
		}
	}

	const end = ranges.at(-1)!.to;
	if (!holding.isFinal && end + silenceMilliseconds < now) {
		gaps.push({
			entry, incarnation, failureDomain, records: undefined, from: end, to: undefined,
		});
	}

	return gaps;
}
