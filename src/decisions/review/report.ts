/** The figures of a period: tail latency, waiting behind long work, service at the crest and the cost of measuring. */
import {
	addDurations, countPositive, createDurations, getQuantile, type Durations,
} from './durations.ts';
import {listGaps, type Gap} from './holdings.ts';
import {getDayStart, type Merger, type Slice} from './merge.ts';
import {dayMilliseconds, presenceService} from './records.ts';
import {createClosedTally, mergeTallies} from './roll-up.ts';
import {type CellTally, type RateTally, type ServiceTally} from './tally.ts';

const secondMilliseconds = 1000;
/** Share of the seconds with calls that make up the crest. */
const crestShare = 0.01;
/** Place of the rows that cover all failure domains. */
export const allPlaces = 'all';

/** Durations in milliseconds that 50, 90, 99 and 99.9 in 100 calls do not exceed. */
export type Quantiles = {readonly p50: number; readonly p90: number; readonly p99: number; readonly p999: number};

type RowKey = {readonly service: string; readonly place: string; readonly operation: string};

export type LatencyRow = RowKey & {
	readonly calls: number;
	readonly answered: number;
	readonly refused: number;
	readonly failed: number;
	readonly ran: number;
	readonly notRun: number;
	readonly unknown: number;
	readonly attempts: number;
	readonly total: Quantiles | undefined;
	readonly queued: Quantiles | undefined;
	readonly upstream: Quantiles | undefined;
};

export type BlockingRow = RowKey & {
	readonly shortCalls: number;
	/** Share of the short calls that waited behind long work. */
	readonly delayedShare: number;
	readonly delay: Quantiles;
};

export type CrestRow = RowKey & {
	readonly offered: number;
	readonly answered: number;
	/** Undefined when no call came in. */
	readonly answeredShare: number | undefined;
};

/** The busiest seconds of a service over all entries. */
export type Crest = {
	readonly service: string;
	readonly activeSeconds: number;
	readonly seconds: number;
	/** Lowest and highest class of rates, in calls per second. */
	readonly lowestRate: number;
	readonly highestRate: number;
	readonly callsAcrossHours: number;
	readonly rows: readonly CrestRow[];
};

export type MeasurementFigures = {
	readonly service: string;
	readonly upstreams: number;
	readonly budgetPerSecond: number | undefined;
	readonly requests: number;
	/** Mean over all upstreams and seconds of the period. */
	readonly meanPerUpstreamSecond: number;
	readonly highestPerUpstreamSecond: number;
	readonly upstreamSecondsOverBudget: number;
	readonly places: ReadonlyArray<{readonly place: string; readonly probes: number; readonly polls: number; readonly upstreamSeconds: number}>;
};

export type ServiceReport = {
	readonly service: string;
	readonly latency: readonly LatencyRow[];
	readonly blocking: readonly BlockingRow[];
	readonly crest: Crest | undefined;
	readonly measurement: MeasurementFigures;
};

/** Figures of one service in one hour or day of the period. */
export type ReportStep = {readonly start: number; readonly end: number; readonly report: ServiceReport};

export type Report = {
	/** Start of the first and end of the last hour or day that is covered. */
	readonly from: number;
	readonly to: number;
	readonly services: readonly ServiceReport[];
	readonly steps: readonly ReportStep[];
	readonly gaps: readonly Gap[];
	readonly overlaps: number;
};

export type ReportOptions = {
	readonly from: number;
	readonly to: number;
	readonly now: number;
	/** An entry that wrote nothing for this long counts as ended. */
	readonly silenceMilliseconds: number;
};

/** An hour or day of one service with its seconds closed. */
type ClosedSlice = {readonly slice: Slice; readonly tally: ServiceTally};

