/** Mutable figures of one service, used to count and merge; `encodeTally` converts them to their stored form. */
import {
	addHistogram, addEncodedHistogram, createDurationHistogram, encodeDurationHistogram, type DurationHistogram,
} from './duration-histogram.ts';
import {
	addCount, addCounts, addEncodedCounts, encodeCounts,
} from './varint-list.ts';
import {type CellFigures, type ServiceFigures} from './records.ts';

/** Figures of one operation at the entries of one failure domain. */
export type CellTally = {
	readonly failureDomain: string;
	readonly operation: string;
	/** Time from the first byte received to the last byte of the answer; calls that were not refused. */
	readonly total: DurationHistogram;
	/** Time spent waiting for a slot; calls that were not refused. */
	readonly queued: DurationHistogram;
	/** Time spent waiting behind long work; short calls that were not refused. */
	readonly behindLong: DurationHistogram;
	/** Duration of the last attempt; answered calls. */
	readonly upstream: DurationHistogram;
	/** Calls by result and outcome, e.g. `answered/ran`. */
	readonly calls: Map<string, number>;
	/** Calls by the second of the hour in which they arrived. */
	readonly offered: Map<number, number>;
	/** Answered calls by the second of the hour in which they arrived. */
	readonly answered: Map<number, number>;
	attempts: number;
};

/** Measurement requests from one failure domain, and the sum of their durations. */
export type MeasurementTally = {probes: number; polls: number; microseconds: number};

/** Measurement requests to one upstream. */
export type UpstreamTally = {
	/** Keyed by the failure domain of the entries. */
	readonly places: Map<string, MeasurementTally>;
	/** Requests by the second of the hour. */
	readonly requests: Map<number, number>;
};

/** Seconds of one rate class, and the calls in them by cell. */
export type RateTally = {
	seconds: number;
	readonly offered: Map<string, number>;
	readonly answered: Map<string, number>;
};

/** Figures of one service over all entries that were merged. */
export type ServiceTally = {
	readonly service: string;
	budgetPerSecond: number | undefined;
	callsAcrossHours: number;
	/** Keyed by failure domain and operation, e.g. `riverside/price`. */
	readonly cells: Map<string, CellTally>;
	readonly upstreams: Map<string, UpstreamTally>;
	/** Keyed by the lowest rate of the rate class, in calls per second. */
	readonly rates: Map<number, RateTally>;
	/** Number of seconds, summed over the upstreams, by the number of measurement requests in the second. */
	readonly requestRates: Map<number, number>;
};

export function createTally(service: string): ServiceTally {
	return {
		service, budgetPerSecond: undefined, callsAcrossHours: 0, cells: new Map(), upstreams: new Map(), rates: new Map(), requestRates: new Map(),
	};
}

/** Gets the value of a key, or creates it if the key is missing. */
function getOrCreate<Key, Value>(target: Map<Key, Value>, key: Key, create: () => Value): Value {
	const existing = target.get(key);
	if (existing !== undefined) {
		return existing;
	}

	const created = create();
	target.set(key, created);
	return created;
}

export function getCell(tally: ServiceTally, failureDomain: string, operation: string): CellTally {
	return getOrCreate(tally.cells, `${failureDomain}/${operation}`, () => ({
		failureDomain,
		operation,
		total: createDurationHistogram(),
		queued: createDurationHistogram(),
		behindLong: createDurationHistogram(),
		upstream: createDurationHistogram(),
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

/** Raises the measurement budget of a tally to the given one if that is higher. */
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
	addHistogram(target.total, source.total);
	addHistogram(target.queued, source.queued);
	addHistogram(target.behindLong, source.behindLong);
	addHistogram(target.upstream, source.upstream);
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
		addEncodedCell(getCell(tally, cell.failureDomain, cell.operation), cell);
	}

	for (const upstream of figures.upstreams) {
		const target = getUpstream(tally, upstream.upstream);
		addEncodedCounts(target.requests, upstream.requests);
		for (const place of upstream.places) {
			addMeasurement(getMeasurement(target, place.failureDomain), place);
		}
	}

	const cellKeys = figures.cells.map(cell => `${cell.failureDomain}/${cell.operation}`);
	for (const source of figures.rates) {
		const target = getRate(tally, source.rate);
		target.seconds += source.seconds;
		for (const [index, key] of cellKeys.entries()) {
			addCount(target.offered, key, source.offered[index] ?? 0);
			addCount(target.answered, key, source.answered[index] ?? 0);
		}
	}

	for (const {requests, upstreamSeconds} of figures.requestRates) {
		addCount(tally.requestRates, requests, upstreamSeconds);
	}
}

function addEncodedCell(target: CellTally, source: CellFigures): void {
	addEncodedHistogram(target.total, source.total);
	addEncodedHistogram(target.queued, source.queued);
	addEncodedHistogram(target.behindLong, source.behindLong);
	addEncodedHistogram(target.upstream, source.upstream);
	target.attempts += source.attempts;
	for (const [key, calls] of Object.entries(source.calls)) {
		addCount(target.calls, key, calls);
	}

	addEncodedCounts(target.offered, source.offered);
	addEncodedCounts(target.answered, source.answered);
}

/** Rates below this one, in calls per second, have a rate class each; above it, a class is at most 1/32 of the rate wide. */
const exactRateLimit = 64;
const significantBits = 6;

/** Gets the lowest rate of the rate class that contains a rate, in calls per second. */
export function getRateClass(rate: number): number {
	if (rate < exactRateLimit) {
		return rate;
	}

	const width = 2 ** (Math.floor(Math.log2(rate)) + 1 - significantBits);
	return rate - (rate % width);
}

/**
Replaces the counts per second of one whole hour by the number of seconds of each rate class.

Don't add counts of this hour afterwards: they would count as further seconds with a lower rate.
*/
export function aggregateSecondsByRate(tally: ServiceTally): void {
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

/** Encodes a tally; equal figures have equal encodings. */
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
		total: encodeDurationHistogram(cell.total),
		queued: encodeDurationHistogram(cell.queued),
		behindLong: encodeDurationHistogram(cell.behindLong),
		upstream: encodeDurationHistogram(cell.upstream),
		calls: Object.fromEntries(sortByKey(cell.calls)),
		attempts: cell.attempts,
		offered: encodeCounts(cell.offered),
		answered: encodeCounts(cell.answered),
	};
}
