import * as vitest from 'vitest';
import * as stopTimes from './stop-times.ts';

const {expect, test} = vitest;

// Guards against a stop that is still there when the platform kills it.
test.each([100, 300, 1000, 2000, 6000, 60_000])('all parts of a stop are in order and end before a grace period of %d ms does', graceMilliseconds => {
	const beganAt = 5000;
	const {noticeEndsAt, reportsAt, refusesAt, resetsAt, closesAt, givesUpAt, exitsAt} = stopTimes.getStopTimes(beganAt, graceMilliseconds, 3200);
	const times = [beganAt, noticeEndsAt, reportsAt, refusesAt, resetsAt, closesAt, givesUpAt, exitsAt];
	expect(times).toEqual(times.toSorted((first, second) => first - second));
	expect(new Set(times).size).toBe(times.length);
	expect(beganAt + graceMilliseconds - exitsAt).toBeCloseTo(Math.min(stopTimes.marginMilliseconds, stopTimes.maximumShare * graceMilliseconds));
});

// Guards against a stop that counts from when a late process handles the signal, and outlasts its grace period.
test('a stop ends within its grace period although the signal is handled late by up to half of it', () => {
	const graceMilliseconds = 6000;
	for (let late = 0; late <= graceMilliseconds * stopTimes.maximumLateShare; late += 50) {
		for (const turnBefore of [0, 30, 99, 400]) {
			const handledAt = 10_000;
			const arrivedAt = handledAt - late;
			const estimated = stopTimes.estimateLateness(handledAt, arrivedAt - turnBefore, graceMilliseconds);
			const {exitsAt} = stopTimes.getStopTimes(handledAt - estimated, graceMilliseconds, estimated + 3200);
			expect(exitsAt).toBeLessThan(arrivedAt + graceMilliseconds);
			expect(estimated - late).toBeLessThanOrEqual(turnBefore);
		}
	}
});

test('a process that stood still for long still has half of its grace period', () => {
	expect(stopTimes.estimateLateness(60_000, 10_000, 6000)).toBe(3000);
	expect(stopTimes.estimateLateness(10_000, 10_001, 6000)).toBe(0);
});
