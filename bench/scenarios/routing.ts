/** Scenarios that run load and faults against a fleet of real processes of today's size. */
import {setTimeout as sleep} from 'node:timers/promises';
import {createFaultProxy, type FaultProxy} from '../../stand-ins/fault-proxy.ts';
import {
	type FleetService, type Fleet, sendJson, startFleet,
} from '../../stand-ins/fleet.ts';
import {type UpstreamBehaviorChange, type UpstreamCounters} from '../../stand-ins/upstream.ts';
import {operationRowSchema} from '../../src/decisions/table/rows.ts';
import {readMetrics} from '../load/entry-metrics.ts';
import {type LoadOperation, runLoad} from '../load/open-loop.ts';
import {type Deployment, type Scenario, type ScenarioOptions} from './types.ts';

const deployments = {
	county: {
		slots: 4, oneWayMilliseconds: 1, failureDomains: ['courthouse', 'riverside', 'pinehill'], services: ['appraisal-desk', 'payout-office'],
	},
	consortium: {
		slots: 6, oneWayMilliseconds: 1.5, failureDomains: ['salt-lake', 'new-town', 'park-circus'], services: ['meeting-desk', 'sample-house'],
	},
} as const;

const entryCount = 14;
const upstreamCounts = [22, 6];
const warmUpMilliseconds = 2500;
/** Start of the faults, in milliseconds since the start of the load. */
const faultAtMilliseconds = 4000;
const probesPerSecondBudget = 10;

const shortOperation: LoadOperation = {
	name: 'short', path: '/short', share: 1, isLong: false, timeoutMilliseconds: 2000,
};
const longOperation: LoadOperation = {
	name: 'long', path: '/long', share: 0.04, isLong: true, timeoutMilliseconds: 20_000,
};

/** Controls for the upstreams of the main service while the load runs. */
type FaultControls = {
	readonly upstreamNames: readonly string[];
	readonly seconds: number;
	setBehavior(name: string, behavior: UpstreamBehaviorChange): Promise<void>;
	/** Silences the connections that are open to some of the upstreams: the proxies drop all bytes. New connections work. */
	silenceConnections(names: readonly string[]): void;
	/** Waits until a time in milliseconds since the start of the load. */
	waitUntil(at: number): Promise<void>;
};

/** Load and faults of a scenario. */
type RoutingScenario = {
	readonly operations: readonly LoadOperation[];
	readonly durationMilliseconds: Readonly<Record<string, number>>;
	/** Returns the load as a share of the capacity of all slots, at a time in milliseconds. */
	readonly getLoad: (at: number) => number;
	/** Changes the behavior of upstreams or of their connections while the load runs. */
	readonly runFaults?: (faults: FaultControls) => Promise<void>;
	readonly behavior?: UpstreamBehaviorChange;
	/** Whether the entries reach the upstreams of the main service through fault-injecting proxies. */
	readonly isProxied?: boolean;
};

const steadyLoad = () => 0.7;
const quietLoad = () => 0.6;
const shortDurations = {default: 80, short: 80, long: 1200};

const routingScenarios: Readonly<Record<string, RoutingScenario>> = {
	steady: {operations: [shortOperation], durationMilliseconds: shortDurations, getLoad: steadyLoad},
	'noisy-neighbour': {
		operations: [shortOperation], durationMilliseconds: shortDurations, getLoad: quietLoad, runFaults: runNoise,
	},
	crest: {operations: [shortOperation], durationMilliseconds: {default: 120}, getLoad: at => at > faultAtMilliseconds && at < faultAtMilliseconds + 3000 ? 2.4 : 0.6},
	'long-behind-short': {
		operations: [{...shortOperation, share: 1 - longOperation.share}, longOperation], durationMilliseconds: shortDurations, getLoad: () => 0.75,
	},
	'fail-fast': {
		operations: [shortOperation], durationMilliseconds: shortDurations, getLoad: quietLoad, runFaults: async faults => changeBehaviorAtFault(faults, {failsFast: true}),
	},
	drain: {
		operations: [shortOperation], durationMilliseconds: shortDurations, getLoad: quietLoad, runFaults: async faults => changeBehaviorAtFault(faults, {isDraining: true}),
	},
	'cold-start': {
		operations: [shortOperation], durationMilliseconds: shortDurations, getLoad: quietLoad, behavior: {coldFactor: 1, coldMilliseconds: 0}, runFaults: runColdStart,
	},
	'silent-connections': {
		operations: [shortOperation], durationMilliseconds: shortDurations, getLoad: () => 0.4, isProxied: true, runFaults: runSilentConnections,
	},
	'stale-reports': {
		operations: [shortOperation],
		durationMilliseconds: shortDurations,
		getLoad: quietLoad,
		behavior: {reportLagMilliseconds: 300},
		runFaults: async faults => changeBehaviorAtFault(faults, {reportsFalsely: true, slowdown: 8}),
	},
};

