/**
Decides what happens to a request while no upstream of its service accepts requests as they come: all of them have a rate
limit, are cold, have asked for a pause, or are in failure domains that receive nothing.

Answers the load pattern of a service that pushes back as a whole: holding requests that can't be sent only delays their
rejection, and callers that are told the same time return together.
*/
import type * as randomness from '../random.ts';

/** What is known of a service without an open upstream. */
export type ClosedService = {
	/** Expected time until this entry has a permit for an upstream with a rate limit, in milliseconds; undefined if none has one. */
	readonly permitWaitMilliseconds: number | undefined;
	/** End of the first pause or cold state; undefined if no upstream is paused or cold. */
	readonly pauseEndsAt: number | undefined;
	/** Whether all upstreams are in evacuated failure domains. */
	readonly isEvacuated: boolean;
};

/** Decision about a request. */
export type ClosedServiceDecision
	/** The request can be sent after a pause, before it expires. */
	= | {readonly kind: 'hold'}
		| {readonly kind: 'reject'; readonly retryAfterMilliseconds: number};

/** Time after the end of a pause over which the callers that were rejected return, in milliseconds; the upstream is taken into use again over a similar time. */
const returnSpreadMilliseconds = 2000;

/** Shortest time after which a caller should return to a service whose failure domains are evacuated, in milliseconds. */
const evacuationRetryMilliseconds = 1000;

/** Decides about a request that can't be sent now and expires at `expiresAt`. */
export function decideForClosedService({permitWaitMilliseconds, pauseEndsAt, isEvacuated}: ClosedService, expiresAt: number, random: randomness.RandomSource, now: number): ClosedServiceDecision {
	if (isEvacuated) {
		return {kind: 'reject', retryAfterMilliseconds: evacuationRetryMilliseconds + (returnSpreadMilliseconds * random.nextFraction())};
	}

	if (pauseEndsAt !== undefined && pauseEndsAt < expiresAt) {
		return {kind: 'hold'};
	}

	const pauseWaitMilliseconds = pauseEndsAt === undefined ? Number.POSITIVE_INFINITY : pauseEndsAt - now + (returnSpreadMilliseconds * random.nextFraction());
	return {kind: 'reject', retryAfterMilliseconds: Math.min(pauseWaitMilliseconds, permitWaitMilliseconds ?? Number.POSITIVE_INFINITY)};
}
