import * as vitest from 'vitest';
import * as smallChunks from './small-chunks.ts';

const {expect, test} = vitest;
const chunkCount = 200_000;

/** Sends a body in chunks of one size, one every `intervalMilliseconds`. Returns the number of chunks until it has to end. */
function send(body: smallChunks.ChunkedBody, bytes: number, startsAt: number, intervalMilliseconds = 0.01): number {
	for (let count = 0; count < chunkCount; count++) {
		if (body.recordChunk(bytes, startsAt + (count * intervalMilliseconds)) === 'refuse') {
			return count;
		}
	}

	return chunkCount;
}

test('a body in chunks of one byte is received while no other one is', () => {
	const watch = smallChunks.createSmallChunkWatch();
	expect(send(watch.startBody(), 1, 0)).toBe(chunkCount);
	expect(send(watch.startBody(), 1, 10_000)).toBe(chunkCount);
});

// Guards against a process that is kept busy by the chunks of a crowd.
test('of many bodies in chunks of one byte all but one end after a few thousand chunks', () => {
	const watch = smallChunks.createSmallChunkWatch();
	const bodies = Array.from({length: 100}, () => watch.startBody());
	const ended = new Set<number>();
	let received = 0;
	for (let count = 0; count < 20_000; count++) {
		for (const [index, body] of bodies.entries()) {
			if (!ended.has(index)) {
				received++;
				if (body.recordChunk(1, count * 0.1) === 'refuse') {
					ended.add(index);
				}
			}
		}
	}

	expect(ended.size).toBe(99);
	expect(received).toBeLessThan((100 * 5000) + 20_000);
});

test('chunks of usual sizes and bodies of a few chunks always go on', () => {
	const watch = smallChunks.createSmallChunkWatch();
	send(watch.startBody(), 1, 0);
	expect(send(watch.startBody(), 64, 1)).toBe(chunkCount);
	const body = watch.startBody();
	for (let count = 0; count < 4000; count++) {
		expect(body.recordChunk(1, 2)).toBe('go-on');
	}
});

test('a body in chunks of one byte lets others be read every few thousand chunks', () => {
	const body = smallChunks.createSmallChunkWatch().startBody();
	const verdicts = Array.from({length: 20_000}, () => body.recordChunk(1, 0));
	expect(verdicts.filter(verdict => verdict === 'yield').length).toBe(4);
	expect(verdicts.includes('refuse')).toBe(false);
});
