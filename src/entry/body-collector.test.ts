import * as buffer from 'node:buffer';
import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as bodyCollector from './body-collector.ts';

const {expect, test} = vitest;

test('bodies in chunks of any sizes are collected whole, also in blocks of earlier bodies', () => {
	const chunk = fastCheck.uint8Array({minLength: 1, maxLength: 40_000});
	fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.array(chunk, {maxLength: 6}), {maxLength: 4}), bodies => {
		const pool = bodyCollector.createBlockPool();
		const taken = bodies.map(chunks => {
			const collector = bodyCollector.createBodyCollector(pool);
			const abandoned = bodyCollector.createBodyCollector(pool);
			for (const bytes of chunks) {
				collector.append(bytes);
				abandoned.append(bytes);
			}

			abandoned.discard();
			return {bytes: collector.takeBytes(), expected: buffer.Buffer.concat(chunks)};
		});
		for (const {bytes, expected} of taken) {
			expect(buffer.Buffer.compare(bytes, expected)).toBe(0);
		}
	}), {seed: 39, numRuns: 60});
});

// Guards against a process that runs out of memory by chunks of one byte, each of which costs an object.
test('a body in chunks of one byte holds no more than its blocks', () => {
	const collector = bodyCollector.createBodyCollector(bodyCollector.createBlockPool());
	for (let count = 0; count < 100_000; count++) {
		collector.append(new Uint8Array(1));
	}

	expect(collector.getSize()).toBe(100_000);
	expect(collector.getHeldBytes()).toBeLessThan(100_000 + 16_385);
	collector.discard();
	expect(collector.getHeldBytes()).toBe(0);
});
