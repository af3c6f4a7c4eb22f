/** Computes the review figures of a period: tail latency, head-of-line blocking, service at peak load and cost of measuring. */
import {
	addHistogram, countNonZero, createDurationHistogram, getQuantile, type DurationHistogram,
} from './duration-histogram.ts';
import {listGaps, type RecordGap} from './record-set.ts';
import {getDayStart, type Merger, type TimeSlice} from './merge-records.ts';
import {dayMilliseconds, allIntervalsService} from './records.ts';
import {createAggregatedTally, mergeTallies} from './roll-up.ts';
import {type CellTally, type RateTally, type ServiceTally} from './tally.ts';

const secondMilliseconds = 1000;
/** Share of the seconds with calls that counts as peak load. */
const peakShare = 0.01;
/** Value of `place` in rows that cover all failure domains; otherwise `place` is a failure domain. */
export const allFailureDomains = 'all';

/** The 50th, 90th, 99th and 99.9th percentile of durations in milliseconds. */
export type Quantiles = {readonly p50: number; readonly p90: number; readonly p99: number; readonly p999: number};

type RowKey = {readonly service: string; readonly place: string; readonly operation: string};

/** Calls and latency of one operation. */
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

/** Head-of-line blocking of one operation: delay of short calls behind long work. */
export type BlockingRow = RowKey & {
	readonly shortCalls: number;
	/** Share of the short calls that waited behind long work. */
	readonly delayedShare: number;
	readonly delay: Quantiles;
};

/** Calls of one operation at peak load. */
export type PeakRow = RowKey & {
	readonly offered: number;
	readonly answered: number;
	/** Undefined if no call arrived. */
	readonly answeredShare: number | undefined;
};

/** The busiest seconds of a service, by the call rate over all entries. */
export type PeakFigures = {
	readonly service: string;
	/** Number of seconds with calls. */
	readonly activeSeconds: number;
	/** Number of seconds at peak load. */
	readonly seconds: number;
	/** Lowest and highest rate class among these seconds, in calls per second. */
	readonly lowestRate: number;
	readonly highestRate: number;
	readonly callsAcrossHours: number;
	readonly rows: readonly PeakRow[];
};

/** Measurement requests to the upstreams of one service. */
export type MeasurementFigures = {
	readonly service: string;
	readonly upstreams: number;
	readonly budgetPerSecond: number | undefined;
	readonly requests: number;
	/** Mean number of requests over all upstreams and seconds of the period. */
	readonly meanPerUpstreamSecond: number;
	readonly highestPerUpstreamSecond: number;
	readonly upstreamSecondsOverBudget: number;
	readonly places: ReadonlyArray<{readonly place: string; readonly probes: number; readonly polls: number; readonly upstreamSeconds: number}>;
};

export type ServiceReport = {
	readonly service: string;
	readonly latency: readonly LatencyRow[];
	readonly blocking: readonly BlockingRow[];
	readonly crest: PeakFigures | undefined;
	readonly measurement: MeasurementFigures;
};

/** Figures of one service in one hour or day of the period. */
export type ReportStep = {readonly start: number; readonly end: number; readonly report: ServiceReport};

export type Report = {
	/** Start of the first and end of the last hour or day in the report. */
	readonly from: number;
	readonly to: number;
	readonly services: readonly ServiceReport[];
	readonly steps: readonly ReportStep[];
	readonly gaps: readonly RecordGap[];
	/** Number of records left out because a part of them was already counted. */
	readonly overlaps: number;
};

export type ReportOptions = {
	readonly from: number;
	readonly to: number;
	readonly now: number;
	/** An entry that wrote no record for this long counts as ended. */
	readonly silenceMilliseconds: number;
};

/** An hour or day of one service; the tally has its counts per second aggregated by rate. */
type AggregatedSlice = {readonly slice: TimeSlice; readonly tally: ServiceTally};

/** Creates the report on the hours and days that overlap a period. */
export function createReport(merger: Merger, options: ReportOptions): Report {
	const overlapsPeriod = (span: {start: number; end: number}) => span.start < options.to && span.end > options.from;
	const slices = merger.listSlices().filter(slice => overlapsPeriod(slice));
	const aggregatedSlices = slices.filter(slice => slice.service !== allIntervalsService).map(slice => ({slice, tally: createAggregatedTally(slice)}));
	const services = [...new Set(aggregatedSlices.map(({slice}) => slice.service))].toSorted();
	return {
		from: Math.min(...slices.map(slice => slice.start), options.to),
		to: Math.max(...slices.map(slice => slice.end), options.from),
		services: services.map(service => createServiceReport(service, aggregatedSlices.filter(({slice}) => slice.service === service))),
		steps: createSteps(aggregatedSlices),
		gaps: listGaps(merger.listRecordRanges(), options.now, options.silenceMilliseconds)
			.filter(gap => overlapsPeriod({start: gap.from, end: gap.to ?? options.now})),
		overlaps: merger.countOverlaps(),
	};
}

