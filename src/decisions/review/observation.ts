/** What one call contributes to the review figures. */
import {type Outcome} from '../outcomes/types.ts';

export type Observation = {
	readonly service: string;
	readonly operation: string;
	/** Failure domain of the entry that served the call. */
	readonly failureDomain: string;
	/** Whether the operation counted as long work when the call was decided. */
	readonly isLong: boolean;
	readonly result: 'answered' | 'refused' | 'failed';
	/** Outcome told to the caller. */
	readonly outcome: Outcome;
	readonly attempts: number;
	/** From the first byte received to the last byte of the answer. */
	readonly totalMilliseconds: number;
	/** Time spent waiting for a slot. */
	readonly queuedMilliseconds: number;
	/** Part of the waiting time in which all usable slots held long work while this call is short; 0 for long calls. */
	readonly behindLongMilliseconds: number;
	/** Time from the dispatch of the last attempt to the end of its answer. */
	readonly upstreamMilliseconds: number;
};

/** A request that the entry sent to an upstream to measure it. */
export type MeasurementObservation = {
	readonly service: string;
	readonly upstream: string;
	readonly failureDomain: string;
	readonly kind: 'probe' | 'poll';
	readonly durationMilliseconds: number;
};
