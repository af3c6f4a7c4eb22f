/**
Tests of gateways that meet a crowd of callers whose bodies come in chunks of one byte, with real processes.

Each chunk costs the same processor time, whatever its size. An ordinary caller must get its response while the crowd is
connected, and afterwards, before its own deadline.
*/
import * as buffer from 'node:buffer';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as crowds from '../support/crowd.ts';
import * as gatewayProcess from '../support/gateway-process.ts';
import * as gateways from '../support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;

const crowdSize = 200;
const chunksPerCaller = 240_000;
/** Times after the arrival of the crowd at which an ordinary caller asks, in milliseconds. */
const questionTimes = [500, 3000, 7000];
const deadlineMilliseconds = 1500;
/** Time after which an ordinary caller leaves, in milliseconds. */
const patienceMilliseconds = 4000;
const body = buffer.Buffer.from(crowds.smallChunks(chunksPerCaller), 'latin1');

let standIns: gatewayProcess.StandIns;
let gateway: gatewayProcess.GatewayProcess;

beforeEach(async () => {
	standIns = await gatewayProcess.startStandIns();
	gateway = await gatewayProcess.startReady(standIns.store);
});

afterEach(gatewayProcess.close);

function gather(createHead: (index: number) => string): readonly net.Socket[] {
	const [host, port] = gateway.front.split(':');
	const sockets = Array.from({length: crowdSize}, (_value, index) => {
		const socket = net.connect(Number(port), host);
		socket.on('error', () => undefined);
		socket.resume();
		socket.write(createHead(index));
		socket.write(body);
		return socket;
	});
	gatewayProcess.addCleanup(async () => {
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return sockets;
}

/** Asks as an ordinary caller, which leaves when it has waited for long. Resolves to the status of the response, or to 0. */
async function ask(): Promise<number> {
	const leaving = new AbortController();
	const answer = gateways.send(gateway.front, '/price/1', 'GET', '', {'deadline-ms': String(deadlineMilliseconds)}).then(({status}) => status);
	const left = timers.setTimeout(patienceMilliseconds, 0, {signal: leaving.signal}).catch(() => 0);
	const status = await Promise.race([answer, left]);
	leaving.abort();
	return status;
}

const forms = [
	{name: 'chunks of one byte', createHead: (index: number) => crowds.createChunkedHead(index)},
	{name: 'chunks of one byte behind an unanswered request', createHead: (index: number) => crowds.createHead(2 * index, ['Content-Length: 0']) + crowds.createChunkedHead(index)},
];

// Guards against an entry that is silent because it parses what a crowd sends, although it has refused their bodies.
test.each(forms)('ordinary callers are answered beside a crowd that sends $name, and after it', async ({createHead}) => {
	const startedAt = performance.now();
	const sockets = gather(createHead);
	for (const time of questionTimes) {
		await timers.setTimeout(Math.max(0, startedAt + time - performance.now()));
		expect(await ask(), `asked ${time} ms after the crowd came`).toBe(200);
	}

	for (const socket of sockets) {
		socket.destroy();
	}

	expect(await ask(), 'asked after the crowd had left').toBe(200);
	const answer = await crowds.sendStream(gateway.front, ['x'.repeat(60_000)], {'transfer-encoding': 'chunked', 'deadline-ms': String(deadlineMilliseconds)});
	expect(answer).toContain('single');
	expect(gateway.hasEnded()).toBe(false);
});
