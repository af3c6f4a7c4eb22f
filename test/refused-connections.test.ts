/** Tests of connections that are refused before a request on them was read. */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as platformUpstream from '../stand-ins/platform-upstream.ts';
import * as storeStandIn from '../stand-ins/store.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;
const headTimeoutMilliseconds = 300;
/** Longer than a late head takes to be noticed: heads are checked once a second. */
const lateMilliseconds = 2000;

let upstream: platformUpstream.PlatformUpstream;
let gateway: gateways.RunningGateway;

beforeEach(async () => {
	const store = await storeStandIn.startStore();
	upstream = await platformUpstream.startPlatformUpstream('i-1', 100);
	gatewayProcess.addCleanup(store.close);
	gatewayProcess.addCleanup(upstream.close);
	const configuration = gateways.createConfiguration(4);
	store.put('keyed.op', 'config', {...configuration, limits: {...configuration.limits, headerTimeoutMs: headTimeoutMilliseconds}});
	gateways.register(store, upstream, {slots: 100});
	gateway = await gateways.startGateway({name: 'edge-1', storeAddress: store.address});
	gatewayProcess.addCleanup(gateway.gateway.leave);
	await gateways.waitUntil(async () => gateways.isReady(gateway));
});

afterEach(gatewayProcess.close);

const createHead = (id: string, method = 'POST') => `${method} ${method === 'POST' ? '/credit/1' : '/price/1'} HTTP/1.1\r\nHost: ${gateways.host}\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n`;

function connect() {
	const [host, port] = gateway.front.split(':');
	const socket = net.connect({host, port: Number(port), allowHalfOpen: true});
	const connection = {socket, text: ''};
	socket.on('error', () => undefined);
	socket.on('data', chunk => {
		connection.text += String(chunk);
	});
	gatewayProcess.addCleanup(async () => {
		socket.destroy();
	});
	return connection;
}

const listStatuses = (text: string) => [...text.matchAll(/HTTP\/1.1 (?<status>\d{3}) /gv)].map(match => match.groups!.status!);

// Guards against a status that promises that a request has not run, on a connection on which it runs afterwards.
test('a request whose head comes after the status 408 of its connection never runs', async () => {
	const heads = Array.from({length: 5}, (_value, index) => createHead(`late-${index}`));
	const connections = heads.map(head => {
		const connection = connect();
		connection.socket.write(head.slice(0, 20));
		return connection;
	});
	await gateways.waitUntil(() => connections.every(({text}) => listStatuses(text).length > 0));
	for (const [index, {socket}] of connections.entries()) {
		socket.write(heads[index]!.slice(20) + createHead(`behind-${index}`));
	}

	await timers.setTimeout(1000);
	expect(connections.map(({text}) => listStatuses(text))).toEqual(heads.map(() => ['408']));
	expect(upstream.receivedRequests).toEqual([]);
});

// Guards against callers that are refused although they have sent nothing yet, e.g. while they are cut off.
test('a connection without a byte is kept beyond the time for a head, and its request is served', async () => {
	const connection = connect();
	await timers.setTimeout(lateMilliseconds);
	connection.socket.write(createHead('first'));
	await gateways.waitUntil(() => listStatuses(connection.text).length > 0);
	expect(listStatuses(connection.text)).toEqual(['200']);
	expect(upstream.executedRequestIds).toEqual(['first']);
});

test('the time for a head counts from its first byte on a connection that was kept without one', async () => {
	const connection = connect();
	await timers.setTimeout(lateMilliseconds);
	connection.socket.write(createHead('first').slice(0, 20));
	await gateways.waitUntil(() => listStatuses(connection.text).length > 0);
	expect(listStatuses(connection.text)).toEqual(['408']);
});

// Guards against a response that is lost because the next head on its connection stops short.
test('a request in progress keeps its response when the head behind it is late or malformed', async () => {
	upstream.setBehavior({kind: 'answer', milliseconds: 1300});
	for (const rest of [createHead('behind').slice(0, 20), 'NO HTTP\r\n\r\n']) {
		const connection = connect();
		connection.socket.write(createHead('running', 'GET') + rest);
		await gateways.waitUntil(() => listStatuses(connection.text).length > 1);
		connection.socket.write(createHead('behind').slice(20));
		expect(listStatuses(connection.text)).toEqual(['200', rest.startsWith('NO') ? '400' : '408']);
	}

	await timers.setTimeout(300);
	expect(upstream.receivedRequests.filter(({requestId}) => requestId === 'behind')).toEqual([]);
});
