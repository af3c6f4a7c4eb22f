/**
Merges interval records and roll-ups into the review figures of each service by hour or day.

A roll-up replaces exactly the interval records listed in its `holdings`. Larger roll-ups are merged first, so that the
result depends neither on the order of the records nor on how often each record was read.
*/
import {countRecords, createRecordSet, type RecordSet} from './record-set.ts';
import {getHourStart} from './recorder.ts';
import {
	hourMilliseconds, dayMilliseconds, allIntervalsService, type RecordRanges, type IntervalRecord, type RollUp, type ServiceFigures,
} from './records.ts';
import {addFigures, createTally, type ServiceTally} from './tally.ts';

/** Merged figures of one service in one hour or day. */
export type TimeSlice = {
	readonly kind: RollUp['kind'];
	readonly service: string;
	readonly start: number;
	readonly end: number;
	/** Interval records that the figures include. */
	readonly recordSet: RecordSet;
	readonly tally: ServiceTally;
	/** Numbers of roll-ups and of interval records merged into this slice. */
	rollUpCount: number;
	intervalCount: number;
};

export type Merger = {
	/** Adds a roll-up. Add all roll-ups in the order of `sortRollUpsBySize`, before the interval records. */
	addRollUp(rollUp: RollUp): void;
	/** Adds an interval record; returns whether any part of it was not yet counted. */
	addInterval(record: IntervalRecord): boolean;
	listSlices(): readonly TimeSlice[];
	/** Lists all interval records that were counted, directly or through a roll-up. */
	listRecordRanges(): readonly RecordRanges[];
	/** Counts the records left out because a part of them was already counted and can't be separated. */
	countOverlaps(): number;
};

/** Figures to merge, with the interval records that they include. */
type MergeSource = {
	readonly kind: RollUp['kind'];
	readonly start: number;
	readonly holdings: readonly RecordRanges[];
	readonly figures: ServiceFigures;
};

/** Figures merged for every interval record, so that intervals without a call are also tracked. */
const emptyFigures: ServiceFigures = {
	service: allIntervalsService, callsAcrossHours: 0, cells: [], upstreams: [], rates: [], requestRates: [],
};

/** Gets the start of the UTC day that contains a time. */
export function getDayStart(time: number): number {
	return time - (time % dayMilliseconds);
}

/** Sorts roll-ups by the number of interval records they include, largest first. */
export function sortRollUpsBySize(rollUps: readonly RollUp[]): RollUp[] {
	return rollUps
		.map(rollUp => ({rollUp, size: countRecords(rollUp.holdings)}))
		.toSorted((left, right) => right.size - left.size || (left.rollUp.id < right.rollUp.id ? -1 : 1))
		.map(({rollUp}) => rollUp);
}

/** Creates a merger without any records. */
export function createMerger(): Merger {
	const recordSets = new Map<string, RecordSet>();
	const slices = new Map<string, TimeSlice>();
	let overlaps = 0;

	function getRecordSet(service: string): RecordSet {
		const existing = recordSets.get(service);
		if (existing) {
			return existing;
		}

		const created = createRecordSet();
		recordSets.set(service, created);
		return created;
	}

	function getSlice(source: MergeSource): TimeSlice {
		const {service} = source.figures;
		const key = `${service}/${source.kind}/${source.start}`;
		const existing = slices.get(key);
		if (existing) {
			return existing;
		}

		const created: TimeSlice = {
			kind: source.kind,
			service,
			start: source.start,
			end: source.start + (source.kind === 'day' ? dayMilliseconds : hourMilliseconds),
			recordSet: createRecordSet(),
			tally: createTally(service),
			rollUpCount: 0,
			intervalCount: 0,
		};
		slices.set(key, created);
		return created;
	}

	/** Adds figures unless some of their records are already counted; returns undefined if it added none. */
	function addFiguresOnce(source: MergeSource): TimeSlice | undefined {
		const recordSet = getRecordSet(source.figures.service);
		const coverage = recordSet.getCoverage(source.holdings);
		if (coverage === 'some') {
			overlaps++;
		}

		if (coverage !== 'none') {
			return undefined;
		}

		const slice = getSlice(source);
		recordSet.add(source.holdings);
		slice.recordSet.add(source.holdings);
		addFigures(slice.tally, source.figures);
		return slice;
	}

	return {
		addRollUp(rollUp) {
			const slice = addFiguresOnce(rollUp);
			if (slice) {
				slice.rollUpCount++;
			}
		},
		addInterval(record) {
			const holdings = [record.holding];
			const start = getHourStart(record.holding.ranges[0]!.from);
			let isNew = false;
			for (const figures of [emptyFigures, ...record.services]) {
				const slice = addFiguresOnce({
					kind: 'hour', start, holdings, figures,
				});
				if (slice) {
					slice.intervalCount++;
					isNew = true;
				}
			}

			return isNew;
		},
		listSlices: () => [...slices.values()].toSorted(compareSlices),
		listRecordRanges: () => getRecordSet(allIntervalsService).list(),
		countOverlaps: () => overlaps,
	};
}

function compareSlices(left: TimeSlice, right: TimeSlice): number {
	return left.start - right.start || (left.service < right.service ? -1 : Number(left.service > right.service));
}