/** Slows two upstreams at a time for a part of each period. Both times are many times the typical duration of a call. */
async function runNoise({upstreamNames, seconds, setBehavior, waitUntil}: FaultControls): Promise<void> {
	const periodMilliseconds = 1600;
	const noiseMilliseconds = 960;
	for (let at = warmUpMilliseconds, round = 0; at + periodMilliseconds < seconds * 1000; at += periodMilliseconds, round++) {
		const slowedNames = [upstreamNames[(round * 2) % upstreamNames.length]!, upstreamNames[((round * 2) + 7) % upstreamNames.length]!];
		await waitUntil(at);
		await Promise.all(slowedNames.map(async name => setBehavior(name, {slowdown: 10})));
		await waitUntil(at + noiseMilliseconds);
		await Promise.all(slowedNames.map(async name => setBehavior(name, {slowdown: 1})));
	}
}

/** Changes the behavior of one upstream once the faults start. */
async function changeBehaviorAtFault({upstreamNames, setBehavior, waitUntil}: FaultControls, change: UpstreamBehaviorChange): Promise<void> {
	await waitUntil(faultAtMilliseconds);
	await setBehavior(upstreamNames[3]!, change);
}

/** Silences the open connections of a quarter of the upstreams. */
async function runSilentConnections({upstreamNames, silenceConnections, waitUntil}: FaultControls): Promise<void> {
	await waitUntil(faultAtMilliseconds);
	silenceConnections(upstreamNames.filter((_, index) => index % 4 === 0));
}

/** Slows one upstream as after a cold start, and then speeds it up in steps. */
async function runColdStart({upstreamNames, setBehavior, waitUntil}: FaultControls): Promise<void> {
	const name = upstreamNames[3]!;
	for (const [step, slowdown] of [10, 6, 3, 1].entries()) {
		await waitUntil(faultAtMilliseconds + (step * 500));
		await setBehavior(name, {slowdown});
	}
}

async function runScenario(scenario: RoutingScenario, options: ScenarioOptions): Promise<Record<string, unknown>> {
	const deployment = deployments[options.deployment];
	const proxies = new Map<string, FaultProxy>();
	const fleet = await startFleet({
		entryCount,
		failureDomains: deployment.failureDomains,
		seed: options.seed,
		services: deployment.services.map((service, index) => createService(options.deployment, scenario, service, upstreamCounts[index]!)),
		entrySettings: {policy: {kind: options.policy}, observability: {logLevel: 'error'}},
		async mapAddress(kind, address, name) {
			if (kind !== 'upstream' || !scenario.isProxied || !name.startsWith(deployment.services[0])) {
				return address;
			}

			const [targetHost, targetPort] = address.split(':');
			const proxy = await createFaultProxy({targetHost: targetHost!, targetPort: Number(targetPort)});
			proxies.set(name, proxy);
			return `${proxy.host}:${proxy.port}`;
		},
	});
	try {
		return await measure(scenario, options, {fleet, proxies});
	} finally {
		await fleet.stop();
		await Promise.all([...proxies.values()].map(async proxy => proxy.close()));
	}
}

type RunningFleet = {
	readonly fleet: Fleet;
	/** Proxies in front of the upstreams, by name of the upstream. */
	readonly proxies: ReadonlyMap<string, FaultProxy>;
};

function createService(deployment: Deployment, scenario: RoutingScenario, service: string, upstreams: number): FleetService {
	const {slots, oneWayMilliseconds} = deployments[deployment];
	return {
		service,
		upstreamCount: upstreams,
		slotsPerUpstream: slots,
		oneWayMilliseconds,
		behavior: {...scenario.behavior, durationMilliseconds: scenario.durationMilliseconds, durationKind: 'uniform'},
		rows: scenario.operations.map(operation => operationRowSchema.parse({
			kind: 'operation', service, operation: operation.name, method: 'GET', pathPrefix: operation.path, idempotent: true, timeoutMilliseconds: operation.timeoutMilliseconds,
		})),
	};
}

