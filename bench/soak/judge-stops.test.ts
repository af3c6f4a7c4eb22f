/** Tests which requests a stop may leave without an answer, with work that outlasts the grace period. */
import * as vitest from 'vitest';
import * as judgeAnswers from './judge-answers.ts';
import * as judge from './judge.ts';
import type * as stayingCallers from './staying-callers.ts';

const {expect, test} = vitest;

const callerAddress = '127.0.0.1:1';
const stopAt = 100_000;
const resetAfter = 5750;

/** Times in milliseconds after SIGTERM. By default, the upstream is at work on a request until connections are reset, which ends it without an answer. */
type Observation = {
	readonly isIdempotent?: boolean;
	readonly firstByte: number;
	readonly lastByte?: number;
	readonly ranUntil?: number;
	readonly hasResponded?: boolean;
	readonly endedAfter?: number;
	/** Status of an answer of the gateway itself. */
	readonly ownStatus?: number;
	readonly hasLeft?: boolean;
	/** Time at which the process logged that it leaves; undefined for a process that logged nothing. */
	readonly leavingAfter?: number | undefined;
	readonly disturbances?: ReadonlyArray<{readonly kind: judgeAnswers.JudgedGateway['disturbances'][number]['kind']; readonly after: number}>;
	readonly hasFault?: boolean;
	readonly isPartitioned?: boolean;
};

function createRecord({isIdempotent = false, firstByte, lastByte = firstByte + 100, ranUntil = resetAfter, hasResponded = false, endedAfter = resetAfter, ownStatus, hasLeft = false, disturbances = [], hasFault = false, isPartitioned = false, ...rest}: Observation): judgeAnswers.AnswersRecord {
	const gateway: judgeAnswers.JudgedGateway = {
		name: 'gateway-1',
		callerAddress,
		disturbances: [{kind: 'SIGTERM', at: stopAt}, ...disturbances.map(({kind, after}) => ({kind, at: stopAt + after}))],
		leavingTimes: 'leavingAfter' in rest ? (rest.leavingAfter === undefined ? [] : [stopAt + rest.leavingAfter]) : [stopAt + 10],
	};
	const request: stayingCallers.SentRequest = {
		id: 'a',
		route: {
			path: '/confirm/', isIdempotent, service: 'registry', publishedAt: 0, withdrawnAt: undefined, timeoutMilliseconds: 10_000,
		},
		method: 'POST',
		path: '/confirm/1',
		requestBodyDigest: '',
		sentAt: stopAt + firstByte,
		lastByteAt: stopAt + lastByte,
	};
	const answers = ownStatus === undefined
		? []
		: [{
			status: ownStatus, requestId: '', signature: '', body: '', isLast: true, endedAt: stopAt + endedAfter,
		}];
	return {
		connections: [{
			gateway: callerAddress, requests: [request], answers, isMalformed: false, hasLeft, endedAt: stopAt + endedAfter, error: 'ECONNRESET',
		}],
		gateways: [gateway],
		upstreams: [{
			standIn: {
				id: 'registry-1', endedRequests: [{
					requestId: 'a', hasResponded, receivedAt: stopAt + lastByte, endedAt: stopAt + ranUntil,
				}],
			},
			faults: hasFault ? [{from: stopAt + ranUntil, to: stopAt + ranUntil}] : [],
		}],
		partitions: isPartitioned ? [{gateways: [gateway], span: {from: stopAt, to: stopAt + 1000}}] : [],
	};
}

const judgeObservation = (observation: Observation) => judgeAnswers.judgeAnswers(createRecord(observation)).map(violation => violation.split(' ', 1)[0]);

test.each<Observation & {readonly name: string}>([
	{name: 'it was sent before SIGTERM, and the upstream was at work in the last sixth', firstByte: -1000},
	{name: 'it began before the process knew, and its last byte came no later than 3 s after SIGTERM', firstByte: -10, lastByte: 3000},
	{
		name: 'it is idempotent, was sent no later than 3 s after SIGTERM, and the upstream was at work in the last sixth', isIdempotent: true, firstByte: 2900, lastByte: 3000,
	},
	{
		name: 'the upstream broke off', firstByte: -1000, ranUntil: 3000, endedAfter: 3100, hasFault: true,
	},
	{
		name: 'the upstream broke off a request that began late', firstByte: 1000, ranUntil: 3000, endedAfter: 3100, hasFault: true,
	},
	{
		name: 'the timeout of its route was reached', firstByte: -7000, ranUntil: 3100, endedAfter: 3100,
	},
	{
		name: 'the process was killed', firstByte: 1000, ranUntil: 2000, endedAfter: 2000, disturbances: [{kind: 'SIGKILL', after: 1900}],
	},
	{
		name: 'the gateway was partitioned', firstByte: 500, ranUntil: 2000, endedAfter: 2000, isPartitioned: true,
	},
	{
		name: 'the process stood still until the grace period was over', firstByte: -1000, ranUntil: 4000, hasResponded: true, endedAfter: 6000, disturbances: [{kind: 'SIGSTOP', after: 3000}, {kind: 'grace-over', after: 6000}],
	},
	{name: 'its caller left', firstByte: 1000, hasLeft: true},
	{name: 'the process logged nothing and had no time to notice the signal', firstByte: 500, leavingAfter: undefined},
	{
		name: 'the process stood still and could not notice the signal', firstByte: 600, leavingAfter: undefined, disturbances: [{kind: 'SIGSTOP', after: -100}, {kind: 'SIGCONT', after: 900}],
	},
])('a request without an answer is excused if $name', ({name: _name, ...observation}) => {
	expect(judgeObservation(observation)).toEqual([]);
});

