/** Scenarios of load and faults against a fleet of real processes at today's sizes. */
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
const faultAt = 4000;
const probesPerSecondBudget = 10;

const short: LoadOperation = {
	name: 'short', path: '/short', share: 1, isLong: false, timeoutMilliseconds: 2000,
};
const long: LoadOperation = {
	name: 'long', path: '/long', share: 0.04, isLong: true, timeoutMilliseconds: 20_000,
};

/** Handle on the upstreams of the main service while the load runs. */
type Faults = {
	readonly names: readonly string[];
	readonly seconds: number;
	set(name: string, behavior: UpstreamBehaviorChange): Promise<void>;
	/** Makes the connections silent that are open to some of the upstreams; new ones work. */
	silence(names: readonly string[]): void;
	/** Waits until a time in milliseconds since the start of the load. */
	waitUntil(at: number): Promise<void>;
};

type RoutingScenario = {
	readonly operations: readonly LoadOperation[];
	readonly durationMilliseconds: Readonly<Record<string, number>>;
	/** Load as a share of what the slots can do, at a time in milliseconds. */
	readonly getLoad: (at: number) => number;
	/** Changes the behavior of upstreams while the load runs. */
	readonly runFaults?: (faults: Faults) => Promise<void>;
	readonly behavior?: UpstreamBehaviorChange;
	/** Whether the upstreams of the main service stand behind fault-injecting proxies. */
	readonly isProxied?: boolean;
};

const steadyLoad = () => 0.7;
const quietLoad = () => 0.6;
const shortDurations = {default: 80, short: 80, long: 1200};

const routingScenarios: Readonly<Record<string, RoutingScenario>> = {
	steady: {operations: [short], durationMilliseconds: shortDurations, getLoad: steadyLoad},
	'noisy-neighbour': {
		operations: [short], durationMilliseconds: shortDurations, getLoad: quietLoad, runFaults: runNoise,
	},
	crest: {operations: [short], durationMilliseconds: {default: 120}, getLoad: at => at > faultAt && at < faultAt + 3000 ? 2.4 : 0.6},
	'long-behind-short': {
		operations: [{...short, share: 1 - long.share}, long], durationMilliseconds: shortDurations, getLoad: () => 0.75,
	},
	'fail-fast': {
		operations: [short], durationMilliseconds: shortDurations, getLoad: quietLoad, runFaults: async faults => changeAtFault(faults, {failsFast: true}),
	},
	drain: {
		operations: [short], durationMilliseconds: shortDurations, getLoad: quietLoad, runFaults: async faults => changeAtFault(faults, {isDraining: true}),
	},
	'cold-start': {
		operations: [short], durationMilliseconds: shortDurations, getLoad: quietLoad, behavior: {coldFactor: 1, coldMilliseconds: 0}, runFaults: runColdStart,
	},
	'silent-connections': {
		operations: [short], durationMilliseconds: shortDurations, getLoad: () => 0.4, isProxied: true, runFaults: runSilence,
	},
	'stale-reports': {
		operations: [short],
		durationMilliseconds: shortDurations,
		getLoad: quietLoad,
		behavior: {reportLagMilliseconds: 300},
		runFaults: async faults => changeAtFault(faults, {reportsFalsely: true, slowdown: 8}),
	},
};

/** Two upstreams at a time are slowed for a part of every period; both times are many typical durations. */
async function runNoise({names, seconds, set, waitUntil}: Faults): Promise<void> {
	const period = 1600;
	const length = 960;
	for (let at = warmUpMilliseconds, turn = 0; at + period < seconds * 1000; at += period, turn++) {
		const noisy = [names[(turn * 2) % names.length]!, names[((turn * 2) + 7) % names.length]!];
		await waitUntil(at);
		await Promise.all(noisy.map(async name => set(name, {slowdown: 10})));
		await waitUntil(at + length);
		await Promise.all(noisy.map(async name => set(name, {slowdown: 1})));
	}
}

async function changeAtFault({names, set, waitUntil}: Faults, change: UpstreamBehaviorChange): Promise<void> {
	await waitUntil(faultAt);
	await set(names[3]!, change);
}

/** A quarter of the upstreams lose their open connections to silence. */
async function runSilence({names, silence, waitUntil}: Faults): Promise<void> {
	await waitUntil(faultAt);
	silence(names.filter((_, index) => index % 4 === 0));
}

/** An upstream slows down as a cold one does and warms up in steps. */
async function runColdStart({names, set, waitUntil}: Faults): Promise<void> {
	const name = names[3]!;
	for (const [step, slowdown] of [10, 6, 3, 1].entries()) {
		await waitUntil(faultAt + (step * 500));
		await set(name, {slowdown});
	}
}

