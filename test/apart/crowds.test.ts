/**
Tests of gateways that meet crowds of callers which stop in the middle of what they send, with real processes.

They check that the process lives, that its memory and descriptors stay within those of its machine, and that it still
answers one ordinary request, but no times. They run one at a time, apart from other tests.
*/
import * as crypto from 'node:crypto';
import * as http2 from 'node:http2';
import * as vitest from 'vitest';
import * as platformUpstream from '../../stand-ins/platform-upstream.ts';
import * as crowds from '../support/crowd.ts';
import * as gatewayProcess from '../support/gateway-process.ts';
import * as gateways from '../support/gateways.ts';
import * as smallMachine from '../support/small-machine.ts';

const {afterEach, beforeEach, expect, test} = vitest;

const crowdSize = 128;
const maximumBodyBytes = 67_108_864;
/** Enough for the whole crowd, so that none is refused by the upstream. */
const otherUpstreamSlots = 1000;

let standIns: gatewayProcess.StandIns;
let gateway: gatewayProcess.GatewayProcess;

beforeEach(async () => {
	standIns = await gatewayProcess.startStandIns();
	standIns.store.put('keyed.op', 'config', smallMachine.createConfiguration(maximumBodyBytes));
	gateway = await smallMachine.start(standIns.store.address);
});

afterEach(gatewayProcess.close);

const gather = async (address: string, count: number, createText: (index: number) => string) => smallMachine.gather(gateway, address, count, createText);
const expectOrdinaryService = async () => smallMachine.expectOrdinaryService(gateway);

async function startOtherUpstream(): Promise<void> {
	const upstream = await platformUpstream.startPlatformUpstream('i-2', otherUpstreamSlots);
	gatewayProcess.addCleanup(upstream.close);
	gateways.register(standIns.store, upstream, {slots: otherUpstreamSlots});
}

const forms: ReadonlyArray<{readonly name: string; createText(index: number): string}> = [
	{name: 'bodies in large chunks', createText: index => crowds.createChunkedHead(index) + crowds.largeChunks(15)},
	{name: 'bodies in chunks of one byte', createText: index => crowds.createChunkedHead(index) + crowds.smallChunks(20_000)},
	{name: 'bodies in large chunks and chunks of one byte', createText: index => crowds.createChunkedHead(index) + crowds.largeChunks(8) + crowds.smallChunks(10_000)},
	{name: 'chunks of one byte with extensions', createText: index => crowds.createChunkedHead(index) + '1;a=b\r\nx\r\n'.repeat(20_000)},
	{name: 'trailers of small pieces', createText: index => `${crowds.createChunkedHead(index)}1\r\nx\r\n0\r\n${'a: b\r\n'.repeat(2000)}`},
	{name: 'bodies whose length is known', createText: index => crowds.createHead(index, ['Content-Length: 950000']) + 'x'.repeat(949_999)},
	{name: 'heads', createText: index => crowds.createHead(index, Array.from({length: 2000}, () => 'a: b')).slice(0, -2)},
	{name: 'bodies in large chunks, as if other entries passed them on', createText: index => crowds.createChunkedHead(index, ['Fescuering-Relayed: 1']) + crowds.largeChunks(15)},
	{name: 'bodies in chunks of one byte behind an unanswered request', createText: index => `${crowds.createHead(2 * index, ['Content-Length: 0'])}${crowds.createChunkedHead(index)}${crowds.smallChunks(20_000)}`},
];

// Guards against a process that runs out of memory by requests that stop just short of their end.
test.each(forms)('$name that stop short of their end', async ({createText}) => {
	await gather(gateway.front, crowdSize, createText);
	await expectOrdinaryService();
});

// Guards against a process that runs out of memory by complete requests that it holds.
test('bodies in large chunks that are held because the upstreams are busy', async () => {
	standIns.upstream.setBehavior({kind: 'answer', milliseconds: smallMachine.routeTimeoutMilliseconds});
	await gather(gateway.front, crowdSize, index => `${crowds.createChunkedHead(index)}${crowds.largeChunks(15)}0\r\n\r\n`);
	await startOtherUpstream();
	await expectOrdinaryService();
});

