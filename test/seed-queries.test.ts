/** Tests when an entry asks the entries that it knows from its settings. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as freePorts from '../bench/faults/free-ports.ts';
import type * as sharingTypes from '../src/decisions/sharing/types.ts';
import type * as sharingCodec from '../src/peers/sharing-codec.ts';
import * as peerServer from '../src/peers/peer-server.ts';
import * as sharing from '../src/peers/sharing.ts';
import * as storeStandIn from '../stand-ins/store.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, expect, test} = vitest;

afterEach(gatewayProcess.close);

/** Starts an entry whose only seed is a stand-in of another one, which is ready once it has answered a number of requests. */
async function startWithSeed(answersUntilReady: number) {
	const [port] = await freePorts.findFreePorts(1);
	const peers = `127.0.0.1:${port}`;
	const member: sharingTypes.Member = {
		name: 'edge-1', incarnation: 'a', startedAt: 1000, failureDomain: 'riverside', region: 'east', callerAddress: '127.0.0.1:1', peerAddress: peers, isReady: false, canRead: true, isCutOff: false, linkMegabits: 100, cores: 1, requestsPerSecond: 0,
	};
	const requests: sharingCodec.SharingRequest[] = [];
	const server = await peerServer.createPeerServer({
		host: '127.0.0.1',
		port: port!,
		recordFailure(error) {
			throw error;
		},
		routes: [sharing.createSharingRoutes({
			async handleFollow(request) {
				requests.push(request);
				return {
					storeEra: undefined, ageMilliseconds: 1, recoveryMilliseconds: 0, configuration: undefined, configurationEra: undefined, registryUpdate: undefined, evacuations: undefined, membersSource: 'a', memberUpdate: {
						revision: 1, isComplete: true, members: [{...member, isReady: requests.length > answersUntilReady}], removed: [],
					}, statementsRevision: 0, statements: [],
				};
			},
		})],
	});
	gatewayProcess.addCleanup(async () => server._unsafeUnwrap().close(10));
	const store = await storeStandIn.startStore();
	gatewayProcess.addCleanup(store.close);
	const {gateway} = await gateways.startGateway({name: 'edge-2', storeAddress: store.address, seeds: [peers]});
	gatewayProcess.addCleanup(gateway.leave);
	await gateways.waitUntil(() => requests.length > 0);
	return requests;
}

// Guards against an entry that hears for two seconds after its start only from the store, because the entry that it asked first was not ready yet.
test('an entry asks again soon while it knows no entry that is ready', async () => {
	const requests = await startWithSeed(Number.POSITIVE_INFINITY);
	await timers.setTimeout(1500);
	expect(requests.length).toBeGreaterThanOrEqual(3);
});

// Guards against an entry that asks, but keeps what it heard first.
test('an entry follows one that it knew as unready soon after that says that it is ready', async () => {
	const requests = await startWithSeed(1);
	await timers.setTimeout(1500);
	expect(requests.filter(({waitMilliseconds}) => waitMilliseconds > 0).length).toBeGreaterThan(0);
});
