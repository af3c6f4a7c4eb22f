import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as responseMemory from './response-memory.ts';

const {expect, test} = vitest;
const seed = 20_361;

// Guards against a process that runs out of memory by bodies without end on many connections at once.
test('the largest response gives way when the memory is full, and the others go on', () => {
	const ended: string[] = [];
	const memory = responseMemory.createResponseMemory(100);
	const small = memory.allocate(() => {
		ended.push('small');
	});
	const large = memory.allocate(() => {
		ended.push('large');
	});
	large.add(70);
	small.add(20);
	small.add(20);
	expect(ended).toEqual(['large']);
	expect(memory.getUsed()).toBe(40);
	large.add(50);
	large.free();
	expect(memory.getUsed()).toBe(40);
	small.free();
	expect(memory.getUsed()).toBe(0);
});

test('the memory in use never exceeds its size, and is free once all responses are', () => {
	const step = fastCheck.record({response: fastCheck.nat({max: 5}), bytes: fastCheck.nat({max: 150})});
	fastCheck.assert(fastCheck.property(fastCheck.array(step, {maxLength: 100}), steps => {
		const memory = responseMemory.createResponseMemory(200);
		const responses = Array.from({length: 6}, () => memory.allocate(() => undefined));
		for (const {response, bytes} of steps) {
			responses[response]!.add(bytes);
			expect(memory.getUsed()).toBeLessThanOrEqual(200);
		}

		for (const response of responses) {
			response.free();
		}

		expect(memory.getUsed()).toBe(0);
	}), {seed});
});
