/** Tests of requests that wait for a connection to their upstream while the process stops, with real processes. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, expect, test} = vitest;
const graceSeconds = 6;
const routeTimeoutMilliseconds = 10_000;
const workMilliseconds = 3000;
const requestCount = 6;
/** Time after the signal from which on the process has handled it. */
const lateMilliseconds = 200;

afterEach(gatewayProcess.close);

/** Publishes an upstream to which the process has two connections, and which states a rate limit. */
async function startLimited(): Promise<{readonly standIns: gatewayProcess.StandIns; readonly gateway: gatewayProcess.GatewayProcess}> {
	const standIns = await gatewayProcess.startStandIns(80);
	const configuration = gateways.createConfiguration(5, undefined, routeTimeoutMilliseconds);
	standIns.store.put('keyed.op', 'config', {...configuration, clusters: configuration.clusters.map(cluster => ({...cluster, maxConns: 2}))});
	standIns.upstream.setBehavior({
		kind: 'choose', chooseResponse: path => ({milliseconds: path.includes('long') ? workMilliseconds : 5, bytes: 0, end: 'length'}),
	});
	standIns.upstream.setStatements({'server-limit': '40'});
	const gateway = await gatewayProcess.startReady(standIns.store, [], {graceSeconds});
	// Until the process has permits.
	for (let served = 0; served < 10;) {
		const {status} = await gateways.send(gateway.front, '/credit/short', 'POST', 'x');
		served += status === 200 ? 1 : 0;
		await timers.setTimeout(50);
	}

	return {standIns, gateway};
}

// Guards against requests that wait for a connection at SIGTERM, are sent when the stop is nearly over, run, and end without an answer.
test('a request that waits for a connection to its upstream is refused by a stop that it may outlast', async () => {
	const {standIns, gateway} = await startLimited();
	const answers = Array.from({length: requestCount}, async (_value, index) => {
		await timers.setTimeout(index * 60);
		const id = `long-${index}`;
		try {
			const {status} = await gateways.send(gateway.front, `/credit/${id}`, 'POST', 'x', {'deadline-ms': '20000', 'attempt-id': id});
			return {id, status};
		} catch (error) {
			return {id, status: String(error)};
		}
	});
	await timers.setTimeout(600);
	const signalledAt = performance.now();
	gateway.signal('SIGTERM');
	const results = await Promise.all(answers);
	await gateway.exited;
	const cut = results.filter(({status}) => typeof status === 'string').map(({id}) => id);
	const sentLater = standIns.upstream.receivedRequests
		.filter(({requestId, receivedAt}) => requestId.startsWith('long-') && receivedAt > signalledAt + lateMilliseconds)
		.map(({requestId, receivedAt}) => [requestId, Math.round(receivedAt - signalledAt)]);
	expect({cut, sentLater}).toEqual({cut: [], sentLater: []});
}, 30_000);
