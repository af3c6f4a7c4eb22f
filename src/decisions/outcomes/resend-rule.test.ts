import * as vitest from 'vitest';
import {type AttemptEnd, canSendAgain, getOwnStatus} from './resend-rule.ts';

const {expect, test} = vitest;
const ends: readonly AttemptEnd[] = [
	{kind: 'not-sent'}, {kind: 'not-run'}, {kind: 'answered', statusCode: 500}, {kind: 'answered', statusCode: 404}, {kind: 'broken', reason: 'reset'},
];

test('a non-idempotent request goes out again only while it has run nowhere', () => {
	const fresh = {kind: 'non-idempotent' as const, mayHaveRunOn: 0, maximumAttempts: 2};
	expect(ends.map(end => canSendAgain(fresh, end))).toEqual([true, true, false, false, false]);
	expect(ends.map(end => canSendAgain({...fresh, mayHaveRunOn: 1}, end))).toEqual([false, false, false, false, false]);
});

test('an idempotent request goes out again after failures, on no more upstreams than its route allows', () => {
	const once = {kind: 'idempotent' as const, mayHaveRunOn: 1, maximumAttempts: 2};
	expect(ends.map(end => canSendAgain(once, end))).toEqual([true, true, true, false, true]);
	expect(ends.map(end => canSendAgain({...once, mayHaveRunOn: 2}, end))).toEqual([false, false, false, false, false]);
});

test('503 is said only of a request that has run nowhere', () => {
	for (const kind of ['idempotent', 'non-idempotent'] as const) {
		for (const reason of ['time-over', 'no-room', 'failed'] as const) {
			expect(getOwnStatus({kind, mayHaveRunOn: 0, maximumAttempts: 2}, reason)).toBe(503);
			expect(getOwnStatus({kind, mayHaveRunOn: 1, maximumAttempts: 2}, reason)).not.toBe(503);
		}
	}
});
