import * as vitest from 'vitest';
import {runSoak} from '../bench/soak/run-soak.ts';

const {expect, test} = vitest;

test('gateways keep their promises through the faults of one seed', async () => {
	const verdict = await runSoak({
		seed: 3, seconds: 12, gateways: 3, upstreamsOfService: 4, callers: 8, hasTimeBounds: false, print: () => undefined,
	});
	expect(verdict.violations).toEqual([]);
	expect(verdict.served).toBeGreaterThan(0);
});
