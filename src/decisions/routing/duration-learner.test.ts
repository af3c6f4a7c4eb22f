import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {operationRowSchema} from '../table/rows.ts';
import {createDurationLearner} from './duration-learner.ts';

const {expect, test} = vitest;
const seed = 20_267;

function createOperation(operation: string) {
	return operationRowSchema.parse({
		kind: 'operation', service: 'desk', operation, method: 'GET', pathPrefix: '/', idempotent: true,
	});
}

const short = createOperation('short');
const long = createOperation('long');

test('an operation that runs ten times longer is told apart at any scale, whichever comes first', () => {
	const cases = fastCheck.record({scale: fastCheck.integer({min: 1, max: 500}), isLongFirst: fastCheck.boolean()});
	fastCheck.assert(fastCheck.property(cases, ({scale, isLongFirst}) => {
		const learner = createDurationLearner();
		if (isLongFirst) {
			learner.learn(long, 10 * scale, 0);
		}

		for (let index = 0; index < 200; index++) {
			learner.learn(index % 20 === 5 ? long : short, scale * (index % 20 === 5 ? 10 : 1), index);
		}

		expect(learner.isLong(long, 200)).toBe(true);
		expect(learner.isLong(short, 200)).toBe(false);
	}), {seed});
});

test('operations of the same duration are all short', () => {
	const learner = createDurationLearner();
	for (let index = 0; index < 100; index++) {
		learner.learn(index % 2 === 0 ? short : long, 100 + (index % 7), index);
	}

	expect([short, long].map(operation => learner.isLong(operation, 100))).toEqual([false, false]);
});

test('an operation whose first call has not come back counts as long after a while', () => {
	const learner = createDurationLearner();
	learner.learn(short, 10, 0);
	learner.noteStart(long, 100);
	expect(learner.isLong(long, 130)).toBe(false);
	expect(learner.isLong(long, 141)).toBe(true);
});
