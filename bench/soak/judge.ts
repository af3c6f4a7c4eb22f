/** Verifies a soak: compares the answers that callers received, and their times, with the requests that reached the upstreams. */
import * as platformUpstream from '../../stand-ins/platform-upstream.ts';
import {type ObservedRequest} from './callers.ts';
import {type SoakGateway} from './gateways.ts';
import * as judgePartitions from './judge-partitions.ts';
import * as judgeStops from './judge-stops.ts';
import * as judgeStatements from './judge-statements.ts';
import {
	longServiceName, maximumAttempts, type SoakUpstream, type TimeSpan,
} from './soak-platform.ts';

/** What is judged of an upstream. */
export type ObservedUpstream = judgeStatements.StatingUpstream & Pick<SoakUpstream, 'service' | 'retiredAt'> & {
	readonly standIn: Pick<platformUpstream.PlatformUpstream, 'executedRequestIds' | 'endedRequests'>;
};

export type SoakRecord = {
	readonly requests: readonly ObservedRequest[];
	readonly upstreams: readonly ObservedUpstream[];
	readonly gateways: readonly SoakGateway[];
	readonly partitions: readonly judgePartitions.SoakPartition[];
	/** Time spans of the faults of the store. */
	readonly storeFaults: readonly TimeSpan[];
	/** Whether enough requests succeeded both at the start and soon enough after the last fault. */
	readonly hasRecovered: boolean;
};

export type SoakVerdict = {
	readonly violations: readonly string[];
	readonly requests: number;
	readonly served: number;
	/** Number of requests by status; 0 stands for a connection that ended without a complete answer. */
	readonly statuses: Readonly<Record<string, number>>;
};

/** Statuses by which a gateway guarantees that the request has not been executed and never will be. */
const notExecutedStatuses = new Set([408, 421, 429, 503]);
const notFoundStatus = 404;
/** Longest time after its retirement in which an upstream may still run new requests, in milliseconds, from the platform's rules. */
const maximumDrainDelayMilliseconds = 2000;
/** Longest time until a gateway applies a published configuration, in milliseconds, from the platform's rules. */
const maximumConfigurationDelayMilliseconds = 2000;
/** Time without disturbances after which the time bounds apply, in milliseconds, from the platform's rules. */
const stabilizationMilliseconds = 3000;
/** Time after the timeout of a route in which an answer is not late, in milliseconds, from the platform's rules. */
const lateAnswerToleranceMilliseconds = 500;
/** Minimum number of requests beyond the timeout of their route for a check of late answers, from the rules. */
const minimumOverdueRequests = 8;
/** Time for which a stop, another disturbance or a published route may still affect requests, in milliseconds. */
const graceMilliseconds = 7000;
/**
A request that is sent while the gateway closes its connection, and isn't forwarded, may end without an answer within
this time, in milliseconds, from the rules.
*/
const closeRaceMilliseconds = 200;

/** Lists every violated guarantee. Guarantees with a time bound are checked only if `hasTimeBounds` is set. */
export function judgeSoak(record: SoakRecord, hasTimeBounds: boolean): SoakVerdict {
	const upstreamsByRequest = groupUpstreamsByRequest(record);
	const violations = [
		...record.requests.flatMap(request => judgeRequest(request, upstreamsByRequest.get(request.id) ?? [])),
		...judgeArrivals(record),
		...record.gateways.filter(gateway => gateway.countUnexpectedExits() > 0).map(gateway => `own-end ${gateway.name} ended by itself`),
		...(record.hasRecovered ? [] : ['not-recovered callers were not served in time after the last fault']),
		...(hasTimeBounds ? judgeTimeBounds(record) : []),
	];
	const statuses: Record<string, number> = {};
	for (const {status} of record.requests) {
		statuses[status] = (statuses[status] ?? 0) + 1;
	}

	return {
		violations, requests: record.requests.length, served: statuses['200'] ?? 0, statuses,
	};
}

/** Groups the upstreams by the ids of the requests that they ran; an upstream is listed once per run. */
function groupUpstreamsByRequest({upstreams}: SoakRecord): ReadonlyMap<string, readonly ObservedUpstream[]> {
	const upstreamsByRequest = new Map<string, ObservedUpstream[]>();
	for (const upstream of upstreams) {
		for (const id of upstream.standIn.executedRequestIds) {
			upstreamsByRequest.set(id, [...upstreamsByRequest.get(id) ?? [], upstream]);
		}
	}

	return upstreamsByRequest;
}

