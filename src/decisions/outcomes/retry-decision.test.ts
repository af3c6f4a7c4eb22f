import * as vitest from 'vitest';
import {type AttemptEnd, canRetry, getFailureStatus} from './retry-decision.ts';

const {expect, test} = vitest;
const ends: readonly AttemptEnd[] = [
	{kind: 'not-sent', reason: 'unreachable'}, {kind: 'not-run'}, {kind: 'answered', statusCode: 500}, {kind: 'answered', statusCode: 404}, {kind: 'broken', reason: 'reset'},
];

test('a non-idempotent request is retried only while no upstream can have executed it', () => {
	const notRun = {
		kind: 'non-idempotent' as const, possibleExecutions: 0, plannedExecutions: 0, maximumAttempts: 2,
	};
	expect(ends.map(end => canRetry(notRun, end))).toEqual([true, true, false, false, false]);
	expect(ends.map(end => canRetry({...notRun, possibleExecutions: 1}, end))).toEqual([false, false, false, false, false]);
});

test('an idempotent request is retried after failures, on no more upstreams than its route allows', () => {
	const ranOnce = {
		kind: 'idempotent' as const, possibleExecutions: 1, plannedExecutions: 0, maximumAttempts: 2,
	};
	expect(ends.map(end => canRetry(ranOnce, end))).toEqual([true, true, true, false, true]);
	expect(ends.map(end => canRetry({...ranOnce, possibleExecutions: 2}, end))).toEqual([false, false, false, false, false]);
});

test('503 is returned only for a request that no upstream can have executed', () => {
	for (const kind of ['idempotent', 'non-idempotent'] as const) {
		for (const reason of ['time-over', 'no-room', 'failed'] as const) {
			expect(getFailureStatus({
				kind, possibleExecutions: 0, plannedExecutions: 0, maximumAttempts: 2,
			}, reason)).toBe(503);
			expect(getFailureStatus({
				kind, possibleExecutions: 1, plannedExecutions: 0, maximumAttempts: 2,
			}, reason)).not.toBe(503);
		}
	}
});

// Guards against a request on more upstreams than its route allows: its first attempt fails while a hedged one waits for a connection.
test('an attempt that may still be sent counts against the attempts of the route', () => {
	const history = {kind: 'idempotent' as const, possibleExecutions: 1, maximumAttempts: 2};
	for (const end of [{kind: 'broken' as const, reason: 'ECONNRESET'}, {kind: 'answered' as const, statusCode: 503}, {kind: 'not-run' as const}]) {
		expect(canRetry({...history, plannedExecutions: 0}, end)).toBe(true);
		expect(canRetry({...history, plannedExecutions: 1}, end)).toBe(false);
	}
});

test('a request whose sending failed by an error of the program is not sent again, since it would fail again', () => {
	const history = {
		kind: 'idempotent', possibleExecutions: 0, plannedExecutions: 0, maximumAttempts: 2,
	} as const;
	expect(canRetry(history, {kind: 'not-sent', reason: 'handler-failed'})).toBe(false);
	expect(canRetry(history, {kind: 'not-sent', reason: 'unreachable'})).toBe(true);
	expect(canRetry({...history, possibleExecutions: 1}, {kind: 'broken', reason: 'handler-failed'})).toBe(true);
});
