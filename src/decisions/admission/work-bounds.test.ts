import * as vitest from 'vitest';
import * as workBounds from './work-bounds.ts';

const {expect, test} = vitest;

test('the longest request is known, whether it has ended or still runs', () => {
	const bounds = workBounds.createWorkBounds();
	expect(bounds.getSeen('a', 'desk', 0)).toEqual({finished: 0, unfinished: 0, longestMilliseconds: 0});
	const first = bounds.start('a', 'desk', 0);
	const second = bounds.start('a', 'desk', 100);
	expect(bounds.getSeen('a', 'desk', 150)).toEqual({finished: 0, unfinished: 0, longestMilliseconds: 150});
	second.recordEnd('finished', 400);
	expect(bounds.getSeen('a', 'desk', 500)).toEqual({finished: 0, unfinished: 0, longestMilliseconds: 500});
	first.discard();
	expect(bounds.getSeen('a', 'desk', 500)).toEqual({finished: 1, unfinished: 0, longestMilliseconds: 300});
});

test('a shorter request does not replace a longer one', () => {
	const bounds = workBounds.createWorkBounds();
	bounds.start('a', 'desk', 0).recordEnd('finished', 900);
	bounds.start('a', 'desk', 900).recordEnd('finished', 1000);
	expect(bounds.getSeen('a', 'desk', 1000)).toEqual({finished: 2, unfinished: 0, longestMilliseconds: 900});
});

// Guards against a bound that is learned from the short requests of a process that has just started, while the long ones still run.
test('requests that have ended show no bound while one runs for longer than all of them', () => {
	const bounds = workBounds.createWorkBounds();
	const long = bounds.start('a', 'desk', 0);
	for (let count = 0; count < 100; count++) {
		bounds.start('a', 'desk', count).recordEnd('finished', count + 300);
	}

	expect(bounds.getSeen('a', 'desk', 300).finished).toBe(100);
	expect(bounds.getSeen('a', 'desk', 400).finished).toBe(0);
	long.recordEnd('finished', 4500);
	expect(bounds.getSeen('a', 'desk', 4500)).toEqual({finished: 101, unfinished: 0, longestMilliseconds: 4500});
});

test('routes and services are kept apart', () => {
	const bounds = workBounds.createWorkBounds();
	bounds.start('a', 'desk', 0).recordEnd('finished', 300);
	expect(bounds.getSeen('a', 'office', 300).finished).toBe(0);
	expect(bounds.getSeen('b', 'desk', 300).finished).toBe(0);
});

test('durations are forgotten after one window at least and two at most', () => {
	const bounds = workBounds.createWorkBounds();
	const {windowMilliseconds} = workBounds;
	bounds.start('a', 'desk', 0).recordEnd('finished', 300);
	expect(bounds.getSeen('a', 'desk', 299 + windowMilliseconds).finished).toBe(1);
	expect(bounds.getSeen('a', 'desk', 300 + windowMilliseconds).finished).toBe(1);
	expect(bounds.getSeen('a', 'desk', 300 + (2 * windowMilliseconds)).finished).toBe(0);
	bounds.start('a', 'desk', 0).recordEnd('finished', 10 * windowMilliseconds);
	expect(bounds.getSeen('a', 'desk', 13 * windowMilliseconds)).toEqual({finished: 0, unfinished: 0, longestMilliseconds: 0});
});

test('requests that failed or were given up are no evidence of short work, and long ones are', () => {
	const bounds = workBounds.createWorkBounds();
	bounds.start('a', 'desk', 0).recordEnd('failed', 300);
	bounds.start('a', 'desk', 0).recordEnd('unfinished', 200);
	expect(bounds.getSeen('a', 'desk', 300)).toEqual({finished: 0, unfinished: 1, longestMilliseconds: 300});
});
