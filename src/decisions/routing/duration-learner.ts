/** Learns how long operations run and tells short ones from long ones. */
import {type OperationRow} from '../table/rows.ts';

/** Weight of a new sample in the moving average of an operation. */
const sampleWeight = 0.1;
/** Duration assumed before the first answer, in milliseconds. */
const initialMilliseconds = 20;
/** An operation is long when it runs this many times longer than short work. */
const longFactor = 4;
/** Short work is what lies around this quantile of the durations of all calls. */
const shortQuantile = 0.3;
/** Part by which the estimate of the quantile moves with a sample, once it has settled. */
const quantileStep = 0.1;
/** Answers after which the duration of an operation counts as known. */
const samplesToKnow = 3;

type Learned = {
	mean: number;
	samples: number;
	/** Time at which the first call went out. */
	readonly startedAt: number;
};

export type DurationLearner = {
	/** Takes note of a call that goes out. */
	noteStart(operation: OperationRow, now: number): void;
	/** Takes the duration of an answered attempt. */
	learn(operation: OperationRow, milliseconds: number, now: number): void;
	/** Expected duration of an operation in milliseconds. */
	getTypical(operation: OperationRow): number;
	/** Expected duration of short work in milliseconds. */
	getTypicalShort(): number;
	/** Whether the operation counts as long: by the table, by its answers, or because its first call has not come back. */
	isLong(operation: OperationRow, now: number): boolean;
	/** Whether enough answers were seen to know the duration. */
	isKnown(operation: OperationRow): boolean;
};

/** Creates a learner that knows nothing yet. */
export function createDurationLearner(): DurationLearner {
	const operations = new Map<string, Learned>();
	let short = initialMilliseconds;
	let samples = 0;

	function resolve(operation: OperationRow, now: number): Learned {
		const known = operations.get(operation.operation);
		if (known) {
			return known;
		}

		const learned = {mean: 0, samples: 0, startedAt: now};
		operations.set(operation.operation, learned);
		return learned;
	}

	/** Moves the estimate up or down so that it rests where the given share of the samples lies below. */
	function moveQuantile(milliseconds: number): void {
		samples += 1;
		if (samples === 1) {
			short = milliseconds;
			return;
		}

		const step = Math.max(quantileStep, 1 / samples);
		const change = milliseconds > short ? step * shortQuantile : -step * (1 - shortQuantile);
		short *= 1 + change;
	}

	return {
		noteStart(operation, now) {
			resolve(operation, now);
		},
		learn(operation, milliseconds, now) {
			const learned = resolve(operation, now);
			learned.samples += 1;
			learned.mean += (milliseconds - learned.mean) * Math.max(sampleWeight, 1 / learned.samples);
			if (operation.duration !== 'long') {
				moveQuantile(milliseconds);
			}
		},
		getTypical(operation) {
			const learned = operations.get(operation.operation);
			return learned && learned.samples > 0 ? learned.mean : short;
		},
		getTypicalShort: () => short,
		isLong(operation, now) {
			if (operation.duration !== 'learned') {
				return operation.duration === 'long';
			}

			const learned = operations.get(operation.operation);
			if (!learned || samples === 0) {
				return false;
			}

			const duration = learned.samples > 0 ? learned.mean : now - learned.startedAt;
			return duration > longFactor * short;
		},
		isKnown: operation => (operations.get(operation.operation)?.samples ?? 0) >= samplesToKnow,
	};
}
