/**
Merges records of the review figures.

A roll-up stands for exactly the interval records that it holds. Larger ones are taken first, so that the result
depends neither on the order of the records nor on how often each of them was read.
*/
import {countHeld, createHoldingSet, type HoldingSet} from './holdings.ts';
import {getHourStart} from './recorder.ts';
import {
	hourMilliseconds, dayMilliseconds, presenceService, type Holding, type IntervalRecord, type RollUp, type ServiceFigures,
} from './records.ts';
import {addFigures, createTally, type ServiceTally} from './tally.ts';

/** Figures of one service in one hour or day. */
export type Slice = {
	readonly kind: RollUp['kind'];
	readonly service: string;
	readonly start: number;
	readonly end: number;
	readonly holdings: HoldingSet;
	readonly tally: ServiceTally;
	/** Roll-ups and interval records that were merged into this slice. */
	rollUps: number;
	intervals: number;
};

export type Merger = {
	/** Adds a roll-up; goes before the interval records and in the order of `sortRollUps`. */
	addRollUp(rollUp: RollUp): void;
	/** Adds an interval record; returns whether any of it was new. */
	addInterval(record: IntervalRecord): boolean;
	getSlices(): readonly Slice[];
	/** All interval records that were counted or held by a roll-up. */
	getHoldings(): readonly Holding[];
	/** Records left out because a part of them was counted already and could not be told apart. */
	getOverlaps(): number;
};

type Unit = {
	readonly kind: RollUp['kind'];
	readonly start: number;
	readonly holdings: readonly Holding[];
	readonly figures: ServiceFigures;
};

const noFigures: ServiceFigures = {
	service: presenceService, callsAcrossHours: 0, cells: [], upstreams: [], rates: [], requestRates: [],
};

/** Gets the start of the day that holds a time. */
export function getDayStart(time: number): number {
	return time - (time % dayMilliseconds);
}

/** Sorts roll-ups so that those that hold the most records come first. */
export function sortRollUps(rollUps: readonly RollUp[]): RollUp[] {
	return rollUps
		.map(rollUp => ({rollUp, size: countHeld(rollUp.holdings)}))
		.toSorted((left, right) => right.size - left.size || (left.rollUp.id < right.rollUp.id ? -1 : 1))
		.map(({rollUp}) => rollUp);
}

export function createMerger(): Merger {
	const held = new Map<string, HoldingSet>();
	const slices = new Map<string, Slice>();
	let overlaps = 0;

	function getHeld(service: string): HoldingSet {
		const known = held.get(service);
		if (known) {
			return known;
		}

		const created = createHoldingSet();
		held.set(service, created);
		return created;
	}

	function getSlice(unit: Unit): Slice {
		const {service} = unit.figures;
		const key = `${service}/${unit.kind}/${unit.start}`;
		const known = slices.get(key);
		if (known) {
			return known;
		}

		const created: Slice = {
			kind: unit.kind,
			service,
			start: unit.start,
			end: unit.start + (unit.kind === 'day' ? dayMilliseconds : hourMilliseconds),
			holdings: createHoldingSet(),
			tally: createTally(service),
			rollUps: 0,
			intervals: 0,
		};
		slices.set(key, created);
		return created;
	}

	/** Adds a unit unless a part of it is counted already. */
	function addUnit(unit: Unit): Slice | undefined {
		const known = getHeld(unit.figures.service);
		const coverage = known.getCoverage(unit.holdings);
		if (coverage === 'some') {
			overlaps++;
		}

		if (coverage !== 'none') {
			return undefined;
		}

		const slice = getSlice(unit);
		known.add(unit.holdings);
		slice.holdings.add(unit.holdings);
		addFigures(slice.tally, unit.figures);
		return slice;
	}

	return {
		addRollUp(rollUp) {
			const slice = addUnit(rollUp);
			if (slice) {
				slice.rollUps++;
			}
		},
		addInterval(record) {
			const holdings = [record.holding];
			const start = getHourStart(record.holding.ranges[0]!.from);
			let isNew = false;
			for (const figures of [noFigures, ...record.services]) {
				const slice = addUnit({
					kind: 'hour', start, holdings, figures,
				});
				if (slice) {
					slice.intervals++;
					isNew = true;
				}
			}

			return isNew;
		},
		getSlices: () => [...slices.values()].toSorted(compareSlices),
		getHoldings: () => getHeld(presenceService).list(),
		getOverlaps: () => overlaps,
	};
}

function compareSlices(left: Slice, right: Slice): number {
	return left.start - right.start || (left.service < right.service ? -1 : Number(left.service > right.service));
}
