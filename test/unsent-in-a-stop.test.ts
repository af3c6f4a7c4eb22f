/** Tests that a stop refuses the requests that wait for a connection to their upstream, with real processes. */
import * as http from 'node:http';
import * as vitest from 'vitest';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, expect, test} = vitest;
const timeoutMilliseconds = 20_000;
/** Smallest number of connections that a gateway uses to one upstream. */
const connections = 2;

afterEach(gatewayProcess.close);

type SilentUpstream = {readonly id: string; readonly address: string; readonly receivedIds: readonly string[]};

/** Starts an upstream that tells no load and doesn't respond to requests. */
async function startSilentUpstream(): Promise<SilentUpstream> {
	const receivedIds: string[] = [];
	const server = http.createServer((request, response) => {
		if (request.url === '/healthz') {
			response.writeHead(200, {'instance-id': 'i-2'}).end();
			return;
		}

		receivedIds.push(String(request.headers['attempt-id']));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	gatewayProcess.addCleanup(async () => {
		server.closeAllConnections();
		server.close();
	});
	const address = server.address();
	return {id: 'i-2', address: `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`, receivedIds};
}

// Guards against requests of which no byte was sent and that are cut without an answer at the end of the grace period.
test('requests that wait for a connection to their upstream are refused, and never sent', async () => {
	const {store} = await gatewayProcess.startStandIns();
	const upstream = await startSilentUpstream();
	const configuration = gateways.createConfiguration(5, undefined, timeoutMilliseconds);
	store.put('keyed.op', 'config', {...configuration, clusters: configuration.clusters.map(cluster => ({...cluster, maxConns: connections}))});
	store.put('keyed.servers', 'i-1', undefined);
	gateways.register(store, upstream);
	const gateway = await gatewayProcess.startReady(store);
	const send = async (id: string) => gateways.send(gateway.front, '/credit/1', 'POST', '', {
		'attempt-id': id, 'deadline-ms': String(timeoutMilliseconds),
	}).then(({status}) => status, () => undefined);
	const first = Array.from({length: connections}, (_value, index) => `first-${index}`);
	const running = first.map(async id => send(id));
	await gateways.waitUntil(() => upstream.receivedIds.length === connections);
	const waiting = Array.from({length: 4}, async (_value, index) => send(`waiting-${index}`));
	await gateways.waitUntil(async () => await gatewayProcess.readMetric(gateway, 'fescuering_gateway_open_requests') === 6);
	gateway.signal('SIGTERM');
	expect(await Promise.all(waiting)).toEqual([503, 503, 503, 503]);
	expect(await Promise.all(running)).toEqual([undefined, undefined]);
	expect(upstream.receivedIds.toSorted()).toEqual(first);
	expect(await gateway.exited).toEqual({code: 0});
});
