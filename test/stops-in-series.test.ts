/** Tests of signals and configurations in series on one process while requests of long work run and arrive, with real processes. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as platformUpstream from '../stand-ins/platform-upstream.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';
import * as stayingCallers from './support/staying-callers.ts';

const {afterEach, beforeEach, expect, test} = vitest;

const graceSeconds = 6;
const slots = 200;
const defaultCallers = 40;
const deadlineMilliseconds = 20_000;
const shortWorkMilliseconds = 300;
/** Time of the work of one request in eight: one that runs when the stop begins ends in time, one that arrives late in it doesn't. */
const longWorkMilliseconds = 4500;
const pauseMilliseconds = 300;
let standIns: gatewayProcess.StandIns;
let upstreams: readonly platformUpstream.PlatformUpstream[];

beforeEach(async () => {
	standIns = await gatewayProcess.startStandIns(slots);
	const office = await platformUpstream.startPlatformUpstream('i-2', slots);
	gatewayProcess.addCleanup(office.close);
	upstreams = [standIns.upstream, office];
	for (const upstream of upstreams) {
		upstream.setBehavior({
			kind: 'choose', chooseResponse: path => ({milliseconds: path.includes('long') ? longWorkMilliseconds : shortWorkMilliseconds, bytes: 0, end: 'length'}),
		});
	}

	gateways.register(standIns.store, office, {service: 'office', slots});
});

afterEach(gatewayProcess.close);

let version = 10;

type RouteChange = {readonly timeoutMilliseconds: number; readonly suffix: string; readonly service: string};

/** Publishes the next configuration, in which all routes have these properties. */
function publish({timeoutMilliseconds, suffix, service}: RouteChange): void {
	version++;
	const configuration = gateways.createConfiguration(version, undefined, timeoutMilliseconds);
	const [desk] = configuration.clusters;
	standIns.store.put('keyed.op', 'config', {
		...configuration,
		listeners: configuration.listeners.map(listener => ({
			...listener, rules: listener.rules.map(rule => ({...rule, name: `${rule.name}${suffix}`, action: {...rule.action, service}})),
		})),
		clusters: [desk, {...desk, name: 'office'}],
	});
}

const plain: RouteChange = {timeoutMilliseconds: 10_000, suffix: '', service: 'desk'};

type Step = NodeJS.Signals | RouteChange;

// Guards against requests that are taken on late in a stop because what is known of their route began anew.
test.each<{name: string; method: string; count?: number; before: readonly Step[]; after: readonly Step[]}>([
	{
		name: 'SIGHUP and a longer timeout',
		method: 'POST',
		before: ['SIGHUP', {...plain, timeoutMilliseconds: 20_000}],
		after: ['SIGHUP', 'SIGTERM'],
	},
	{
		name: 'a renamed route, then another service',
		method: 'POST',
		before: ['SIGHUP', {...plain, suffix: 'new'}, {...plain, suffix: 'new', service: 'office'}],
		after: ['SIGHUP', plain, 'SIGTERM'],
	},
	{
		name: 'another service, and a renamed route and a shorter timeout within the stop',
		method: 'POST',
		before: [{...plain, service: 'office'}, 'SIGHUP'],
		after: [{...plain, suffix: 'new'}, 'SIGHUP', {...plain, timeoutMilliseconds: 1000}, 'SIGTERM'],
	},
	{
		name: 'another service, and a renamed route and a shorter timeout within the stop',
		method: 'GET',
		before: [{...plain, service: 'office'}, 'SIGHUP'],
		after: [{...plain, suffix: 'new'}, 'SIGHUP', {...plain, timeoutMilliseconds: 1000}, 'SIGTERM'],
	},
	{
		name: 'a renamed route, then another service',
		method: 'GET',
		before: ['SIGHUP', {...plain, suffix: 'new'}, {...plain, suffix: 'new', service: 'office'}],
		after: ['SIGHUP', plain, 'SIGTERM'],
	},
	{
		// More than a hundred short ones end before the stop leaves no time for a long one.
		name: 'a start just before', method: 'GET', count: 120, before: [], after: [],
	},
])('no request ($method) that runs is cut by a stop: $name', async ({method, count: callers = defaultCallers, before, after}) => {
	publish(plain);
	const gateway = await gatewayProcess.startReady(standIns.store, [], {graceSeconds});
	let count = 0;
	const running = stayingCallers.startCallers(gateway.front, {
		count: callers,
		method,
		deadlineMilliseconds,
		chunkMilliseconds: 15,
		choosePath() {
			count++;
			return `${method === 'POST' ? '/credit/' : '/price/'}${count % 8 === 5 ? 'long' : 'short'}-${count}`;
		},
	});
	const take = async (steps: readonly Step[]) => {
		for (const step of steps) {
			if (typeof step === 'string') {
				gateway.signal(step);
			} else {
				publish(step);
			}

			await timers.setTimeout(pauseMilliseconds);
		}
	};

	await timers.setTimeout(pauseMilliseconds);
	await take(before);
	gateway.signal('SIGTERM');
	const stoppedAt = performance.now();
	await timers.setTimeout(pauseMilliseconds);
	await take(after);
	expect(await gateway.exited).toEqual({code: 0});
	await running.stop();
	const executed = upstreams.flatMap(({executedRequestIds}) => executedRequestIds);
	const lost = running.requests.filter(({id, status}) => status === undefined && executed.includes(id));
	expect(lost.map(({path, sentAt, endedAt}) => [path, ...[sentAt, endedAt].map(time => Math.round((time ?? 0) - stoppedAt))])).toEqual([]);
	if (method === 'POST') {
		expect(new Set(executed).size).toBe(executed.length);
	}

	expect(running.requests.filter(({beganAt, status}) => beganAt > stoppedAt && status !== undefined).length).toBeGreaterThan(0);
});
