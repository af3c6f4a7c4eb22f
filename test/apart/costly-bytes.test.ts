/**
Tests of gateways that receive bytes which cost far more than their size, on each port and from upstreams, with real processes.

As in `crowds.test.ts`, they check that the process lives, that its memory and descriptors stay within those of its machine,
and that it still answers one ordinary request, but no times. docs/SECURITY.md names each of them.
*/
import * as net from 'node:net';
import * as vitest from 'vitest';
import * as crowds from '../support/crowd.ts';
import * as gatewayProcess from '../support/gateway-process.ts';
import * as gateways from '../support/gateways.ts';
import * as peerFrames from '../support/peer-frames.ts';
import * as smallMachine from '../support/small-machine.ts';

const {afterEach, beforeEach, expect, test} = vitest;

const crowdSize = 128;
const maximumBodyBytes = 1_000_000;
/** Larger than what is read from a connection at a time. */
const rowBytes = 70_000;

let standIns: gatewayProcess.StandIns;
let gateway: gatewayProcess.GatewayProcess;

beforeEach(async () => {
	standIns = await gatewayProcess.startStandIns();
	standIns.store.put('keyed.op', 'config', smallMachine.createConfiguration(maximumBodyBytes));
	gateway = await smallMachine.start(standIns.store.address);
});

afterEach(gatewayProcess.close);

const repeat = (text: string) => text.repeat(Math.ceil(rowBytes / text.length));

async function keep(crowd: crowds.Crowd): Promise<void> {
	gatewayProcess.addCleanup(async () => {
		crowd.close();
	});
}

/** Gathers a crowd that reads nothing. */
async function gatherDeaf(address: string, count: number, createText: (index: number) => string): Promise<void> {
	await keep(crowds.gatherDeaf(address, count, createText));
	await crowds.waitUntilUnchanged(address, gateway.hasEnded);
}

async function gatherBytewise(address: string, count: number, createText: (index: number) => string): Promise<void> {
	await keep(await crowds.gatherBytewise(address, count, createText));
	await crowds.waitUntilRead(address, gateway.hasEnded);
}

const shortLines = 'a: b\r\n'.repeat(250);

const bytewiseForms = [
	{name: 'heads', createText: (index: number) => crowds.createHead(index, []).slice(0, -2) + shortLines},
	{name: 'chunk sizes and extensions', createText: (index: number) => `${crowds.createChunkedHead(index)}${'1;a=b\r\nx\r\n'.repeat(150)}`},
	{name: 'trailers', createText: (index: number) => `${crowds.createChunkedHead(index)}1\r\nx\r\n0\r\n${shortLines}`},
];

// Guards against a process that runs out of memory, or serves nobody, because each byte comes in a packet of its own.
test.each(bytewiseForms)('$name a byte at a time, on the port of callers', async ({createText}) => {
	await gatherBytewise(gateway.front, crowdSize, createText);
	await smallMachine.expectOrdinaryService(gateway);
});

const endlessForms = [
	{name: 'chunk extensions', createText: (index: number) => `${crowds.createChunkedHead(index)}1;${'a=b;'.repeat(rowBytes)}`},
	{name: 'trailers', createText: (index: number) => `${crowds.createChunkedHead(index)}1\r\nx\r\n0\r\n${'a: b\r\n'.repeat(rowBytes)}`},
	{name: 'heads', createText: (index: number) => `${crowds.createHead(index, []).slice(0, -2)}${'a: b\r\n'.repeat(rowBytes)}`},
];

// Guards against a process that keeps what never ends.
test.each(endlessForms)('$name without end, on the port of callers', async ({createText}) => {
	await smallMachine.gather(gateway, gateway.front, crowdSize, createText);
	await smallMachine.expectOrdinaryService(gateway);
});

const rows = [
	{name: 'requests to unknown routes', text: 'GET / HTTP/1.1\r\nHost:\r\n\r\n'},
	{name: 'requests without an identifier', text: `GET /price/1 HTTP/1.1\r\nHost: ${gateways.host}\r\n\r\n`},
	{name: 'requests with trailers', text: 'GET / HTTP/1.1\r\nHost:\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na:\r\nb:\r\n\r\n'},
	{name: 'malformed requests', text: 'x\r\n\r\n'},
];

// Guards against a process that runs out of memory by the requests and answers of rows that it has read at once.
test.each(rows)('rows of $name, on the port of callers', async ({text}) => {
	await smallMachine.gather(gateway, gateway.front, crowdSize, () => repeat(text));
	await smallMachine.expectOrdinaryService(gateway);
});

// Guards against a process that keeps the answers of callers that don't take them.
test.each(rows)('rows of $name whose callers take no answer, on the port of callers', async ({text}) => {
	await gatherDeaf(gateway.front, crowdSize, () => repeat(text));
	await smallMachine.expectOrdinaryService(gateway);
});

