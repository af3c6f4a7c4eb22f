/** Decides whether a call may be retried after an attempt. The retry budget is checked separately. */
import {type AttemptResult, type WaitingCall} from '../routing/types.ts';

/** Maximum number of attempts of one call, including the first. */
const maximumAttempts = 3;
/** Status codes of failures for which another upstream may succeed. */
const retryableStatusCodes = new Set([500, 502, 503, 504]);

/** Whether the result proves that the upstream did not run the call. */
export function isNotRun(result: AttemptResult): boolean {
	return result.kind === 'refused' || result.kind === 'not-connected';
}

/** Whether another attempt is safe for the operation, may succeed after this result, and is within the deadline and the maximum attempts. */
export function isRetryable(call: WaitingCall, result: AttemptResult, now: number): boolean {
	if (result.kind === 'cancelled' || call.deadlineAt <= now || call.attempts >= maximumAttempts) {
		return false;
	}

	if (isNotRun(result)) {
		return true;
	}

	return call.operation.idempotent && isUpstreamFailure(result);
}

/** Whether the attempt counts as a failure of the upstream: it got no answer, or an answer with a retryable status code. */
export function isUpstreamFailure(result: AttemptResult): boolean {
	return result.kind !== 'answered' || retryableStatusCodes.has(result.statusCode);
}
