import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {createDeadlineQueue} from './deadline-queue.ts';

const {expect, test} = vitest;
const seed = 20_261;

test('items leave in order of priority, deadline and id, even after arbitrary items have been removed', () => {
	const item = fastCheck.record({priority: fastCheck.integer({min: 0, max: 2}), deadlineAt: fastCheck.integer({min: 0, max: 20})});
	fastCheck.assert(fastCheck.property(fastCheck.array(item, {maxLength: 40}), fastCheck.array(fastCheck.nat(40)), (items, removedIds) => {
		const queue = createDeadlineQueue();
		for (const [id, fields] of items.entries()) {
			queue.add({id, ...fields});
		}

		for (const id of removedIds) {
			queue.remove(id);
		}

		const expected = items
			.map((fields, id) => ({id, ...fields}))
			.filter(({id}) => !removedIds.includes(id))
			.toSorted((left, right) => left.priority - right.priority || left.deadlineAt - right.deadlineAt || left.id - right.id);
		const takenItems = Array.from({length: queue.size}, () => queue.removeFirst());
		expect(takenItems).toEqual(expected);
		expect(queue.removeFirst()).toBeUndefined();
	}), {seed});
});
