/** Tests of idempotency key claims and of forwarding between entries, over the real protocols of the log and the peers. */
import * as crypto from 'node:crypto';
import * as vitest from 'vitest';
import {createKeyPrefix} from '../src/decisions/outcomes/idempotency-key.ts';
import {createClaimStage} from '../src/entry/claim-stage.ts';
import {type KeyedCallDecision, type KeyedCall} from '../src/entry/claim-stage-types.ts';
import {createForwardingClient} from '../src/peers/forwarding-client.ts';
import {createForwardingRoutes} from '../src/peers/forwarding-service.ts';
import {createPeerServer} from '../src/peers/peer-server.ts';
import {createClaimLog} from '../src/platform/claim-log.ts';
import {createHttpLog} from '../src/platform/http-log.ts';
import {createLogService, type LogService} from '../stand-ins/log-service.ts';

const {expect, test} = vitest;

function now(): number {
	return performance.now();
}

function createLog(service: LogService, incarnation: string) {
	return createClaimLog({
		incarnation, windowMilliseconds: 600_000, maximumClaims: 10_000, getMaximumAppendsPerSecond: () => 100,
	}, {
		log: createHttpLog(service.url), createId: crypto.randomUUID, now, wallNow: Date.now,
	});
}

async function startNode(service: LogService, incarnation: string, addresses: Map<string, string>) {
	const claimLog = createLog(service, incarnation);
	const forwarding = createForwardingClient();
	const stage = createClaimStage({incarnation, maximumBytes: 100_000, keyLifetimeMilliseconds: 600_000}, {
		claimLog, forwarding, now, wallNow: Date.now, getPeerAddress: name => addresses.get(name),
	});
	const runs = new Map<string, number>();

	/** Handles a claim decision as the call pipeline does; the response to an executed call contains its key. */
	const resolveDecision = async (key: string, decision: KeyedCallDecision): Promise<string> => {
		if (decision.kind === 'relay') {
			return new TextDecoder().decode(decision.answer.body);
		}

		if (decision.kind === 'settled') {
			const {answer, outcome, evidence} = decision.settled;
			return answer ? new TextDecoder().decode(answer.body) : `${outcome} ${evidence.kind}`;
		}

		decision.ticket.markDispatched();
		runs.set(key, (runs.get(key) ?? 0) + 1);
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
		const body = new TextEncoder().encode(`answer to ${key}`);
		decision.ticket.finish('ran', {statusCode: 200, headers: [], body});
		return `answer to ${key}`;
	};

	const call = async (key: KeyedCall['key'], isDeclaredFirst = false, timeoutMilliseconds = 2000) => resolveDecision(key.text, await stage.decide({
		key, isDeclaredFirst, deadlineAt: now() + timeoutMilliseconds,
		readCall: async () => ({
			method: 'POST', path: '/', headers: [['idempotency-key', key.text]], body: new Uint8Array(),
		}),
	}));

	const opened = await createPeerServer({
		host: '127.0.0.1',
		port: 0,
		recordFailure(error) {
			throw error;
		},
		routes: [createForwardingRoutes({
			incarnation,
			applyHandover: claimLog.applyHandover,
			async executeCall(forwarded) {
				const text = forwarded.headers[0]![1];
				const bucket = Number.parseInt(/~(?<bucket>\w+)\./v.exec(text)?.groups?.bucket ?? '0', 36);
				const lookedUp = forwarded.isLookup ? await stage.lookUp(text, now() + forwarded.timeoutMilliseconds) : undefined;
				const body = lookedUp
					? await resolveDecision(text, {kind: 'settled', settled: lookedUp})
					: await call({
						kind: 'bound', text, incarnation, bucket,
					});
				return {
					statusCode: 200, headers: [], body: new TextEncoder().encode(body), outcome: 'unknown',
				};
			},
		})],
	});
	const server = opened._unsafeUnwrap();
	addresses.set(incarnation, `127.0.0.1:${server.port}`);
	return {
		stage, claimLog, forwarding, runs, call,
		async close() {
			addresses.delete(incarnation);
			forwarding.close();
			await claimLog.stop();
			await server.close(50);
		},
	};
}

function createBoundKey(incarnation: string, random: string): KeyedCall['key'] {
	const prefix = createKeyPrefix(incarnation, Date.now());
	return {
		kind: 'bound', text: `${prefix}.${random}`, incarnation, bucket: Number.parseInt(prefix.split('~')[1]!, 36),
	};
}

