/** Cost of one routing decision against the number of upstreams. */
import {createRandomSource} from '../../src/decisions/random.ts';
import {createServiceScheduler} from '../../src/decisions/routing/scheduler.ts';
import {type ServiceScheduler, type UpstreamDescription} from '../../src/decisions/routing/types.ts';
import {operationRowSchema, serviceRowSchema} from '../../src/decisions/table/rows.ts';
import {isPolicyName, type PolicyName} from '../policies.ts';
import {type ScenarioOptions} from './types.ts';

const sizes = [28, 280, 1100];
const warmUpCalls = 20_000;
const measuredCalls = 200_000;
const slots = 4;
const entryCount = 14;
const operation = operationRowSchema.parse({
	kind: 'operation', service: 'desk', operation: 'short', method: 'GET', pathPrefix: '/', idempotent: true, duration: 'short',
});

export async function run(options: ScenarioOptions): Promise<Record<string, unknown>> {
	const {policy} = options;
	if (!isPolicyName(policy)) {
		throw new Error(`There is no policy ${policy}.`);
	}

	const results = sizes.map(upstreams => ({upstreams, microsecondsPerCall: measure(policy, upstreams, options.seed)}));
	const [first, last] = [results[0]!, results.at(-1)!];
	return {
		results,
		nanosecondsPerUpstream: Math.round(1000 * (last.microsecondsPerCall - first.microsecondsPerCall) / (last.upstreams - first.upstreams) * 100) / 100,
	};
}

/** Measures offer, report and finish of a call while most of the own slots are in use. */
export function measure(kind: PolicyName, upstreams: number, seed: number): number {
	const scheduler = createScheduler(kind, upstreams, seed);
	const running: Array<{id: number; upstream: string}> = [];
	const target = Math.ceil(upstreams * slots / entryCount);
	let now = 0;
	let startedAt = 0;
	for (let id = 0; id < warmUpCalls + measuredCalls; id++) {
		if (id === warmUpCalls) {
			startedAt = performance.now();
		}

		now += 0.5;
		collect(running, scheduler.submit({
			id, operation, arrivedAt: now, deadlineAt: now + 10_000, attempts: 0, triedUpstreams: [],
		}, now));
		while (running.length >= target) {
			const {id: callId, upstream} = running.shift()!;
			collect(running, scheduler.applyReport(upstream, {
				slots, running: 2, queued: 0, state: 'live',
			}, now, now, callId));
			collect(running, scheduler.finishAttempt(callId, upstream, {kind: 'answered', statusCode: 200, durationMilliseconds: 10}, now));
		}
	}

	return Math.round(1000 * (performance.now() - startedAt) / measuredCalls * 100) / 100;
}

function collect(running: Array<{id: number; upstream: string}>, actions: ReturnType<ServiceScheduler['advance']>): void {
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
