/** Tests of workspaces with keys and allowances, with gateways in this process. */
import * as net from 'node:net';
import * as vitest from 'vitest';
import * as platformUpstream from '../stand-ins/platform-upstream.ts';
import * as storeStandIn from '../stand-ins/store.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;

let store: storeStandIn.StoreStandIn;
let upstream: platformUpstream.PlatformUpstream;

type Tenant = {readonly name: string; readonly apiKeys: readonly string[]; readonly priority?: number; readonly ratePerS?: number; readonly burst?: number};

const clubs: readonly Tenant[] = [{name: 'club', apiKeys: ['club-key', 'other key/=']}, {name: 'press', apiKeys: ['press-key']}];

function publish(version: number, tenants: readonly Tenant[]): void {
	const configuration = gateways.createConfiguration(version, ['/price/', '/credit/', '/open/']);
	store.put('keyed.op', 'config', {
		...configuration,
		tenants,
		listeners: configuration.listeners.map(listener => ({
			...listener, rules: listener.rules.map(rule => ({...rule, public: rule.name === '/open/'})),
		})),
	});
}

beforeEach(async () => {
	store = await storeStandIn.startStore();
	upstream = await platformUpstream.startPlatformUpstream('i-1', 100);
	gatewayProcess.addCleanup(store.close);
	gatewayProcess.addCleanup(upstream.close);
	publish(4, clubs);
	gateways.register(store, upstream, {slots: 100});
});

afterEach(gatewayProcess.close);

async function startGateway(name = 'edge-1', seeds: readonly string[] = []): Promise<gateways.RunningGateway> {
	const running = await gateways.startGateway({name, storeAddress: store.address, seeds});
	gatewayProcess.addCleanup(running.gateway.leave);
	await gateways.waitUntil(async () => gateways.isReady(running));
	return running;
}

const send = async ({front}: gateways.RunningGateway, authorization: string | undefined, path = '/price/1', headers: Readonly<Record<string, string>> = {}) =>
	gateways.send(front, path, 'GET', '', {...headers, ...(authorization === undefined ? {} : {authorization})});

// Guards against keys that are passed on, and against callers that claim to be another workspace.
test('an upstream learns the workspace of the key, never the key or what the caller claims', async () => {
	const gateway = await startGateway();
	for (const authorization of ['Bearer club-key', 'bEARER   club-key ', 'Bearer other key/=']) {
		const {status} = await send(gateway, authorization, '/price/1', {tenant: 'press', connection: 'tenant, authorization'});
		expect(status).toBe(200);
	}

	for (const {headers} of upstream.receivedRequests) {
		expect(headers.tenant).toBe('club');
		expect(headers.authorization).toBeUndefined();
	}
});

test.each([
	{authorization: undefined, status: 401},
	{authorization: 'Bearer unknown', status: 401},
	{authorization: 'Basic club-key', status: 400},
	{authorization: 'Bearer ', status: 400},
])('a request with the key "$authorization" gets $status and doesn\'t run', async ({authorization, status}) => {
	const gateway = await startGateway();
	const answer = await send(gateway, authorization);
	expect(answer.status).toBe(status);
	expect(answer.headers['www-authenticate']).toBe(status === 401 ? 'Bearer' : undefined);
	expect(upstream.receivedRequests).toEqual([]);
});

test('two keys in one request are refused, whichever comes first', async () => {
	const gateway = await startGateway();
	const [host, port] = gateway.front.split(':');
	const socket = net.connect(Number(port), host);
	socket.write(`GET /price/1 HTTP/1.1\r\nHost: ${gateways.host}\r\nAttempt-Id: a\r\nAuthorization: Bearer club-key\r\nAuthorization: Bearer press-key\r\n\r\n`);
	const text = await new Promise<string>(resolve => {
		socket.once('data', chunk => {
			resolve(String(chunk));
		});
	});
	socket.destroy();
	expect(text).toMatch(/^HTTP\/1.1 400 /v);
	expect(upstream.receivedRequests).toEqual([]);
});

