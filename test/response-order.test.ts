/** Plays rows of requests on one connection in random orders of requests, answers, refusals and stops. */
import * as timers from 'node:timers/promises';
import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as configurationCodec from '../platform/configuration-codec.ts';
import * as headerHost from '../platform/headers.ts';
import * as smallChunks from '../src/decisions/admission/small-chunks.ts';
import * as trafficMemory from '../src/decisions/admission/traffic-memory.ts';
import * as routeTable from '../src/decisions/configuration/route-table.ts';
import * as workspaceKeys from '../src/decisions/configuration/workspace-keys.ts';
import * as random from '../src/decisions/random.ts';
import type * as callRunner from '../src/gateway/call-runner.ts';
import * as frontServer from '../src/gateway/front-server.ts';
import * as portLimits from '../src/gateway/port-limits.ts';
import * as gateways from './support/gateways.ts';
import * as rawCaller from './support/raw-caller.ts';

const {expect, test} = vitest;

type Action
	= | {readonly kind: 'requests'; readonly count: number; readonly isIdempotent: boolean}
		| {readonly kind: 'answer'; readonly position: number; readonly hasOwnEnd: boolean; readonly bytes: number}
		| {readonly kind: 'malformed' | 'leave' | 'stop' | 'wait'};

const actions = fc.array(fc.oneof(
	{weight: 5, arbitrary: fc.record({kind: fc.constant('requests' as const), count: fc.integer({min: 1, max: 3}), isIdempotent: fc.boolean()})},
	{
		weight: 5, arbitrary: fc.record({
			kind: fc.constant('answer' as const), position: fc.nat({max: 10}), hasOwnEnd: fc.boolean(), bytes: fc.constantFrom(10, 200_000),
		}),
	},
	{weight: 2, arbitrary: fc.record({kind: fc.constantFrom('malformed' as const, 'leave' as const, 'stop' as const, 'wait' as const)})},
), {minLength: 3, maxLength: 16});

/** A request that was passed on and is not answered yet. */
type StartedCall = {readonly id: string; readonly target: callRunner.ResponseTarget};

