/** Lists the figures of a report as one flat list, for CSV output. */
import {type Quantiles, type Report, type ServiceReport} from '../../decisions/review/report.ts';

export type Measure = 'tail-latency' | 'head-of-line-blocking' | 'crest' | 'cost-of-measuring';

export type Figure = {
	readonly measure: Measure;
	readonly service: string;
	/** Failure domain of the entries; `all` for the total of all failure domains. */
	readonly place: string;
	readonly operation: string;
	readonly name: string;
	readonly unit: string;
	/** Undefined when there is no data. */
	readonly value: number | undefined;
};

type FigureContext = Pick<Figure, 'measure' | 'service' | 'place' | 'operation'>;

/** Lists all figures of a report. */
export function listFigures(report: Report): Figure[] {
	return report.services.flatMap(service => [
		...listLatency(service),
		...listBlocking(service),
		...listCrest(service),
		...listMeasurement(service),
	]);
}

function createFigures(row: FigureContext, unit: string, values: Readonly<Record<string, number | undefined>>): Figure[] {
	const {measure, service, place, operation} = row;
	return Object.entries(values).map(([name, value]) => ({
		measure, service, place, operation, name, unit, value,
	}));
}

function createQuantiles(row: FigureContext, prefix: string, quantiles: Quantiles | undefined): Figure[] {
	return createFigures(row, 'ms', {
		[`${prefix} p50`]: quantiles?.p50,
		[`${prefix} p90`]: quantiles?.p90,
		[`${prefix} p99`]: quantiles?.p99,
		[`${prefix} p99.9`]: quantiles?.p999,
	});
}

function listLatency({latency}: ServiceReport): Figure[] {
	return latency.flatMap(source => {
		const row: FigureContext = {...source, measure: 'tail-latency'};
		return [
			...createQuantiles(row, 'total', source.total),
			...createQuantiles(row, 'queued', source.queued),
			...createQuantiles(row, 'upstream', source.upstream),
			...createFigures(row, 'calls', {
				offered: source.calls, answered: source.answered, refused: source.refused, failed: source.failed,
			}),
			...createFigures(row, 'calls', {ran: source.ran, 'not run': source.notRun, unknown: source.unknown}),
			...createFigures(row, 'attempts', {attempts: source.attempts}),
		];
	});
}

function listBlocking({blocking}: ServiceReport): Figure[] {
	return blocking.flatMap(source => {
		const row: FigureContext = {...source, measure: 'head-of-line-blocking'};
		return [
			...createQuantiles(row, 'delay', source.delay),
			...createFigures(row, 'share', {delayed: source.delayedShare}),
			...createFigures(row, 'calls', {'short calls': source.shortCalls}),
		];
	});
}

function listCrest({crest}: ServiceReport): Figure[] {
	if (!crest) {
		return [];
	}

	const whole: FigureContext = {
		measure: 'crest', service: crest.service, place: 'all', operation: 'all',
	};
	return [
		...createFigures(whole, 's', {'seconds with calls': crest.activeSeconds, 'seconds in the crest': crest.seconds}),
		...createFigures(whole, 'calls/s', {'lowest rate': crest.lowestRate, 'highest rate': crest.highestRate}),
		...createFigures(whole, 'calls', {'across hours, left out': crest.callsAcrossHours}),
		...crest.rows.flatMap(source => {
			const row: FigureContext = {...source, measure: 'crest'};
			return [
				...createFigures(row, 'calls', {offered: source.offered, answered: source.answered}),
				...createFigures(row, 'share', {'answered in time': source.answeredShare}),
			];
		}),
	];
}

function listMeasurement({measurement}: ServiceReport): Figure[] {
	const whole: FigureContext = {
		measure: 'cost-of-measuring', service: measurement.service, place: 'all', operation: 'all',
	};
	return [
		...createFigures(whole, 'upstreams', {'upstreams measured': measurement.upstreams}),
		...createFigures(whole, 'requests', {requests: measurement.requests}),
		...createFigures(whole, 'requests/upstream-second', {
			budget: measurement.budgetPerSecond, mean: measurement.meanPerUpstreamSecond, highest: measurement.highestPerUpstreamSecond,
		}),
		...createFigures(whole, 'upstream-seconds', {'over the budget': measurement.upstreamSecondsOverBudget}),
		...measurement.places.flatMap(place => {
			const row: FigureContext = {...whole, place: place.place};
			return [
				...createFigures(row, 'requests', {probes: place.probes, polls: place.polls}),
				...createFigures(row, 's', {'time at upstreams': place.upstreamSeconds}),
			];
		}),
	];
}
