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

/** Calls back for each distinct duration, in microseconds and ascending. */
export function forEachDuration(durations: Durations, callback: (microseconds: number, count: number) => void): void {
	const iterator = durations.recordedValuesIterator;
	iterator.reset();
	while (iterator.hasNext()) {
		const {valueIteratedTo, countAddedInThisIterationStep} = iterator.next();
		callback(valueIteratedTo, countAddedInThisIterationStep);
	}
}

/** Encodes a histogram as pairs of duration step and count. */
export function encodeDurations(durations: Durations): string {
	const numbers: number[] = [];
	let previous = 0;
	forEachDuration(durations, (microseconds, count) => {
		numbers.push(microseconds - previous, count);
		previous = microseconds;
	});
	return encodeNumbers(numbers);
}

/** Adds a histogram that `encodeDurations` made. */
export function addEncodedDurations(target: Durations, text: string): void {
	const numbers = decodeNumbers(text);
	let microseconds = 0;
	for (let index = 0; index + 1 < numbers.length; index += 2) {
		microseconds += numbers[index]!;
		target.recordValueWithCount(microseconds, numbers[index + 1]!);
	}
}
