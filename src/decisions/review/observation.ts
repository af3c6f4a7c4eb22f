/** Observations of calls and of measurement requests, from which the review figures are computed. */
import {type Outcome} from '../outcomes/types.ts';

/** A finished call. */
export type CallObservation = {
	readonly service: string;
	readonly operation: string;
	/** Failure domain of the entry that served the call. */
	readonly failureDomain: string;
	/** Whether the operation was classified as long work when the call was admitted or refused. */
	readonly isLong: boolean;
	readonly result: 'answered' | 'refused' | 'failed';
	/** Outcome reported to the caller. */
	readonly outcome: Outcome;
	readonly attempts: number;
	/** From the first byte received to the last byte of the answer. */
	readonly totalMilliseconds: number;
	/** Time spent waiting for a slot. */
	readonly queuedMilliseconds: number;
	/** Part of the queueing time of a short call during which long work occupied all usable slots; 0 for long calls. */
	readonly behindLongMilliseconds: number;
	/** Time from the dispatch of the last attempt to the end of its answer. */
	readonly upstreamMilliseconds: number;
};

/** A finished request by which the entry measured an upstream. */
export type MeasurementObservation = {
	readonly service: string;
	readonly upstream: string;
	readonly failureDomain: string;
	readonly kind: 'probe' | 'poll';
	readonly durationMilliseconds: number;
};
