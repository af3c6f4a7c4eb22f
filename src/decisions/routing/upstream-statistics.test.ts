import * as vitest from 'vitest';
import * as randomness from '../random.ts';
import * as upstreamStatistics from './upstream-statistics.ts';

const {expect, test} = vitest;

/** Returns the mean slowness of an upstream with the usual work, where a share of the requests has seven times the work. */
function getMeanSlowness(shareOfLongRequests: number): number {
	const statistics = upstreamStatistics.createUpstreamStatistics();
	const random = randomness.createRandomSource(20_272);
	const answers = 5000;
	let slownessSum = 0;
	for (let answer = 0; answer < answers; answer++) {
		const now = answer * 100;
		const work = 140 + (120 * random.nextFraction());
		const milliseconds = random.nextFraction() < shareOfLongRequests ? 7 * work : work;
		statistics.recordStart(now);
		statistics.recordAnswer(milliseconds, 200 * statistics.getState(now).slowness, now);
		slownessSum += statistics.getState(now).slowness;
	}

	return slownessSum / answers;
}

test('3 in 100 requests with seven times the work don\'t make an upstream look slow', () => {
	expect(getMeanSlowness(0.03) - getMeanSlowness(0)).toBeLessThan(0.05);
});

test('an upstream that became five times slower is known as slow after a few answers', () => {
	const statistics = upstreamStatistics.createUpstreamStatistics();
	for (let answer = 0; answer < 15; answer++) {
		statistics.recordStart(answer * 100);
		statistics.recordAnswer(1000, 200 * statistics.getState(answer * 100).slowness, answer * 100);
	}

	expect(statistics.getState(1500).slowness).toBeGreaterThan(3);
});