async function startServer() {
	const published = configurationCodec.decodeConfiguration(gateways.createConfiguration(1));
	if (published.kind !== 'published') {
		throw new Error(published.reason);
	}

	const {configuration} = published;
	const memory = trafficMemory.createTrafficMemory(100_000_000);
	const getNow = () => performance.now();
	const ports = portLimits.createPortLimits({
		memory, maximumSockets: 1000, getNow, onClosed: () => undefined,
	});
	const started: StartedCall[] = [];
	const cuts: unknown[] = [];
	let isLeaving = false;
	const server = frontServer.createFrontServer({
		headers: headerHost.createHeaderHost(),
		random: random.createRandomSource(1),
		memory,
		ports,
		smallChunks: smallChunks.createSmallChunkWatch(),
		getActiveConfiguration: () => ({
			configuration, routes: routeTable.createRouteTable(configuration), keys: workspaceKeys.createKeyTable([]), era: 0,
		}),
		isStale: () => false,
		isLeaving: () => isLeaving,
		canFinish: () => true,
		getExpectedMilliseconds: () => 1,
		getNow,
		admit: () => () => undefined,
		getAllowanceRetryMilliseconds: () => 1,
		startCall({id}, target) {
			started.push({id, target});
			return {cancel: () => undefined, refuseUnsent: () => undefined};
		},
		recordRefusal: () => undefined,
		recordFailure(error) {
			throw error;
		},
		recordRequestAhead: () => undefined,
		recordCut(cut) {
			cuts.push(cut);
		},
	});
	server.setLimits(configuration.limits);
	await new Promise<void>(resolve => {
		server.server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.server.address();
	return {
		server, started, cuts, address: `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`,
		leave() {
			isLeaving = true;
		},
		close() {
			server.reset();
			ports.close();
			server.server.close();
		},
	};
}

const createBody = (id: string, bytes: number) => new TextEncoder().encode(id.padEnd(bytes, '.'));

/** Splits what a caller received into responses; one without a length takes all that follows. */
function listResponses(text: string): ReadonlyArray<{readonly status: number; readonly body: string; readonly isComplete: boolean}> {
	const responses: Array<{readonly status: number; readonly body: string; readonly isComplete: boolean}> = [];
	for (let rest = text; rest !== '';) {
		const headEnd = rest.indexOf('\r\n\r\n');
		const head = rest.slice(0, headEnd);
		const length = /content-length: (?<length>\d+)/iv.exec(head)?.groups!.length;
		const bodyStart = headEnd + 4;
		const bodyEnd = length === undefined ? rest.length : bodyStart + Number(length);
		responses.push({status: Number(head.slice(9, 12)), body: rest.slice(bodyStart, bodyEnd), isComplete: headEnd >= 0 && bodyEnd <= rest.length});
		rest = headEnd < 0 ? '' : rest.slice(bodyEnd);
	}

	return responses;
}

/** Plays an order until the connection is closed, and checks what its caller received. */
async function play(order: readonly Action[]): Promise<void> {
	const host = await startServer();
	const caller = rawCaller.connect(host.address);
	const bodies = new Map<string, string>();
	const open: StartedCall[] = [];
	let sent = 0;
	const createNext = (isIdempotent: boolean) => rawCaller.createRequest(String(sent++), isIdempotent ? {} : {path: '/credit/1', method: 'POST', body: 'x'});
	let taken = 0;
	const takeStarted = () => {
		open.push(...host.started.slice(taken));
		taken = host.started.length;
	};

	const answer = (position: number, hasOwnEnd: boolean, bytes: number) => {
		takeStarted();
		const [call] = open.splice(position % Math.max(1, open.length), 1);
		if (!call) {
			return;
		}

		const body = createBody(call.id, bytes);
		bodies.set(call.id, new TextDecoder().decode(body));
		call.target.respond({
			statusCode: 200, headers: [['attempt-id', call.id]], body, hasOwnEnd, isOwn: false,
		});
	};

	for (const action of order) {
		switch (action.kind) {
			case 'requests': {
				caller.socket.write(Array.from({length: action.count}, () => action.isIdempotent).map(isIdempotent => createNext(isIdempotent)).join(''));
				break;
			}

			case 'answer': {
				answer(action.position, action.hasOwnEnd, action.bytes);
				break;
			}

			case 'malformed': {
				caller.socket.write('nonsense\r\n\r\n');
				break;
			}

			case 'leave': {
				host.leave();
				break;
			}

			case 'stop': {
				host.leave();
				await host.server.stop();
				break;
			}

			case 'wait': {
				await timers.setTimeout(3);
				break;
			}
		}

		await timers.setImmediate();
	}

	await timers.setTimeout(5);
	host.leave();
	for (let count = 0; count < 100 && (host.server.countOpen() > 0 || open.length > 0); count++) {
		answer(0, true, 10);
		await timers.setTimeout(open.length > 0 ? 0 : 2);
		takeStarted();
	}

	await host.server.stop();
	await caller.closed;
	host.close();
	const responses = listResponses(caller.getText());
	const answered = responses.filter(({status}) => status === 200);
	expect(responses.every(({isComplete}) => isComplete)).toBe(true);
	expect(answered.map(({body}) => body)).toEqual(host.started.map(({id}) => Number(id)).toSorted((first, second) => first - second).map(id => bodies.get(String(id))));
	expect(responses.findIndex(({status}) => status !== 200)).toSatisfy((index: number) => index === -1 || index === responses.length - 1);
	expect(host.cuts).toEqual([]);
}

// Guards against requests that are passed on and end with their connection, and answers that come in another order or in part.
test('in any order of requests, answers, refusals and stops, each request that was passed on is answered whole and in its turn', async () => {
	await fc.assert(fc.asyncProperty(actions, play), {seed: 59, numRuns: 150});
});

// Guards against a caller that isn't told to leave because the answer to its last request was ready before another one.
test('the last of a row of answers closes the connection, whichever was ready first', async () => {
	const host = await startServer();
	const caller = rawCaller.connect(host.address);
	caller.socket.write(rawCaller.createRequest('0') + rawCaller.createRequest('1'));
	await gateways.waitUntil(() => host.started.length === 2);
	host.leave();
	for (const {id, target} of host.started.toReversed()) {
		target.respond({
			statusCode: 200, headers: [['attempt-id', id]], body: createBody(id, 1), hasOwnEnd: true, isOwn: false,
		});
	}

	await caller.closed;
	host.close();
	expect(caller.listAnswered()).toEqual(['0', '1']);
	expect(caller.getText().split('HTTP/1.1').map(text => /connection: close/iv.test(text))).toEqual([false, false, true]);
});
