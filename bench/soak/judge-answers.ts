/**
Verifies that each request that was passed on gets a complete answer on its connection, in the order of the requests
of that connection.
*/
import type * as platformUpstream from '../../stand-ins/platform-upstream.ts';
import * as callers from './callers.ts';
import type * as gateways from './gateways.ts';
import * as judgeStops from './judge-stops.ts';
import type * as soakPlatform from './soak-platform.ts';
import type * as stayingCallers from './staying-callers.ts';

export type JudgedGateway = Pick<gateways.SoakGateway, 'name' | 'callerAddress' | 'disturbances' | 'leavingTimes'>;

export type JudgedUpstream = {
	readonly standIn: Pick<platformUpstream.PlatformUpstream, 'id' | 'endedRequests'>;
	/** Times in which the upstream or its link didn't work as it should. */
	readonly faults: readonly soakPlatform.TimeSpan[];
};

/** What callers and upstreams observed. */
export type AnswersRecord = {
	readonly connections: readonly stayingCallers.ObservedConnection[];
	readonly gateways: readonly JudgedGateway[];
	readonly upstreams: readonly JudgedUpstream[];
	readonly partitions: ReadonlyArray<{readonly gateways: readonly JudgedGateway[]; readonly span: soakPlatform.TimeSpan}>;
};

/** A run of a request at a sound upstream. */
type Run = platformUpstream.EndedRequest & {readonly upstream: string};
type RunsByRequest = ReadonlyMap<string, ReadonlyArray<platformUpstream.EndedRequest & {readonly upstream: JudgedUpstream}>>;

/** Time without disturbances after which a gateway must not replace answers, in milliseconds, from the rules. */
const stabilizationMilliseconds = 3000;
/** Time before the end of a request in which an answer may arrive too late, in milliseconds, from the rules. */
const lostSlackMilliseconds = 200;

/** Lists the answers that are missing, in the wrong place, or replaced. */
export function judgeAnswers(record: AnswersRecord): readonly string[] {
	const runsByRequest = groupRuns(record.upstreams);
	return record.connections.flatMap(connection => [...judgeOrder(connection), ...judgeConnection(connection, record, runsByRequest)]);
}

/** Describes a request on a connection of which nothing else is known, so that it can be judged as one. */
export function createConnection(request: callers.ObservedRequest): stayingCallers.ObservedConnection {
	const {gateway, status, error, isCancelled, endedAt, signature, body} = request;
	const answer = {
		status, signature, body, requestId: '', isLast: false, endedAt,
	};
	return {
		gateway, requests: [request], answers: status === 0 ? [] : [answer], isMalformed: false, hasLeft: isCancelled || error === callers.timeoutError, endedAt, error,
	};
}

/** Takes away the last answer of each connection on which all requests were answered, and counts those that the judge notices. */
export function countNoticedRemovals(record: AnswersRecord): {readonly removed: number; readonly noticed: number} {
	const runsByRequest = groupRuns(record.upstreams);
	const candidates = record.connections.filter(({requests, answers, hasLeft}) => !hasLeft && answers.length > 0 && answers.length === requests.length && answers.at(-1)!.signature !== '');
	const noticed = candidates.filter(connection => judgeConnection({...connection, answers: connection.answers.slice(0, -1)}, record, runsByRequest).length > 0);
	return {removed: candidates.length, noticed: noticed.length};
}

function groupRuns(upstreams: readonly JudgedUpstream[]): RunsByRequest {
	const runsByRequest = new Map<string, Array<platformUpstream.EndedRequest & {readonly upstream: JudgedUpstream}>>();
	for (const upstream of upstreams) {
		for (const ended of upstream.standIn.endedRequests) {
			runsByRequest.set(ended.requestId, [...runsByRequest.get(ended.requestId) ?? [], {...ended, upstream}]);
		}
	}

	return runsByRequest;
}

/** Lists answers that belong to another request, to none, or that aren't answers. */
function judgeOrder({requests, answers, gateway, isMalformed}: stayingCallers.ObservedConnection): readonly string[] {
	const misplaced = answers.flatMap(({requestId}, index) => {
		const request = requests[index];
		return request === undefined || (requestId !== '' && requestId !== request.id)
			? [`misplaced-answer ${requestId} at ${gateway} in place ${index + 1} of ${requests.length}, expected ${request?.id ?? 'none'}`]
			: [];
	});
	return [...misplaced, ...(isMalformed ? [`malformed-answer at ${gateway} after ${answers.length} answers`] : [])];
}

