/** Learns how long operations run and tells short ones from long ones. */
import {type OperationRow} from '../table/rows.ts';

/** Weight of a new sample in the moving average. */
const sampleWeight = 0.1;
/** Duration assumed before the first answer, in milliseconds. */
const initialMilliseconds = 20;
/** An operation is long when it runs this many times longer than the typical short one. */
const longFactor = 4;
/** Samples before a learned operation may count as long. */
const leastSamples = 3;

type Learned = {
	mean: number;
	samples: number;
};

export type DurationLearner = {
	/** Takes the duration of an answered attempt. */
	learn(operation: OperationRow, milliseconds: number): void;
	/** Expected duration of an operation in milliseconds. */
	getTypical(operation: OperationRow): number;
	/** Expected duration of short work in milliseconds. */
	getTypicalShort(): number;
	isLong(operation: OperationRow): boolean;
	/** Whether enough answers were seen to know the duration. */
	isKnown(operation: OperationRow): boolean;
};

/** Creates a learner that knows nothing yet. */
export function createDurationLearner(): DurationLearner {
	const operations = new Map<string, Learned>();
	/** Moving average over short work. */
	let short = initialMilliseconds;
	let shortSamples = 0;

	function isLong(operation: OperationRow): boolean {
		if (operation.duration !== 'learned') {
			return operation.duration === 'long';
		}

		const learned = operations.get(operation.operation);
		return learned !== undefined && learned.samples >= leastSamples && learned.mean > longFactor * short && shortSamples > 0;
	}

	return {
		learn(operation, milliseconds) {
			const learned = operations.get(operation.operation) ?? {mean: milliseconds, samples: 0};
			operations.set(operation.operation, learned);
			learned.samples += 1;
			learned.mean += (milliseconds - learned.mean) * Math.max(sampleWeight, 1 / learned.samples);
			if (operation.duration === 'long') {
				return;
			}

			// Samples far above the average belong to long operations or slow upstreams.
			const sample = shortSamples === 0 ? milliseconds : Math.min(milliseconds, longFactor * short);
			shortSamples += 1;
			const isOwnOperationLong = isLong(operation);
			if (!isOwnOperationLong) {
				short += (sample - short) * Math.max(sampleWeight / 2, 1 / shortSamples);
			}
		},
		getTypical: operation => operations.get(operation.operation)?.mean ?? short,
		getTypicalShort: () => short,
		isLong,
		isKnown: operation => (operations.get(operation.operation)?.samples ?? 0) >= leastSamples,
	};
}
