/**
Collects the chunks of a body in blocks of one size, which are used again.

A chunk costs memory of its own whatever its size, so chunks are copied as they arrive. The blocks of bodies that are
given up are used for the next ones at once; released buffers would stay until the next garbage collection.
*/
import * as buffer from 'node:buffer';

/** Blocks that bodies are collected in. */
export type BlockPool = {
	take(): buffer.Buffer;
	release(blocks: readonly buffer.Buffer[]): void;
};

/** Body that is being received. */
export type BodyCollector = {
	/** Number of bytes that were received. */
	getSize(): number;
	/** Number of bytes of memory that the body holds. */
	getHeldBytes(): number;
	append(chunk: Uint8Array): void;
	/** Returns the collected bytes, and empties the collector. */
	takeBytes(): Uint8Array;
	/** Discards the collected bytes. */
	discard(): void;
};

const blockBytes = 16_384;
/** Number of blocks that are allocated together. */
const blocksPerAllocation = 16;

/** Creates a pool without blocks. It keeps all blocks that it ever needed. */
export function createBlockPool(): BlockPool {
	const freeBlocks: buffer.Buffer[] = [];
	return {
		take() {
			const block = freeBlocks.pop();
			if (block) {
				return block;
			}

			const allocation = buffer.Buffer.allocUnsafeSlow(blockBytes * blocksPerAllocation);
			for (let index = 1; index < blocksPerAllocation; index++) {
				freeBlocks.push(allocation.subarray(index * blockBytes, (index + 1) * blockBytes));
			}

			return allocation.subarray(0, blockBytes);
		},
		release(blocks) {
			freeBlocks.push(...blocks);
		},
	};
}

/** Creates a collector. The first chunk is only copied when another one follows. */
export function createBodyCollector(pool: BlockPool): BodyCollector {
	let firstChunk: Uint8Array | undefined;
	let blocks: buffer.Buffer[] = [];
	let size = 0;

	function copy(chunk: Uint8Array, position: number): void {
		for (let copied = 0; copied < chunk.length;) {
			const offset = (position + copied) % blockBytes;
			if (offset === 0) {
				blocks.push(pool.take());
			}

			const length = Math.min(chunk.length - copied, blockBytes - offset);
			blocks.at(-1)!.set(chunk.subarray(copied, copied + length), offset);
			copied += length;
		}
	}

	function discard(): void {
		pool.release(blocks);
		blocks = [];
		firstChunk = undefined;
		size = 0;
	}

	return {
		getSize: () => size,
		getHeldBytes: () => firstChunk ? firstChunk.length : blocks.length * blockBytes,
		append(chunk) {
			if (size === 0) {
				firstChunk = chunk;
			} else {
				if (firstChunk) {
					copy(firstChunk, 0);
					firstChunk = undefined;
				}

				copy(chunk, size);
			}

			size += chunk.length;
		},
		takeBytes() {
			const bytes = firstChunk ?? buffer.Buffer.concat(blocks, size);
			discard();
			return bytes;
		},
		discard,
	};
}