// Guards against responses that reach the caller of another request on the same connection.
test('requests that are sent before the first one is answered are answered in their order', async () => {
	const gateway = await startGateway();
	const [host, port] = gateway.front.split(':');
	const socket = net.connect(Number(port), host);
	const ids = Array.from({length: 12}, (_value, index) => `id-${index}`);
	const createRequest = (id: string) => `GET /price/1 HTTP/1.1\r\nHost: ${gateways.host}\r\nAttempt-Id: ${id}\r\nAuthorization: Bearer ${Number(id.slice(3)) % 3 === 0 ? 'unknown' : 'club-key'}\r\n\r\n`;
	socket.write(ids.map(id => createRequest(id)).join(''));
	const statuses = await new Promise<readonly string[]>(resolve => {
		let text = '';
		socket.on('data', chunk => {
			text += String(chunk);
			const lines = [...text.matchAll(/HTTP\/1.1 (?<status>\d{3}) /gv)].map(match => match.groups!.status!);
			if (lines.length === ids.length) {
				resolve(lines);
			}
		});
	});
	socket.destroy();
	expect(statuses).toEqual(ids.map(id => Number(id.slice(3)) % 3 === 0 ? '401' : '200'));
	expect(upstream.executedRequestIds.toSorted()).toEqual(ids.filter(id => Number(id.slice(3)) % 3 !== 0).toSorted());
});

test('a public route needs no key, and no claim or key of its caller reaches the upstream', async () => {
	const gateway = await startGateway();
	const answers = [await send(gateway, undefined, '/open/1', {tenant: 'press'}), await send(gateway, 'Bearer unknown', '/open/1')];
	expect(answers.map(({status}) => status)).toEqual([200, 200]);
	for (const {headers} of upstream.receivedRequests) {
		expect(headers.tenant).toBeUndefined();
		expect(headers.authorization).toBeUndefined();
	}
});

test('keys that are moved, withdrawn and added are in force with their configuration', async () => {
	const gateway = await startGateway();
	publish(9, [{name: 'club', apiKeys: ['new-key']}, {name: 'press', apiKeys: ['press-key', 'club-key']}]);
	await gateways.waitUntil(async () => {
		const answer = await send(gateway, 'Bearer new-key');
		return answer.status === 200;
	});
	const moved = await send(gateway, 'Bearer club-key');
	expect(moved.status).toBe(200);
	expect(upstream.receivedRequests.at(-1)!.headers.tenant).toBe('press');
	publish(12, [{name: 'press', apiKeys: ['press-key']}]);
	await gateways.waitUntil(async () => {
		const answer = await send(gateway, 'Bearer new-key');
		return answer.status === 401;
	});
	const kept = await send(gateway, 'Bearer press-key');
	expect(kept.status).toBe(200);
});

// Guards against callers that are denied by an entry that can't know of their key yet.
test('an entry that has lost the store doesn\'t deny a key that it doesn\'t know', async () => {
	const gateway = await startGateway();
	store.setFault({kind: 'silent'});
	await gateways.waitUntil(async () => {
		const answer = await send(gateway, 'Bearer unknown');
		return answer.status === 503;
	});
	const known = await send(gateway, 'Bearer club-key');
	expect(known.status).toBe(200);
});

// Guards against a workspace that gets its allowance from each entry.
test('a workspace far beyond its allowance is refused truthfully by all entries, and the others aren\'t', async () => {
	publish(9, [{
		name: 'club', apiKeys: ['club-key'], ratePerS: 10, burst: 5,
	}, {name: 'press', apiKeys: ['press-key']}]);
	const first = await startGateway('edge-1');
	const second = await startGateway('edge-2', [first.peers]);
	await gateways.waitUntil(async () => {
		const answers = await Promise.all([first, second].flatMap(gateway => Array.from({length: 20}, async () => send(gateway, 'Bearer club-key'))));
		const ran = new Set(upstream.executedRequestIds);
		const refused = answers.filter(({status}) => status === 429);
		expect(refused.filter(({id}) => ran.has(id))).toEqual([]);
		for (const {headers} of refused) {
			expect(Number(headers['retry-after'])).toBeGreaterThan(0);
		}

		return refused.length >= 30;
	});
	const others = await Promise.all([first, second].map(async gateway => send(gateway, 'Bearer press-key')));
	expect(others.map(({status}) => status)).toEqual([200, 200]);
});
