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

/** Sends each attempt to the next address and allows every retry. */
function createRunner(addresses: readonly string[], patienceMilliseconds?: number) {
	const pools = new Map(addresses.map(address => [address, createConnectionPool({
		address, connectTimeoutMilliseconds: 500, idleMilliseconds: 10_000, trustMilliseconds: 1000, spares: 0, getLimit: () => 10, getNow: () => performance.now(),
	})]));
	const scheduler: ServiceScheduler = {
		offer: (call: WaitingCall) => [{kind: 'dispatch', callId: call.id, upstream: addresses[call.attempts]!}],
		finish: () => [],
		withdraw: () => undefined,
		tryChargeRetry: call => call.attempts < addresses.length,
		getPatience: () => patienceMilliseconds,
		report: () => [],
		setUpstreams: () => [],
		setView: () => [],
		setFleet: () => [],
		advance: () => [],
		getNextAdvance: () => undefined,
		getStatus: () => [],
		getWaiting: () => 0,
	};
	return createServiceRunner({
		scheduler, getNow: () => performance.now(), resolvePool: address => pools.get(address), noteReport: () => undefined, noteAttempt: () => undefined,
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

type Answer = {statusCode: number; outcome: string; body: string; isWhole: boolean};

async function execute(addresses: readonly string[], call: Call, patienceMilliseconds?: number): Promise<Answer> {
	return new Promise(resolve => {
		const answer: Answer = {
			statusCode: 0, outcome: '', body: '', isWhole: false,
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
				answer.isWhole = true;
			},
			abort: () => undefined,
			setDrainListener: () => undefined,
		};
		createRunner(addresses, patienceMilliseconds).execute(call, sink, {
			history: {kind: 'keyless'},
			onEnd() {
				resolve(answer);
			},
		});
	});
}

test('the late body of a refused attempt never enters the answer of the next', async () => {
	let finishRefusal: () => void = () => undefined;
	const refusing = await startServer((_request, response) => {
		response.writeHead(503, {'fescuering-outcome': 'not-run', 'content-length': 7});
		response.flushHeaders();
		finishRefusal = () => {
			response.end('refusal');
		};
	});
	const answering = await startServer((_request, response) => {
		response.writeHead(200, {'content-length': 8});
		response.write('good');
		setTimeout(() => {
			finishRefusal();
		}, 30);
		setTimeout(() => {
			response.end('body');
		}, 100);
	});
	expect(await execute([refusing, answering], createCall(true))).toEqual({
		statusCode: 200, outcome: 'ran', body: 'goodbody', isWhole: true,
	});
});

test('an answer cut short is not ended', async () => {
	const cutting = await startServer((_request, response) => {
		response.writeHead(200, {'content-length': 8});
		response.write('good');
		setTimeout(() => {
			response.destroy();
		}, 20);
	});
	expect(await execute([cutting], createCall(true))).toMatchObject({body: 'good', isWhole: false});
});

test('a non-idempotent call that may have left is not sent again and is unknown', async () => {
	let received = 0;
	const breaking = await startServer((request, response) => {
		received++;
		response.destroy();
		request.resume();
	});
	const second = await startServer((_request, response) => {
		received++;
		response.end('ok');
	});
	const runner = [breaking, second];
	const answer = await execute(runner.slice(0, 1), createCall(false));
	expect(answer).toMatchObject({statusCode: 502, outcome: 'unknown'});
	expect(received).toBe(1);
});

test('a call that reached no upstream is not-run', async () => {
	const address = await startServer(() => undefined);
	servers.at(-1)!.close();
	expect(await execute([address], createCall(false))).toMatchObject({statusCode: 502, outcome: 'not-run'});
});

test('a deadline that passes after sending is unknown', async () => {
	const silent = await startServer(() => undefined);
	expect(await execute([silent], createCall(false, 100))).toMatchObject({statusCode: 504, outcome: 'unknown'});
});

test('an idempotent call on a silent connection is made elsewhere, a non-idempotent one is not', async () => {
	const silent = await startServer(() => undefined);
	const answering = await startServer((_request, response) => {
		response.end('ok');
	});
	const addresses = [silent, answering];
	expect(await execute(addresses, createCall(true), 50)).toMatchObject({statusCode: 200, body: 'ok', isWhole: true});
	expect(await execute(addresses, createCall(false, 300), 50)).toMatchObject({statusCode: 504, outcome: 'unknown'});
});
