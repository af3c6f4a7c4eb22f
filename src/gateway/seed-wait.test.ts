import * as vitest from 'vitest';
import * as seedWaits from './seed-wait.ts';

const {expect, test} = vitest;
const host: seedWaits.SeedWaitHost = {
	isFirstStart: false, peerAddress: 'a', seeds: ['a', 'b'], startedAt: 1000,
};

// Guards against an entry that takes an older copy of the store for the state of the fleet.
test('an entry that starts waits for the first answer of another one, but not for long', () => {
	const wait = seedWaits.createSeedWait(host);
	expect(wait.mayBeAnswered(299)).toBe(true);
	expect(wait.mayBeAnswered(300)).toBe(false);
	wait.recordAnswer();
	expect(wait.mayBeAnswered(1)).toBe(false);
	expect(seedWaits.createSeedWait({...host, seeds: ['a']}).mayBeAnswered(0)).toBe(false);
});

test('when all entries start for the first time, those that are no seeds leave the store to the seeds', () => {
	expect(seedWaits.createSeedWait({...host, isFirstStart: true, seeds: ['b']}).shouldLeaveStore(2999)).toBe(true);
	expect(seedWaits.createSeedWait({...host, isFirstStart: true, seeds: ['b']}).shouldLeaveStore(3000)).toBe(false);
	expect(seedWaits.createSeedWait({...host, isFirstStart: true}).shouldLeaveStore(1000)).toBe(false);
	expect(seedWaits.createSeedWait({...host, seeds: ['b']}).shouldLeaveStore(1000)).toBe(false);
});
