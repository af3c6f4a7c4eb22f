import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as randomness from '../random.ts';
import * as hedgeDelay from './hedge-delay.ts';

const {expect, test} = vitest;

test('most requests with seven times the usual work are answered within their objective by a second attempt', () => {
	const random = randomness.createRandomSource(20_273);
	const drawMilliseconds = () => (random.nextFraction() < 0.03 ? 7 : 1) * 190 * (0.7 + (0.6 * random.nextFraction()));
	const objectiveMilliseconds = 600;
	let late = 0;
	let hedged = 0;
	const requests = 10_000;
	for (let request = 0; request < requests; request++) {
		const first = drawMilliseconds();
		const delay = hedgeDelay.getHedgeDelay({expectedMilliseconds: 220, secondExpectedMilliseconds: 220, objectiveMilliseconds});
		const isHedged = first > delay;
		hedged += isHedged ? 1 : 0;
		late += Math.min(first, isHedged ? delay + drawMilliseconds() : first) > objectiveMilliseconds ? 1 : 0;
	}

	expect(late / requests).toBeLessThan(0.005);
	expect(hedged / requests).toBeLessThan(0.05);
});

test('a second attempt is sent neither while the first one is hardly late, nor when it can only be late itself', () => {
	const times = fastCheck.record({
		expectedMilliseconds: fastCheck.integer({min: 1, max: 3000}), secondExpectedMilliseconds: fastCheck.integer({min: 1, max: 3000}), objectiveMilliseconds: fastCheck.integer({min: -1000, max: 3000}),
	});
	fastCheck.assert(fastCheck.property(times, ({expectedMilliseconds, secondExpectedMilliseconds, objectiveMilliseconds}) => {
		const delay = hedgeDelay.getHedgeDelay({expectedMilliseconds, secondExpectedMilliseconds, objectiveMilliseconds});
		expect(delay).toBeGreaterThanOrEqual(expectedMilliseconds * 1.2);
		expect(delay).toBeLessThanOrEqual((expectedMilliseconds * 2) + 60);
	}), {seed: 20_273});
});
