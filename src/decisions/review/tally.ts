/** Figures of one service while they are counted and merged; `encodeTally` turns them into a record. */
import {
	addDurations, addEncodedDurations, createDurations, encodeDurations, type Durations,
} from './durations.ts';
import {
	addCount, addCounts, addEncodedCounts, encodeCounts,
} from './number-list.ts';
import {type CellFigures, type ServiceFigures} from './records.ts';

export type CellTally = {
	readonly failureDomain: string;
	readonly operation: string;
	/** From the first byte received to the last byte of the answer; calls that were not refused. */
	readonly total: Durations;
	/** Time spent waiting for a slot; calls that were not refused. */
	readonly queued: Durations;
	/** Time spent waiting behind long work; short calls that were not refused. */
	readonly behindLong: Durations;
	/** Time of the last attempt; answered calls. */
	readonly upstream: Durations;
	readonly calls: Map<string, number>;
	readonly offered: Map<number, number>;
	readonly answered: Map<number, number>;
	attempts: number;
};

export type MeasurementTally = {probes: number; polls: number; microseconds: number};

export type UpstreamTally = {
	readonly places: Map<string, MeasurementTally>;
	readonly requests: Map<number, number>;
};

/** Calls in the seconds of one rate, by cell. */
export type RateTally = {
	seconds: number;
	readonly offered: Map<string, number>;
	readonly answered: Map<string, number>;
};

export type ServiceTally = {
	readonly service: string;
	budgetPerSecond: number | undefined;
	callsAcrossHours: number;
	readonly cells: Map<string, CellTally>;
	readonly upstreams: Map<string, UpstreamTally>;
	/** Keyed by the lowest rate of the class, in calls per second. */
	readonly rates: Map<number, RateTally>;
	readonly requestRates: Map<number, number>;
};

export function createTally(service: string): ServiceTally {
	return {
		service, budgetPerSecond: undefined, callsAcrossHours: 0, cells: new Map(), upstreams: new Map(), rates: new Map(), requestRates: new Map(),
	};
}

/** Gets the value of a key; the value is created when there is none. */
function getOrCreate<Key, Value>(target: Map<Key, Value>, key: Key, create: () => Value): Value {
	const known = target.get(key);
	if (known !== undefined) {
		return known;
	}

	const created = create();
	target.set(key, created);
	return created;
}

export function getCell(tally: ServiceTally, failureDomain: string, operation: string): CellTally {
	return getOrCreate(tally.cells, `${failureDomain}/${operation}`, () => ({
		failureDomain,
		operation,
		total: createDurations(),
		queued: createDurations(),
		behindLong: createDurations(),
		upstream: createDurations(),
		calls: new Map(),
		offered: new Map(),
		answered: new Map(),
		attempts: 0,
	}));
}

export function getUpstream(tally: ServiceTally, upstream: string): UpstreamTally {
	return getOrCreate(tally.upstreams, upstream, () => ({places: new Map(), requests: new Map()}));
}

export function getMeasurement(upstream: UpstreamTally, failureDomain: string): MeasurementTally {
	return getOrCreate(upstream.places, failureDomain, () => ({probes: 0, polls: 0, microseconds: 0}));
}

function getRate(tally: ServiceTally, rate: number): RateTally {
	return getOrCreate(tally.rates, rate, () => ({seconds: 0, offered: new Map(), answered: new Map()}));
}

/** Raises the budget of a tally; the largest that was in force counts. */
export function raiseBudget(tally: ServiceTally | undefined, budgetPerSecond: number | undefined): void {
	if (tally && budgetPerSecond !== undefined) {
		tally.budgetPerSecond = Math.max(tally.budgetPerSecond ?? 0, budgetPerSecond);
	}
}

/** Adds the figures of another tally of the same service. */
export function addTally(tally: ServiceTally, source: ServiceTally): void {
	raiseBudget(tally, source.budgetPerSecond);
	tally.callsAcrossHours += source.callsAcrossHours;
	for (const cell of source.cells.values()) {
		addCellTally(getCell(tally, cell.failureDomain, cell.operation), cell);
	}

	for (const [name, upstream] of source.upstreams) {
		const target = getUpstream(tally, name);
		addCounts(target.requests, upstream.requests);
		for (const [failureDomain, place] of upstream.places) {
			addMeasurement(getMeasurement(target, failureDomain), place);
		}
	}

	for (const [rate, {seconds, offered, answered}] of source.rates) {
		const target = getRate(tally, rate);
		target.seconds += seconds;
		addCounts(target.offered, offered);
		addCounts(target.answered, answered);
	}

	addCounts(tally.requestRates, source.requestRates);
}

function addCellTally(target: CellTally, source: CellTally): void {
	addDurations(target.total, source.total);
	addDurations(target.queued, source.queued);
	addDurations(target.behindLong, source.behindLong);
	addDurations(target.upstream, source.upstream);
	target.attempts += source.attempts;
	addCounts(target.calls, source.calls);
	addCounts(target.offered, source.offered);
	addCounts(target.answered, source.answered);
}

function addMeasurement(target: MeasurementTally, source: MeasurementTally): void {
	target.probes += source.probes;
	target.polls += source.polls;
	target.microseconds += source.microseconds;
}