/** Creates the report of the hours and days that overlap a period. */
export function createReport(merger: Merger, options: ReportOptions): Report {
	const isCovered = (span: {start: number; end: number}) => span.start < options.to && span.end > options.from;
	const slices = merger.getSlices().filter(slice => isCovered(slice));
	const closed = slices.filter(slice => slice.service !== presenceService).map(slice => ({slice, tally: createClosedTally(slice)}));
	const services = [...new Set(closed.map(({slice}) => slice.service))].toSorted();
	return {
		from: Math.min(...slices.map(slice => slice.start), options.to),
		to: Math.max(...slices.map(slice => slice.end), options.from),
		services: services.map(service => createServiceReport(service, closed.filter(({slice}) => slice.service === service))),
		steps: createSteps(closed),
		gaps: listGaps(merger.getHoldings(), options.now, options.silenceMilliseconds)
			.filter(gap => isCovered({start: gap.from, end: gap.to ?? options.now})),
		overlaps: merger.getOverlaps(),
	};
}

/** Reports each day by itself, or each hour when no day is rolled up. */
function createSteps(closed: readonly ClosedSlice[]): ReportStep[] {
	const isByDay = closed.some(({slice}) => slice.kind === 'day');
	const groups = new Map<string, ClosedSlice[]>();
	for (const one of closed) {
		const start = isByDay ? getDayStart(one.slice.start) : one.slice.start;
		const key = `${one.slice.service}/${start}`;
		groups.set(key, [...(groups.get(key) ?? []), one]);
	}

	return [...groups.values()].map(group => {
		const {slice} = group[0]!;
		return {
			start: isByDay ? getDayStart(slice.start) : slice.start,
			end: isByDay ? getDayStart(slice.start) + dayMilliseconds : slice.end,
			report: createServiceReport(slice.service, group),
		};
	});
}

function createServiceReport(service: string, closed: readonly ClosedSlice[]): ServiceReport {
	const tally = mergeTallies(service, closed.map(one => one.tally));
	const cells = [...tally.cells].toSorted(([left], [right]) => (left < right ? -1 : 1)).map(([, cell]) => cell);
	const groups = [...cells.map(cell => [cell]), ...groupByOperation(cells)];
	const seconds = getCoveredMilliseconds(closed.map(one => one.slice)) / secondMilliseconds;
	return {
		service,
		latency: groups.map(group => createLatencyRow(service, group)),
		blocking: groups.flatMap(group => createBlockingRow(service, group) ?? []),
		crest: createCrest(tally, groups),
		measurement: createMeasurement(tally, seconds),
	};
}

/** Gets the length of the hours and days, where hours of a day that is also there don't count again. */
function getCoveredMilliseconds(slices: readonly Slice[]): number {
	const days = new Set(slices.filter(slice => slice.kind === 'day').map(slice => slice.start));
	const counted = slices.filter(slice => slice.kind === 'day' || !days.has(getDayStart(slice.start)));
	return sumOf(counted.map(slice => slice.end - slice.start));
}

/** Groups the cells of an operation where more than one place has it. */
function groupByOperation(cells: readonly CellTally[]): CellTally[][] {
	const operations = new Set(cells.map(cell => cell.operation));
	return [...operations].map(operation => cells.filter(cell => cell.operation === operation)).filter(group => group.length > 1);
}

function createRowKey(service: string, group: readonly CellTally[]): RowKey {
	const first = group[0]!;
	return {service, place: group.length === 1 ? first.failureDomain : allPlaces, operation: first.operation};
}

function mergeDurations(group: readonly CellTally[], select: (cell: CellTally) => Durations): Durations {
	const merged = createDurations();
	for (const cell of group) {
		addDurations(merged, select(cell));
	}

	return merged;
}

function getQuantiles(durations: Durations): Quantiles | undefined {
	const get = (share: number) => getQuantile(durations, share) ?? 0;
	return durations.totalCount === 0
		? undefined
		: {
			p50: get(0.5), p90: get(0.9), p99: get(0.99), p999: get(0.999),
		};
}

function countCalls(group: readonly CellTally[], isCounted: (result: string, outcome: string) => boolean): number {
	let sum = 0;
	for (const cell of group) {
		for (const [key, calls] of cell.calls) {
			const [result = '', outcome = ''] = key.split('/');
			sum += isCounted(result, outcome) ? calls : 0;
		}
	}

	return sum;
}

