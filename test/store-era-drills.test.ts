/** Tests of real processes that are paused, started, stopped or killed while their store returns from an older copy. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as faultProxy from '../stand-ins/fault-proxy.ts';
import * as drillFleet from './support/drill-fleet.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;
/** Versions in the order in which they get into force: the one of before the drill is written again with other content. */
const versions = [4, 5, 5, 6];

let fleet: drillFleet.DrillFleet;

beforeEach(async () => {
	fleet = await drillFleet.startDrillFleet();
});

afterEach(gatewayProcess.close);

// Guards against an entry that takes positions of before its pause for those of the copy, or that lets the others wait.
test.each(['reader', 'follower'])('nothing is taken back by a drill while the %s is paused', async kind => {
	const paused = kind === 'reader' ? fleet.reader : fleet.followers[0]!;
	const callers = fleet.startCallers();
	fleet.stop(paused, 'SIGSTOP');
	await timers.setTimeout(200);
	await fleet.drill();
	await fleet.resume(paused);
	expect(await fleet.finish(callers)).toEqual({unexpected: '', versions: [versions, versions, versions], rises: [['1 to 2'], ['1 to 2'], ['1 to 2']]});
});

// Guards against an entry that passes on what a copy lists as if it were news.
test('nothing is taken back by a drill while an entry starts', async () => {
	const callers = fleet.startCallers();
	const drilled = fleet.drill();
	await timers.setTimeout(300);
	const started = fleet.startEntry();
	await gateways.waitUntil(async () => gatewayProcess.isReady(started));
	fleet.running.add(started);
	await drilled;
	const {unexpected, versions: startedVersions, rises} = await fleet.finish(callers);
	expect(unexpected).toBe('');
	expect(startedVersions.slice(0, -1)).toEqual([versions, versions, versions]);
	expect([[5, 5, 6], [5, 6]]).toContainEqual(startedVersions.at(-1));
	expect(rises.slice(0, -1)).toEqual([['1 to 2'], ['1 to 2'], ['1 to 2']]);
});

// Guards against an entry that keeps what it has read in the copy, since the others' news name only what was written after it.
test('an entry that reads the copy before it hears of the others soon knows what they remember', async () => {
	const [targetHost, targetPort] = fleet.reader.peers.split(':');
	const proxy = await faultProxy.createFaultProxy({targetHost: targetHost!, targetPort: Number(targetPort), faults: {cut: true}});
	gatewayProcess.addCleanup(proxy.close);
	await fleet.loseChanges();
	const started = gatewayProcess.start({host: gatewayProcess.createHost(), storeAddress: fleet.store.address, seeds: [`${proxy.host}:${proxy.port}`]});
	await gateways.waitUntil(() => started.countLogged('upstream-changed', 'change=joined upstream=i-2 ') === 1);
	proxy.setFaults({});
	await gateways.waitUntil(() => started.countLogged('upstream-changed', 'change=removed upstream=i-2 ') === 1);
	await gateways.waitUntil(() => started.countLogged('configuration-in-force', 'version=5 ') === 1);
	fleet.running.add(started);
	const callers = fleet.startCallers();
	await timers.setTimeout(2000);
	const {unexpected} = await callers.stop();
	expect(unexpected).toBe('');
	expect(started.countLogged('upstream-changed', 'upstream=i-2 ')).toBe(2);
});

// Guards against the next reader that doesn't see the rise, since it never read in the era before.
test.each(['SIGTERM', 'SIGKILL'] as const)('nothing is taken back by a drill during which the reader gets %s', async signal => {
	const callers = fleet.startCallers();
	const drilled = fleet.drill();
	await timers.setTimeout(200);
	fleet.stop(fleet.reader, signal);
	await drilled;
	expect(await fleet.finish(callers)).toEqual({unexpected: '', versions: [versions, versions], rises: [['1 to 2'], ['1 to 2']]});
});
