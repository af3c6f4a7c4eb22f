/** Tests that entries of two deployments stay apart. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as tableRows from '../src/decisions/table/rows.ts';
import * as fleetModule from '../stand-ins/fleet.ts';

const {expect, test} = vitest;

const rows = [
	{
		kind: 'service', service: 'desk', slotsPerUpstream: 4, probesPerSecondPerUpstream: 6,
	},
	{
		kind: 'operation', service: 'desk', operation: 'any', method: 'GET', pathPrefix: '/', idempotent: true,
	},
].map(row => tableRows.rowSchema.parse(row));

const startFleet = async (entryCount: number, firstPeerPort = 0) => fleetModule.startFleet({
	entryCount,
	failureDomains: ['north'],
	seed: 1,
	services: [{
		service: 'desk', upstreamCount: 1, slotsPerUpstream: 4, rows,
	}],
	createEntrySettings: async index => ({listen: {callerPort: 0, peerPort: index === 0 ? firstPeerPort : 0}}),
});

// Guards against entries that end because another deployment got the port of one that was killed, and has entries of the same names.
test('the entries of a deployment run on when the port of a killed one is given to another deployment', async () => {
	const first = await startFleet(3);
	const killed = first.entries[2]!;
	await killed.program.stop('SIGKILL');
	const second = await startFleet(2, Number(killed.peerAddress.split(':')[1]));
	await timers.setTimeout(5000);
	const running = [...first.entries.slice(0, 2), ...second.entries];
	const ends = await Promise.all(running.map(async ({program}) => Promise.race([program.exited, timers.setTimeout(10, 'runs')])));
	await Promise.all([first.stop(), second.stop()]);
	expect(ends).toEqual(['runs', 'runs', 'runs', 'runs']);
});
