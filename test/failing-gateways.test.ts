/** Tests that gateways which fail halfway lose no answer of others and cut none off unnoticed, with real processes and open connections. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as platformUpstream from '../stand-ins/platform-upstream.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';
import * as rawCaller from './support/raw-caller.ts';

const {afterEach, beforeEach, expect, test} = vitest;

const callersPerGateway = 6;
const requestsPerRow = 3;
const shortBytes = 100;
const longBytes = 400_000;
/** Memory that a gateway claims for a connection without a request, in bytes. */
const connectionBytes = 16_384;
const slots = 100;
/** Time in which requests must be answered, and the part of it in which an answer may come too late, in milliseconds, from the rules. */
const deadlineMilliseconds = 1500;
const lateMilliseconds = 200;
let standIns: gatewayProcess.StandIns;
let upstream: platformUpstream.PlatformUpstream;

beforeEach(async () => {
	standIns = await gatewayProcess.startStandIns();
	upstream = await platformUpstream.startPlatformUpstream('i-2', slots);
	gatewayProcess.addCleanup(upstream.close);
	upstream.setBehavior({
		kind: 'choose', chooseResponse: path => ({milliseconds: 50, bytes: path.endsWith('long') ? longBytes : shortBytes, end: path.endsWith('chunks') ? 'chunks' : 'length'}),
	});
	standIns.store.put('keyed.servers', 'i-1', undefined);
	gateways.register(standIns.store, upstream, {slots});
});

afterEach(gatewayProcess.close);

type Response = {readonly status: number; readonly id: string; readonly isWhole: boolean};

/** Splits what a caller received into responses by their lengths. */
function listResponses(text: string): readonly Response[] {
	const responses: Response[] = [];
	for (let rest = text; rest !== '';) {
		const headEnd = rest.indexOf('\r\n\r\n');
		const head = headEnd === -1 ? rest : rest.slice(0, headEnd);
		const end = headEnd + 4 + Number(/^content-length: (?<length>\d+)\r?$/imv.exec(head)?.groups!.length);
		responses.push({status: Number(head.slice(9, 12)), id: /^attempt-id: (?<id>\S+)\r?$/imv.exec(head)?.groups!.id ?? '', isWhole: headEnd >= 0 && end <= rest.length});
		rest = headEnd >= 0 && end <= rest.length ? rest.slice(end) : '';
	}

	return responses;
}

type Connection = {readonly caller: rawCaller.RawCaller; readonly ids: string[]; readonly sentAt: number[]; hasEnded: boolean};

/** Sends rows of requests on kept connections until stopped; opens another connection when one has ended. */
function startCallers({front}: gatewayProcess.GatewayProcess, name: string) {
	const connections: Connection[] = [];
	const state = {isStopped: false};
	let sent = 0;

	function open(): Connection {
		const connection: Connection = {
			caller: rawCaller.connect(front), ids: [], sentAt: [], hasEnded: false,
		};
		void connection.caller.closed.then(() => {
			connection.hasEnded = true;
		});
		connections.push(connection);
		return connection;
	}

	function sendRow({caller, ids, sentAt}: Connection): void {
		const row = ['short', 'long', 'chunks'].slice(0, requestsPerRow).map(form => {
			const id = `${name}-${sent++}`;
			ids.push(id);
			sentAt.push(performance.now());
			return form === 'short'
				? rawCaller.createRequest(id, {
					path: `/credit/${form}`, method: 'POST', body: 'x', deadlineMilliseconds,
				})
				: rawCaller.createRequest(id, {path: `/price/${form}`, deadlineMilliseconds});
		});
		caller.socket.write(row.join(''));
	}

	async function sendAndWait(connection: Connection): Promise<void> {
		sendRow(connection);
		await gateways.waitUntil(() => connection.hasEnded || listResponses(connection.caller.getText()).filter(({isWhole}) => isWhole).length >= connection.ids.length);
	}

	async function run(): Promise<void> {
		let connection = open();
		while (!state.isStopped) {
			if (connection.hasEnded) {
				await timers.setTimeout(100);
				connection = open();
			}

			await sendAndWait(connection);
		}
	}

	const runs = Array.from({length: callersPerGateway}, async () => run());
	return {
		connections,
		async stop() {
			state.isStopped = true;
			await Promise.all(runs);
			await timers.setTimeout(300);
			for (const connection of connections) {
				connection.caller.socket.destroy();
			}
		},
	};
}

