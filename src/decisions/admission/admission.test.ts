import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {createRandomSource} from '../random.ts';
import {createAdmission, resolveRetryAfter} from './admission.ts';

const {expect, test} = vitest;
const seed = 20_268;
const waitShare = 0.5;

test('no call is admitted whose estimated wait takes more than its share of the time left', () => {
	const cases = fastCheck.record({
		ahead: fastCheck.nat(5000),
		needed: fastCheck.integer({min: 1, max: 500}),
		left: fastCheck.integer({min: -10, max: 5000}),
		gap: fastCheck.integer({min: 1, max: 20}),
	});
	fastCheck.assert(fastCheck.property(cases, ({ahead, needed, left, gap}) => {
		const admission = createAdmission(waitShare, () => 0.2);
		let now = 0;
		for (let departures = 0; departures < 100; departures++) {
			now += gap;
			admission.countDeparture(now);
		}

		const wait = admission.estimateWait(ahead, now);
		const isReachable = admission.isReachable(ahead, needed, now + left, now);
		expect(isReachable).toBe(left - needed > 0 && wait <= (left - needed) * waitShare);
	}), {seed});
});

test('the estimate follows the measured rate of departures', () => {
	const admission = createAdmission(waitShare, () => 1);
	for (let now = 0; now < 2000; now += 2) {
		admission.countDeparture(now);
	}

	expect(admission.estimateWait(100, 2000)).toBeCloseTo(200, -1);
});

test('chance in a few slow departures doesn\'t refuse a call behind a queue of two seconds', () => {
	const meanMilliseconds = 100;
	const calls = 20;
	const deadlineMilliseconds = 10_000;
	const stepMilliseconds = 10;
	fastCheck.assert(fastCheck.property(fastCheck.integer(), streamSeed => {
		const random = createRandomSource(streamSeed);
		const admission = createAdmission(waitShare, () => 1 / meanMilliseconds);
		let refused = 0;
		for (let now = 0; now < 10_000; now += stepMilliseconds) {
			if (random.nextFraction() < stepMilliseconds / meanMilliseconds) {
				admission.countDeparture(now);
			}

			refused += admission.isReachable(calls, meanMilliseconds, now + deadlineMilliseconds, now) ? 0 : 1;
		}

		expect(refused).toBe(0);
	}), {seed});
});

test('a service without any rate refuses all but the first call', () => {
	const admission = createAdmission(waitShare, () => 0);
	expect(admission.isReachable(0, 10, 1000, 0)).toBe(true);
	expect(admission.isReachable(1, 10, 1000, 0)).toBe(false);
});

test('a refused caller is asked back within a second, and never at once', () => {
	expect([0, 300, Number.POSITIVE_INFINITY].map(wait => resolveRetryAfter(wait))).toEqual([10, 300, 1000]);
});
