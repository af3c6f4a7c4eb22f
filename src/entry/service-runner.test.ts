import * as http from 'node:http';
import type * as net from 'node:net';
import * as vitest from 'vitest';
import {operationRowSchema} from '../decisions/table/rows.ts';
import {type ServiceScheduler, type WaitingCall} from '../decisions/routing/types.ts';
import {createTracing} from '../observability/tracing.ts';
import {type AnswerSink, type Call} from './call.ts';
import {createConnectionPool} from './connection-pool.ts';
import {createServiceRunner} from './service-runner.ts';

const {afterEach, expect, test} = vitest;

const servers: http.Server[] = [];

afterEach(() => {
	for (const server of servers.splice(0)) {
		server.closeAllConnections();
		server.close();
	}
});

async function startServer(listener: http.RequestListener): Promise<string> {
	const server = http.createServer(listener);
	servers.push(server);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return `127.0.0.1:${(server.address() as net.AddressInfo).port}`; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

/** Creates a runner whose scheduler sends each attempt to the next address and allows a retry while addresses are left. */
function createRunner(addresses: readonly string[], attemptTimeoutMilliseconds?: number, canFinish = () => true) {
	const pools = new Map(addresses.map(address => [address, createConnectionPool({
		address, connectTimeoutMilliseconds: 500, idleMilliseconds: 10_000, trustMilliseconds: 1000, spares: 0, getLimit: () => 10, getNow: () => performance.now(),
	})]));
	const scheduler: ServiceScheduler = {
		submit: (call: WaitingCall) => [{kind: 'dispatch', callId: call.id, upstream: addresses[call.attempts]!}],
		finishAttempt: () => [],
		cancel: () => undefined,
		tryChargeRetry: call => call.attempts < addresses.length,
		getAttemptTimeout: () => attemptTimeoutMilliseconds,
		applyReport: () => [],
		setUpstreams: () => [],
		setView: () => [],
		setFleet: () => [],
		advance: () => [],
		getNextAdvanceAt: () => undefined,
		getStatus: () => [],
		countWaitingCalls: () => 0,
	};
	return createServiceRunner({
		scheduler, getNow: () => performance.now(), canFinish, findPool: address => pools.get(address), onLoadReport: () => undefined, onAttemptResult: () => undefined,
	});
}

function createCall(isIdempotent: boolean, timeoutMilliseconds = 2000): Call {
	const now = performance.now();
	return {
		id: 1,
		service: 'desk',
		operation: operationRowSchema.parse({
			kind: 'operation', service: 'desk', operation: 'price', method: 'GET', pathPrefix: '/', idempotent: isIdempotent,
		}),
		method: 'GET',
		path: '/price',
		headers: [],
		body: {kind: 'none'},
		idempotencyKey: undefined,
		depth: 0,
		isRetryAllowed: true,
		receivedAt: now,
		deadlineAt: now + timeoutMilliseconds,
		hop: createTracing({sampleShare: 0, serviceName: 'test', failureDomain: 'north'}).startHop('caller-to-entry', undefined),
	};
}

type Answer = {statusCode: number; outcome: string; body: string; isComplete: boolean};

async function execute(addresses: readonly string[], call: Call, attemptTimeoutMilliseconds?: number, canFinish?: () => boolean): Promise<Answer> {
	return new Promise(resolve => {
		const answer: Answer = {
			statusCode: 0, outcome: '', body: '', isComplete: false,
		};
		const sink: AnswerSink = {
			start(head) {
				answer.statusCode = head.statusCode;
				answer.outcome = head.outcome;
			},
			write(chunk) {
				answer.body += new TextDecoder().decode(chunk);
				return true;
			},
			end() {
				answer.isComplete = true;
			},
			abort: () => undefined,
			setDrainListener: () => undefined,
		};
		createRunner(addresses, attemptTimeoutMilliseconds, canFinish).execute(call, sink, {
			history: {kind: 'keyless'},
			onEnd() {
				resolve(answer);
			},
		});
	});
}

// Guards against a mix of two answers, when the refusing upstream ends its body after the answer of the retry has started.
test('discards the late body of a refused attempt while the retry is answering', async () => {
	let finishRefusal: () => void = () => undefined;
	const refusingUpstream = await startServer((_request, response) => {
		response.writeHead(503, {'fescuering-outcome': 'not-run', 'content-length': 7});
		response.flushHeaders();
		finishRefusal = () => {
			response.end('refusal');
		};
	});
	const answeringUpstream = await startServer((_request, response) => {
		response.writeHead(200, {'content-length': 8});
		response.write('good');
		setTimeout(() => {
			finishRefusal();
		}, 30);
		setTimeout(() => {
			response.end('body');
		}, 100);
	});
	expect(await execute([refusingUpstream, answeringUpstream], createCall(true))).toEqual({
		statusCode: 200, outcome: 'ran', body: 'goodbody', isComplete: true,
	});
});

test('does not complete an answer when the upstream closes the connection in its middle', async () => {
	const closingUpstream = await startServer((_request, response) => {
		response.writeHead(200, {'content-length': 8});
		response.write('good');
		setTimeout(() => {
			response.destroy();
		}, 20);
	});
	expect(await execute([closingUpstream], createCall(true))).toMatchObject({body: 'good', isComplete: false});
});

// Guards against half of an answer being passed on as complete, when the runtime reports a reset as a normal end.
test('does not complete an answer without a length when the upstream resets the connection in its middle', async () => {
	const resettingUpstream = await startServer((_request, response) => {
		const {socket} = response;
		socket!.write('HTTP/1.1 200 OK\r\n\r\ngood');
		socket!.resetAndDestroy();
	});
	expect(await execute([resettingUpstream], createCall(true))).toMatchObject({statusCode: 200, isComplete: false});
});

test('reports the outcome unknown, without a retry, when the connection closes after a non-idempotent call was sent', async () => {
	let received = 0;
	const failingUpstream = await startServer((request, response) => {
		received++;
		response.destroy();
		request.resume();
	});
	const otherUpstream = await startServer((_request, response) => {
		received++;
		response.end('ok');
	});
	const addresses = [failingUpstream, otherUpstream];
	const answer = await execute(addresses.slice(0, 1), createCall(false));
	expect(answer).toMatchObject({statusCode: 502, outcome: 'unknown'});
	expect(received).toBe(1);
});

test('reports the outcome not-run when no connection to the upstream can be opened', async () => {
	const address = await startServer(() => undefined);
	servers.at(-1)!.close();
	expect(await execute([address], createCall(false))).toMatchObject({statusCode: 502, outcome: 'not-run'});
});

test('reports the outcome unknown when the deadline passes after a call was sent', async () => {
	const silentUpstream = await startServer(() => undefined);
	expect(await execute([silentUpstream], createCall(false, 100))).toMatchObject({statusCode: 504, outcome: 'unknown'});
});

test('retries an idempotent call on another upstream when a connection is silent, but not a non-idempotent call', async () => {
	const silentUpstream = await startServer(() => undefined);
	const answeringUpstream = await startServer((_request, response) => {
		response.end('ok');
	});
	const addresses = [silentUpstream, answeringUpstream];
	expect(await execute(addresses, createCall(true), 50)).toMatchObject({statusCode: 200, body: 'ok', isComplete: true});
	expect(await execute(addresses, createCall(false, 300), 50)).toMatchObject({statusCode: 504, outcome: 'unknown'});
});

// Guards against second attempts that the end of a stop cuts, and against first ones that are given up for them.
test('makes no second attempt during a stop that it may outlast, and lets the first one end', async () => {
	let isStopping = false;
	let received = 0;
	const failingUpstream = await startServer((_request, response) => {
		isStopping = true;
		response.socket!.resetAndDestroy();
	});
	const lateUpstream = await startServer((_request, response) => {
		isStopping = true;
		setTimeout(() => {
			response.end('late');
		}, 200);
	});
	const answeringUpstream = await startServer((_request, response) => {
		received++;
		response.end('ok');
	});
	const canFinish = () => !isStopping;
	expect(await execute([failingUpstream, answeringUpstream], createCall(true), undefined, canFinish)).toMatchObject({statusCode: 502, outcome: 'unknown'});
	isStopping = false;
	expect(await execute([lateUpstream, answeringUpstream], createCall(true), 50, canFinish)).toMatchObject({statusCode: 200, body: 'late', isComplete: true});
	expect(received).toBe(0);
});

const oddHeads = ['000 Odd', '099 Odd', '600 Odd', '999 Odd', '0 Odd', '-01 Odd', '1000 Odd', '101 Switching Protocols', '101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other'];

// Guards against callers that get such a status, and against a second run of a call whose refusal comes with it.
test.each(oddHeads.flatMap(head => [head, `${head}\r\nfescuering-outcome: not-run`]))('takes %j for a failure that proves nothing about its call', async head => {
	let received = 0;
	const oddUpstream = await startServer((_request, response) => {
		received++;
		response.socket!.write(`HTTP/1.1 ${head}\r\ncontent-length: 2\r\n\r\nok`);
	});
	const answeringUpstream = await startServer((_request, response) => {
		response.end('ok');
	});
	expect(await execute([oddUpstream], createCall(false))).toMatchObject({statusCode: 502, outcome: 'unknown'});
	expect(received).toBe(1);
	expect(await execute([oddUpstream, answeringUpstream], createCall(true))).toMatchObject({statusCode: 200, body: 'ok', isComplete: true});
	expect(received).toBe(2);
});
