/**
Finds bodies in chunks of a few bytes that keep an entry from serving others.

Load pattern: many callers send their bodies in chunks of one byte. Each chunk costs the same processor time, whatever
its size, so a few megabytes occupy an entry for seconds. One such body alone is served, as nobody waits for it.
*/

/** What to do with a body after one of its chunks. */
export type ChunkVerdict
	= | 'go-on'
	/** Other connections are read before the rest of it. */
		| 'yield'
	/** It has to end, since others are received in small chunks as well. */
		| 'refuse';

/** Body that is being received in chunks. */
export type ChunkedBody = {
	recordChunk(bytes: number, now: number): ChunkVerdict;
};

/** The bodies that are being received. */
export type SmallChunkWatch = {
	startBody(): ChunkedBody;
};

/** Number of chunks from which on a body counts, and after which others are read again. */
const toleratedChunks = 4096;
/** Mean size below which chunks are small, in bytes. */
const smallChunkBytes = 64;
/** Time for which a body in small chunks keeps others from being sent like that, in milliseconds. */
const memoryMilliseconds = 1000;

/** Creates a watch without bodies. */
export function createSmallChunkWatch(): SmallChunkWatch {
	let latest: {readonly body: symbol; readonly at: number} | undefined;

	return {
		startBody() {
			const body = Symbol('body');
			let chunks = 0;
			let size = 0;
			return {
				recordChunk(bytes, now) {
					chunks++;
					size += bytes;
					if (chunks < toleratedChunks || size >= chunks * smallChunkBytes) {
						return 'go-on';
					}

					if (latest && latest.body !== body && now - latest.at < memoryMilliseconds) {
						return 'refuse';
					}

					latest = {body, at: now};
					return chunks % toleratedChunks === 0 ? 'yield' : 'go-on';
				},
			};
		},
	};
}
