/** Encodes refusals and failures of calls as problem details (RFC 9457). */
import {type Outcome} from '../decisions/outcomes/types.ts';
import {type RefusalReason} from '../decisions/routing/types.ts';
import {type AnswerHead, type AnswerSink} from './call.ts';
import {headerNames} from './headers.ts';

const millisecondsPerSecond = 1000;

type ProblemDescription = {
	readonly statusCode: number;
	readonly title: string;
	readonly remedy: string;
};

type CallProblemKind
	= | 'malformed-request'
		| 'malformed-timeout'
		| 'malformed-key'
		| 'nested-too-deep'
		| 'unknown-service'
		| 'unknown-operation'
		| 'body-too-large'
		| 'headers-too-large'
		| 'request-timeout'
		| 'not-ready'
		| 'handler-failed'
		| 'upstream-failed'
		| 'upstream-timeout'
		| 'upstream-refused'
		| 'key-ran'
		| 'key-refused'
		| 'key-unknown'
		| 'key-forgotten'
		| 'key-in-use'
		| 'key-owner-unavailable'
		| 'key-owner-left'
		| 'claim-undecided';

/** Kind of a problem, which is part of its `type` URN. */
export type ProblemKind = CallProblemKind | RefusalReason;

/** Status code, title and remedy of each problem kind. */
export const problemDescriptions: Readonly<Record<ProblemKind, ProblemDescription>> = {
	'malformed-request': {statusCode: 400, title: 'Malformed request', remedy: 'Correct the request line, the headers or the body.'},
	'malformed-timeout': {statusCode: 400, title: 'Malformed timeout header', remedy: `Send ${headerNames.timeout} as a positive integer.`},
	'malformed-key': {statusCode: 400, title: 'Malformed idempotency key', remedy: 'Send 1 to 256 printable characters.'},
	'nested-too-deep': {statusCode: 508, title: 'Calls are nested too deep', remedy: 'Find the cycle among the services, or nest fewer calls.'},
	'unknown-service': {statusCode: 404, title: 'Unknown service', remedy: 'Use a service of the table of weights and limits.'},
	'unknown-operation': {statusCode: 404, title: 'Unknown operation', remedy: 'Use a method and path of an operation of the service.'},
	'body-too-large': {statusCode: 413, title: 'Body too large', remedy: 'Send a smaller body.'},
	'headers-too-large': {statusCode: 431, title: 'Headers too large', remedy: 'Send fewer or smaller headers.'},
	'request-timeout': {statusCode: 408, title: 'Request was not received in time', remedy: 'Send the whole request sooner.'},
	'not-ready': {statusCode: 503, title: 'Entry has no table of weights and limits yet', remedy: 'Ask /v1/entries of another entry.'},
	'handler-failed': {statusCode: 500, title: 'The entry failed to handle the call', remedy: 'Send the call to another entry, and report the error that the log of this one shows.'},
	'upstream-failed': {statusCode: 502, title: 'The upstream gave no whole answer', remedy: 'Repeat the call with the same idempotency key to learn its outcome.'},
	'upstream-timeout': {statusCode: 504, title: 'The upstream did not answer in time', remedy: 'Repeat the call with the same idempotency key to learn its outcome.'},
	'upstream-refused': {statusCode: 503, title: 'The upstream refused the call', remedy: 'Repeat after the stated time.'},
	'key-ran': {statusCode: 409, title: 'An earlier call with this key ran, and its answer is no longer held', remedy: 'Read the result from the service; do not send the call again.'},
	'key-refused': {statusCode: 409, title: 'An earlier call with this key was refused, and the key never runs', remedy: 'Send the call again with a new key.'},
	'key-unknown': {statusCode: 409, title: 'An earlier call with this key may have run', remedy: 'Read the result from the service before sending a new key.'},
	'key-forgotten': {statusCode: 409, title: 'What became of this key is no longer known', remedy: 'Read the result from the service, then ask /v1/entries for new keys.'},
	'key-in-use': {statusCode: 503, title: 'Another call with this key has not ended', remedy: 'Repeat with the same key after the stated time.'},
	'key-owner-unavailable': {statusCode: 503, title: 'The entry that keeps this key did not answer', remedy: 'Repeat with the same key after the stated time.'},
	'key-owner-left': {statusCode: 503, title: 'The entry that keeps this key has left and never runs it', remedy: 'Ask /v1/entries for a new key.'},
	'claim-undecided': {statusCode: 503, title: 'The log did not decide the claim of this key in time', remedy: 'Repeat with the same key after the stated time, or use a key from /v1/entries.'},
	'deadline-unreachable': {statusCode: 503, title: 'The deadline can\'t be met', remedy: 'Repeat after the stated time, or allow more time.'},
	'deadline-passed': {statusCode: 504, title: 'The deadline passed', remedy: 'Allow more time.'},
	'queue-full': {statusCode: 503, title: 'Too many calls wait', remedy: 'Repeat after the stated time.'},
	'service-limit': {statusCode: 429, title: 'The limit of the service is reached', remedy: 'Repeat after the stated time.'},
	'place-limit': {statusCode: 429, title: 'The limit of the failure domain is reached', remedy: 'Repeat after the stated time.'},
	'no-upstream': {statusCode: 503, title: 'No upstream is available', remedy: 'Repeat after the stated time.'},
	leaving: {statusCode: 503, title: 'The entry is leaving', remedy: 'Ask /v1/entries of another entry.'},
};

/** Problem to return for one call. */
export type Problem = {
	readonly kind: ProblemKind;
	readonly outcome: Outcome;
	readonly retryAfterMilliseconds?: number | undefined;
};

/** Encodes a problem as the head and body of an answer. */
export function createProblemAnswer(problem: Problem): {readonly head: AnswerHead; readonly body: Uint8Array} {
	const {statusCode, title, remedy} = problemDescriptions[problem.kind];
	const body = new TextEncoder().encode(JSON.stringify({
		type: `urn:fescuering:problem:${problem.kind}`,
		title,
		status: statusCode,
		detail: remedy,
		outcome: problem.outcome,
	}));
	const headers: Array<[string, string]> = [['content-type', 'application/problem+json'], ['content-length', String(body.length)]];
	if (problem.retryAfterMilliseconds !== undefined) {
		headers.push(['retry-after', String(Math.max(1, Math.ceil(problem.retryAfterMilliseconds / millisecondsPerSecond)))]);
	}

	return {head: {statusCode, headers, outcome: problem.outcome}, body};
}

/** Writes a problem as the complete answer to a call. */
export function writeProblem(sink: AnswerSink, problem: Problem): void {
	const {head, body} = createProblemAnswer(problem);
	sink.start(head);
	sink.write(body);
	sink.end();
}
