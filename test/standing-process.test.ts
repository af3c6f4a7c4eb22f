/** Tests of processes that stand still for a while, as those that get no processor time do. */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;
const callerCount = 30;
/** Time in which what was written or closed reaches the other side, in milliseconds. */
const arrivalMilliseconds = 100;

let standIns: gatewayProcess.StandIns;

beforeEach(async () => {
	standIns = await gatewayProcess.startStandIns();
});

afterEach(gatewayProcess.close);

async function connect(address: string): Promise<net.Socket> {
	const [host, port] = address.split(':');
	const socket = net.connect(Number(port), host);
	socket.on('error', () => undefined);
	await new Promise<void>(resolve => {
		socket.once('connect', () => {
			resolve();
		});
	});
	return socket;
}

const createRequest = (id: string) => `GET /price/1 HTTP/1.1\r\nHost: ${gateways.host}\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 1500\r\n\r\n`;

// Guards against requests that are read before the close behind them, and sent on although their callers have left.
test('requests whose callers left while the process stood still are not sent', async () => {
	const gateway = await gatewayProcess.startReady(standIns.store);
	const open = await Promise.all(Array.from({length: callerCount}, async () => connect(gateway.front)));
	await timers.setTimeout(arrivalMilliseconds);
	gateway.signal('SIGSTOP');
	// The system completes connections that the process has not accepted yet.
	const callers = [...open, ...await Promise.all(Array.from({length: callerCount}, async () => connect(gateway.front)))];
	for (const [index, socket] of callers.entries()) {
		socket.write(createRequest(`left-${index}`));
	}

	await timers.setTimeout(arrivalMilliseconds);
	for (const socket of callers) {
		socket.end();
	}

	await timers.setTimeout(arrivalMilliseconds);
	gateway.signal('SIGCONT');
	const {status} = await gateways.send(gateway.front, '/price/1');
	expect(status).toBe(200);
	await timers.setTimeout(arrivalMilliseconds);
	expect(standIns.upstream.receivedRequests.filter(({requestId}) => requestId.startsWith('left-'))).toEqual([]);
	for (const socket of callers) {
		socket.destroy();
	}
});
