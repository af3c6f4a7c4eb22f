/** Formats a report as one HTML page with SVG plots. */
import * as charts from 'echarts/charts';
import * as components from 'echarts/components';
import * as echarts from 'echarts/core';
import * as renderers from 'echarts/renderers';
import {dayMilliseconds, hourMilliseconds} from '../../decisions/review/records.ts';
import {
	allFailureDomains, type Report, type ReportStep, type ServiceReport,
} from '../../decisions/review/report.ts';
import {formatText, formatTime} from './text.ts';

echarts.use([charts.BarChart, charts.LineChart, components.GridComponent, components.LegendComponent, renderers.SVGRenderer]);

// Widths, heights, margins and font sizes are in pixels.
const width = 960;
const lineHeight = 320;
const barBandHeight = 22;
const barFrameHeight = 130;
const fontSize = 13;
const percent = 100;
/** Estimated width of one character of an axis label. */
const characterWidth = 7.6;
const labelMargin = 20;
/** Smaller values do not extend a logarithmic axis; in milliseconds. */
const smallestLogValue = 0.01;

type NamedSeries = {readonly name: string; readonly values: ReadonlyArray<number | undefined>};

/** Formats a report as a self-contained HTML page. */
export function formatPage(report: Report): string {
	const period = `${formatTime(report.from)} to ${formatTime(report.to)}`;
	return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Review ${escapeText(period)}</title>
<style>
body { font: 14px/1.4 sans-serif; margin: 24px auto; max-width: ${width}px; color: #222; }
h1 { font-size: 22px; } h2 { font-size: 19px; border-bottom: 1px solid #999; margin-top: 32px; } h3 { font-size: 15px; margin-bottom: 4px; }
pre { font-size: 11px; overflow-x: auto; }
</style>
</head>
<body>
<h1>Review of ${escapeText(period)}</h1>
<p>Places are the failure domains of the entries. Durations read at most 0.8% above the true ones. All times are UTC.</p>
${report.services.map(service => formatService(service, report.steps.filter(step => step.report.service === service.service))).join('\n')}
<h2>Figures</h2>
<pre>${escapeText(formatText(report))}</pre>
</body>
</html>
`;
}

function escapeText(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}

function formatService(service: ServiceReport, steps: readonly ReportStep[]): string {
	const {latency, blocking, crest} = service;
	const parts = [
		formatPlot('Tail latency of calls that were not refused', createBars(latency.map(row => formatRowLabel(row)), 'latency in milliseconds, log scale', 'log', [
			{name: 'p50', values: latency.map(row => row.total?.p50)},
			{name: 'p90', values: latency.map(row => row.total?.p90)},
			{name: 'p99', values: latency.map(row => row.total?.p99)},
			{name: 'p99.9', values: latency.map(row => row.total?.p999)},
		])),
		formatPlot('Tail latency over time, all places', createLines('latency p99 in milliseconds', steps, listOperations(latency).map(operation => ({
			name: operation, values: steps.map(step => getLatencyP99(step.report, operation)),
		})))),
		formatPlot('Head-of-line blocking: delay of short calls behind long work', createBars(blocking.map(row => formatRowLabel(row)), 'delay in milliseconds', 'value', [
			{name: 'p99', values: blocking.map(row => row.delay.p99)},
			{name: 'p99.9', values: blocking.map(row => row.delay.p999)},
		])),
		formatPlot('Head-of-line blocking over time, all places', createLines('short calls delayed in % of short calls', steps, listOperations(blocking).map(operation => ({
			name: operation, values: steps.map(step => getDelayedPercent(step.report, operation)),
		})))),
		...(crest
			? [formatPlot(
				`Service at the crest: the ${crest.seconds} busiest of ${crest.activeSeconds} seconds with calls, ${crest.lowestRate} to ${crest.highestRate} calls a second`,
				createBars(crest.rows.map(row => formatRowLabel(row)), 'answered within the deadline in % of the calls offered', 'value', [
					{name: 'answered in time', values: crest.rows.map(row => toPercent(row.answeredShare))},
				]),
			)]
			: []),
		formatPlot('Highest rate of calls over time', createLines('calls per second', steps, [{name: 'highest rate', values: steps.map(step => step.report.crest?.highestRate)}])),
		formatPlot('Cost of measuring: requests per upstream and second', createLines('requests per upstream-second', steps, [
			{name: 'highest', values: steps.map(step => step.report.measurement.highestPerUpstreamSecond)},
			{name: 'mean', values: steps.map(step => step.report.measurement.meanPerUpstreamSecond)},
			{name: 'budget', values: steps.map(step => step.report.measurement.budgetPerSecond)},
		])),
	];
	return `<h2>${escapeText(service.service)}</h2>\n${parts.join('\n')}`;
}

function formatRowLabel(row: {place: string; operation: string}): string {
	return `${row.place === allFailureDomains ? 'all places' : row.place}, ${row.operation}`;
}

function toPercent(share: number | undefined): number | undefined {
	return share === undefined ? undefined : share * percent;
}

function listOperations(rows: ReadonlyArray<{operation: string}>): string[] {
	return [...new Set(rows.map(row => row.operation))];
}

/** Finds the row of an operation that covers all places: the last one of the operation. */
function findRow<Row extends {place: string; operation: string}>(rows: readonly Row[], operation: string): Row | undefined {
	return rows.findLast(row => row.operation === operation);
}

function getLatencyP99(report: ServiceReport, operation: string): number | undefined {
	return findRow(report.latency, operation)?.total?.p99;
}

function getDelayedPercent(report: ServiceReport, operation: string): number | undefined {
	return toPercent(findRow(report.blocking, operation)?.delayedShare);
}

type Plot = {readonly height: number; readonly option: echarts.EChartsCoreOption};

function formatPlot(title: string, plot: Plot): string {
	const chart = echarts.init(null, undefined, {
		renderer: 'svg', ssr: true, width, height: plot.height,
	});
	chart.setOption({
		animation: false,
		textStyle: {fontFamily: 'sans-serif', fontSize},
		legend: {
			top: 0, left: 'center', itemGap: 18, textStyle: {fontSize},
		},
		...plot.option,
	});
	const svg = chart.renderToSVGString();
	chart.dispose();
	return `<h3>${escapeText(title)}</h3>\n${svg}`;
}

/** Creates a chart of horizontal bars with one band per name; horizontal bars keep long names legible. */
function createBars(names: readonly string[], axisName: string, scale: 'value' | 'log', series: readonly NamedSeries[]): Plot {
	const common = {
		name: axisName, nameLocation: 'middle' as const, nameGap: 32, nameTextStyle: {fontSize}, axisLabel: {fontSize},
	};
	return {
		height: barFrameHeight + (names.length * Math.max(2, series.length) * barBandHeight),
		option: {
			grid: {
				left: getLabelWidth(names), right: 56, top: 36, bottom: 56, outerBoundsMode: 'none',
			},
			xAxis: scale === 'log'
				? {
					...common, type: 'log', min: getLogMinimum(series), startValue: getLogMinimum(series),
				}
				: {...common, type: 'value', min: 0},
			yAxis: {
				type: 'category', inverse: true, data: [...names], axisLabel: {fontSize, interval: 0}, axisTick: {show: false},
			},
			series: series.map(({name, values}) => ({
				name,
				type: 'bar',
				barMaxWidth: barBandHeight - 4,
				data: values.map(value => (value === undefined ? '-' : formatNumber(value))),
				label: {show: true, position: 'right', fontSize: 11},
			})),
		},
	};
}

/** Estimates the width of the longest name in pixels; text can't be measured without a browser. */
function getLabelWidth(names: readonly string[]): number {
	return (Math.max(...names.map(name => name.length), 0) * characterWidth) + labelMargin;
}

/** Returns a power of ten below the smallest value, so that each bar has a visible length. */
function getLogMinimum(series: readonly NamedSeries[]): number {
	const values = series.flatMap(({values: list}) => list.filter(value => value !== undefined));
	const smallest = Math.max(smallestLogValue, Math.min(...values, Number.MAX_SAFE_INTEGER));
	return 10 ** Math.floor(Math.log10(smallest * 0.9));
}

function formatNumber(value: number): number {
	return Number(value.toPrecision(3));
}

/** Creates a line chart over time with one point at the middle of each hour or day. */
function createLines(axisName: string, steps: readonly ReportStep[], series: readonly NamedSeries[]): Plot {
	const isByDay = steps.some(step => step.end - step.start > hourMilliseconds);
	return {
		height: lineHeight,
		option: {
			grid: {
				left: 88, right: 40, top: 36, bottom: 56, outerBoundsMode: 'none',
			},
			xAxis: {
				type: 'time',
				name: 'time (UTC)',
				nameLocation: 'middle',
				nameGap: 32,
				nameTextStyle: {fontSize},
				axisLabel: {fontSize, hideOverlap: true, formatter: isByDay ? '{yyyy}-{MM}-{dd}' : '{MM}-{dd} {HH}:{mm}'},
				minInterval: isByDay ? dayMilliseconds : hourMilliseconds,
			},
			yAxis: {
				type: 'value', min: 0, name: axisName, nameLocation: 'middle', nameGap: 56, nameTextStyle: {fontSize}, axisLabel: {fontSize},
			},
			...Object.fromEntries([['useUTC', true]]),
			series: series.map(({name, values}) => ({
				name,
				type: 'line',
				symbolSize: 6,
				data: values.map((value, index) => [(steps[index]!.start + steps[index]!.end) / 2, value === undefined ? '-' : formatNumber(value)]),
			})),
		},
	};
}
