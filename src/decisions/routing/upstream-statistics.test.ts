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

// Guards against an upstream that stays selected because all its late attempts are given up once another one was answered.
test('an upstream whose attempts are given up late is known as slow after a few, and one late attempt shows nothing', () => {
	const statistics = upstreamStatistics.createUpstreamStatistics();
	const giveUp = (milliseconds: number, now: number) => {
		statistics.recordStart(now);
		statistics.recordGivenUp(milliseconds, 200, now);
		return statistics.getState(now);
	};

	statistics.recordStart(0);
	statistics.recordAnswer(200, 200, 0);
	expect(giveUp(1000, 0).slowness).toBe(1);
	expect(giveUp(100, 0).slowness).toBe(1);
	for (let attempt = 1; attempt < 15; attempt++) {
		giveUp(1000, attempt * 100);
	}

	expect(statistics.getState(1500)).toMatchObject({inFlight: 0});
	expect(statistics.getState(1500).slowness).toBeGreaterThan(3);
});

test('answers of the usual duration end the slowness that attempts given up have shown', () => {
	const statistics = upstreamStatistics.createUpstreamStatistics();
	for (let attempt = 0; attempt < 10; attempt++) {
		statistics.recordStart(attempt);
		statistics.recordGivenUp(1000, 200, attempt);
	}

	expect(statistics.getState(10).slowness).toBeGreaterThan(3);
	for (let answer = 0; answer < 15; answer++) {
		statistics.recordStart(10);
		statistics.recordAnswer(200, 200 * statistics.getState(10).slowness, 10);
	}

	expect(statistics.getState(10).slowness).toBeLessThan(1.3);
});
