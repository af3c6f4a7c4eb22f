/** Which requests that ran a stop may leave without an answer. */
import type * as platformUpstream from '../../stand-ins/platform-upstream.ts';
import * as gateways from './gateways.ts';
import type * as stayingCallers from './staying-callers.ts';

export type StoppedGateway = Pick<gateways.SoakGateway, 'disturbances' | 'leavingTimes'>;
type Run = Pick<platformUpstream.EndedRequest, 'endedAt'>;
type Request = Pick<stayingCallers.SentRequest, 'route' | 'sentAt' | 'lastByteAt'>;

/** Time after SIGTERM in which requests that outlast most of the grace period may be passed on, in milliseconds, from the rules. */
const latePassMilliseconds = 3000;
const lastSixth = gateways.stopGraceMilliseconds * 5 / 6;
/** Time after the grace period in which a stop still counts, in milliseconds, from the rules. */
const stopSlackMilliseconds = 1000;
/** Time after SIGTERM in which a process must have noticed it, in milliseconds. */
const reactionMilliseconds = 500;

/** Finds the time of the SIGTERM whose stop lasts at a time. */
export function findStop(disturbances: readonly gateways.Disturbance[], now: number): number | undefined {
	return disturbances.findLast(({kind, at}) => kind === 'SIGTERM' && at <= now && now <= at + gateways.stopGraceMilliseconds + stopSlackMilliseconds)?.at;
}

/** Finds the time of the SIGTERM to the process that got a request, if its stop lasts at a time. */
export function findStopOfRequest({sentAt}: Pick<Request, 'sentAt'>, now: number, {disturbances}: StoppedGateway): number | undefined {
	const stopAt = findStop(disturbances, now);
	const isOfEarlierProcess = disturbances.some(({kind, at}) => kind === 'ended' && stopAt !== undefined && at > stopAt && at <= sentAt);
	return isOfEarlierProcess ? undefined : stopAt;
}

/**
Whether a stop may leave a request without an answer. By the rules it may if the upstream was at work late in the stop and
the request was sent early in it; callers who can't repeat one that began after the gateway knew that it stops are owed more.
*/
export function mayCut(run: Run, request: Request, stopAt: number, gateway: StoppedGateway): boolean {
	return isExcusedByRules(run, request, stopAt) && !beganAfterLeaving(request, stopAt, gateway);
}

function isExcusedByRules(run: Run, {lastByteAt}: Request, stopAt: number): boolean {
	return run.endedAt >= stopAt + lastSixth && lastByteAt <= stopAt + latePassMilliseconds;
}

/** Whether a request that callers can't repeat began after the gateway knew that it would stop. */
export function beganAfterLeaving({route, sentAt}: Request, stopAt: number, gateway: StoppedGateway): boolean {
	return !route.isIdempotent && sentAt > getLeavingTime(stopAt, gateway);
}

function getLeavingTime(stopAt: number, {disturbances, leavingTimes}: StoppedGateway): number {
	const isOfStop = (at: number) => at >= stopAt && at <= stopAt + gateways.stopGraceMilliseconds;
	// A process that stands still notices nothing.
	const standsStill = disturbances.some(({kind, at}) => kind === 'SIGSTOP' && at >= stopAt - gateways.stopGraceMilliseconds && at <= stopAt + reactionMilliseconds);
	const reactsUntil = standsStill ? Number.POSITIVE_INFINITY : stopAt + reactionMilliseconds;
	return Math.min(reactsUntil, leavingTimes.find(at => isOfStop(at)) ?? Number.POSITIVE_INFINITY);
}
