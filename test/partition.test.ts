/** Tests that callers are served while gateways are cut off from all upstreams. */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as fleetModule from './support/fleet.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;
/** Time after the start of a cut from which callers must be served, in milliseconds, from the rules. */
const stabilizationMilliseconds = 3000;
const cutMilliseconds = 8000;
let fleet: fleetModule.Fleet;

beforeEach(async () => {
	fleet = await fleetModule.startFleet();
});

afterEach(async () => {
	await fleet.close();
});

const getServedShare = (answers: readonly fleetModule.FleetAnswer[]) => answers.filter(({status}) => status === 200).length / answers.length;

const cases = [
	{cut: [1], kind: 'hang', method: 'GET'},
	{cut: [1], kind: 'reset', method: 'POST'},
	// All gateways of a failure domain.
	{cut: [1, 4], kind: 'hang', method: 'POST'},
	{cut: [1, 4], kind: 'reset', method: 'GET'},
	{cut: [1, 4], kind: 'hang-new', method: 'POST'},
	{cut: [1], kind: 'reset-new', method: 'GET'},
] as const;

test.each(cases)('requests ($method) to gateways $cut that lose all upstreams ($kind) are served, and none runs twice', async ({cut, kind, method}) => {
	const upstreams = await fleet.startUpstreams();
	const running = await fleet.startGateways(6);
	const cutAddresses = new Set(cut.map(index => fleetModule.getLocalAddress(index)));
	await fleetModule.startLoadFor(running, 60, 1000, method);
	for (const upstream of upstreams) {
		upstream.setPartition(address => cutAddresses.has(address) ? kind : 'none');
	}

	// Requests that begin before the gateways must have noticed the cut.
	await fleetModule.startLoadFor(running, 60, stabilizationMilliseconds, method);
	const answers = await fleetModule.startLoadFor(running, 60, cutMilliseconds - stabilizationMilliseconds, method);
	const isCut = ({gateway}: fleetModule.FleetAnswer) => cutAddresses.has(fleetModule.getLocalAddress(gateway));
	const elsewhere = answers.filter(answer => !isCut(answer));
	expect(getServedShare(elsewhere)).toBeGreaterThanOrEqual(0.98);
	expect(getServedShare(answers.filter(answer => isCut(answer)))).toBeGreaterThanOrEqual(0.95 * getServedShare(elsewhere));

	for (const upstream of upstreams) {
		upstream.setPartition(() => 'none');
	}

	await timers.setTimeout(1500);
	const after = await fleetModule.startLoadFor(running, 60, 2000, method);
	expect(getServedShare(after)).toBeGreaterThanOrEqual(0.98);
	const executed = upstreams.flatMap(({executedRequestIds}) => executedRequestIds);
	expect(method === 'POST' ? new Set(executed).size : executed.length).toBe(executed.length);
	const served = [...answers, ...after].filter(({status}) => status === 200);
	expect(served.every(({body, id}) => body.includes(id))).toBe(true);
});

test('gateways that are all cut off reject requests truthfully and serve them when the upstreams are back', async () => {
	const upstreams = await fleet.startUpstreams();
	const running = await fleet.startGateways(3);
	await fleetModule.startLoadFor(running, 40, 500);
	for (const upstream of upstreams) {
		upstream.setPartition(() => 'reset');
	}

	const executedBefore = upstreams.flatMap(({executedRequestIds}) => executedRequestIds).length;
	const answers = await fleetModule.startLoadFor(running, 40, 3000);
	expect(getServedShare(answers)).toBe(0);
	expect(upstreams.flatMap(({executedRequestIds}) => executedRequestIds).length).toBe(executedBefore);
	for (const upstream of upstreams) {
		upstream.setPartition(() => 'none');
	}

	await timers.setTimeout(1500);
	expect(getServedShare(await fleetModule.startLoadFor(running, 40, 2000))).toBeGreaterThanOrEqual(0.98);
});

test('a gateway tells another one which of the requests passed on it refused, and callers nothing of it', async () => {
	const upstreams = await fleet.startUpstreams();
	const [gateway] = await fleet.startGateways(1);
	for (const upstream of upstreams) {
		upstream.setBehavior({kind: 'refuse'});
	}

	const send = async (headers: Readonly<Record<string, string>>): Promise<http.IncomingMessage> => new Promise((resolve, reject) => {
		http.get(`http://${gateway!.front}/price/1`, {
			agent: false, headers: {
				host: gateways.host, 'attempt-id': 'r-1', 'deadline-ms': '1000', ...headers,
			},
		}, response => {
			response.resume();
			resolve(response);
		}).on('error', reject);
	});
	const relayed = await send({'fescuering-relayed': '1'});
	expect(relayed.statusCode).toBe(503);
	expect(relayed.headers).toMatchObject({'attempt-id': 'r-1', 'not-executed': '1'});
	const direct = await send({});
	expect(direct.statusCode).toBe(503);
	expect(direct.headers['not-executed']).toBeUndefined();
});

test('a caller that leaves ends its request also behind the gateway that it was passed on to', async () => {
	const upstreams = await fleet.startUpstreams();
	const running = await fleet.startGateways(2);
	for (const upstream of upstreams) {
		upstream.setPartition(address => address === fleetModule.getLocalAddress(0) ? 'reset' : 'none');
	}

	await fleetModule.startLoadFor(running, 40, 3000);
	for (const upstream of upstreams) {
		upstream.setBehavior({kind: 'answer', milliseconds: 60_000});
	}

	const received = () => upstreams.flatMap(({receivedRequests}) => receivedRequests.map(({requestId}) => requestId)).filter(id => id === 'r-2').length;
	const aborted = () => upstreams.flatMap(({abortedRequestIds}) => abortedRequestIds).filter(id => id === 'r-2').length;
	const request = http.get(`http://${running[0]!.front}/price/1`, {
		agent: false, headers: {host: gateways.host, 'attempt-id': 'r-2', 'deadline-ms': '30000'},
	});
	request.on('error', () => undefined);
	await gateways.waitUntil(() => received() > 0);
	request.destroy();
	await gateways.waitUntil(() => aborted() === received());
});

test('a request that is passed on runs on no more upstreams than its route allows', async () => {
	const upstreams = await fleet.startUpstreams();
	const running = await fleet.startGateways(3);
	for (const upstream of upstreams) {
		upstream.setPartition(address => address === fleetModule.getLocalAddress(0) ? 'reset' : 'none');
	}

	await fleetModule.startLoadFor(running, 40, 3000);
	for (const upstream of upstreams) {
		upstream.setBehavior({kind: 'lose'});
	}

	const answers = await fleetModule.startLoadFor(running.slice(0, 1), 10, 2000);
	const executed = upstreams.flatMap(({executedRequestIds}) => executedRequestIds);
	const counts = answers.map(({id}) => executed.filter(other => other === id).length);
	expect(Math.max(...counts)).toBe(2);
});
