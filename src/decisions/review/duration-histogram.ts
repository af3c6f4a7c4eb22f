/** Histograms of durations with microsecond resolution. A value read from a histogram is at most 0.8% above the recorded one. */
import * as hdr from 'hdr-histogram-js';
import {decodeVarints, encodeVarints} from './varint-list.ts';

const microsecondsPerMillisecond = 1000;
const significantDigits = 2;

export type DurationHistogram = hdr.JsHistogram;

/** Creates an empty histogram, which resizes itself to fit the largest recorded duration. */
export function createDurationHistogram(): DurationHistogram {
	const histogram = new hdr.Float64Histogram(1, 2, significantDigits);
	histogram.autoResize = true;
	return histogram;
}

/** Records a duration in milliseconds; a negative duration counts as 0. */
export function recordDuration(histogram: DurationHistogram, milliseconds: number): void {
	histogram.recordValue(Math.max(0, Math.round(milliseconds * microsecondsPerMillisecond)));
}

/** Gets a quantile (0 to 1) of the recorded durations in milliseconds; undefined if the histogram is empty. */
export function getQuantile(histogram: DurationHistogram, quantile: number): number | undefined {
	return histogram.totalCount === 0 ? undefined : histogram.getValueAtPercentile(quantile * 100) / microsecondsPerMillisecond;
}

/** Counts the recorded durations other than 0. */
export function countNonZero(histogram: DurationHistogram): number {
	return histogram.totalCount - histogram.getCountAtIndex(0);
}

/** Encodes a histogram as pairs of bucket index, relative to the previous non-empty bucket, and count. */
export function encodeDurationHistogram(histogram: DurationHistogram): string {
	const numbers: number[] = [];
	let previousIndex = 0;
	for (let index = 0; index < histogram.countsArrayLength; index++) {
		const count = histogram.getCountAtIndex(index);
		if (count > 0) {
			numbers.push(index - previousIndex, count);
			previousIndex = index;
		}
	}

	return encodeVarints(numbers);
}

/** Adds the counts of a histogram encoded by `encodeDurationHistogram`. */
export function addEncodedHistogram(target: DurationHistogram, text: string): void {
	const numbers = decodeVarints(text);
	let bucketIndex = 0;
	for (let index = 0; index + 1 < numbers.length; index += 2) {
		bucketIndex += numbers[index]!;
		target.recordValueWithCount(target.valueFromIndex(bucketIndex), numbers[index + 1]!);
	}
}

/** Adds the counts of one histogram to another. */
export function addHistogram(target: DurationHistogram, source: DurationHistogram): void {
	for (let index = 0; index < source.countsArrayLength; index++) {
		const count = source.getCountAtIndex(index);
		if (count > 0) {
			target.recordValueWithCount(target.valueFromIndex(index), count);
		}
	}
}
