/** Decides whether a call may go out again after an attempt, before the budget is asked. */
import {type AttemptResult, type WaitingCall} from '../routing/types.ts';

/** Attempts that one call may make in all. */
const largestAttempts = 3;
/** Status codes of answers that another upstream may answer better. */
const retryableStatusCodes = new Set([500, 502, 503, 504]);

/** Whether the result proves that the call did not run. */
export function isNotRun(result: AttemptResult): boolean {
	return result.kind === 'refused' || result.kind === 'not-connected';
}

/** Whether another attempt is safe for the operation, useful after this result and possible before the deadline. */
export function isRetryable(call: WaitingCall, result: AttemptResult, now: number): boolean {
	if (result.kind === 'cancelled' || call.deadlineAt <= now || call.attempts >= largestAttempts) {
		return false;
	}

	if (isNotRun(result)) {
		return true;
	}

	return call.operation.idempotent && isFailure(result);
}

/** Whether the attempt failed for a reason that lies with the upstream. */
export function isFailure(result: AttemptResult): boolean {
	return result.kind !== 'answered' || retryableStatusCodes.has(result.statusCode);
}
