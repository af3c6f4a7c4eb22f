/** Estimates the durations of operations and classifies operations as short or long. */
import {type OperationRow} from '../table/rows.ts';

/** Weight of a new sample in the moving average of an operation. */
const sampleWeight = 0.1;
/** Duration assumed before the first answer, in milliseconds. */
const initialMilliseconds = 20;
/** An operation is long when its lower quantile exceeds the typical short duration by this factor. */
const longFactor = 4;
/**
Quantile that is estimated of each operation and, as the typical short duration, of all calls whose operation the table
doesn't declare long. Unlike a mean, it hardly changes when a few calls take very long.
*/
const lowerQuantile = 0.3;
/** Smallest relative step of the quantile estimates per sample; the first samples use larger steps. */
const quantileStep = 0.1;
/** Number of answers after which the mean duration of an operation is reliable. */
const minimumSamples = 3;

/** Observed durations of one operation. */
type OperationStatistics = {
	meanMilliseconds: number;
	lowerMilliseconds: number;
	samples: number;
	/** Time at which the first call was dispatched. */
	readonly startedAt: number;
};

/** Estimates durations from the answers of one service. */
export type DurationEstimator = {
	/** Records that a call of the operation is dispatched. */
	recordStart(operation: OperationRow, now: number): void;
	/** Records the duration of an answered attempt. */
	recordDuration(operation: OperationRow, milliseconds: number, now: number): void;
	/** Returns the expected duration of an operation; before its first answer, the typical short duration. */
	getTypicalMilliseconds(operation: OperationRow): number;
	/** Returns the expected duration of short calls. */
	getTypicalShortMilliseconds(): number;
	/** Whether the operation counts as long: by the table, by its answers, or because its first call is still unanswered after a long time. */
	isLong(operation: OperationRow, now: number): boolean;
	/** Whether the operation has enough answers for a reliable duration. */
	hasEnoughSamples(operation: OperationRow): boolean;
};

/** Creates an estimator without any observations. */
export function createDurationEstimator(): DurationEstimator {
	const operations = new Map<string, OperationStatistics>();
	let shortMilliseconds = initialMilliseconds;
	let samples = 0;

	function getOrCreateStatistics(operation: OperationRow, now: number): OperationStatistics {
		const existing = operations.get(operation.operation);
		if (existing) {
			return existing;
		}

		const statistics = {
			meanMilliseconds: 0, lowerMilliseconds: 0, samples: 0, startedAt: now,
		};
		operations.set(operation.operation, statistics);
		return statistics;
	}

	return {
		recordStart(operation, now) {
			getOrCreateStatistics(operation, now);
		},
		recordDuration(operation, milliseconds, now) {
			const statistics = getOrCreateStatistics(operation, now);
			statistics.samples += 1;
			statistics.meanMilliseconds += (milliseconds - statistics.meanMilliseconds) * Math.max(sampleWeight, 1 / statistics.samples);
			statistics.lowerMilliseconds = updateLowerQuantile(statistics.lowerMilliseconds, milliseconds, statistics.samples);
			if (operation.duration !== 'long') {
				samples += 1;
				shortMilliseconds = updateLowerQuantile(shortMilliseconds, milliseconds, samples);
			}
		},
		getTypicalMilliseconds(operation) {
			const statistics = operations.get(operation.operation);
			return statistics && statistics.samples > 0 ? statistics.meanMilliseconds : shortMilliseconds;
		},
		getTypicalShortMilliseconds: () => shortMilliseconds,
		isLong(operation, now) {
			if (operation.duration !== 'learned') {
				return operation.duration === 'long';
			}

			const statistics = operations.get(operation.operation);
			if (!statistics || samples === 0) {
				return false;
			}

			const duration = statistics.samples > 0 ? statistics.lowerMilliseconds : now - statistics.startedAt;
			return duration > longFactor * shortMilliseconds;
		},
		hasEnoughSamples: operation => (operations.get(operation.operation)?.samples ?? 0) >= minimumSamples,
	};
}

/** Moves an estimate up or down by the latest of the given number of samples; it is stationary where the share `lowerQuantile` of the samples lies below it. */
function updateLowerQuantile(estimate: number, sample: number, samples: number): number {
	if (samples === 1) {
		return sample;
	}

	const stepShare = Math.max(quantileStep, 1 / samples);
	return estimate * (1 + (sample > estimate ? stepShare * lowerQuantile : -stepShare * (1 - lowerQuantile)));
}