/** Checks what the callers of a gateway received; on a connection that ended by itself, requests at its end may lack their answer. */
function checkCallers(connections: readonly Connection[], wasEnded: (connection: Connection) => boolean): void {
	const respondedAt = new Map(upstream.endedRequests.filter(({hasResponded}) => hasResponded).map(({requestId, endedAt}) => [requestId, endedAt]));
	for (const connection of connections) {
		const responses = listResponses(connection.caller.getText());
		const whole = responses.filter(({isWhole}) => isWhole);
		// A gateway's own responses name no request.
		expect(whole.map(({id}, index) => id === '' ? connection.ids[index] : id)).toEqual(connection.ids.slice(0, whole.length));
		if (wasEnded(connection)) {
			continue;
		}

		expect(whole.length).toBe(connection.ids.length);
		expect(responses.every(({isWhole}) => isWhole)).toBe(true);
		expect(whole.filter(({status}, index) => status !== 200 && respondedAt.get(connection.ids[index]!)! < connection.sentAt[index]! + deadlineMilliseconds - lateMilliseconds)).toEqual([]);
	}
}

/** Waits until a gateway holds nothing for requests, by its own gauges. */
async function waitUntilQuiet(gateway: gatewayProcess.GatewayProcess): Promise<void> {
	await gateways.waitUntil(async () => {
		const [requests, calls, connections, bytes] = await Promise.all(['open_requests', 'running_calls', 'connections', 'claimed_bytes'].map(async name => gatewayProcess.readMetric(gateway, `fescuering_gateway_${name}`)));
		return requests === 0 && calls === 0 && bytes === connections! * connectionBytes;
	});
}

/** Lists the identifiers of requests that the stand-in began to run more than once although they aren't idempotent. */
function listRepeated(): readonly string[] {
	const ids = upstream.receivedRequests.filter(({method}) => method === 'POST').map(({requestId}) => requestId);
	return ids.filter((id, index) => ids.indexOf(id) !== index);
}

// Guards against answers that are lost or cut off unnoticed because another gateway, or the own one, is killed.
test('when a gateway is killed its connections end without a wrong answer, and callers of another one miss nothing', async () => {
	const killed = await gatewayProcess.startReady(standIns.store);
	const other = await gatewayProcess.startReady(standIns.store, [killed.peers]);
	const callersOfKilled = startCallers(killed, 'killed');
	const callersOfOther = startCallers(other, 'other');
	await timers.setTimeout(1500);
	killed.signal('SIGKILL');
	await killed.exited;
	await timers.setTimeout(1500);
	await Promise.all([callersOfKilled.stop(), callersOfOther.stop()]);
	expect(callersOfKilled.connections.some(({caller}) => caller.listStatuses().length > 0)).toBe(true);
	checkCallers(callersOfKilled.connections, () => true);
	checkCallers(callersOfOther.connections, () => false);
	expect(listRepeated()).toEqual([]);
	await waitUntilQuiet(other);
});

// Guards against answers that are lost because their gateway stood still.
test('when a gateway stands still for 3 s all of its requests are answered, and what an upstream answered is delivered', async () => {
	const frozen = await gatewayProcess.startReady(standIns.store);
	const other = await gatewayProcess.startReady(standIns.store, [frozen.peers]);
	const callersOfFrozen = startCallers(frozen, 'frozen');
	const callersOfOther = startCallers(other, 'other');
	await timers.setTimeout(1500);
	frozen.signal('SIGSTOP');
	await timers.setTimeout(3000);
	frozen.signal('SIGCONT');
	await timers.setTimeout(1500);
	await Promise.all([callersOfFrozen.stop(), callersOfOther.stop()]);
	checkCallers(callersOfFrozen.connections, () => false);
	checkCallers(callersOfOther.connections, () => false);
	expect(listRepeated()).toEqual([]);
	await waitUntilQuiet(frozen);
	await waitUntilQuiet(other);
});

// Guards against answers that are lost because a gateway is added, or that a new gateway loses while it learns what is in force.
test('when a gateway is started while callers send, callers of the old one and of the new one miss nothing', async () => {
	const old = await gatewayProcess.startReady(standIns.store);
	const callersOfOld = startCallers(old, 'old');
	await timers.setTimeout(500);
	const added = await gatewayProcess.startReady(standIns.store, [old.peers]);
	const callersOfAdded = startCallers(added, 'added');
	await timers.setTimeout(1500);
	await Promise.all([callersOfOld.stop(), callersOfAdded.stop()]);
	checkCallers(callersOfOld.connections, () => false);
	checkCallers(callersOfAdded.connections, () => false);
	expect(listRepeated()).toEqual([]);
	await waitUntilQuiet(old);
	await waitUntilQuiet(added);
});
