import * as vitest from 'vitest';
import * as startQueue from './start-queue.ts';

const {expect, test} = vitest;

/** Takes the calls of one turn, each of which takes the given time to start. */
function runTurn(queue: startQueue.StartQueue<string>, startedAt: number, milliseconds: number): readonly string[] {
	const started: string[] = [];
	let now = startedAt;
	queue.beginTurn(now);
	for (let call = queue.takeNext(now); call !== undefined; call = queue.takeNext(now)) {
		started.push(call);
		now += milliseconds;
	}

	return started;
}

test('a call starts once the entry has read again after its receipt', () => {
	const queue = startQueue.createStartQueue<string>();
	queue.add('a');
	expect(runTurn(queue, 0, 1)).toEqual([]);
	queue.add('b');
	expect(runTurn(queue, 1, 1)).toEqual(['a']);
	expect(runTurn(queue, 2, 1)).toEqual(['b']);
	expect(queue.isEmpty()).toBe(true);
});

test('a burst of calls that an entry reads in one turn starts in order over several turns, between which it reads', () => {
	const queue = startQueue.createStartQueue<string>();
	const calls = Array.from({length: 100}, (_value, index) => `call-${index}`);
	for (const call of calls) {
		queue.add(call);
	}

	runTurn(queue, 0, 3);
	const turns: Array<readonly string[]> = [];
	while (!queue.isEmpty()) {
		turns.push(runTurn(queue, turns.length * 20, 3));
	}

	expect(turns.flat()).toEqual(calls);
	expect(Math.max(...turns.map(turn => turn.length))).toBe(4);
});

test('at least one call starts in each turn, however long it takes', () => {
	const queue = startQueue.createStartQueue<string>();
	queue.add('a');
	queue.add('b');
	runTurn(queue, 0, 50);
	expect(runTurn(queue, 50, 50)).toEqual(['a']);
	expect(runTurn(queue, 100, 50)).toEqual(['b']);
});