async function measure(scenario: RoutingScenario, options: ScenarioOptions, {fleet, proxies}: RunningFleet): Promise<Record<string, unknown>> {
	const deployment = deployments[options.deployment];
	const service = deployment.services[0];
	const upstreamNames = [...fleet.upstreams.keys()].filter(name => name.startsWith(service));
	const addresses = fleet.entries.map(entry => entry.address);
	const capacity = upstreamNames.length * deployment.slots * 1000 / getMeanDuration(scenario);
	const before = await readMetrics(addresses);
	const startedAt = performance.now();
	const waitUntil = async (at: number) => {
		await sleep(Math.max(0, at - (performance.now() - startedAt)));
	};

	const readAllCounters = async () => Promise.all(upstreamNames.map(async name => readCounters(fleet.upstreams.get(name)!)));
	const readCountersAfterFault = async () => {
		await waitUntil(faultAtMilliseconds + 1000);
		return readAllCounters();
	};

	const faults = scenario.runFaults?.({
		upstreamNames,
		seconds: options.seconds,
		waitUntil,
		silenceConnections(silencedNames) {
			for (const name of silencedNames) {
				proxies.get(name)?.setFaults({silent: 'open'});
			}
		},
		async setBehavior(name, behavior) {
			await sendJson(`http://${fleet.upstreams.get(name)!}/control`, 'PUT', behavior);
		},
	});
	const countersAfterFault = readCountersAfterFault();
	const load = await runLoad({
		addresses,
		operations: scenario.operations.map(operation => ({...operation, path: `/${service}${operation.path}`})),
		seed: options.seed,
		seconds: options.seconds,
		warmUpMilliseconds,
		getRate: at => capacity * scenario.getLoad(at),
	});
	await faults;
	const elapsedSeconds = (performance.now() - startedAt) / 1000;
	const after = await readMetrics(addresses);
	const counters = await readAllCounters();
	const getDifference = (name: string) => after.getSum(name) - before.getSum(name);
	const attempts = getDifference('fescuering_upstream_attempts_total');
	const calls = getDifference('fescuering_calls_total');
	const callsSinceFault = countCallsSince(counters, await countersAfterFault);
	return {
		capacityPerSecond: Math.round(capacity),
		...load,
		crest: getCrestGoodputShare(load.goodputByTime, capacity),
		retries: attempts - (calls - getDifference('fescuering_refusals_total')),
		shareAtFaulty: getShare(callsSinceFault, 3),
		behindLongSeconds: getDifference('fescuering_call_behind_long_seconds_total'),
		probesPerSecondPerUpstream: Math.max(...counters.map(counter => counter.maxPollsPerSecond)),
		probesPerSecondBudget,
		connectionsPerUpstream: Math.max(...counters.map(counter => counter.maxConnections)),
		queuedAtUpstreamAtMost: Math.max(...counters.map(counter => counter.maxQueued)),
		upstreamRuns: sumRuns(counters),
		entryCpuShare: Math.round(1000 * getDifference('process_cpu_seconds_total') / entryCount / elapsedSeconds) / 1000,
	};
}

function getMeanDuration(scenario: RoutingScenario): number {
	let mean = 0;
	for (const operation of scenario.operations) {
		mean += operation.share * (scenario.durationMilliseconds[operation.name] ?? scenario.durationMilliseconds.default!);
	}

	return mean;
}

async function readCounters(address: string): Promise<UpstreamCounters> {
	const response = await sendJson(`http://${address}/control`, 'GET');
	return (response as {counters: UpstreamCounters}).counters; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

function countCallsSince(counters: readonly UpstreamCounters[], earlier: readonly UpstreamCounters[]): readonly number[] {
	return counters.map(({calls}, index) => calls - earlier[index]!.calls);
}

function getShare(counts: readonly number[], index: number): number {
	let sum = 0;
	for (const count of counts) {
		sum += count;
	}

	return Math.round(10_000 * counts[index]! / Math.max(1, sum)) / 10_000;
}

function sumRuns(counters: readonly UpstreamCounters[]): number {
	let sum = 0;
	for (const counter of counters) {
		sum += counter.ran;
	}

	return sum;
}

/** Returns the goodput during the load peak, without its first half second, as a share of the capacity of all slots. */
function getCrestGoodputShare(goodput: readonly number[], capacity: number): number {
	const during = goodput.slice((faultAtMilliseconds + 500) / 100, (faultAtMilliseconds + 3000) / 100);
	let sum = 0;
	for (const value of during) {
		sum += value;
	}

	return Math.round(1000 * sum / during.length / capacity) / 1000;
}

/** All routing scenarios, by name. */
export const scenarios: Readonly<Record<string, Scenario>> = Object.fromEntries(Object.entries(routingScenarios).map(([name, scenario]) => [
	name,
	async (options: ScenarioOptions) => runScenario(scenario, options),
]));