/** Checks the status and the answer of a request against the upstreams that ran it. */
function judgeRequest(request: ObservedRequest, executingUpstreams: readonly ObservedUpstream[]): readonly string[] {
	const {id, route, status, signature, gateway} = request;
	const label = `${id} ${request.method} ${request.path} at ${gateway} status ${status}`;
	const violations: string[] = [];
	if (!route.isIdempotent && executingUpstreams.length > 1) {
		violations.push(`ran-twice ${label} on ${executingUpstreams.map(({standIn}) => standIn.id).join(' ')}`);
	}

	if (new Set(executingUpstreams).size > maximumAttempts) {
		violations.push(`too-many-upstreams ${label} on ${executingUpstreams.length}`);
	}

	if (!route.isIdempotent && notExecutedStatuses.has(status) && executingUpstreams.length > 0) {
		violations.push(`false-not-run ${label} on ${executingUpstreams[0]!.standIn.id}`);
	}

	const answeringUpstream = executingUpstreams.find(({standIn}) => signature === `signed-by-${standIn.id}`);
	const isExpectedAnswer = answeringUpstream?.standIn.receivedRequests.some(({requestId, hasRun, responseBytes}) => hasRun && requestId === id
		&& request.body === platformUpstream.createResponseBody(answeringUpstream.standIn.id, id, request.requestBodyDigest, responseBytes)) === true;
	if (status >= 200 && status < 300 && !isExpectedAnswer) {
		violations.push(`wrong-answer ${label} signature ${signature} body ${request.body.slice(0, 100)}`);
	}

	if (status === notFoundStatus && route.publishedAt < request.sentAt - graceMilliseconds && route.withdrawnAt === undefined && !route.path.startsWith('/added-')) {
		violations.push(`denied ${label}`);
	}

	if (executingUpstreams.some(({service}) => service !== route.service)) {
		violations.push(`wrong-service ${label}`);
	}

	return violations;
}

/** Lists the requests that reached an upstream but that no caller sent with this method, path and body. */
function judgeArrivals({requests, upstreams}: SoakRecord): readonly string[] {
	const requestsById = new Map(requests.map(request => [request.id, request]));
	return upstreams.flatMap(({standIn}) => standIn.receivedRequests
		.filter(({requestId, method, path, digest}) => {
			const request = requestsById.get(requestId);
			return request?.method !== method || request.path !== path || request.requestBodyDigest !== digest;
		})
		.map(({requestId, method, path}) => `unasked ${requestId} ${method} ${path} at ${standIn.id}`));
}

/** Lists the violations of guarantees with a time bound. */
function judgeTimeBounds(record: SoakRecord): readonly string[] {
	const gatewaysByAddress = new Map(record.gateways.map(gateway => [gateway.callerAddress, gateway]));
	const isUndisturbed = (address: string, from: number, to: number) => {
		const gateway = gatewaysByAddress.get(address);
		const start = Math.min(from, to - stabilizationMilliseconds);
		const isStable = !record.storeFaults.some(span => span.from <= to && span.to + stabilizationMilliseconds >= start);
		return gateway !== undefined && isStable && !gateway.disturbances.some(({kind, at}) => kind !== 'SIGHUP' && at >= start - stabilizationMilliseconds && at <= to);
	};

	const runs = new Map(record.upstreams.flatMap(({standIn}) => standIn.endedRequests.map(run => [run.requestId, run])));
	const forwardedIds = new Set(record.upstreams.flatMap(({standIn}) => standIn.receivedRequests.map(({requestId}) => requestId)));
	return [
		...judgeDrains(record, isUndisturbed),
		...judgePartitions.judgePartitions(record.requests.filter(({route}) => route.service !== longServiceName), record.gateways, record.partitions),
		...judgeStatements.judgeStatements(record.requests, record.upstreams, record.gateways),
		...record.requests.flatMap(request => judgeConfiguration(request, isUndisturbed)),
		...judgeLateAnswers(record, isUndisturbed),
		...record.requests
			.filter(request => isCutByStop(request, runs.get(request.id), gatewaysByAddress.get(request.gateway)) && (forwardedIds.has(request.id) || request.endedAt - request.lastByteAt > closeRaceMilliseconds))
			.map(cut => `cut-by-stop ${cut.id} ${cut.method} at ${cut.gateway} ${cut.error} after ${Math.round(cut.endedAt - cut.sentAt)} ms, passed on: ${forwardedIds.has(cut.id)}`),
	];
}

