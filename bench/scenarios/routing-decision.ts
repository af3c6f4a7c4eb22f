/** Measures the cost of one routing decision by number of upstreams. */
import {createRandomSource} from '../../src/decisions/random.ts';
import {createServiceScheduler} from '../../src/decisions/routing/scheduler.ts';
import {type ServiceScheduler, type UpstreamDescription} from '../../src/decisions/routing/types.ts';
import {operationRowSchema, serviceRowSchema} from '../../src/decisions/table/rows.ts';
import {isPolicyName, type PolicyName} from '../policies.ts';
import {type ScenarioOptions} from './types.ts';

const upstreamCounts = [28, 280, 1100];
const warmUpCalls = 20_000;
const measuredCalls = 200_000;
const slots = 4;
const entryCount = 14;
const operation = operationRowSchema.parse({
	kind: 'operation', service: 'desk', operation: 'short', method: 'GET', pathPrefix: '/', idempotent: true, duration: 'short',
});

/** Measures a decision at each number of upstreams. */
export async function run(options: ScenarioOptions): Promise<Record<string, unknown>> {
	const {policy} = options;
	if (!isPolicyName(policy)) {
		throw new Error(`Unknown routing policy ${policy}.`);
	}

	const results = upstreamCounts.map(upstreams => ({upstreams, microsecondsPerCall: measureDecision(policy, upstreams, options.seed)}));
	const [first, last] = [results[0]!, results.at(-1)!];
	return {
		results,
		nanosecondsPerUpstream: Math.round(1000 * (last.microsecondsPerCall - first.microsecondsPerCall) / (last.upstreams - first.upstreams) * 100) / 100,
	};
}

/** Returns the mean time in microseconds to offer, report and finish a call while most of the entry's share of the slots is in use. */
export function measureDecision(kind: PolicyName, upstreams: number, seed: number): number {
	const scheduler = createScheduler(kind, upstreams, seed);
	const running: Array<{id: number; upstream: string}> = [];
	const targetRunning = Math.ceil(upstreams * slots / entryCount);
	let now = 0;
	let startedAt = 0;
	for (let id = 0; id < warmUpCalls + measuredCalls; id++) {
		if (id === warmUpCalls) {
			startedAt = performance.now();
		}

		now += 0.5;
		collectDispatches(running, scheduler.submit({
			id, operation, arrivedAt: now, deadlineAt: now + 10_000, attempts: 0, triedUpstreams: [],
		}, now));
		while (running.length >= targetRunning) {
			const {id: callId, upstream} = running.shift()!;
			collectDispatches(running, scheduler.applyReport(upstream, {
				slots, running: 2, queued: 0, state: 'live',
			}, now, now, callId));
			collectDispatches(running, scheduler.finishAttempt(callId, upstream, {kind: 'answered', statusCode: 200, durationMilliseconds: 10}, now));
		}
	}

	return Math.round(1000 * (performance.now() - startedAt) / measuredCalls * 100) / 100;
}

function collectDispatches(running: Array<{id: number; upstream: string}>, actions: ReturnType<ServiceScheduler['advance']>): void {
	for (const action of actions) {
		if (action.kind === 'dispatch') {
			running.push({id: action.callId, upstream: action.upstream});
		}
	}
}

function createScheduler(kind: PolicyName, upstreams: number, seed: number): ServiceScheduler {
	const descriptions: UpstreamDescription[] = Array.from({length: upstreams}, (_, index) => ({
		name: `upstream-${index}`, address: `127.0.0.1:${index}`, region: 'region', failureDomain: 'riverside', state: 'live',
	}));
	const entries = Array.from({length: entryCount}, (_, index) => ({name: `entry-${index}`, failureDomain: 'riverside'}));
	return createServiceScheduler({
		policy: {kind},
		view: {
			service: serviceRowSchema.parse({kind: 'service', service: 'desk', slotsPerUpstream: slots}),
			operations: [operation],
			places: new Map(),
			upstreams: new Map(),
			limit: undefined,
		},
		fleet: {self: 'entry-0', selfFailureDomain: 'riverside', entries},
		upstreams: descriptions,
		random: createRandomSource(seed),
		now: 0,
	});
}
