/** Tests of an entry with its own interface that meets crowds of callers which stop in the middle of a body, with real processes. */
import * as vitest from 'vitest';
import * as fleets from '../../stand-ins/fleet.ts';
import * as crowds from '../support/crowd.ts';
import * as gateways from '../support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;

/** Largest memory of the whole process: eight tenths of the smallest machine's. */
const maximumMegabytes = 160;
const crowdSize = 128;

let fleet: fleets.Fleet;

beforeEach(async () => {
	fleet = await fleets.startFleet({
		entryCount: 1,
		failureDomains: ['north'],
		seed: 39,
		services: [{
			service: 'desk', upstreamCount: 1, slotsPerUpstream: 4, rows: [{
				kind: 'operation', service: 'desk', operation: 'price', method: 'POST', pathPrefix: '/price', idempotent: true, duration: 'short', timeoutMilliseconds: 60_000, priority: 0,
			}],
		}],
	});
});

afterEach(async () => {
	await fleet.stop();
});

const forms = [
	{name: 'chunks of one byte', text: crowds.smallChunks(40_000)},
	{name: 'large chunks', text: crowds.largeChunks(1)},
];

// Guards against an entry that runs out of memory by the objects for chunks of one byte, which its limit on bodies doesn't count.
test.each(forms)('bodies in $name that stop short of their end', async ({text}) => {
	const [entry] = fleet.entries;
	let hasEnded = false;
	void entry!.program.exited.then(() => {
		hasEnded = true;
	});
	const crowd = await crowds.gather(entry!.address, crowdSize, index => `POST /desk/price HTTP/1.1\r\nHost: desk\r\nX-Caller: ${index}\r\nTransfer-Encoding: chunked\r\n\r\n${text}`);
	await crowds.waitUntilRead(entry!.address, () => hasEnded);
	expect(hasEnded).toBe(false);
	const {status} = await gateways.send(entry!.address, '/desk/price', 'POST', 'body');
	expect(status).toBe(200);
	expect(crowds.readResources(entry!.program.processId).peakMegabytes).toBeLessThan(maximumMegabytes);
	crowd.close();
});
