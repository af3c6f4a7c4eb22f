/** Tests of answers whose status is none: they are failures with a reason of their own, and prove nothing about their request. */
import type * as net from 'node:net';
import * as vitest from 'vitest';
import * as headerHost from '../platform/headers.ts';
import * as loadCheck from '../src/gateway/load-check.ts';
import type * as upstreamsModule from '../src/gateway/upstreams.ts';
import * as storeStandIn from '../stand-ins/store.ts';
import * as callSupport from './support/calls.ts';
import * as gateways from './support/gateways.ts';
import * as hostileUpstream from './support/hostile-upstream.ts';

const {afterEach, describe, expect, test} = vitest;
const {getNow} = hostileUpstream;

const fields = 'Attempt-Id: a\r\nUpstream-Signature: s\r\n';
const withLength = 'Content-Length: 2\r\n\r\nok';
const sound = `HTTP/1.1 200 OK\r\n${fields}${withLength}`;
/** Each status line with its fields; the identifier is that of the request. */
const answers = [
	...['000', '050', '099', '600', '999', '0', '-01', '99', '1000', 'abc'].map(status => ({name: status, text: `HTTP/1.1 ${status} Odd\r\n${fields}${withLength}`})),
	{name: '000 without a length', text: `HTTP/1.1 000 Odd\r\n${fields}\r\nok`},
	{name: '000 before a sound answer', text: `HTTP/1.1 000 Odd\r\n${fields}\r\n${sound}`},
	{name: '000 with Not-Executed', text: `HTTP/1.1 000 Odd\r\n${fields}Not-Executed: 1\r\n${withLength}`},
	{name: '600 with Not-Executed', text: `HTTP/1.1 600 Odd\r\n${fields}Not-Executed: 1\r\n${withLength}`},
	{name: '101', text: `HTTP/1.1 101 Switching Protocols\r\n${fields}\r\n`},
	{name: '101 before a sound answer', text: `HTTP/1.1 101 Switching Protocols\r\n${fields}\r\n${sound}`},
	{name: '101 with a protocol', text: `HTTP/1.1 101 Switching Protocols\r\n${fields}Connection: upgrade\r\nUpgrade: other\r\n\r\n${sound}`},
];
const reason = {kind: 'broken', reason: 'invalid-status'};

afterEach(hostileUpstream.close);

/** Starts an upstream that writes the text and either keeps or ends its connection; counts its requests and connections. */
async function startOdd(text: string, isEnding = false) {
	const counts = {requests: 0, open: 0};
	const sockets = new Set<net.Socket>();
	const upstream = await hostileUpstream.start(socket => {
		counts.requests++;
		if (!sockets.has(socket)) {
			sockets.add(socket);
			counts.open++;
			socket.once('close', () => {
				counts.open--;
			});
		}

		socket[isEnding ? 'end' : 'write'](text);
	});
	return {upstream, counts};
}

// Guards against an answer with the status 000 that a caller gets as an answer, or that only an assertion of the client stops.
test.each(answers)('$name is no answer, and its connection is closed', async ({text}) => {
	for (const isEnding of [false, true]) {
		const {upstream, counts} = await startOdd(text, isEnding);
		const {end} = await hostileUpstream.attempt(upstream, 'a');
		expect(end).toEqual(reason);
		expect(upstream.pool.count()).toBe(0);
		await gateways.waitUntil(() => counts.open === 0);
	}
});

// Guards against the same from another entry, which passes on what its upstream sent.
test.each(answers)('$name is no answer of another entry', async ({text}) => {
	const {upstream} = await startOdd(text);
	const {end} = await hostileUpstream.attempt({...upstream, kind: 'relay'}, 'a');
	expect(end).toEqual(reason);
});

test.each([200, 404, 599])('%i is an answer, also after an informational one', async statusCode => {
	const {upstream} = await startOdd(`HTTP/1.1 199 Odd\r\n\r\n${sound.replace('200', String(statusCode))}`);
	const {end} = await hostileUpstream.attempt(upstream, 'a');
	expect(end).toEqual({kind: 'answered', statusCode});
});

