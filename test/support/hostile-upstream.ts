/** Upstreams that write their responses byte by byte, and attempts at them. */
import * as net from 'node:net';
import * as headerHost from '../../platform/headers.ts';
import * as trafficMemory from '../../src/decisions/admission/traffic-memory.ts';
import type * as retryDecision from '../../src/decisions/outcomes/retry-decision.ts';
import * as bodyCollector from '../../src/entry/body-collector.ts';
import * as gatewayAttempt from '../../src/gateway/gateway-attempt.ts';
import type * as types from '../../src/gateway/types.ts';
import * as upstreamsModule from '../../src/gateway/upstreams.ts';

export const getNow = () => performance.now();
/** Half of it is for responses that are being received. */
const maximumMemoryBytes = 40 * 1024 * 1024;
export const memory = trafficMemory.createTrafficMemory(maximumMemoryBytes);
export const blocks = bodyCollector.createBlockPool();
const cleanups: Array<() => void> = [];

type RequestListener = (socket: net.Socket, requestText: string) => void;

/** Closes all upstreams that were started. */
export function close(): void {
	for (const cleanup of cleanups.splice(0)) {
		cleanup();
	}
}

/** Starts an upstream that passes each request to a listener; a paused upstream leaves requests unread. */
export async function start(onRequest: RequestListener, isPaused = false): Promise<upstreamsModule.Upstream> {
	const server = net.createServer({pauseOnConnect: isPaused}, socket => {
		socket.on('error', () => undefined);
		if (isPaused) {
			onRequest(socket, '');
			return;
		}

		socket.on('data', chunk => {
			onRequest(socket, chunk.toString('latin1'));
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	const port = typeof address === 'object' && address ? address.port : 0;
	const upstreams = upstreamsModule.createUpstreams({
		getMaximumConnections: () => 10, countEntries: () => 1, getAccess: () => ({kind: 'open', selectionShare: 1}), isEvacuated: () => false, getNow,
	}, 'here');
	upstreams.update([{
		id: 'u-1', service: 'desk', address: `127.0.0.1:${port}`, failureDomain: 'here', slots: 4, state: 'ready', warmUpMilliseconds: 0, incarnation: 1, sequence: 1,
	}]);
	cleanups.push(() => {
		upstreams.close();
		server.close();
	});
	return upstreams.listUsable('desk')[0]!;
}

export function createRequest(id: string): types.GatewayRequest {
	return {
		id,
		route: {
			name: 'price', host: 'desk.example', pathPrefix: '/price/', kind: 'idempotent', destinations: [{service: 'desk', weight: 1}], timeoutMilliseconds: 1000, objectiveMilliseconds: 300, maximumAttempts: 2, priority: 0, isPublic: false,
		},
		service: 'desk',
		workspace: undefined,
		isRelayed: false,
		configurationVersion: 1,
		method: 'GET',
		path: '/price/1',
		headers: [['host', 'desk.example'], ['attempt-id', id]],
		body: {kind: 'none'},
		receivedAt: getNow(),
		deadlineAt: getNow() + 1000,
	};
}

export type AttemptResult = {readonly end: retryDecision.AttemptEnd; readonly answer: gatewayAttempt.AttemptResponse | undefined};

const createAttemptHost = (getTime: () => number): gatewayAttempt.GatewayAttemptHost => ({
	headers: headerHost.createHeaderHost(), memory, blocks, getNow: getTime, recordStatements: () => undefined, recordFailure(error) {
		throw error;
	},
});

const createSelection = (upstream: upstreamsModule.Upstream) => ({
	kind: 'selected', upstream, connection: undefined, expectedMilliseconds: 10, checks: 0,
} as const);

/** Starts an attempt with a clock of its own. */
export function startAttempt(upstream: upstreamsModule.Upstream, request: types.GatewayRequest, getTime: () => number, onEnd: (end: retryDecision.AttemptEnd) => void): void {
	gatewayAttempt.createGatewayAttempt(createAttemptHost(getTime), {...request, refusedOn: new Set(), maximumExecutions: 1}, createSelection(upstream), {onSent: () => undefined, onEnd}).start();
}

/** Makes an attempt; `afterSending` is called once the request has been written. */
export async function attempt(upstream: upstreamsModule.Upstream, id: string, afterSending: () => Promise<void> = async () => undefined): Promise<AttemptResult> {
	return new Promise(resolve => {
		gatewayAttempt.createGatewayAttempt(createAttemptHost(getNow), {...createRequest(id), refusedOn: new Set(), maximumExecutions: 1}, createSelection(upstream), {
			onSent() {
				setImmediate(() => {
					void afterSending();
				});
			},
			onEnd(end, answer) {
				resolve({end, answer});
			},
		}).start();
	});
}
