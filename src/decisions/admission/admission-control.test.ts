import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {createRandomSource} from '../random.ts';
import {createAdmissionControl, getRetryAfterMilliseconds} from './admission-control.ts';

const {expect, test} = vitest;
const seed = 20_268;
const waitShare = 0.5;

test('a call is admitted only when its estimated wait stays within the allowed share of the remaining time', () => {
	const cases = fastCheck.record({
		callsAhead: fastCheck.nat(5000),
		neededMilliseconds: fastCheck.integer({min: 1, max: 500}),
		leftMilliseconds: fastCheck.integer({min: -10, max: 5000}),
		gapMilliseconds: fastCheck.integer({min: 1, max: 20}),
	});
	fastCheck.assert(fastCheck.property(cases, ({callsAhead, neededMilliseconds, leftMilliseconds, gapMilliseconds}) => {
		const admission = createAdmissionControl(waitShare, () => 0.2);
		admission.recordWaiting(true, 0);
		let now = 0;
		for (let departures = 0; departures < 100; departures++) {
			now += gapMilliseconds;
			admission.recordDeparture(now);
		}

		const waitMilliseconds = admission.estimateWait(callsAhead, now);
		const canMeetDeadline = admission.canMeetDeadline(callsAhead, neededMilliseconds, now + leftMilliseconds, now);
		expect(canMeetDeadline).toBe(leftMilliseconds - neededMilliseconds > 0 && waitMilliseconds <= (leftMilliseconds - neededMilliseconds) * waitShare);
	}), {seed});
});

test('the estimated wait follows the measured departure rate', () => {
	const admission = createAdmissionControl(waitShare, () => 1);
	admission.recordWaiting(true, 0);
	for (let now = 0; now < 2000; now += 2) {
		admission.recordDeparture(now);
	}

	expect(admission.estimateWait(100, 2000)).toBeCloseTo(200, -1);
});

test('random gaps between slow departures do not cause a call behind a two-second queue to be refused', () => {
	const meanMilliseconds = 100;
	const callsAhead = 20;
	const deadlineMilliseconds = 10_000;
	const stepMilliseconds = 10;
	fastCheck.assert(fastCheck.property(fastCheck.integer(), streamSeed => {
		const random = createRandomSource(streamSeed);
		const admission = createAdmissionControl(waitShare, () => 1 / meanMilliseconds);
		admission.recordWaiting(true, 0);
		let refusedCalls = 0;
		for (let now = 0; now < 10_000; now += stepMilliseconds) {
			if (random.nextFraction() < stepMilliseconds / meanMilliseconds) {
				admission.recordDeparture(now);
			}

			refusedCalls += admission.canMeetDeadline(callsAhead, meanMilliseconds, now + deadlineMilliseconds, now) ? 0 : 1;
		}

		expect(refusedCalls).toBe(0);
	}), {seed});
});

// Guards against calls that are refused because the queue had been empty most of the time.
test('time during which no call waits does not lower the estimated rate', () => {
	const meanMilliseconds = 100;
	const idle = fastCheck.integer({min: 0, max: 3 * meanMilliseconds});
	fastCheck.assert(fastCheck.property(idle, idleMilliseconds => {
		const admission = createAdmissionControl(waitShare, () => 1 / meanMilliseconds);
		let now = 0;
		for (let departures = 0; departures < 100; departures++) {
			admission.recordWaiting(true, now);
			now += meanMilliseconds;
			admission.recordDeparture(now);
			admission.recordWaiting(false, now);
			now += idleMilliseconds;
			admission.estimateWait(0, now);
		}

		expect(admission.estimateWait(10, now)).toBeLessThan(11 * meanMilliseconds);
	}), {seed});
});

// Guards against refusals on the grounds of a rate that was measured over two or three departures.
test('a window with few departures due does not lower the estimated rate by half', () => {
	const meanMilliseconds = 1000;
	const stepMilliseconds = 10;
	fastCheck.assert(fastCheck.property(fastCheck.integer(), streamSeed => {
		const random = createRandomSource(streamSeed);
		const admission = createAdmissionControl(waitShare, () => 1 / meanMilliseconds);
		let longestWait = 0;
		admission.recordWaiting(true, 0);
		for (let now = 0; now < 20_000; now += stepMilliseconds) {
			if (random.nextFraction() < stepMilliseconds / meanMilliseconds) {
				admission.recordDeparture(now);
			}

			longestWait = Math.max(longestWait, admission.estimateWait(1, now));
		}

		expect(longestWait).toBeLessThan(2 * meanMilliseconds);
	}), {seed});
});

test('a queue with a departure rate of zero admits only a call with no calls ahead', () => {
	const admission = createAdmissionControl(waitShare, () => 0);
	expect(admission.canMeetDeadline(0, 10, 1000, 0)).toBe(true);
	expect(admission.canMeetDeadline(1, 10, 1000, 0)).toBe(false);
});

test('the retry delay of a refused call is at least 10 ms and at most one second', () => {
	expect([0, 300, Number.POSITIVE_INFINITY].map(waitMilliseconds => getRetryAfterMilliseconds(waitMilliseconds))).toEqual([10, 300, 1000]);
});
