/** Estimates the durations of operations and classifies operations as short or long. */
import {type OperationRow} from '../table/rows.ts';

/** Weight of a new sample in the moving average of an operation. */
const sampleWeight = 0.1;
/** Duration assumed before the first answer, in milliseconds. */
const initialMilliseconds = 20;
/** An operation is long when its mean duration exceeds the typical short duration by this factor. */
const longFactor = 4;
/** The typical short duration is this quantile of the durations of all calls whose operation the table doesn't declare long. */
const shortQuantile = 0.3;
/** Smallest relative step of the quantile estimate per sample; the first samples use larger steps. */
const quantileStep = 0.1;
/** Number of answers after which the mean duration of an operation is reliable. */
const minimumSamples = 3;

/** Observed durations of one operation. */
type OperationStatistics = {
	meanMilliseconds: number;
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

		const statistics = {meanMilliseconds: 0, samples: 0, startedAt: now};
		operations.set(operation.operation, statistics);
		return statistics;
	}

	/** Moves the quantile estimate up or down; it is stationary where the share `shortQuantile` of the samples lies below it. */
	function updateShortQuantile(milliseconds: number): void {
		samples += 1;
		if (samples === 1) {
			shortMilliseconds = milliseconds;
			return;
		}

		const stepShare = Math.max(quantileStep, 1 / samples);
		const relativeChange = milliseconds > shortMilliseconds ? stepShare * shortQuantile : -stepShare * (1 - shortQuantile);
		shortMilliseconds *= 1 + relativeChange;
	}

	return {
		recordStart(operation, now) {
			getOrCreateStatistics(operation, now);
		},
		recordDuration(operation, milliseconds, now) {
			const statistics = getOrCreateStatistics(operation, now);
			statistics.samples += 1;
			statistics.meanMilliseconds += (milliseconds - statistics.meanMilliseconds) * Math.max(sampleWeight, 1 / statistics.samples);
			if (operation.duration !== 'long') {
				updateShortQuantile(milliseconds);
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

			const duration = statistics.samples > 0 ? statistics.meanMilliseconds : now - statistics.startedAt;
			return duration > longFactor * shortMilliseconds;
		},
		hasEnoughSamples: operation => (operations.get(operation.operation)?.samples ?? 0) >= minimumSamples,
	};
}
