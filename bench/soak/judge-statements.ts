/** Verifies that gateways heed what upstreams stated about the requests that they accept. */
import * as exhaustiveness from '../../src/decisions/assert-never.ts';
import type * as platformUpstream from '../../stand-ins/platform-upstream.ts';
import type * as callers from './callers.ts';
import type * as soakGateways from './gateways.ts';
import type * as soakPlatform from './soak-platform.ts';

/** What is judged of the statements of an upstream. */
export type StatingUpstream = Pick<soakPlatform.SoakUpstream, 'statements'> & {
	readonly standIn: Pick<platformUpstream.PlatformUpstream, 'id' | 'receivedRequests'>;
};

/** Request at an upstream, with the gateway that its caller sent it to. */
type Arrival = {readonly requestId: string; readonly receivedAt: number; readonly hasRun: boolean; readonly gateway: soakGateways.SoakGateway};

/** Time from the statement that it leaves, or from a retirement, in which an upstream may still get requests, in milliseconds, from the rules. */
const drainMilliseconds = 2000;
/** Time from the first statement of a limit until it must hold, in milliseconds, from the rules. */
const stabilizationMilliseconds = 3000;
/** Time after a gateway has passed on the statement of a limit from which its requests count, and after a rejection from which a pause must hold, in milliseconds, from the rules. */
const noticeMilliseconds = 500;
const limitWindowMilliseconds = 4000;
const limitFactor = 1.5;
const limitSlack = 5;
const millisecondsPerSecond = 1000;
/** Requests that a gateway may send in a pause, from the rules. */
const maximumPausedRequests = 2;

/** Lists the violations of what the upstreams stated. */
export function judgeStatements(requests: readonly callers.ObservedRequest[], upstreams: readonly StatingUpstream[], gateways: readonly soakGateways.SoakGateway[]): readonly string[] {
	const gatewaysByAddress = new Map(gateways.map(gateway => [gateway.callerAddress, gateway]));
	const gatewaysByRequest = new Map(requests.map(({id, gateway}) => [id, gatewaysByAddress.get(gateway)]));
	return upstreams.flatMap(upstream => {
		const arrivals = upstream.standIn.receivedRequests.flatMap(({requestId, receivedAt, hasRun}): readonly Arrival[] => {
			const gateway = gatewaysByRequest.get(requestId);
			return gateway
				? [{
					requestId, receivedAt, hasRun, gateway,
				}]
				: [];
		});
		return upstream.statements.flatMap(statement => judgeStatement(upstream, arrivals, statement));
	});
}

function judgeStatement(upstream: StatingUpstream, arrivals: readonly Arrival[], statement: soakPlatform.SoakStatement): readonly string[] {
	switch (statement.kind) {
		case 'leaving': {
			return judgeLeaving(upstream, arrivals, statement.span);
		}

		case 'rate-limit': {
			return judgeLimit(upstream, arrivals, statement.span, statement.requestsPerSecond);
		}

		case 'pause': {
			return judgePause(upstream, arrivals, statement.span, statement.milliseconds);
		}

		default: {
			return exhaustiveness.assertNever(statement);
		}
	}
}

/** Whether a gateway ran without a signal, an exit or a start in a time span; a lost connection to the store excuses nothing. */
function isRunning({disturbances}: soakGateways.SoakGateway, from: number, to: number): boolean {
	return !disturbances.some(({kind, at}) => kind !== 'SIGHUP' && kind !== 'cut-from-store' && at >= from && at <= to);
}

/** Gets the time at which each gateway first had a request at the upstream after the start of a statement. */
function getToldTimes(arrivals: readonly Arrival[], {from, to}: soakPlatform.TimeSpan): ReadonlyMap<soakGateways.SoakGateway, number> {
	const toldAt = new Map<soakGateways.SoakGateway, number>();
	for (const {gateway, receivedAt} of arrivals) {
		if (receivedAt >= from && receivedAt <= to && !toldAt.has(gateway)) {
			toldAt.set(gateway, receivedAt);
		}
	}

	return toldAt;
}

function judgeLeaving({standIn}: StatingUpstream, arrivals: readonly Arrival[], span: soakPlatform.TimeSpan): readonly string[] {
	const toldAt = getToldTimes(arrivals, span);
	return arrivals
		.filter(({gateway, receivedAt}) => receivedAt > (toldAt.get(gateway) ?? Number.POSITIVE_INFINITY) + drainMilliseconds + noticeMilliseconds && isRunning(gateway, toldAt.get(gateway)!, receivedAt))
		.map(({requestId, receivedAt, gateway}) => `sent-to-leaving ${requestId} reached ${standIn.id} from ${gateway.name} ${Math.round(receivedAt - toldAt.get(gateway)!)} ms after it was told`);
}

function judgeLimit({standIn}: StatingUpstream, arrivals: readonly Arrival[], span: soakPlatform.TimeSpan, requestsPerSecond: number): readonly string[] {
	const toldAt = getToldTimes(arrivals, span);
	const counted = arrivals.filter(({gateway, receivedAt}) =>
		receivedAt >= span.from + stabilizationMilliseconds && receivedAt <= span.to && receivedAt >= (toldAt.get(gateway) ?? Number.POSITIVE_INFINITY) + noticeMilliseconds && isRunning(gateway, span.from, receivedAt));
	const allowed = (limitFactor * requestsPerSecond * limitWindowMilliseconds / millisecondsPerSecond) + limitSlack;
	const worst = Math.max(0, ...counted.map(({receivedAt: start}) => counted.filter(({receivedAt}) => receivedAt >= start && receivedAt < start + limitWindowMilliseconds).length));
	return worst > allowed ? [`above-limit ${standIn.id} got ${worst} requests in ${limitWindowMilliseconds} ms with a limit of ${requestsPerSecond} a second; allowed ${allowed}`] : [];
}

function judgePause({standIn}: StatingUpstream, arrivals: readonly Arrival[], span: soakPlatform.TimeSpan, milliseconds: number): readonly string[] {
	return arrivals
		.filter(({receivedAt, hasRun}) => !hasRun && receivedAt >= span.from && receivedAt <= span.to)
		.flatMap(({receivedAt: rejectedAt, gateway}) => {
			const endsAt = rejectedAt + milliseconds;
			const inPause = arrivals.filter(other => other.gateway === gateway && other.receivedAt > rejectedAt + noticeMilliseconds && other.receivedAt < endsAt);
			return inPause.length > maximumPausedRequests && isRunning(gateway, rejectedAt, endsAt) ? [`sent-in-pause ${standIn.id} got ${inPause.length} requests from ${gateway.name} in a pause of ${milliseconds} ms`] : [];
		});
}
