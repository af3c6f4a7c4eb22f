/** Histograms of durations in microseconds; a value read back is at most 0.8% above the one recorded. */
import * as hdr from 'hdr-histogram-js';
import {decodeNumbers, encodeNumbers} from './number-list.ts';

const microsecondsPerMillisecond = 1000;
const significantDigits = 2;

export type Durations = hdr.JsHistogram;

/** Creates an empty histogram that grows with the largest duration. */
export function createDurations(): Durations {
	const durations = new hdr.Float64Histogram(1, 2, significantDigits);
	durations.autoResize = true;
	return durations;
}

/** Records a duration in milliseconds; negative ones count as 0. */
export function recordDuration(durations: Durations, milliseconds: number): void {
	durations.recordValue(Math.max(0, Math.round(milliseconds * microsecondsPerMillisecond)));
}

/** Gets the duration in milliseconds that the given share of the recorded ones does not exceed; undefined when empty. */
export function getQuantile(durations: Durations, share: number): number | undefined {
	return durations.totalCount === 0 ? undefined : durations.getValueAtPercentile(share * 100) / microsecondsPerMillisecond;
}

/** Counts the recorded durations that were not 0. */
export function countPositive(durations: Durations): number {
	return durations.totalCount - durations.getCountAtIndex(0);
}

/** Encodes a histogram as pairs of class step and count. */
export function encodeDurations(durations: Durations): string {
	const numbers: number[] = [];
	let previous = 0;
	for (let index = 0; index < durations.countsArrayLength; index++) {
		const count = durations.getCountAtIndex(index);
		if (count > 0) {
			numbers.push(index - previous, count);
			previous = index;
		}
	}

	return encodeNumbers(numbers);
}

/** Adds a histogram that `encodeDurations` made. */
export function addEncodedDurations(target: Durations, text: string): void {
	const numbers = decodeNumbers(text);
	let classIndex = 0;
	for (let index = 0; index + 1 < numbers.length; index += 2) {
		classIndex += numbers[index]!;
		target.recordValueWithCount(target.valueFromIndex(classIndex), numbers[index + 1]!);
	}
}

/** Adds the counts of one histogram to another. */
export function addDurations(target: Durations, source: Durations): void {
	for (let index = 0; index < source.countsArrayLength; index++) {
		const count = source.getCountAtIndex(index);
		if (count > 0) {
			target.recordValueWithCount(target.valueFromIndex(index), count);
		}
	}
}
