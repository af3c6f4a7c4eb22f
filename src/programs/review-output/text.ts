/** Formats a report as text with aligned columns, or as CSV. */
import * as csv from 'csv-stringify/sync';
import {type RecordGap} from '../../decisions/review/record-set.ts';
import {type Quantiles, type Report, type ServiceReport} from '../../decisions/review/report.ts';
import {listFigures} from './figures.ts';

/** Gaps that the text lists; it only counts the others. */
const maximumListedGaps = 20;

/** Formats a report as CSV with one figure per line. */
export function formatCsv(report: Report): string {
	const rows = listFigures(report).map(figure => ({...figure, value: figure.value ?? ''}));
	return csv.stringify(rows, {header: true, columns: ['measure', 'service', 'place', 'operation', 'name', 'unit', 'value']});
}

/** Formats a time in milliseconds since the epoch as UTC, to the minute. */
export function formatTime(time: number): string {
	return `${new Date(time).toISOString().slice(0, 16).replace('T', ' ')} UTC`;
}

/** Formats a report as text with aligned columns. */
export function formatText(report: Report): string {
	return [
		`Review from ${formatTime(report.from)} to ${formatTime(report.to)}`,
		'Places are the failure domains of the entries. Durations read at most 0.8% above the true ones.',
		...report.services.flatMap(service => formatService(service)),
		'',
		...formatLoss(report),
		'',
	].join('\n');
}

function formatService(service: ServiceReport): string[] {
	return [
		'',
		`== ${service.service} ==`,
		'',
		'Tail latency in milliseconds, of the calls that were not refused',
		...formatTable(
			['place', 'operation', 'p50', 'p90', 'p99', 'p99.9', 'queued p99', 'offered', 'answered', 'refused', 'failed', 'unknown'],
			service.latency.map(row => [row.place, row.operation, ...formatQuantiles(row.total), formatMilliseconds(row.queued?.p99), row.calls, row.answered, row.refused, row.failed, row.unknown]),
		),
		'',
		'Head-of-line blocking: delay of short calls behind long work, in milliseconds',
		...formatTable(
			['place', 'operation', 'p50', 'p90', 'p99', 'p99.9', 'delayed', 'short calls'],
			service.blocking.map(row => [row.place, row.operation, ...formatQuantiles(row.delay), formatShare(row.delayedShare), row.shortCalls]),
		),
		'',
		...formatCrest(service),
		'',
		...formatMeasurement(service),
	];
}

function formatCrest({crest}: ServiceReport): string[] {
	if (!crest) {
		return ['Service at the crest: no calls came in'];
	}

	return [
		`Service at the crest: the ${crest.seconds} busiest of ${crest.activeSeconds} seconds with calls, ${crest.lowestRate} to ${crest.highestRate} calls a second`,
		...formatTable(
			['place', 'operation', 'offered', 'answered in time', 'share'],
			crest.rows.map(row => [row.place, row.operation, row.offered, row.answered, formatShare(row.answeredShare)]),
		),
	];
}

function formatMeasurement({measurement}: ServiceReport): string[] {
	return [
		`Cost of measuring ${measurement.upstreams} upstreams, in requests per upstream and second: budget ${measurement.budgetPerSecond ?? 'unknown'}, `
		+ `mean ${measurement.meanPerUpstreamSecond.toFixed(3)}, highest ${measurement.highestPerUpstreamSecond}; over the budget in ${measurement.upstreamSecondsOverBudget} upstream-seconds`,
		...formatTable(
			['place', 'probes', 'polls', 'seconds at upstreams'],
			measurement.places.map(row => [row.place, row.probes, row.polls, row.upstreamSeconds.toFixed(1)]),
		),
	];
}

/** Formats the gaps in the records and the number of skipped overlapping records, one line each. */
export function formatLoss(report: Report): string[] {
	const gaps = report.gaps.slice(0, maximumListedGaps).map(gap => `- ${formatGap(gap)}`);
	return [
		`Missing records: ${report.gaps.length === 0 ? 'none' : report.gaps.length + ' gaps'}`,
		...gaps,
		...(report.gaps.length > maximumListedGaps ? [`- and ${report.gaps.length - maximumListedGaps} more, see --format json`] : []),
		...(report.overlaps > 0 ? [`Records left out because a part of them was counted already: ${report.overlaps}`] : []),
	];
}

function formatGap(gap: RecordGap): string {
	const source = `${gap.entry} (${gap.failureDomain}, incarnation ${gap.incarnation})`;
	return gap.records === undefined
		? `${source} ended without its final record: what it saw after ${formatTime(gap.from)} is missing, at most one interval unless the log was down`
		: `${source}: ${gap.records} records between ${formatTime(gap.from)} and ${formatTime(gap.to ?? gap.from)}`;
}

function formatQuantiles(quantiles: Quantiles | undefined): string[] {
	return [quantiles?.p50, quantiles?.p90, quantiles?.p99, quantiles?.p999].map(value => formatMilliseconds(value));
}

function formatMilliseconds(value: number | undefined): string {
	return value === undefined ? '-' : value.toFixed(value < 100 ? 2 : 0);
}

function formatShare(value: number | undefined): string {
	return value === undefined ? '-' : `${(value * 100).toFixed(2)}%`;
}

/** Formats a table with names aligned to the left and figures aligned to the right. */
function formatTable(header: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string[] {
	const lines = [header, ...rows.map(row => row.map(String))];
	const widths = header.map((_name, column) => Math.max(...lines.map(line => line[column]!.length)));
	const isName = header.map(name => name === 'place' || name === 'operation');
	return lines.map(line => line
		.map((cell, column) => (isName[column] ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)))
		.join('  ')
		.trimEnd());
}