async function run(scenario: RoutingScenario, options: ScenarioOptions): Promise<Record<string, unknown>> {
	const deployment = deployments[options.deployment];
	const proxies = new Map<string, FaultProxy>();
	const fleet = await startFleet({
		entries: entryCount,
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

type Running = {
	readonly fleet: Fleet;
	/** Proxies before the upstreams, by the name of the upstream. */
	readonly proxies: ReadonlyMap<string, FaultProxy>;
};

function createService(deployment: Deployment, scenario: RoutingScenario, service: string, upstreams: number): FleetService {
	const {slots, oneWayMilliseconds} = deployments[deployment];
	return {
		service,
		upstreams,
		slots,
		oneWayMilliseconds,
		behavior: {...scenario.behavior, durationMilliseconds: scenario.durationMilliseconds, durationKind: 'uniform'},
		rows: scenario.operations.map(operation => operationRowSchema.parse({
			kind: 'operation', service, operation: operation.name, method: 'GET', pathPrefix: operation.path, idempotent: true, timeoutMilliseconds: operation.timeoutMilliseconds,
		})),
	};
}

async function measure(scenario: RoutingScenario, options: ScenarioOptions, {fleet, proxies}: Running): Promise<Record<string, unknown>> {
	const deployment = deployments[options.deployment];
	const service = deployment.services[0];
	const names = [...fleet.upstreams.keys()].filter(name => name.startsWith(service));
	const addresses = fleet.entries.map(entry => entry.address);
	const capacity = names.length * deployment.slots * 1000 / getMeanDuration(scenario);
	const before = await readMetrics(addresses);
	const startedAt = performance.now();
	const waitUntil = async (at: number) => {
		await sleep(Math.max(0, at - (performance.now() - startedAt)));
	};

	const readAll = async () => Promise.all(names.map(async name => readCounters(fleet.upstreams.get(name)!)));
	const readAfterFault = async () => {
		await waitUntil(faultAt + 1000);
		return readAll();
	};

	const faults = scenario.runFaults?.({
		names,
		seconds: options.seconds,
		waitUntil,
		silence(silenced) {
			for (const name of silenced) {
				proxies.get(name)?.setFaults({silent: 'open'});
			}
		},
		async set(name, behavior) {
			await sendJson(`http://${fleet.upstreams.get(name)!}/control`, 'PUT', behavior);
		},
	});
	const afterFault = readAfterFault();
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
	const counters = await readAll();
	const getDifference = (name: string) => after.getSum(name) - before.getSum(name);
	const attempts = getDifference('fescuering_upstream_attempts_total');
	const calls = getDifference('fescuering_calls_total');
	const callsSinceFault = subtract(counters, await afterFault);
	return {
		capacityPerSecond: Math.round(capacity),
		...load,
		crest: getCrest(load.goodputByTime, capacity),
		retries: attempts - (calls - getDifference('fescuering_refusals_total')),
		shareAtFaulty: getShare(callsSinceFault, 3),
		behindLongSeconds: getDifference('fescuering_call_behind_long_seconds_total'),
		probesPerSecondPerUpstream: Math.max(...counters.map(counter => counter.maxPollsPerSecond)),
		probesPerSecondBudget,
		connectionsPerUpstream: Math.max(...counters.map(counter => counter.maxConnections)),
		queuedAtUpstreamAtMost: Math.max(...counters.map(counter => counter.maxQueued)),
		upstreamRuns: sumRan(counters),
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
	const answer = await sendJson(`http://${address}/control`, 'GET');
	return (answer as {counters: UpstreamCounters}).counters; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

function subtract(counters: readonly UpstreamCounters[], earlier: readonly UpstreamCounters[]): readonly number[] {
	return counters.map(({calls}, index) => calls - earlier[index]!.calls);
}

function getShare(counts: readonly number[], index: number): number {
	let sum = 0;
	for (const count of counts) {
		sum += count;
	}

	return Math.round(10_000 * counts[index]! / Math.max(1, sum)) / 10_000;
}

function sumRan(counters: readonly UpstreamCounters[]): number {
	let sum = 0;
	for (const counter of counters) {
		sum += counter.ran;
	}

	return sum;
}

/** Goodput of the crest, after its first half second, as a share of what the slots can do. */
function getCrest(goodput: readonly number[], capacity: number): number {
	const during = goodput.slice((faultAt + 500) / 100, (faultAt + 3000) / 100);
	let sum = 0;
	for (const value of during) {
		sum += value;
	}

	return Math.round(1000 * sum / during.length / capacity) / 1000;
}

export const scenarios: Readonly<Record<string, Scenario>> = Object.fromEntries(Object.entries(routingScenarios).map(([name, scenario]) => [
	name,
	async (options: ScenarioOptions) => run(scenario, options),
]));
