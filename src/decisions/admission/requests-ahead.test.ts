import * as vitest from 'vitest';
import * as requestsAhead from './requests-ahead.ts';

const {expect, test} = vitest;

test('a request that waits for others starts early enough to be answered in time', () => {
	expect(requestsAhead.getLatestStart({receivedAt: 1000, deadlineAt: 5000, expectedMilliseconds: 100})).toBe(2000);
	expect(requestsAhead.getLatestStart({receivedAt: 1000, deadlineAt: 2000, expectedMilliseconds: 230})).toBe(1080);
	expect(requestsAhead.getLatestStart({receivedAt: 1000, deadlineAt: 2000, expectedMilliseconds: 400})).toBe(1000);
});

test('of a row of requests behind one that never ends, each starts within a quarter of its time', () => {
	for (let index = 0; index < 50; index++) {
		const receivedAt = 10 * index;
		const start = requestsAhead.getLatestStart({receivedAt, deadlineAt: receivedAt + 2000, expectedMilliseconds: 50});
		expect(start - receivedAt).toBe(500);
	}
});
