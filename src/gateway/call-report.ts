/** Reports of requests that have ended. */
import type * as types from './types.ts';

/** Result of a request, for logs and metrics. */
export type CallReport = {
	readonly request: types.GatewayRequest;
	readonly statusCode: number;
	readonly outcome: 'answered' | 'refused' | 'failed' | 'cancelled';
	readonly reason: string;
	readonly attempts: readonly AttemptReport[];
	/** Time for which the request was held before its first attempt, in milliseconds. */
	readonly heldMilliseconds: number;
	/** Time from the receipt of the request to its end. */
	readonly milliseconds: number;
	/** Number of load checks made for the request. */
	readonly checks: number;
};

/** Result of one attempt at an upstream, for logs and metrics. */
export type AttemptReport = {
	readonly upstream: string;
	readonly end: string;
	readonly expectedMilliseconds: number;
	readonly milliseconds: number;
};