// Guards against a second run of a request that can't be repeated, when the refusal that allows it comes with a status that is none.
test.each(answers)('a request that is not idempotent is sent once and gets 502 after $name', async ({text}) => {
	const {upstream, counts} = await startOdd(text);
	for (const target of [upstream, {...upstream, kind: 'relay' as const}]) {
		const request = hostileUpstream.createRequest('a');
		counts.requests = 0;
		const statusCode = await new Promise<number>(resolve => {
			callSupport.startCallAt(target, {...request, route: {...request.route, kind: 'non-idempotent'}}, response => {
				resolve(response.statusCode);
			});
		});
		expect([statusCode, counts.requests]).toEqual([502, 1]);
	}
});

test.each(answers)('an idempotent request is sent again after $name', async ({text}) => {
	let requests = 0;
	const upstream = await hostileUpstream.start(socket => {
		requests++;
		socket.write(requests === 1 ? text : sound);
	});
	const statusCode = await new Promise<number>(resolve => {
		callSupport.startCallAt(upstream, hostileUpstream.createRequest('a'), response => {
			resolve(response.statusCode);
		});
	});
	expect([statusCode, requests]).toEqual([200, 2]);
});

async function checkLoad(upstream: upstreamsModule.Upstream) {
	const statements: unknown[] = [];
	const kind = await new Promise<string>(resolve => {
		loadCheck.startLoadCheck({
			headers: headerHost.createHeaderHost(),
			getNow,
			getHealthPath: () => '/healthz',
			recordCheck: () => undefined,
			recordStatements(...statement) {
				statements.push(statement);
			},
		}, upstream, result => {
			resolve(result.kind);
		});
	});
	return {kind, statements};
}

// Guards against statements and loads that are believed although their answer is none.
test.each(answers)('$name is no answer to a load check', async ({text}) => {
	const {upstream} = await startOdd(text.replaceAll('Attempt-Id: a\r\n', 'Instance-Id: u-1\r\nUpstream-Load: 0,0,4,100\r\nServer-Leaving: 1\r\n'));
	expect(await checkLoad(upstream)).toEqual({kind: 'silent', statements: []});
	expect(upstream.pool.count()).toBe(0);
	expect(upstream.record.getState(getNow()).reading).toBeUndefined();
});

describe('at a gateway', () => {
	const cleanups: Array<() => Promise<void>> = [];

	afterEach(async () => {
		for (const cleanup of cleanups.splice(0).toReversed()) {
			await cleanup();
		}
	});

	/** Starts an upstream that answers load checks and, with the given text, all requests. */
	async function startServing(text: string) {
		const id = 'u-1';
		const received: string[] = [];
		const {registration} = await hostileUpstream.start((socket, requestText) => {
			const requestId = /attempt-id: (?<id>\S+)/v.exec(requestText)?.groups?.id;
			if (requestId === undefined) {
				socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${id}\r\nUpstream-Load: 0,0,4,100\r\nContent-Length: 0\r\n\r\n`);
				return;
			}

			received.push(requestId);
			socket.write(text.replaceAll('Attempt-Id: a', `Attempt-Id: ${requestId}`));
		});
		return {id, address: registration.address, received};
	}

	async function startGateway(upstream: {readonly id: string; readonly address: string}) {
		const store = await storeStandIn.startStore();
		cleanups.push(store.close);
		store.put('keyed.op', 'config', gateways.createConfiguration(4));
		gateways.register(store, upstream);
		const attempts: string[] = [];
		const record = (_event: string, eventFields: Readonly<Record<string, unknown>> = {}) => {
			if (typeof eventFields.attempts === 'string') {
				attempts.push(eventFields.attempts);
			}
		};

		const running = await gateways.startGateway({
			name: 'edge-1', storeAddress: store.address, logger: {
				error: record, warn: record, info: record, debug: record,
			},
		});
		cleanups.push(running.gateway.leave);
		await gateways.waitUntil(async () => gateways.isReady(running));
		return {front: running.front, attempts};
	}

	// Guards against callers that get such a status, and against a gateway that one upstream ends or keeps from serving.
	test.each(answers)('callers get 502 after $name', async ({text}) => {
		const odd = await startServing(text);
		const {front, attempts} = await startGateway(odd);
		const credit = await gateways.send(front, '/credit/1', 'POST', 'x');
		expect(credit.status).toBe(502);
		expect(odd.received).toEqual([credit.id]);
		expect(attempts.at(-1)).toMatch(/^u-1\/invalid-status\/\d+\/\d+$/v);
		const price = await gateways.send(front, '/price/1');
		expect(price.status).toBe(502);
	});
});