// Guards against a judge that excuses whatever happens around a stop.
test.each<Observation & {readonly name: string; readonly violation?: string}>([
	{
		name: 'the upstream was at work, but not until the last sixth', firstByte: -1000, ranUntil: 4900, endedAfter: 4900,
	},
	{
		name: 'the upstream answered before the last sixth', firstByte: -1000, ranUntil: 4900, hasResponded: true,
	},
	{name: 'the last byte came later than 3 s after SIGTERM', firstByte: -10, lastByte: 3001},
	{
		name: 'it is idempotent and was sent later than 3 s after SIGTERM', isIdempotent: true, firstByte: 2950, lastByte: 3050,
	},
	{
		name: 'it was sent in the last sixth', isIdempotent: true, firstByte: 5000, lastByte: 5010,
	},
	{
		name: 'the process was killed at the end of the grace period', firstByte: -1000, ranUntil: 4000, hasResponded: true, endedAfter: 6000, disturbances: [{kind: 'grace-over', after: 6000}],
	},
	{
		name: 'the stop was that of an earlier process', isIdempotent: true, firstByte: 1000, disturbances: [{kind: 'ended', after: 500}, {kind: 'started', after: 800}],
	},
	{name: 'it began after the process had said that it leaves', firstByte: 11, violation: 'cut-after-leaving'},
	{
		name: 'it began when the process must have noticed the signal', firstByte: 501, leavingAfter: undefined, violation: 'cut-after-leaving',
	},
	{
		name: 'it began before the process logged it, but when it must have noticed the signal', firstByte: 501, leavingAfter: 900, violation: 'cut-after-leaving',
	},
	{
		name: 'it began after a process that had stood still said that it leaves', firstByte: 901, leavingAfter: 900, disturbances: [{kind: 'SIGSTOP', after: -100}, {kind: 'SIGCONT', after: 850}], violation: 'cut-after-leaving',
	},
	{
		name: 'the gateway put its own answer in its place', firstByte: -1000, ranUntil: 4000, endedAfter: 4000, ownStatus: 502, violation: 'replaced-answer',
	},
])('a request without an answer is reported if $name', ({name: _name, violation = 'lost-answer', ...observation}) => {
	expect(judgeObservation(observation)).toEqual([violation]);
});

// Guards against answers that only callers with several requests on a connection would miss.
test('a request of a caller that sends one at a time is judged as well', () => {
	const {connections: [connection], gateways, upstreams, partitions} = createRecord({firstByte: 11});
	const request = {
		...connection!.requests[0]!, gateway: callerAddress, endedAt: connection!.endedAt, status: 0, error: 'ECONNRESET', isCancelled: false, signature: '', body: '',
	};
	const judgeRequest = (seen: typeof request) => judgeAnswers.judgeAnswers({
		connections: [judgeAnswers.createConnection(seen)], gateways, upstreams, partitions,
	});
	expect(judgeRequest(request)).toHaveLength(1);
	expect(judgeRequest({...request, status: 200, signature: 'signed-by-registry-1'})).toEqual([]);
	expect(judgeRequest({...request, isCancelled: true})).toEqual([]);
	expect(judgeRequest({...request, error: 'caller-timeout'})).toEqual([]);
});

test.each<Observation & {readonly name: string; readonly hasRun: boolean; readonly isReported: boolean}>([
	{
		name: 'that was passed on and may be cut', firstByte: -1000, hasRun: true, isReported: false,
	},
	{
		name: 'that was passed on too late', firstByte: 1000, hasRun: true, isReported: true,
	},
	{
		name: 'that was read and not passed on', firstByte: 1000, endedAfter: 1301, hasRun: false, isReported: true,
	},
	{
		name: 'that crossed the close', firstByte: 1000, endedAfter: 1300, hasRun: false, isReported: false,
	},
	{
		name: 'whose body was not sent to its end', firstByte: 1000, lastByte: Number.POSITIVE_INFINITY, hasRun: false, isReported: false,
	},
])('a connection that ends in a stop with a request $name: reported $isReported', ({name: _name, hasRun, isReported, ...observation}) => {
	const record = createRecord(observation);
	const [connection] = record.connections;
	const {violations} = judge.judgeSoak({
		requests: [{
			...connection!.requests[0]!, gateway: callerAddress, endedAt: connection!.endedAt, status: 0, error: 'ECONNRESET', isCancelled: false, signature: '', body: '',
		}],
		upstreams: record.upstreams.filter(() => hasRun).map(({standIn}) => ({
			service: 'registry',
			statements: [],
			retiredAt: undefined,
			standIn: {
				...standIn,
				executedRequestIds: ['a'],
				receivedRequests: standIn.endedRequests.map(({requestId, receivedAt}) => ({
					requestId, receivedAt, hasRun: true, method: 'POST', path: '/confirm/1', headers: {}, digest: '', responseBytes: 0,
				})),
			},
		})),
		gateways: record.gateways.map(gateway => ({
			...gateway, disturbances: [...gateway.disturbances], failureDomain: '', host: '', directoryAddress: '', setStoreConnectionFaults: () => undefined, recordPartition: () => undefined, signal: () => undefined, restart: async () => undefined, stop: async () => undefined, countUnexpectedExits: () => 0,
		})),
		partitions: [],
		storeFaults: [],
		hasRecovered: true,
	}, true);
	expect(violations.filter(violation => violation.startsWith('cut-by-stop'))).toHaveLength(isReported ? 1 : 0);
});