function createCallerKey(text: string): KeyedCall['key'] {
	return {kind: 'caller-made', text};
}

test('racing claims of one key have exactly one winner while half of the append responses are lost', async () => {
	const service = await createLogService({faults: {lostAnswerShare: 0.5, seed: 5}});
	const addresses = new Map<string, string>();
	const nodes = [await startNode(service, 'a', addresses), await startNode(service, 'b', addresses)];
	const keys = Array.from({length: 60}, (_key, index) => createCallerKey(`key-${index}`));
	const answers = await Promise.all(keys.flatMap(key => nodes.map(async node => node.call(key, true))));
	expect(answers).toEqual(keys.flatMap(key => nodes.map(() => `answer to ${key.text}`)));
	const runs = nodes.flatMap(node => [...node.runs.values()]);
	expect(runs).toEqual(Array.from({length: 60}, () => 1));
	await Promise.all(nodes.map(async node => node.close()));
	await service.close();
});

test('while the log is down, only first uses are reported as not-run, and an abandoned claim is never executed', async () => {
	const service = await createLogService({faults: {down: true}});
	const node = await startNode(service, 'a', new Map());
	expect(await node.call(createCallerKey('first'), true, 200)).toBe('not-run claim-undecided');
	expect(await node.call(createCallerKey('repeat'), false, 200)).toBe('unknown claim-undecided');
	service.setFaults({down: false, appendDelayMilliseconds: 400});
	expect(await node.call(createCallerKey('slow'), true, 300)).toBe('not-run claim-undecided');
	await vitest.vi.waitUntil(() => node.claimLog.getClaim('slow')?.outcome === 'not-run', {timeout: 10_000});
	expect(await node.call(createCallerKey('slow'))).toBe('not-run recorded');
	expect(node.runs.size).toBe(0);
	await node.close();
	await service.close();
});

test('calls with a bound key are forwarded to its owner; the outcome is unknown after a crash of the owner and recorded after a graceful stop', async () => {
	const service = await createLogService();
	const addresses = new Map<string, string>();
	const [owner, other, killed] = [await startNode(service, 'a', addresses), await startNode(service, 'b', addresses), await startNode(service, 'c', addresses)];
	const key = createBoundKey('a', 'one');
	expect(await Promise.all([other.call(key), owner.call(key), other.call(key)])).toEqual(Array.from({length: 3}, () => `answer to ${key.text}`));
	expect([...owner.runs, ...other.runs]).toEqual([[key.text, 1]]);

	const lostKey = createBoundKey('c', 'two');
	await killed.call(lostKey);
	await killed.close();
	expect(await other.call(lostKey)).toBe('unknown owner-gone');

	expect(await owner.claimLog.handOver(owner.stage.seal(), 2000)).toBe(true);
	expect(await owner.call(createBoundKey('a', 'late'))).toBe('not-run refused-before-dispatch');
	await owner.close();
	expect(await other.call(key)).toBe('ran recorded');
	expect(await other.call(createBoundKey('a', 'three'))).toBe('not-run refused-before-dispatch');
	expect(owner.runs.size + other.runs.size).toBe(1);
	await other.close();
	await service.close();
});

test('an entry that is stopping hands over its key table to a peer while the log is down', async () => {
	const service = await createLogService({faults: {down: true}});
	const addresses = new Map<string, string>();
	const [owner, other] = [await startNode(service, 'a', addresses), await startNode(service, 'b', addresses)];
	const key = createBoundKey('a', 'one');
	await owner.call(key);
	expect(await owner.forwarding.handOver(addresses.get('b')!, owner.stage.seal(), 1000)).toBe(true);
	await owner.close();
	expect(await other.call(key)).toBe('ran recorded');
	await other.close();
	await service.close();
});

test('claims are not executed after records of the claim log expired unread', async () => {
	const service = await createLogService();
	const node = await startNode(service, 'a', new Map());
	expect(await node.call(createCallerKey('before'))).toBe('answer to before');
	service.setFaults({readDelayMilliseconds: 300});
	const log = createHttpLog(service.url);
	await log.append('claims', 'x', {kind: 'unreadable'}, 1000);
	service.expire('claims', 1000);
	service.setFaults({readDelayMilliseconds: 0});
	expect(await node.call(createCallerKey('after'))).toBe('unknown log-gap');
	expect(node.runs.has('after')).toBe(false);
	await node.close();
	await service.close();
});
