/** Plots of bench results, rendered as SVG. */
import * as echarts from 'echarts';

const width = 900;
const height = 400;
const bucketMilliseconds = 100;

/** Plots the offered load and the goodput over time. */
export function createGoodputPlot(result: Record<string, unknown>): string {
	const {offeredByTime = [], goodputByTime = []} = result as {offeredByTime?: number[]; goodputByTime?: number[]};
	const chart = echarts.init(null, undefined, {
		renderer: 'svg', ssr: true, width, height,
	});
	chart.setOption({
		animation: false,
		legend: {},
		xAxis: {type: 'category', name: 'ms', data: offeredByTime.map((_, index) => index * bucketMilliseconds)},
		yAxis: {type: 'value', name: 'calls/s'},
		series: [
			{name: 'offered', type: 'line', data: offeredByTime},
			{name: 'answered in time', type: 'line', data: goodputByTime},
		],
	});
	const text = chart.renderToSVGString();
	chart.dispose();
	return text;
}
