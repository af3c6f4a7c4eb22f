/** Compact text encoding of lists of non-negative integers: LEB128 varints in base64. */
import * as buffer from 'node:buffer';

const continuationBit = 128;

/** Encodes integers from 0 to 2^53 - 1; numbers below 128 take one byte each. */
export function encodeVarints(numbers: readonly number[]): string {
	const bytes: number[] = [];
	for (const number of numbers) {
		let remaining = number;
		while (remaining >= continuationBit) {
			bytes.push((remaining % continuationBit) + continuationBit);
			remaining = Math.floor(remaining / continuationBit);
		}

		bytes.push(remaining);
	}

	return buffer.Buffer.from(bytes).toString('base64');
}

/** Decodes a list encoded by `encodeVarints`. */
export function decodeVarints(text: string): number[] {
	const numbers: number[] = [];
	let number = 0;
	let scale = 1;
	for (const byte of buffer.Buffer.from(text, 'base64')) {
		number += (byte % continuationBit) * scale;
		scale *= continuationBit;
		if (byte < continuationBit) {
			numbers.push(number);
			number = 0;
			scale = 1;
		}
	}

	return numbers;
}

/** Encodes counts by position, e.g. by the second of an hour. Runs of positions without a count are stored as their length. */
export function encodeCounts(counts: ReadonlyMap<number, number>): string {
	const numbers: number[] = [];
	let nextPosition = 0;
	for (const [position, count] of [...counts].toSorted(([left], [right]) => left - right)) {
		if (position > nextPosition) {
			numbers.push(0, position - nextPosition);
		}

		numbers.push(count);
		nextPosition = position + 1;
	}

	return encodeVarints(numbers);
}

/** Adds counts encoded by `encodeCounts`. */
export function addEncodedCounts(target: Map<number, number>, text: string): void {
	const numbers = decodeVarints(text);
	let position = 0;
	for (let index = 0; index < numbers.length; index++) {
		const number = numbers[index]!;
		if (number === 0) {
			index++;
			position += numbers[index] ?? 0;
			continue;
		}

		addCount(target, position, number);
		position++;
	}
}

export function addCount<Key>(target: Map<Key, number>, key: Key, count: number): void {
	target.set(key, (target.get(key) ?? 0) + count);
}

/** Adds counts key by key. */
export function addCounts<Key>(target: Map<Key, number>, source: ReadonlyMap<Key, number>): void {
	for (const [key, count] of source) {
		addCount(target, key, count);
	}
}