function judgeConnection(connection: stayingCallers.ObservedConnection, record: AnswersRecord, runsByRequest: RunsByRequest): readonly string[] {
	const gateway = record.gateways.find(({callerAddress}) => callerAddress === connection.gateway);
	if (!gateway) {
		return [];
	}

	return connection.requests.flatMap((request, index) => {
		const answer = connection.answers[index];
		const to = answer?.endedAt ?? connection.endedAt;
		const isPartitioned = record.partitions.some(partition => partition.gateways.includes(gateway) && overlaps(partition.span, request.sentAt, to));
		const runs = isPartitioned ? [] : (runsByRequest.get(request.id) ?? []).filter(({upstream, receivedAt}) => !upstream.faults.some(span => overlaps(span, receivedAt, to)));
		const label = `${request.id} ${request.method} at ${gateway.name}, request ${index + 1} of ${connection.requests.length}`;
		const owed = runs.map(({upstream, ...run}) => ({...run, upstream: upstream.standIn.id})).find(run => isOwed(run, request, to, gateway));
		if (!owed) {
			return [];
		}

		if (!answer) {
			const {name, times} = describeStop(request, to, gateway);
			return connection.hasLeft
				? []
				: [`${name} ${label},${times} ${connection.answers.length} answered, ${describeRun(owed, request)}, connection ended after ${Math.round(to - request.sentAt)} ms ${connection.error}`];
		}

		return answer.signature === '' && isReplacedByStop(owed, request, to, gateway)
			? [`replaced-answer ${label}, status ${answer.status}, ${describeRun(owed, request)}`]
			: [];
	});
}

const overlaps = (span: soakPlatform.TimeSpan, from: number, to: number) => span.from <= to && span.to >= from;

function describeRun({upstream, hasResponded, endedAt}: Run, {sentAt}: stayingCallers.SentRequest): string {
	return `${upstream} ${hasResponded ? 'answered' : 'was broken off'} after ${Math.round(endedAt - sentAt)} ms`;
}

/** Names a missing answer by the stop in which it went missing, if there is one. */
function describeStop(request: stayingCallers.SentRequest, to: number, gateway: JudgedGateway): {readonly name: string; readonly times: string} {
	const stopAt = judgeStops.findStopOfRequest(request, to, gateway);
	if (stopAt === undefined) {
		return {name: 'lost-answer', times: ''};
	}

	return {
		name: judgeStops.beganAfterLeaving(request, stopAt, gateway) ? 'cut-after-leaving' : 'lost-answer',
		times: ` sent ${Math.round(request.sentAt - stopAt)} to ${Math.round(request.lastByteAt - stopAt)} ms after SIGTERM,`,
	};
}

/** Whether the caller must get a complete answer to a request that ran. */
function isOwed(run: Run, request: stayingCallers.SentRequest, to: number, gateway: JudgedGateway): boolean {
	const {disturbances} = gateway;
	const {sentAt} = request;
	const expiresAt = sentAt + request.route.timeoutMilliseconds;
	const isInTime = run.hasResponded ? run.endedAt < expiresAt : to < expiresAt;
	const stopAt = judgeStops.findStopOfRequest(request, to, gateway);
	const isKilled = disturbances.some(({kind, at}) => kind === 'SIGKILL' && at >= sentAt && at <= to);
	// The grace period ends for a process that stood still in it, or that may still be at work.
	const isLate = stopAt !== undefined && judgeStops.mayCut(run, request, stopAt, gateway);
	const hasStoodStill = stopAt !== undefined && disturbances.some(({kind, at}) => kind === 'SIGSTOP' && at >= stopAt - stabilizationMilliseconds && at <= to);
	const isPastGrace = hasStoodStill && disturbances.some(({kind, at}) => kind === 'grace-over' && at >= sentAt && at <= to);
	return isInTime && !isKilled && !isLate && !isPastGrace;
}

/** Whether a stopping gateway put its own answer in the place of one that its upstream was at work on. */
function isReplacedByStop(run: Run, {sentAt, route}: stayingCallers.SentRequest, to: number, {disturbances}: JudgedGateway): boolean {
	const stopAt = judgeStops.findStop(disturbances, to);
	const isCalm = !disturbances.some(({kind, at}) => !['SIGHUP', 'SIGTERM', 'cut-from-store'].includes(kind) && at >= sentAt - stabilizationMilliseconds && at <= to);
	return stopAt !== undefined && isCalm && run.endedAt >= stopAt && run.endedAt < sentAt + route.timeoutMilliseconds - lostSlackMilliseconds;
}
