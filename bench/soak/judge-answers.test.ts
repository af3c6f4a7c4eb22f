/** Tests which missing, misplaced and replaced answers the judge reports. */
import * as vitest from 'vitest';
import * as judgeAnswers from './judge-answers.ts';
import * as responseReader from './response-reader.ts';
import type * as stayingCallers from './staying-callers.ts';

const {expect, test} = vitest;

const callerAddress = '127.0.0.1:1';
const sentAt = 100_000;

const createRequest = (id: string): stayingCallers.SentRequest => ({
	id,
	route: {
		path: '/read/', isIdempotent: true, service: 'desk', publishedAt: 0, withdrawnAt: undefined, timeoutMilliseconds: 1500,
	},
	method: 'GET',
	path: '/read/1',
	requestBodyDigest: '',
	sentAt,
	lastByteAt: sentAt,
});
const createAnswer = (requestId: string, signature = 'signed-by-desk-1'): responseReader.ReceivedAnswer => ({
	status: signature === '' ? 503 : 200, requestId, signature, body: '', isLast: false, endedAt: sentAt + 400,
});

type Observation = {
	readonly answers?: readonly responseReader.ReceivedAnswer[];
	readonly connection?: Partial<stayingCallers.ObservedConnection>;
	readonly disturbances?: judgeAnswers.JudgedGateway['disturbances'];
	readonly leavingTimes?: readonly number[];
	readonly faults?: judgeAnswers.JudgedUpstream['faults'];
	readonly hasResponded?: boolean;
	/** Time after the request was sent, in milliseconds. */
	readonly ranUntil?: number;
	readonly isPartitioned?: boolean;
};

/** Creates what is observed of two requests on one connection; by default, the answer to the second one is missing. */
function createRecord({answers = [createAnswer('a')], connection = {}, disturbances = [], leavingTimes = [], faults = [], hasResponded = true, ranUntil = 300, isPartitioned = false}: Observation): judgeAnswers.AnswersRecord {
	const gateway = {
		name: 'gateway-1', callerAddress, disturbances, leavingTimes,
	};
	const endedRequests = ['a', 'b'].map(requestId => ({
		requestId, hasResponded, receivedAt: sentAt + 10, endedAt: sentAt + ranUntil,
	}));
	return {
		connections: [{
			gateway: callerAddress, requests: [createRequest('a'), createRequest('b')], answers, isMalformed: false, hasLeft: false, endedAt: sentAt + 500, error: '', ...connection,
		}],
		gateways: [gateway],
		upstreams: [{standIn: {id: 'desk-1', endedRequests}, faults}],
		partitions: isPartitioned ? [{gateways: [gateway], span: {from: sentAt, to: sentAt + 100}}] : [],
	};
}

const judge = (observation: Observation) => judgeAnswers.judgeAnswers(createRecord(observation)).map(violation => violation.split(' ').slice(0, 2).join(' '));
const stop = {kind: 'SIGTERM', at: sentAt + 50} as const;
const bothAnswers = [createAnswer('a'), createAnswer('b')];

test('complete answers in the order of their requests violate nothing', () => {
	expect(judge({answers: bothAnswers})).toEqual([]);
	expect(judge({answers: bothAnswers, disturbances: [stop]})).toEqual([]);
});

// Guards against a judge that doesn't notice an answer that is missing.
test.each<Observation & {readonly name: string}>([
	{name: 'in calm'},
	{name: 'after SIGTERM', disturbances: [stop]},
	{name: 'after SIGTERM, SIGHUP and a freeze', disturbances: [stop, {kind: 'SIGHUP', at: sentAt + 50}, {kind: 'SIGSTOP', at: sentAt + 60}, {kind: 'SIGCONT', at: sentAt + 200}]},
	{name: 'while the connection to the store is cut', disturbances: [{kind: 'cut-from-store', at: sentAt}]},
	{name: 'after a kill before the request', disturbances: [{kind: 'SIGKILL', at: sentAt - 1}]},
	{name: 'after the end of the process by itself', disturbances: [{kind: 'ended', at: sentAt + 400}]},
	{name: 'if the run was broken off', hasResponded: false},
	{name: 'if the connection stays open until the caller gives up', connection: {endedAt: sentAt + 10_000}},
	{name: 'if the grace period ends while the answer is due', disturbances: [{kind: 'SIGTERM', at: sentAt - 4000}, {kind: 'grace-over', at: sentAt + 450}]},
	{name: 'if the request came in the last sixth of the grace period', disturbances: [{kind: 'SIGTERM', at: sentAt - 5000}]},
	{name: 'if the upstream failed only before the request', faults: [{from: sentAt - 1000, to: sentAt}]},
])('a missing answer is reported $name', ({name: _name, ...observation}) => {
	expect(judge(observation)).toEqual(['lost-answer b']);
});

