/** Records what the end of an attempt shows about its upstream and about the work of its request. */
import type * as workBounds from '../decisions/admission/work-bounds.ts';
import * as exhaustiveness from '../decisions/assert-never.ts';
import type * as retryDecision from '../decisions/outcomes/retry-decision.ts';
import {type WorkEstimator} from '../decisions/routing/work-estimator.ts';
import {type SelectedUpstream} from './selection.ts';
import {type GatewayRequest} from './types.ts';

const lowestServerErrorStatus = 500;
/** Status of an upstream that stopped its work at the deadline. */
const timedOutStatus = 504;

/** An attempt that has ended, now. */
export type EndedAttempt = {
	readonly learner: WorkEstimator;
	readonly request: GatewayRequest;
	readonly milliseconds: number;
	readonly now: number;
};

/** Records the end of an attempt. */
export function recordEnd(attempt: EndedAttempt, {upstream: {record}, expectedMilliseconds}: SelectedUpstream, end: retryDecision.AttemptEnd): void {
	const {learner, request: {route, service}, milliseconds, now} = attempt;
	switch (end.kind) {
		case 'answered': {
			if (end.statusCode >= 500) {
				record.recordFailure(now);
				break;
			}

			const pace = Math.max(0.1, record.getState(now).reading?.durationFactor ?? 1);
			record.recordAnswer(milliseconds, expectedMilliseconds, now);
			learner.recordAnswer(route.name, service, milliseconds, pace);
			break;
		}

		case 'broken': {
			if (end.reason === 'given-up') {
				record.recordGivenUp(milliseconds, expectedMilliseconds, now);
			} else if (end.reason === 'handler-failed') {
				record.recordEnd();
			} else {
				record.recordFailure(now);
			}

			break;
		}

		case 'not-sent': {
			if (end.reason === 'unreachable') {
				record.recordFailure(now);
			} else {
				record.recordEnd();
			}

			break;
		}

		case 'not-run': {
			record.recordEnd();
			break;
		}

		default: {
			exhaustiveness.assertNever(end);
		}
	}
}

/** What the end of an attempt that was sent shows about how long the work of its request lasts; undefined if the upstream did not run it. */
export function classifyWork(end: retryDecision.AttemptEnd): workBounds.WorkEnd | undefined {
	switch (end.kind) {
		case 'answered': {
			if (end.statusCode === timedOutStatus) {
				return 'unfinished';
			}

			return end.statusCode >= lowestServerErrorStatus ? 'failed' : 'finished';
		}

		case 'broken': {
			return 'unfinished';
		}

		case 'not-sent':
		case 'not-run': {
			return undefined;
		}

		default: {
			exhaustiveness.assertNever(end);
		}
	}
}