/** Creates the figures of each day, or of each hour if there is no daily roll-up. */
function createSteps(aggregatedSlices: readonly AggregatedSlice[]): ReportStep[] {
	const isByDay = aggregatedSlices.some(({slice}) => slice.kind === 'day');
	const groups = new Map<string, AggregatedSlice[]>();
	for (const aggregatedSlice of aggregatedSlices) {
		const start = isByDay ? getDayStart(aggregatedSlice.slice.start) : aggregatedSlice.slice.start;
		const key = `${aggregatedSlice.slice.service}/${start}`;
		groups.set(key, [...(groups.get(key) ?? []), aggregatedSlice]);
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

function createServiceReport(service: string, aggregatedSlices: readonly AggregatedSlice[]): ServiceReport {
	const tally = mergeTallies(service, aggregatedSlices.map(aggregatedSlice => aggregatedSlice.tally));
	const cells = [...tally.cells].toSorted(([left], [right]) => (left < right ? -1 : 1)).map(([, cell]) => cell);
	const groups = [...cells.map(cell => [cell]), ...groupByOperation(cells)];
	const seconds = getCoveredMilliseconds(aggregatedSlices.map(aggregatedSlice => aggregatedSlice.slice)) / secondMilliseconds;
	return {
		service,
		latency: groups.map(group => createLatencyRow(service, group)),
		blocking: groups.flatMap(group => createBlockingRow(service, group) ?? []),
		crest: createPeakFigures(tally, groups),
		measurement: createMeasurement(tally, seconds),
	};
}

/** Gets the total length of the hours and days; excludes hours of a day that is itself in the list. */
function getCoveredMilliseconds(slices: readonly TimeSlice[]): number {
	const days = new Set(slices.filter(slice => slice.kind === 'day').map(slice => slice.start));
	const countedSlices = slices.filter(slice => slice.kind === 'day' || !days.has(getDayStart(slice.start)));
	return sumOf(countedSlices.map(slice => slice.end - slice.start));
}

/** Groups the cells by operation; lists only operations that occur in more than one failure domain. */
function groupByOperation(cells: readonly CellTally[]): CellTally[][] {
	const operations = new Set(cells.map(cell => cell.operation));
	return [...operations].map(operation => cells.filter(cell => cell.operation === operation)).filter(group => group.length > 1);
}

function createRowKey(service: string, group: readonly CellTally[]): RowKey {
	const first = group[0]!;
	return {service, place: group.length === 1 ? first.failureDomain : allFailureDomains, operation: first.operation};
}

function mergeHistograms(group: readonly CellTally[], select: (cell: CellTally) => DurationHistogram): DurationHistogram {
	const merged = createDurationHistogram();
	for (const cell of group) {
		addHistogram(merged, select(cell));
	}

	return merged;
}

function getQuantiles(histogram: DurationHistogram): Quantiles | undefined {
	const getMilliseconds = (quantile: number) => getQuantile(histogram, quantile) ?? 0;
	return histogram.totalCount === 0
		? undefined
		: {
			p50: getMilliseconds(0.5), p90: getMilliseconds(0.9), p99: getMilliseconds(0.99), p999: getMilliseconds(0.999),
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
		total: getQuantiles(mergeHistograms(group, cell => cell.total)),
		queued: getQuantiles(mergeHistograms(group, cell => cell.queued)),
		upstream: getQuantiles(mergeHistograms(group, cell => cell.upstream)),
	};
}

function createBlockingRow(service: string, group: readonly CellTally[]): BlockingRow | undefined {
	const histogram = mergeHistograms(group, cell => cell.behindLong);
	const delay = getQuantiles(histogram);
	if (!delay) {
		return undefined;
	}

	return {
		...createRowKey(service, group), shortCalls: histogram.totalCount, delayedShare: countNonZero(histogram) / histogram.totalCount, delay,
	};
}

function createPeakFigures(tally: ServiceTally, groups: ReadonlyArray<readonly CellTally[]>): PeakFigures | undefined {
	const rates = [...tally.rates].toSorted(([left], [right]) => right - left);
	const activeSeconds = sumOf(rates.map(([, rate]) => rate.seconds));
	const peakRates: Array<[number, RateTally]> = [];
	let seconds = 0;
	for (const rate of rates) {
		if (seconds >= activeSeconds * peakShare) {
			break;
		}

		peakRates.push(rate);
		seconds += rate[1].seconds;
	}

	if (peakRates.length === 0) {
		return undefined;
	}

	return {
		service: tally.service,
		activeSeconds,
		seconds,
		lowestRate: peakRates.at(-1)![0],
		highestRate: peakRates[0]![0],
		callsAcrossHours: tally.callsAcrossHours,
		rows: groups.map(group => createPeakRow(tally.service, group, peakRates.map(([, rate]) => rate))),
	};
}

function createPeakRow(service: string, group: readonly CellTally[], rates: readonly RateTally[]): PeakRow {
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
		for (const [place, measurement] of upstream.places) {
			const sums = places.get(place) ?? {probes: 0, polls: 0, upstreamSeconds: 0};
			sums.probes += measurement.probes;
			sums.polls += measurement.polls;
			sums.upstreamSeconds += measurement.microseconds / 1_000_000;
			places.set(place, sums);
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
