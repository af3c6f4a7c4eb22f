/** Compares two routing policies in one scenario. Runs of the two alternate and use the same seeds. */
import {baselines} from './policies.ts';
import {type Scenario, type ScenarioOptions} from './scenarios/types.ts';

const seedsPerPolicy = 3;

type RunMetrics = {readonly shortP99: number; readonly p99: number; readonly goodput: number};

/** Runs both policies. A ratio above 1 means that the first policy is better. */
export async function compare(scenario: Scenario, options: ScenarioOptions, first: string, second: string): Promise<Record<string, unknown>> {
	const comparedPolicy = second === 'best-baseline' ? await findBestBaseline(scenario, options) : second;
	const pairs: Array<{first: RunMetrics; second: RunMetrics}> = [];
	for (let index = 0; index < seedsPerPolicy; index++) {
		const seed = options.seed + index;
		const pair = {
			first: getRunMetrics(await scenario({...options, policy: first, seed})),
			second: getRunMetrics(await scenario({...options, policy: comparedPolicy, seed})),
		};
		pairs.push(pair);
	}

	const shortP99 = pairs.map(pair => pair.second.shortP99 / pair.first.shortP99);
	const p99 = pairs.map(pair => pair.second.p99 / pair.first.p99);
	const goodput = pairs.map(pair => pair.first.goodput / pair.second.goodput);
	return {
		first,
		second: comparedPolicy,
		shortP99Ratio: getMedian(shortP99),
		p99Ratio: getMedian(p99),
		goodputRatio: getMedian(goodput),
		spread: {shortP99Ratio: getSpread(shortP99), p99Ratio: getSpread(p99), goodputRatio: getSpread(goodput)},
		pairs,
	};
}

/** Runs each baseline once and returns the one with the lowest p99 latency of short calls. */
async function findBestBaseline(scenario: Scenario, options: ScenarioOptions): Promise<string> {
	let bestPolicy: string = baselines[0];
	let bestP99 = Number.POSITIVE_INFINITY;
	for (const policy of baselines) {
		const {shortP99} = getRunMetrics(await scenario({...options, policy}));
		if (shortP99 < bestP99) {
			bestPolicy = policy;
			bestP99 = shortP99;
		}
	}

	return bestPolicy;
}

function getRunMetrics(result: Record<string, unknown>): RunMetrics {
	const {short, all, goodputPerSecond} = result as {short: {p99: number}; all: {p99: number}; goodputPerSecond: number}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return {shortP99: short.p99, p99: all.p99, goodput: goodputPerSecond};
}

function getMedian(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return round(sorted[Math.floor(sorted.length / 2)]!);
}

function getSpread(values: readonly number[]): readonly [number, number] {
	return [round(Math.min(...values)), round(Math.max(...values))];
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}