// Guards against a process that has no descriptors left because of callers that only connect.
test('connections without a request', async () => {
	await gather(gateway.front, 2 * smallMachine.machine.maxFds, () => '');
	await expectOrdinaryService();
});

// Guards against a process that runs out of memory by many requests on one connection.
test('requests behind an unanswered one', async () => {
	standIns.upstream.setBehavior({kind: 'answer', milliseconds: smallMachine.routeTimeoutMilliseconds});
	await gather(gateway.front, 8, index => crowds.createHead(2 * index, ['Content-Length: 0']).repeat(4000));
	await startOtherUpstream();
	await expectOrdinaryService();
});

const otherPorts = ['directory', 'ready'] as const;

test.each(otherPorts)('a crowd at the port of %s', async name => {
	await gather(gateway[name], 2 * smallMachine.machine.maxFds, index => crowds.createChunkedHead(index) + crowds.smallChunks(5000));
	const answer = await gateways.send(gateway[name], name === 'ready' ? '/api/ready' : '/api/resolve?name=desk.example&region=east&zone=riverside');
	expect(answer.status).toBe(200);
	await expectOrdinaryService();
});

test('a crowd at the port of the metrics', async () => {
	await gather(`${gateway.host}:${gatewayProcess.metricsPort}`, 2 * smallMachine.machine.maxFds, index => crowds.createChunkedHead(index) + crowds.smallChunks(5000));
	await expectOrdinaryService();
});

/** Creates the chunks of a body of the given size. */
function * createChunks(bodyBytes: number, chunkBytes: number): Generator<string> {
	for (let rest = bodyBytes; rest > 0; rest -= chunkBytes) {
		yield 'x'.repeat(Math.min(rest, chunkBytes));
	}
}

const singleRequests = [
	{
		name: 'the largest body, whose length is known', bodyBytes: maximumBodyBytes, chunkBytes: 65_536, isChunked: false,
	},
	{
		name: 'the largest body, in large chunks', bodyBytes: maximumBodyBytes, chunkBytes: 65_536, isChunked: true,
	},
	{
		name: 'a buffered body in chunks of one byte', bodyBytes: 300_000, chunkBytes: 1, isChunked: true,
	},
	{
		name: 'a streamed body in chunks of one byte', bodyBytes: 1_200_000, chunkBytes: 1, isChunked: true,
	},
];

// Guards against limits that callers inside those of the configuration meet.
test.each(singleRequests)('a single request with $name is served', async ({bodyBytes, chunkBytes, isChunked}) => {
	const text = await crowds.sendStream(gateway.front, createChunks(bodyBytes, chunkBytes), isChunked ? {} : {'content-length': String(bodyBytes)});
	const digest = crypto.createHash('sha256').update('x'.repeat(bodyBytes)).digest('hex');
	expect(text).toContain(digest);
	await expectOrdinaryService();
});

// Guards against a process that runs out of memory by messages to the port for other entries.
test('messages to the port for other entries that stop short of their end', async () => {
	const streamsPerSession = 8;
	for (let count = 0; count < 40; count++) {
		const session = http2.connect(`http://${gateway.peers}`);
		session.on('error', () => undefined);
		gatewayProcess.addCleanup(async () => {
			session.destroy();
		});
		for (let index = 0; index < streamsPerSession; index++) {
			const stream = session.request({[http2.constants.HTTP2_HEADER_METHOD]: 'POST', [http2.constants.HTTP2_HEADER_PATH]: '/fescuering.sharing.v1.SharingService/Follow', 'content-type': 'application/proto'});
			stream.on('error', () => undefined);
			stream.write(new Uint8Array(1_000_000));
		}
	}

	await crowds.waitUntilRead(gateway.peers, gateway.hasEnded);
	await expectOrdinaryService();
});
