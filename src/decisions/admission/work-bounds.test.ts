import * as vitest from 'vitest';
import * as workBounds from './work-bounds.ts';

const {expect, test} = vitest;

test('the longest request is known, whether it has ended or still runs', () => {
	const bounds = workBounds.createWorkBounds();
	expect(bounds.getSeen('a', 'desk', 0)).toEqual({requests: 0, longestMilliseconds: 0});
	const first = bounds.start('a', 'desk', 0);
	const second = bounds.start('a', 'desk', 100);
	expect(bounds.getSeen('a', 'desk', 150)).toEqual({requests: 0, longestMilliseconds: 150});
	second.recordEnd(400);
	expect(bounds.getSeen('a', 'desk', 500)).toEqual({requests: 0, longestMilliseconds: 500});
	first.discard();
	expect(bounds.getSeen('a', 'desk', 500)).toEqual({requests: 1, longestMilliseconds: 300});
});

// Guards against a bound that is learned from the short requests of a process that has just started, while the long ones still run.
test('requests that have ended show no bound while one runs for longer than all of them', () => {
	const bounds = workBounds.createWorkBounds();
	const long = bounds.start('a', 'desk', 0);
	for (let count = 0; count < 100; count++) {
		bounds.start('a', 'desk', count).recordEnd(count + 300);
	}

	expect(bounds.getSeen('a', 'desk', 300).requests).toBe(100);
	expect(bounds.getSeen('a', 'desk', 400).requests).toBe(0);
	long.recordEnd(4500);
	expect(bounds.getSeen('a', 'desk', 4500)).toEqual({requests: 101, longestMilliseconds: 4500});
});

test('routes and services are kept apart', () => {
	const bounds = workBounds.createWorkBounds();
	bounds.start('a', 'desk', 0).recordEnd(300);
	expect(bounds.getSeen('a', 'office', 300).requests).toBe(0);
	expect(bounds.getSeen('b', 'desk', 300).requests).toBe(0);
});

test('durations are forgotten after one window at least and two at most', () => {
	const bounds = workBounds.createWorkBounds();
	const {windowMilliseconds} = workBounds;
	bounds.start('a', 'desk', 0).recordEnd(300);
	expect(bounds.getSeen('a', 'desk', 299 + windowMilliseconds).requests).toBe(1);
	expect(bounds.getSeen('a', 'desk', 300 + windowMilliseconds).requests).toBe(1);
	expect(bounds.getSeen('a', 'desk', 300 + (2 * windowMilliseconds)).requests).toBe(0);
	bounds.start('a', 'desk', 0).recordEnd(10 * windowMilliseconds);
	expect(bounds.getSeen('a', 'desk', 13 * windowMilliseconds)).toEqual({requests: 0, longestMilliseconds: 0});
});
