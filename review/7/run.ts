/**
Case 7: an upstream that has left gets requests for too long after the reader of the store was cut off from it.

The gateway that reads the store is partitioned from it for a while, several times in a row. Soon after it is back, three
upstreams leave: their entries are removed, and they serve on. Checked is DRAIN: no request reaches such an upstream later
than `drainMs` after the removal was acknowledged, if the gateway was in touch when it took it and when it sent it on.
*/
import * as storeStandIn from '../../stand-ins/store.ts';
import * as clients from '../lib-2/clients.ts';
import * as gateways from '../lib-2/gateways.ts';
import * as links from '../lib-2/link.ts';
import * as platform from '../lib-2/platform.ts';
import * as records from '../lib-2/record.ts';

const gatewayCount = 6;
const upstreamCount = 24;
/** Length of the cut, in milliseconds; the site allows 5,500. */
const cutMilliseconds = 4800;
/** Times after the end of the cut at which an upstream leaves, in milliseconds; the site allows a share of 0.13, and three of 24 are 0.125. */
const leavesAfterMilliseconds = [950, 1100, 1250];
const drainMilliseconds = 2000;
const stableMilliseconds = 3000;
/** Time for which an upstream that has left serves on before it ends, in milliseconds. */
const servesOnMilliseconds = 5000;
const cycles = 8;
/** Time between two cuts, beside the time in which the reader is found, in milliseconds. */
const betweenMilliseconds = 3400;
const requestIntervalMilliseconds = 16;
const workMilliseconds = 140;

await records.runCase('review/7/record.txt', async (record, folder) => {
	const network = gateways.drawNetwork();
	const store = await storeStandIn.startStore();
	platform.publishRoutes(store, 3);
	const upstreams = await Promise.all(Array.from({length: upstreamCount}, async (_value, index) => platform.startUpstream(store, `i-${index + 1}`, platform.zones[index % platform.zones.length]!, workMilliseconds)));
	const renewal = setInterval(() => {
		for (const upstream of upstreams) {
			upstream.register();
		}
	}, 1500);
	const hosts = Array.from({length: gatewayCount}, (_value, index) => `${network}.${index + 1}`);
	const ports = await Promise.all(hosts.map(async host => gateways.findPorts(host)));
	const storeLinks = await Promise.all(hosts.map(async () => links.startLink(store.address)));
	const seeds = hosts.slice(0, 3).map((host, index) => `${host}:${ports[index]!.control}`);
	const fleet = hosts.map((host, index) => gateways.startGateway({
		name: `edge-${index + 1}`, zone: platform.zones[index % platform.zones.length]!, host, storeAddress: storeLinks[index]!.address, seeds, folder, ports: ports[index]!,
	}));
	const traffic = {isOver: false};
	const sentAt = new Map<string, number>();
	let sent = 0;
	let served = 0;

	async function send(gatewayIndex: number): Promise<void> {
		const connection = await clients.openConnection(fleet[gatewayIndex]!.front);
		const isRead = ++sent % 3 > 0;
		const id = `${fleet[gatewayIndex]!.name}/${sent}`;
		sentAt.set(id, performance.now());
		const {status} = await connection.send({
			method: isRead ? 'GET' : 'POST', path: isRead ? '/read/a' : '/write/a', id, deadlineMilliseconds: 3000, bodyBytes: 400,
		});
		connection.close();
		served += status === 200 ? 1 : 0;
	}

	async function sendRepeatedly(gatewayIndex: number): Promise<void> {
		while (!traffic.isOver) {
			void send(gatewayIndex).catch(() => undefined);
			await records.sleep(requestIntervalMilliseconds);
		}
	}

	async function stop(): Promise<void> {
		traffic.isOver = true;
		clearInterval(renewal);
		await Promise.all(fleet.map(async gateway => gateway.stop()));
	}

	if (!await gateways.waitUntilReady(fleet, 15_000)) {
		await stop();
		return 'not-run';
	}

	const senders = fleet.map(async (_gateway, index) => sendRepeatedly(index));
	await records.sleep(4000);

	const left = new Map<string, number>();
	const cuts: Array<{readonly gateway: string; readonly from: number; to: number}> = [];
	for (let cycle = 0; cycle < cycles; cycle++) {
		await cutAndLeave();
		await records.sleep(betweenMilliseconds);
	}

	async function cutAndLeave(): Promise<void> {
		// The gateway that reads the store for all is the one whose link carries most.
		const before = storeLinks.map(link => link.countAnswerBytes());
		await records.sleep(2000);
		const rates = storeLinks.map((link, index) => link.countAnswerBytes() - before[index]!);
		const reader = rates.indexOf(Math.max(...rates));
		const cut = {gateway: fleet[reader]!.name, from: performance.now(), to: performance.now()};
		if (records.hasTrouble) {
			record.write(`${cut.gateway} reads the store and is cut off from it`);
			cuts.push(cut);
			storeLinks[reader]!.cut();
		}

		await records.sleep(cutMilliseconds);
		storeLinks[reader]!.heal();
		cut.to = performance.now();
		record.write('the cut heals');
		const zone = platform.zones[reader % platform.zones.length]!;
		for (const milliseconds of leavesAfterMilliseconds) {
			await records.sleep(cut.to + milliseconds - performance.now());
			const upstream = upstreams.find(candidate => candidate.zone === zone && !left.has(candidate.standIn.id))!;
			left.set(upstream.standIn.id, upstream.remove());
			setTimeout(() => {
				void upstream.standIn.close();
			}, servesOnMilliseconds);
			record.write(`the store acknowledges that ${upstream.standIn.id} has left`);
			// Another one takes its place, so that the service keeps its size.
			upstreams.push(await platform.startUpstream(store, `i-${upstreams.length + 1}`, zone, workMilliseconds));
		}
	}

	/** A gateway that was cut off is in touch again after the stable window. */
	function wasInTouch(gateway: string, at: number): boolean {
		return !cuts.some(cut => cut.gateway === gateway && at >= cut.from && at <= cut.to + stableMilliseconds);
	}

	await records.sleep(servesOnMilliseconds + 500);
	await stop();
	await Promise.all(senders);
	let late = 0;
	for (const upstream of upstreams.filter(({standIn}) => left.has(standIn.id))) {
		const leftAt = left.get(upstream.standIn.id)!;
		const after = upstream.standIn.receivedRequests.filter(({receivedAt}) => receivedAt > leftAt);
		record.write(`${upstream.standIn.id}: ${after.length} requests after it left, the latest after ${Math.round(Math.max(0, ...after.map(({receivedAt}) => receivedAt - leftAt)))} ms`);
		for (const {requestId, receivedAt, hasRun} of after.filter(request => request.receivedAt - leftAt > drainMilliseconds)) {
			const gateway = requestId.split('/')[0]!;
			const isInTouch = wasInTouch(gateway, sentAt.get(requestId)!) && wasInTouch(gateway, receivedAt);
			late += isInTouch ? 1 : 0;
			record.write(`${upstream.standIn.id}: ${requestId} ${hasRun ? 'runs' : 'is rejected'} ${Math.round(receivedAt - leftAt)} ms after the acknowledgement, ${isInTouch ? 'from a gateway in touch' : 'from the gateway that was cut off'}`);
		}
	}

	const hasEnded = fleet.some(gateway => gateway.hasEnded());
	record.write(`${sent} requests, ${served} served, ${late} late at an upstream that has left${hasEnded ? ', a gateway has ended' : ''}`);
	if (late > 0) {
		return 'broken';
	}

	return hasEnded ? 'not-run' : 'held';
});