test.each<Observation & {readonly name: string}>([
	{name: 'the caller has half-closed the connection', connection: {hasLeft: true}},
	{name: 'the process is killed', disturbances: [{kind: 'SIGKILL', at: sentAt + 400}]},
	{name: 'the upstream fails', faults: [{from: sentAt + 100, to: sentAt + 200}]},
	{name: 'the gateway is partitioned from the upstreams', isPartitioned: true},
	{name: 'the run outlasts the timeout of the route', ranUntil: 1600, connection: {endedAt: sentAt + 1700}},
	{name: 'the process stood still in a grace period that is over', disturbances: [{kind: 'SIGTERM', at: sentAt - 5600}, {kind: 'SIGSTOP', at: sentAt - 3000}, {kind: 'grace-over', at: sentAt + 400}]},
])('a missing answer is excused if $name', ({name: _name, ...observation}) => {
	expect(judge(observation)).toEqual([]);
});

// Guards against answers that callers take for those of other requests.
test('answers in the wrong order, without a request and bytes that are no answer are reported', () => {
	expect(judge({answers: [createAnswer('b'), createAnswer('a')]})).toEqual(['misplaced-answer b', 'misplaced-answer a']);
	expect(judge({answers: [...bothAnswers, createAnswer('c')]})).toEqual(['misplaced-answer c']);
	expect(judge({answers: bothAnswers, connection: {isMalformed: true}})).toEqual(['malformed-answer at']);
});

test('an own answer in the place of one that its upstream was at work on is reported after SIGTERM', () => {
	const answers = [createAnswer('a'), createAnswer('', '')];
	expect(judge({answers, hasResponded: false, disturbances: [stop]})).toEqual(['replaced-answer b']);
	expect(judge({answers, hasResponded: false})).toEqual([]);
	expect(judge({answers, hasResponded: false, disturbances: [stop, {kind: 'SIGSTOP', at: sentAt + 60}]})).toEqual([]);
});

test('removals of answers are noticed', () => {
	expect(judgeAnswers.countNoticedRemovals(createRecord({answers: bothAnswers}))).toEqual({removed: 1, noticed: 1});
	expect(judgeAnswers.countNoticedRemovals(createRecord({answers: bothAnswers, disturbances: [{kind: 'SIGKILL', at: sentAt + 400}]}))).toEqual({removed: 1, noticed: 0});
});

// Guards against a reader that takes an answer for complete which was cut, or loses the one behind it.
test('answers with a length, in chunks and up to the end of the connection are read byte by byte', () => {
	const text = 'HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nUpstream-Signature: s\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\nAttempt-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\nghi';
	const reader = responseReader.createResponseReader();
	for (const byte of new TextEncoder().encode(text)) {
		reader.receive(Uint8Array.of(byte), 1);
	}

	expect(reader.answers.map(({requestId, body}) => [requestId, body])).toEqual([['a', 'abc'], ['b', 'def']]);
	reader.end(2);
	expect(reader.answers.at(-1)).toMatchObject({
		status: 503, requestId: '', body: 'ghi', isLast: true, endedAt: 2,
	});
	expect(reader.hasFailed()).toBe(false);
	reader.receive(new TextEncoder().encode('nonsense\r\n\r\n'), 3);
	expect(reader.hasFailed()).toBe(true);
});
