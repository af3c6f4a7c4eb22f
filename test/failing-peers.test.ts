/** Tests that an error thrown while a request of another entry is handled ends that request and nothing else. */
import * as protobuf from '@bufbuild/protobuf';
import * as connect from '@connectrpc/connect';
import * as vitest from 'vitest';
import * as freePorts from '../bench/faults/free-ports.ts';
import * as trafficMemory from '../src/decisions/admission/traffic-memory.ts';
import * as messageLimits from '../src/gateway/message-limits.ts';
import * as generated from '../src/generated/membership_pb.ts';
import * as peerServer from '../src/peers/peer-server.ts';
import * as peerTransports from '../src/peers/peer-transports.ts';
import * as platformUpstream from '../stand-ins/platform-upstream.ts';
import * as storeStandIn from '../stand-ins/store.ts';
import * as gateways from './support/gateways.ts';

const {expect, test} = vitest;

// Guards against a process that one request of another entry ends, and against errors of its handlers that nobody sees.
test('requests of a session are answered although the method or the memory of others throws', async () => {
	const failures: unknown[] = [];
	const answers: Array<() => void> = [];
	const memory = trafficMemory.createTrafficMemory(10_000_000);
	let isMemoryFailing = false;
	const limits = messageLimits.createMessageLimits({
		...memory, claim(...values) {
			if (isMemoryFailing) {
				isMemoryFailing = false;
				throw new Error('no claim');
			}

			return memory.claim(...values);
		},
	}, () => performance.now());
	const opened = await peerServer.createPeerServer({
		host: '127.0.0.1',
		port: 0,
		...limits,
		routes: [router => {
			router.service(generated.MembershipService, {
				async exchange({tablePosition}) {
					if (tablePosition === 0n) {
						throw new Error('injected');
					}

					if (tablePosition === 1n) {
						await new Promise<void>(resolve => {
							answers.push(resolve);
						});
					}

					return protobuf.create(generated.DigestSchema, {tablePosition});
				},
			});
		}],
		recordFailure(error, method) {
			failures.push([String(error), method]);
		},
	});
	const server = opened._unsafeUnwrap();
	const transports = peerTransports.createPeerTransports();
	const client = connect.createClient(generated.MembershipService, transports.get(`127.0.0.1:${server.port}`));
	const running = client.exchange({tablePosition: 1n});
	await gateways.waitUntil(() => answers.length === 1);
	await expect(client.exchange({tablePosition: 0n})).rejects.toMatchObject({code: connect.Code.Internal});
	isMemoryFailing = true;
	await expect(client.exchange({tablePosition: 2n})).rejects.toThrow();
	expect(await client.exchange({tablePosition: 3n})).toMatchObject({tablePosition: 3n});
	answers[0]!();
	expect(await running).toMatchObject({tablePosition: 1n});
	expect(failures).toEqual([['Error: injected', 'Exchange'], ['Error: no claim', undefined]]);
	transports.close();
	await server.close(100);
});

test('a gateway that fails to handle the news of another logs it, serves its callers and hears it again', async () => {
	const store = await storeStandIn.startStore();
	const upstream = await platformUpstream.startPlatformUpstream('i-1');
	store.put('keyed.op', 'config', gateways.createConfiguration(4));
	gateways.register(store, upstream);
	const [metricsPort] = await freePorts.findFreePorts(1);
	const lines: string[] = [];
	let hasThrown = false;
	const log = (name: string, fields: Readonly<Record<string, unknown>> = {}) => {
		lines.push(`${name} ${String(fields.port)} ${String(fields.method)} ${String(fields.reason).split('\n', 1)[0]}`);
		if (name === 'member-heard' && !hasThrown) {
			hasThrown = true;
			throw new Error('injected');
		}
	};

	const first = await gateways.startGateway({
		name: 'first', storeAddress: store.address, metricsPort: metricsPort!, logger: {
			error: log, warn: log, info: log, debug: log,
		},
	});
	await gateways.waitUntil(async () => gateways.isReady(first));
	const second = await gateways.startGateway({name: 'second', storeAddress: store.address, seeds: [first.peers]});
	await gateways.waitUntil(() => hasThrown);
	expect(await gateways.send(first.front, '/price/1')).toMatchObject({status: 200});
	await gateways.waitUntil(async () => {
		const {body} = await gateways.send(`127.0.0.1:${metricsPort}`, '/metrics');
		return body.includes('fescuering_gateway_members 2') && body.includes('fescuering_gateway_failed_handlers_total{port="peers"} 1');
	});
	expect(lines.filter(line => line.startsWith('handler-failed'))).toEqual(['handler-failed peers Follow Error: injected']);
	await Promise.all([first.gateway.leaveAtOnce(), second.gateway.leaveAtOnce()]);
	await Promise.all([upstream.close(), store.close()]);
});
