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
