/** Compact text form of lists of whole numbers: variable-length bytes in base64. */
import * as buffer from 'node:buffer';

const continuation = 128;

/** Encodes whole numbers from 0 to 2^53 - 1; small numbers take one byte each. */
export function encodeNumbers(numbers: readonly number[]): string {
	const bytes: number[] = [];
	for (const number of numbers) {
		let rest = number;
		while (rest >= continuation) {
			bytes.push((rest % continuation) + continuation);
			rest = Math.floor(rest / continuation);
		}

		bytes.push(rest);
	}

	return buffer.Buffer.from(bytes).toString('base64');
}

/** Decodes what `encodeNumbers` made. */
export function decodeNumbers(text: string): number[] {
	const numbers: number[] = [];
	let number = 0;
	let scale = 1;
	for (const byte of buffer.Buffer.from(text, 'base64')) {
		number += (byte % continuation) * scale;
		scale *= continuation;
		if (byte < continuation) {
			numbers.push(number);
			number = 0;
			scale = 1;
		}
	}

	return numbers;
}

/** Encodes counts by position, e.g. by the second of an hour; gaps between positions cost little. */
export function encodeCounts(counts: ReadonlyMap<number, number>): string {
	const numbers: number[] = [];
	let expected = 0;
	for (const [position, count] of [...counts].toSorted(([left], [right]) => left - right)) {
		if (position > expected) {
			numbers.push(0, position - expected);
		}

		numbers.push(count);
		expected = position + 1;
	}

	return encodeNumbers(numbers);
}

/** Adds counts that `encodeCounts` made. */
export function addEncodedCounts(target: Map<number, number>, text: string): void {
	const numbers = decodeNumbers(text);
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

/** Adds to the count of a key. */
export function addCount<Key>(target: Map<Key, number>, key: Key, count: number): void {
	target.set(key, (target.get(key) ?? 0) + count);
}

/** Adds counts key by key. */
export function addCounts<Key>(target: Map<Key, number>, source: ReadonlyMap<Key, number>): void {
	for (const [key, count] of source) {
		addCount(target, key, count);
	}
}