/** Checks that neither the gateway at an address nor the store was disturbed during or shortly before a time span. */
type IsUndisturbed = (address: string, from: number, to: number) => boolean;

/** Lists the requests that an upstream ran too long after the store recorded that it drains or is removed. */
function judgeDrains({requests, upstreams}: SoakRecord, isUndisturbed: IsUndisturbed): readonly string[] {
	const requestsById = new Map(requests.map(request => [request.id, request]));
	return upstreams.flatMap(({standIn, retiredAt}) => retiredAt === undefined
		? []
		: standIn.receivedRequests
			.filter(({requestId, receivedAt: at, hasRun}) => {
				const gateway = requestsById.get(requestId)?.gateway;
				return hasRun && at > retiredAt + maximumDrainDelayMilliseconds && gateway !== undefined && isUndisturbed(gateway, retiredAt, at);
			})
			.map(({requestId, receivedAt: at}) => `late-drain ${requestId} reached ${standIn.id} ${Math.round(at - retiredAt)} ms after it left`));
}

/** Checks that a gateway served a published route, or rejected a withdrawn one, soon enough after the change. */
function judgeConfiguration({id, route, status, gateway, sentAt}: ObservedRequest, isUndisturbed: IsUndisturbed): readonly string[] {
	const isPublished = sentAt > route.publishedAt + maximumConfigurationDelayMilliseconds && route.withdrawnAt === undefined;
	if (isPublished && status === notFoundStatus && isUndisturbed(gateway, route.publishedAt, sentAt)) {
		return [`late-configuration ${id} ${route.path} unknown at ${gateway} ${Math.round(sentAt - route.publishedAt)} ms after it was published`];
	}

	const {withdrawnAt} = route;
	const isWithdrawn = withdrawnAt !== undefined && sentAt > withdrawnAt + maximumConfigurationDelayMilliseconds;
	return isWithdrawn && status === 200 && isUndisturbed(gateway, withdrawnAt, sentAt)
		? [`late-configuration ${id} ${route.path} served at ${gateway} ${Math.round(sentAt - withdrawnAt)} ms after it was withdrawn`]
		: [];
}

/** Checks that at least half of the requests that exceed the timeout of their route end shortly after it. */
function judgeLateAnswers({requests}: SoakRecord, isUndisturbed: IsUndisturbed): readonly string[] {
	const overdueRequests = requests.filter(({sentAt, endedAt, isCancelled: hasLeft, gateway, route}) => !hasLeft && endedAt - sentAt > route.timeoutMilliseconds && isUndisturbed(gateway, sentAt, endedAt));
	const lateRequests = overdueRequests.filter(({sentAt, endedAt, route}) => endedAt - sentAt > route.timeoutMilliseconds + lateAnswerToleranceMilliseconds);
	return overdueRequests.length >= minimumOverdueRequests && lateRequests.length > overdueRequests.length / 2
		? [`late-answers ${lateRequests.length} of ${overdueRequests.length} requests that passed their time, e.g. ${lateRequests[0]!.id} at ${lateRequests[0]!.gateway}`]
		: [];
}

/** Checks whether a graceful stop, and no other disturbance, ended the connection of a request. */
function isCutByStop(request: ObservedRequest, run: platformUpstream.EndedRequest | undefined, gateway: SoakGateway | undefined): boolean {
	const {status, isCancelled: hasLeft, error, sentAt, endedAt} = request;
	if (status !== 0 || hasLeft || error === 'ECONNREFUSED' || gateway === undefined) {
		return false;
	}

	const recentDisturbances = gateway.disturbances.filter(({at, kind}) => kind !== 'SIGHUP' && kind !== 'cut-from-store' && at > sentAt - graceMilliseconds && at <= endedAt);
	const termination = recentDisturbances.find(({kind}) => kind === 'SIGTERM');
	const isOnlyTermination = recentDisturbances.every(({kind}) => kind === 'SIGTERM' || kind === 'ended');
	// In the last sixth of the grace period, a gateway may cut requests that are still in progress.
	const isExcused = run !== undefined && termination !== undefined && judgeStops.mayCut(run, request, termination.at, gateway);
	return termination !== undefined && isOnlyTermination && !isExcused && endedAt < termination.at + (graceMilliseconds * 5 / 6) && endedAt >= termination.at;
}