const otherPorts = [
	{name: 'directory', getAddress: () => gateway.directory, target: '/api/resolve?name=desk.example&region=east&zone=riverside'},
	{name: 'readiness', getAddress: () => gateway.ready, target: '/api/ready'},
	{name: 'metrics', getAddress: () => `${gateway.host}:${gatewayProcess.metricsPort}`, target: '/metrics'},
];
const otherCrowdSize = 2 * smallMachine.machine.maxFds;

/** Expects that a port still answers a new connection. */
async function expectAnswer(address: string, target: string): Promise<void> {
	const {status} = await gateways.send(address, target);
	expect(status).toBe(200);
}

// Guards against a process that runs out of memory by the answers to rows of short requests, above all by the long text of the metrics.
test.each(otherPorts)('rows of requests, on the port of the $name', async ({getAddress, target}) => {
	await smallMachine.gather(gateway, getAddress(), otherCrowdSize, () => repeat(`GET ${target} HTTP/1.1\r\nHost:\r\n\r\n`));
	await expectAnswer(getAddress(), target);
	await smallMachine.expectOrdinaryService(gateway);
});

test.each(otherPorts)('rows of requests whose callers take no answer, on the port of the $name', async ({getAddress, target}) => {
	await gatherDeaf(getAddress(), otherCrowdSize, () => repeat(`GET ${target} HTTP/1.1\r\nHost:\r\n\r\n`));
	await expectAnswer(getAddress(), target);
	await smallMachine.expectOrdinaryService(gateway);
});

test.each(otherPorts)('heads a byte at a time, on the port of the $name', async ({getAddress, target}) => {
	await gatherBytewise(getAddress(), crowdSize, () => `GET ${target} HTTP/1.1\r\nHost:\r\n${shortLines}`);
	await expectAnswer(getAddress(), target);
	await smallMachine.expectOrdinaryService(gateway);
});

// Guards against a process that runs out of memory by frames of a few bytes on the port for other entries.
test.each(peerFrames.forms)('$name whose sender takes no answer, on the port for other entries', async ({createText}) => {
	await gatherDeaf(gateway.peers, crowdSize, () => createText(rowBytes));
	await smallMachine.expectOrdinaryService(gateway);
});

test.each(peerFrames.forms.filter(form => form !== peerFrames.resetRequests))('$name, on the port for other entries', async ({createText}) => {
	await smallMachine.gather(gateway, gateway.peers, crowdSize, () => createText(rowBytes));
	await smallMachine.expectOrdinaryService(gateway);
});

// Guards against a process that runs out of memory by requests that are over before they are handled.
test('rows of requests that are reset, on the port for other entries', async () => {
	await smallMachine.gather(gateway, gateway.peers, crowdSize, () => peerFrames.resetRequests.createText(rowBytes));
	await smallMachine.expectOrdinaryService(gateway);
});

const upstreamForms = [
	{name: 'heads in lines of a few bytes', start: 'HTTP/1.1 200 OK\r\n', part: 'a: b\r\n'},
	{name: 'one header value', start: 'HTTP/1.1 200 OK\r\nA: ', part: 'b'},
	{name: 'interim responses', start: '', part: 'HTTP/1.1 103 Early Hints\r\n\r\n'},
];

/** Starts an upstream that is healthy, and sends bytes without end instead of each response, a part at a time or many. */
async function startEndlessUpstream({start, part}: {start: string; part: string}, partsAtOnce: number): Promise<string> {
	const server = net.createServer(socket => {
		let timer: NodeJS.Timeout | undefined;
		socket.setNoDelay();
		socket.on('error', () => undefined);
		socket.once('close', () => {
			clearInterval(timer);
		});
		socket.on('data', chunk => {
			if (chunk.toString('latin1').includes('/healthz')) {
				socket.write('HTTP/1.1 200 OK\r\nInstance-Id: i-2\r\nUpstream-Load: 0,0,1000,100\r\nContent-Length: 0\r\n\r\n');
				return;
			}

			socket.write(start);
			timer ??= setInterval(() => {
				if (!socket.writableNeedDrain) {
					socket.write(part.repeat(partsAtOnce));
				}
			}, 1);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	gatewayProcess.addCleanup(async () => {
		server.close();
	});
	const address = server.address();
	return `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
}

const paces = [{pace: 'a part at a time', partsAtOnce: 1}, {pace: 'many parts at a time', partsAtOnce: 10_000}];

// Guards against a process that runs out of memory, or serves nobody, by what an upstream sends instead of responses.
test.each(upstreamForms.flatMap(form => paces.map(pace => ({...form, ...pace}))))('$name without end from an upstream, $pace', async ({partsAtOnce, ...form}) => {
	standIns.store.put('keyed.servers', 'i-2', {
		service: 'desk', addr: await startEndlessUpstream(form, partsAtOnce), zone: 'riverside', version: 'v1', slots: 1000, state: 'ready', coldLeftMs: 0, seq: 1, born: 1000,
	});
	await smallMachine.gather(gateway, gateway.front, crowdSize, index => crowds.createHead(2 * index, ['Content-Length: 0']));
	await smallMachine.expectOrdinaryService(gateway);
});
