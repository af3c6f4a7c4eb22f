/** Named trials of the model, each with a load and faults. */
import {operationRowSchema, serviceRowSchema} from '../../src/decisions/table/rows.ts';
import {type ServiceView} from '../../src/decisions/table/service-view.ts';
import {type RoutingPolicy} from '../../src/decisions/routing/types.ts';
import {
	type ModelBehavior, type ModelOperation, type ModelOptions, type ModelResult, runModel,
} from './simulation.ts';

/** Name of a deployment whose sizes the model uses. */
export type Deployment = 'county' | 'consortium';

const deployments = {
	county: {slots: 4, oneWayMilliseconds: 1, failureDomains: ['courthouse', 'riverside', 'pinehill']},
	consortium: {slots: 6, oneWayMilliseconds: 1.5, failureDomains: ['salt-lake', 'new-town', 'park-circus']},
} as const;

const upstreamCount = 22;
const entryCount = 14;
const shortMilliseconds = 25;
const longMilliseconds = 500;
const normalBehavior: ModelBehavior = {
	slowness: 1, isFailingFast: false, isDraining: false, isReportingIdle: false,
};

function createOperation(operation: string, share: number, meanMilliseconds: number, timeoutMilliseconds: number): ModelOperation {
	return {
		share,
		meanMilliseconds,
		row: operationRowSchema.parse({
			kind: 'operation', service: 'desk', operation, method: 'GET', pathPrefix: `/${operation}`, idempotent: true, timeoutMilliseconds,
		}),
	};
}

const shortOperation = createOperation('short', 1, shortMilliseconds, 1000);
const mixedOperations = [createOperation('short', 0.96, shortMilliseconds, 1000), createOperation('long', 0.04, longMilliseconds, 10_000)];

/** Load and faults of a trial. */
type Trial = {
	readonly operations: readonly ModelOperation[];
	readonly upstreams?: number;
	getEntryWeight?: (entry: number) => number;
	/** Returns the load as a share of the capacity of all slots, at a time in milliseconds. */
	getLoad(at: number): number;
	getBehavior(upstream: number, at: number): ModelBehavior;
};

/** Start of the faults, in milliseconds. */
const faultAt = 2000;
const noisePeriodMilliseconds = 500;
const noiseDurationMilliseconds = 300;

/** Returns whether an upstream is slowed. Two upstreams, different ones in each period, are slowed for a part of the period. */
function isSlowedByNoise(upstream: number, at: number): boolean {
	const period = Math.floor(at / noisePeriodMilliseconds);
	const isSelected = upstream === (period * 2) % upstreamCount || upstream === ((period * 2) + 7) % upstreamCount;
	return isSelected && at % noisePeriodMilliseconds < noiseDurationMilliseconds;
}

/** All trials. The bench prints the results by these names. */
export const trials: Readonly<Record<string, Trial>> = {
	steady: {operations: [shortOperation], getLoad: () => 0.7, getBehavior: () => normalBehavior},
	uneven: {
		operations: [shortOperation], getLoad: () => 0.7, getBehavior: () => normalBehavior, getEntryWeight: entry => 1 + (entry % 3),
	},
	noisy: {
		operations: [shortOperation],
		getLoad: () => 0.6,
		getBehavior: (upstream, at) => isSlowedByNoise(upstream, at) ? {...normalBehavior, slowness: 10} : normalBehavior,
	},
	mixed: {operations: mixedOperations, getLoad: () => 0.75, getBehavior: () => normalBehavior},
	crest: {operations: [shortOperation], getLoad: at => at > faultAt && at < faultAt + 3000 ? 2.4 : 0.6, getBehavior: () => normalBehavior},
	failFast: {
		operations: [shortOperation], getLoad: () => 0.6, getBehavior: (upstream, at) => upstream === 3 && at > faultAt ? {...normalBehavior, isFailingFast: true} : normalBehavior,
	},
	lying: {
		operations: [shortOperation], getLoad: () => 0.6, getBehavior: (upstream, at) => upstream === 3 && at > faultAt ? {...normalBehavior, isReportingIdle: true, slowness: 8} : normalBehavior,
	},
	small: {
		operations: [shortOperation], upstreams: 6, getLoad: () => 0.6, getBehavior: () => normalBehavior,
	},
	smallMixed: {
		operations: mixedOperations, upstreams: 6, getLoad: () => 0.6, getBehavior: () => normalBehavior,
	},
	drain: {
		operations: [shortOperation], getLoad: () => 0.6, getBehavior: (upstream, at) => upstream === 3 && at > faultAt ? {...normalBehavior, isDraining: true} : normalBehavior,
	},
};

/** Options of one trial. */
export type TrialOptions = {
	readonly policy: RoutingPolicy;
	readonly deployment: Deployment;
	readonly seed: number;
	readonly seconds: number;
	/** Number of entries in each entry's view of the fleet; by default, all of them. */
	readonly viewSize?: number;
};

/** Runs the trial with the given name. */
export function runTrial(name: string, {policy, deployment, seed, seconds, viewSize}: TrialOptions): ModelResult {
	const trial = trials[name];
	if (!trial) {
		throw new Error(`Unknown trial ${name}. Choose one of ${Object.keys(trials).join(', ')}.`);
	}

	const {slots, oneWayMilliseconds, failureDomains} = deployments[deployment];
	let meanMilliseconds = 0;
	for (const operation of trial.operations) {
		meanMilliseconds += operation.share * operation.meanMilliseconds;
	}

	const upstreams = trial.upstreams ?? upstreamCount;
	const capacity = upstreams * slots * 1000 / meanMilliseconds;
	const view: ServiceView = {
		service: serviceRowSchema.parse({kind: 'service', service: 'desk', slotsPerUpstream: slots}),
		operations: trial.operations.map(operation => operation.row),
		places: new Map(),
		upstreams: new Map(),
		limit: undefined,
	};
	const options: ModelOptions = {
		policy,
		seed,
		view,
		entries: entryCount,
		viewSize,
		upstreams,
		failureDomains,
		operations: trial.operations,
		oneWayMilliseconds,
		seconds,
		getRate: at => capacity * trial.getLoad(at),
		getBehavior: trial.getBehavior,
		...(trial.getEntryWeight ? {getEntryWeight: trial.getEntryWeight} : {}),
	};
	return runModel(options);
}