function createLatencyRow(service: string, group: readonly CellTally[]): LatencyRow {
	return {
		...createRowKey(service, group),
		calls: countCalls(group, () => true),
		answered: countCalls(group, result => result === 'answered'),
		refused: countCalls(group, result => result === 'refused'),
		failed: countCalls(group, result => result === 'failed'),
		ran: countCalls(group, (_result, outcome) => outcome === 'ran'),
		notRun: countCalls(group, (_result, outcome) => outcome === 'not-run'),
		unknown: countCalls(group, (_result, outcome) => outcome === 'unknown'),
		attempts: sumOf(group.map(cell => cell.attempts)),
		total: getQuantiles(mergeDurations(group, cell => cell.total)),
		queued: getQuantiles(mergeDurations(group, cell => cell.queued)),
		upstream: getQuantiles(mergeDurations(group, cell => cell.upstream)),
	};
}

function createBlockingRow(service: string, group: readonly CellTally[]): BlockingRow | undefined {
	const durations = mergeDurations(group, cell => cell.behindLong);
	const delay = getQuantiles(durations);
	if (!delay) {
		return undefined;
	}

	return {
		...createRowKey(service, group), shortCalls: durations.totalCount, delayedShare: countPositive(durations) / durations.totalCount, delay,
	};
}

function createCrest(tally: ServiceTally, groups: ReadonlyArray<readonly CellTally[]>): Crest | undefined {
	const rates = [...tally.rates].toSorted(([left], [right]) => right - left);
	const activeSeconds = sumOf(rates.map(([, rate]) => rate.seconds));
	const chosen: Array<[number, RateTally]> = [];
	let seconds = 0;
	for (const rate of rates) {
		if (seconds >= activeSeconds * crestShare) {
			break;
		}

		chosen.push(rate);
		seconds += rate[1].seconds;
	}

	if (chosen.length === 0) {
		return undefined;
	}

	return {
		service: tally.service,
		activeSeconds,
		seconds,
		lowestRate: chosen.at(-1)![0],
		highestRate: chosen[0]![0],
		callsAcrossHours: tally.callsAcrossHours,
		rows: groups.map(group => createCrestRow(tally.service, group, chosen.map(([, rate]) => rate))),
	};
}

function createCrestRow(service: string, group: readonly CellTally[], rates: readonly RateTally[]): CrestRow {
	const keys = group.map(cell => `${cell.failureDomain}/${cell.operation}`);
	const offered = sumOf(rates.flatMap(rate => keys.map(key => rate.offered.get(key) ?? 0)));
	const answered = sumOf(rates.flatMap(rate => keys.map(key => rate.answered.get(key) ?? 0)));
	return {
		...createRowKey(service, group), offered, answered, answeredShare: offered === 0 ? undefined : answered / offered,
	};
}

function createMeasurement(tally: ServiceTally, seconds: number): MeasurementFigures {
	const budget = tally.budgetPerSecond;
	const places = new Map<string, {probes: number; polls: number; upstreamSeconds: number}>();
	for (const upstream of tally.upstreams.values()) {
		for (const [place, measured] of upstream.places) {
			const sum = places.get(place) ?? {probes: 0, polls: 0, upstreamSeconds: 0};
			sum.probes += measured.probes;
			sum.polls += measured.polls;
			sum.upstreamSeconds += measured.microseconds / 1_000_000;
			places.set(place, sum);
		}
	}

	const rates = [...tally.requestRates];
	const requests = sumOf(rates.map(([rate, upstreamSeconds]) => rate * upstreamSeconds));
	return {
		service: tally.service,
		upstreams: tally.upstreams.size,
		budgetPerSecond: budget,
		requests,
		meanPerUpstreamSecond: tally.upstreams.size * seconds === 0 ? 0 : requests / (tally.upstreams.size * seconds),
		highestPerUpstreamSecond: Math.max(0, ...rates.map(([rate]) => rate)),
		upstreamSecondsOverBudget: sumOf(rates.map(([rate, upstreamSeconds]) => (budget !== undefined && rate > budget ? upstreamSeconds : 0))),
		places: [...places].toSorted(([left], [right]) => (left < right ? -1 : 1)).map(([place, sums]) => ({place, ...sums})),
	};
}

function sumOf(numbers: readonly number[]): number {
	return numbers.reduce((sum, number) => sum + number, 0);
}