/** Adds encoded figures of the same service. */
export function addFigures(tally: ServiceTally, figures: ServiceFigures): void {
	raiseBudget(tally, figures.budgetPerSecond);
	tally.callsAcrossHours += figures.callsAcrossHours;
	for (const cell of figures.cells) {
		addCell(getCell(tally, cell.failureDomain, cell.operation), cell);
	}

	for (const upstream of figures.upstreams) {
		const target = getUpstream(tally, upstream.upstream);
		addEncodedCounts(target.requests, upstream.requests);
		for (const place of upstream.places) {
			addMeasurement(getMeasurement(target, place.failureDomain), place);
		}
	}

	const keys = figures.cells.map(cell => `${cell.failureDomain}/${cell.operation}`);
	for (const source of figures.rates) {
		const target = getRate(tally, source.rate);
		target.seconds += source.seconds;
		for (const [index, key] of keys.entries()) {
			addCount(target.offered, key, source.offered[index] ?? 0);
			addCount(target.answered, key, source.answered[index] ?? 0);
		}
	}

	for (const {requests, upstreamSeconds} of figures.requestRates) {
		addCount(tally.requestRates, requests, upstreamSeconds);
	}
}

function addCell(target: CellTally, source: CellFigures): void {
	addEncodedDurations(target.total, source.total);
	addEncodedDurations(target.queued, source.queued);
	addEncodedDurations(target.behindLong, source.behindLong);
	addEncodedDurations(target.upstream, source.upstream);
	target.attempts += source.attempts;
	for (const [key, calls] of Object.entries(source.calls)) {
		addCount(target.calls, key, calls);
	}

	addEncodedCounts(target.offered, source.offered);
	addEncodedCounts(target.answered, source.answered);
}

/** Classes of rates are one call wide up to this rate, and at most 1/32 of the rate above it. */
const exactRates = 64;
const significantBits = 6;

/** Gets the lowest rate of the class that a rate belongs to, in calls per second. */
export function getRateClass(rate: number): number {
	if (rate < exactRates) {
		return rate;
	}

	const width = 2 ** (Math.floor(Math.log2(rate)) + 1 - significantBits);
	return rate - (rate % width);
}

/** Turns the counts per second of one whole hour into seconds by rate; no second may be added afterwards. */
export function closeSeconds(tally: ServiceTally): void {
	const totals = new Map<number, number>();
	for (const cell of tally.cells.values()) {
		for (const [second, count] of cell.offered) {
			addCount(totals, second, count);
		}
	}

	for (const total of totals.values()) {
		getRate(tally, getRateClass(total)).seconds++;
	}

	for (const [key, cell] of tally.cells) {
		for (const [second, count] of cell.offered) {
			const rate = getRate(tally, getRateClass(totals.get(second) ?? 0));
			addCount(rate.offered, key, count);
			addCount(rate.answered, key, cell.answered.get(second) ?? 0);
		}

		cell.offered.clear();
		cell.answered.clear();
	}

	for (const upstream of tally.upstreams.values()) {
		for (const count of upstream.requests.values()) {
			addCount(tally.requestRates, count, 1);
		}

		upstream.requests.clear();
	}
}

function sortByKey<Value>(map: ReadonlyMap<string, Value>): Array<[string, Value]> {
	return [...map].toSorted(([left], [right]) => (left < right ? -1 : 1));
}

function sortByNumber<Value>(map: ReadonlyMap<number, Value>): Array<[number, Value]> {
	return [...map].toSorted(([left], [right]) => left - right);
}

/** Encodes a tally; equal figures give equal text. */
export function encodeTally(tally: ServiceTally): ServiceFigures {
	const cells = sortByKey(tally.cells);
	return {
		service: tally.service,
		...(tally.budgetPerSecond === undefined ? {} : {budgetPerSecond: tally.budgetPerSecond}),
		callsAcrossHours: tally.callsAcrossHours,
		cells: cells.map(([, cell]) => encodeCell(cell)),
		upstreams: sortByKey(tally.upstreams).map(([upstream, {places, requests}]) => ({
			upstream,
			places: sortByKey(places).map(([failureDomain, place]) => ({failureDomain, ...place})),
			requests: encodeCounts(requests),
		})),
		rates: sortByNumber(tally.rates).map(([rate, {seconds, offered, answered}]) => ({
			rate,
			seconds,
			offered: cells.map(([key]) => offered.get(key) ?? 0),
			answered: cells.map(([key]) => answered.get(key) ?? 0),
		})),
		requestRates: sortByNumber(tally.requestRates).map(([requests, upstreamSeconds]) => ({requests, upstreamSeconds})),
	};
}

function encodeCell(cell: CellTally): CellFigures {
	return {
		failureDomain: cell.failureDomain,
		operation: cell.operation,
		total: encodeDurations(cell.total),
		queued: encodeDurations(cell.queued),
		behindLong: encodeDurations(cell.behindLong),
		upstream: encodeDurations(cell.upstream),
		calls: Object.fromEntries(sortByKey(cell.calls)),
		attempts: cell.attempts,
		offered: encodeCounts(cell.offered),
		answered: encodeCounts(cell.answered),
	};
}
