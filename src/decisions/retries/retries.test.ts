import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {type AttemptResult, type WaitingCall} from '../routing/types.ts';
import {operationRowSchema} from '../table/rows.ts';
import {createRetryBudget, initialRetries} from './retry-budget.ts';
import {isRetryable} from './retry-rule.ts';

const {expect, test} = vitest;
const seed = 20_265;

function createCall(idempotent: boolean, attempts: number): WaitingCall {
	return {
		id: 1,
		operation: operationRowSchema.parse({
			kind: 'operation', service: 'desk', operation: 'price', method: 'GET', pathPrefix: '/', idempotent,
		}),
		arrivedAt: 0,
		deadlineAt: 1000,
		attempts,
		triedUpstreams: ['a'],
	};
}

test('retries never exceed their share of first attempts plus the initial retries', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.boolean(), {maxLength: 400}), fastCheck.constantFrom(0, 0.1, 0.5), (steps, share) => {
		const budget = createRetryBudget(() => share);
		let firstAttempts = 0;
		let retries = 0;
		for (const isRetry of steps) {
			if (isRetry) {
				retries += budget.tryCharge() ? 1 : 0;
			} else {
				firstAttempts += 1;
				budget.countFirstAttempt();
			}

			expect(retries).toBeLessThanOrEqual((firstAttempts * share) + initialRetries + 1e-6);
		}
	}), {seed});
});

test('a non-idempotent call is retried only if it did not run', () => {
	const results: readonly AttemptResult[] = [
		{kind: 'answered', statusCode: 503, durationMilliseconds: 1},
		{kind: 'refused', durationMilliseconds: 1},
		{kind: 'not-connected'},
		{kind: 'broken'},
		{kind: 'timed-out'},
		{kind: 'cancelled'},
	];
	expect(results.map(result => isRetryable(createCall(false, 1), result, 5))).toEqual([false, true, true, false, false, false]);
	expect(results.map(result => isRetryable(createCall(true, 1), result, 5))).toEqual([true, true, true, true, true, false]);
});

test('no call is retried after its deadline or its last allowed attempt', () => {
	expect(isRetryable(createCall(true, 1), {kind: 'broken'}, 1000)).toBe(false);
	expect(isRetryable(createCall(true, 3), {kind: 'broken'}, 5)).toBe(false);
});
