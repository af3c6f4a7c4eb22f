/** Tests of stops with real processes and callers that use their connections until the process is gone. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;

/** Grace period of the processes, in milliseconds. */
const graceMilliseconds = gatewayProcess.graceSeconds * 1000;
let standIns: gatewayProcess.StandIns;

beforeEach(async () => {
	standIns = await gatewayProcess.startStandIns();
});

afterEach(gatewayProcess.close);

// Guards against requests that are cut because a second signal ends the process at once.
test.each(['SIGTERM', 'SIGINT', 'SIGHUP'] as const)('a request is answered although SIGTERM is followed by %s', async secondSignal => {
	standIns.upstream.setBehavior({kind: 'answer', milliseconds: 600});
	const gateway = await gatewayProcess.startReady(standIns.store);
	const answer = gateways.send(gateway.front, '/credit/1', 'POST');
	await gateways.waitUntil(() => standIns.upstream.receivedRequests.length === 1);
	gateway.signal('SIGTERM');
	await gateways.waitUntil(() => gateway.hasLogged('gateway-leaving'));
	gateway.signal(secondSignal);
	const {status} = await answer;
	expect(status).toBe(200);
	expect(await gateway.exited).toEqual({code: 0});
});

// Guards against a process that outlives its grace period because it waits for a connection that a stopped process doesn't close.
test('a process ends within its grace period while another one is stopped', async () => {
	const first = await gatewayProcess.startReady(standIns.store);
	const second = await gatewayProcess.startReady(standIns.store, [first.peers]);
	const third = await gatewayProcess.startReady(standIns.store, [first.peers, second.peers]);
	await timers.setTimeout(1000);
	second.signal('SIGSTOP');
	third.signal('SIGSTOP');
	first.signal('SIGTERM');
	const result = await Promise.race([first.exited, timers.setTimeout(graceMilliseconds + 1000, 'still running')]);
	expect(result).toEqual({code: 0});
});

/** Starts an upstream that answers each request with a large body. */
async function startLargeUpstream(bytes: number): Promise<string> {
	const body = new Uint8Array(bytes);
	const server = http.createServer((request, response) => {
		if (request.url === '/healthz') {
			response.writeHead(200, {'instance-id': 'i-2'}).end();
			return;
		}

		response.writeHead(200, {
			'attempt-id': String(request.headers['attempt-id']), 'upstream-signature': 's', 'instance-id': 'i-2', 'content-length': bytes,
		});
		response.end(body);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	gatewayProcess.addCleanup(async () => {
		server.closeAllConnections();
		server.close();
	});
	const address = server.address();
	return `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
}

// Guards against answers that are cut at a stop: the server closed connections whose answers the caller had not taken yet as idle.
test('answers that a slow caller has not taken are delivered whole during a stop', async () => {
	const bodyBytes = 4_000_000;
	const count = 4;
	standIns.store.put('keyed.servers', 'i-1', undefined);
	standIns.store.put('keyed.servers', 'i-2', {
		service: 'desk', addr: await startLargeUpstream(bodyBytes), zone: 'riverside', version: 'v1', slots: 4, state: 'ready', coldLeftMs: 0, seq: 1, born: 1000,
	});
	const gateway = await gatewayProcess.startReady(standIns.store);
	const [host, port] = gateway.front.split(':');
	const socket = net.connect(Number(port), host);
	socket.write(Array.from({length: count}, (_value, index) => `GET /price/1 HTTP/1.1\r\nHost: ${gateways.host}\r\nAttempt-Id: a${index}\r\nDeadline-Ms: 1400\r\n\r\n`).join(''));
	await timers.setTimeout(800);
	gateway.signal('SIGTERM');
	await timers.setTimeout(1300);
	let received = 0;
	socket.on('data', (chunk: Uint8Array) => {
		received += chunk.length;
	});
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	expect(received).toBeGreaterThan(count * bodyBytes);
	expect(await gateway.exited).toEqual({code: 0});
});

// Guards against requests that no log names because their process is killed before it cuts them.
test('a process that is killed at the end of its grace period has named the requests at work', async () => {
	standIns.store.put('keyed.op', 'config', gateways.createConfiguration(5, undefined, 10_000));
	standIns.upstream.setBehavior({kind: 'answer', milliseconds: 10_000});
	const gateway = await gatewayProcess.startReady(standIns.store);
	const answer = gateways.send(gateway.front, '/credit/1', 'POST', '', {'attempt-id': 'outlasting', 'deadline-ms': '10000'}).catch(() => undefined);
	await gateways.waitUntil(() => standIns.upstream.receivedRequests.length === 1);
	gateway.signal('SIGTERM');
	await gateways.waitUntil(() => gateway.hasLogged('request-outlasts-stop'));
	gateway.signal('SIGKILL');
	await gateway.exited;
	expect(await answer).toBeUndefined();
	expect(gateway.hasLogged('gateway-stopped')).toBe(false);
	expect(gateway.listLogged('event=request-outlasts-stop ')).toEqual([expect.stringMatching(/ id=outlasting .*kind=non-idempotent .*upstream=i-1 received=-\d+ /v)]);
});
