import * as vitest from 'vitest';
import * as readingQueue from './reading-queue.ts';

const {expect, test} = vitest;

/** Time that it takes to read once from a connection of the crowd, in milliseconds. */
const readMilliseconds = 20;

test('a caller that comes behind a crowd is read in the next turn, and one that was there before within a turn for each connection', () => {
	const queue = readingQueue.createReadingQueue<string>();
	queue.add('early');
	for (let index = 0; index < 200; index++) {
		queue.add(`crowd-${index}`);
	}

	queue.add('late');
	expect(queue.takeTurn()).toEqual(['late', 'early']);
	expect(queue.size()).toBe(200);
});

test('while new connections of a crowd keep coming, those that wait longest are read as well', () => {
	const queue = readingQueue.createReadingQueue<string>();
	queue.add('early');
	for (let index = 0; index < 10; index++) {
		queue.add(`crowd-${index}`);
	}

	const taken = queue.takeTurn();
	expect(taken).toContain('early');
	queue.remove('crowd-3');
	expect(queue.has('crowd-3')).toBe(false);
});

test('reading takes half of the time', () => {
	let readingTime = 0;
	let now = 0;
	for (let count = 0; count < 100; count++) {
		readingTime += 2 * readMilliseconds;
		now += (2 * readMilliseconds) + readingQueue.getPauseAfterTurn(2 * readMilliseconds);
	}

	expect(readingTime / now).toBeCloseTo(0.5);
});
