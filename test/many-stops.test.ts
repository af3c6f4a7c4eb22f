/** Tests that callers are served while all gateways but one stop at the same time and work takes longer, with real processes. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, expect, test} = vitest;

const graceSeconds = 4;
const slots = 200;
const callersCount = 40;
const deadlineMilliseconds = 10_000;
const workMilliseconds = 300;
/** Time of the work of one request in eight, in multiples of that of the others. */
const longMultiple = 4;
const pauseMilliseconds = 20;

afterEach(gatewayProcess.close);

type Attempt = {readonly id: string; readonly gateway: number; readonly beganAt: number; readonly status: number | undefined; readonly isSurelyNotRun: boolean};
type CalledRequest = {readonly attempts: Attempt[]};

/** Runs callers that send each request until it is answered, to another gateway after a refusal; one that may have run is sent once only. */
function startCallers(fronts: readonly string[], method: 'GET' | 'POST') {
	const requests: CalledRequest[] = [];
	const stop = new AbortController();
	const refusing = new Set<number>();

	async function attempt(id: string, gateway: number, path: string): Promise<Attempt> {
		const beganAt = performance.now();
		try {
			const {status} = await gateways.send(fronts[gateway]!, path, method, '', {'attempt-id': id, 'deadline-ms': String(deadlineMilliseconds)});
			return {
				id, gateway, beganAt, status, isSurelyNotRun: status === 503,
			};
		} catch (error) {
			return {
				id, gateway, beganAt, status: undefined, isSurelyNotRun: error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED',
			};
		}
	}

	async function runRequest(caller: number, count: number): Promise<void> {
		const request: CalledRequest = {attempts: []};
		requests.push(request);
		const path = `${method === 'POST' ? '/credit/' : '/price/'}${count % 8 === 5 ? 'long' : 'short'}`;
		for (let index = 0; index < fronts.length; index++) {
			const usable = fronts.map((_front, gateway) => gateway).filter(gateway => !refusing.has(gateway));
			const gateway = usable[(caller + count + index) % usable.length]!;
			const ended = await attempt(`${caller}-${count}-${index}`, gateway, path);
			request.attempts.push(ended);
			if (ended.status === 200 || (method === 'POST' && !ended.isSurelyNotRun)) {
				return;
			}

			refusing.add(gateway);
			await timers.setTimeout(pauseMilliseconds);
		}
	}

	async function runCaller(caller: number): Promise<void> {
		for (let count = 0; !stop.signal.aborted; count++) {
			await runRequest(caller, count);
		}
	}

	const running = Array.from({length: callersCount}, async (_value, caller) => runCaller(caller));
	return {
		requests,
		async stop() {
			stop.abort();
			await Promise.all(running);
		},
	};
}

// Guards against requests that are cut at the end of a stop because work slows down while several gateways stop.
test.each(['GET', 'POST'] as const)('each request (%s) is served by the gateway that is left or by one that stops, and none runs and is cut', async method => {
	const {store, upstream} = await gatewayProcess.startStandIns(slots);
	store.put('keyed.op', 'config', gateways.createConfiguration(5, undefined, deadlineMilliseconds));
	const setWork = (milliseconds: number) => {
		upstream.setBehavior({
			kind: 'choose', chooseResponse: path => ({milliseconds: milliseconds * (path.endsWith('long') ? longMultiple : 1), bytes: 0, end: 'length'}),
		});
	};

	setWork(workMilliseconds);
	const left = await gatewayProcess.startReady(store, [], {graceSeconds});
	const stopping = await Promise.all(Array.from({length: 3}, async () => gatewayProcess.startReady(store, [left.peers], {graceSeconds})));
	const callers = startCallers([left, ...stopping].map(({front}) => front), method);
	await timers.setTimeout(2000);
	setWork(2 * workMilliseconds);
	for (const gateway of stopping) {
		gateway.signal('SIGTERM');
	}

	const ends = await Promise.all(stopping.map(async ({exited}) => exited));
	expect(ends).toEqual([{code: 0}, {code: 0}, {code: 0}]);
	await callers.stop();
	const lastStatuses = callers.requests.map(({attempts}) => attempts.at(-1)!.status);
	expect(lastStatuses.filter(status => status !== 200)).toEqual([]);
	const executed = new Set(upstream.executedRequestIds);
	const lost = callers.requests.flatMap(({attempts}) => attempts).filter(({id, status}) => status !== 200 && executed.has(id));
	expect(lost).toEqual([]);
	if (method === 'POST') {
		expect(executed.size).toBe(upstream.executedRequestIds.length);
	}

	expect(callers.requests.flatMap(({attempts}) => attempts).some(({gateway, status}) => gateway > 0 && status === 503)).toBe(true);
});
