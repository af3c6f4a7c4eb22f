import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {createRandomSource} from '../random.ts';
import {operationRowSchema} from '../table/rows.ts';
import {createDurationEstimator} from './duration-estimator.ts';

const {expect, test} = vitest;
const seed = 20_267;

function createOperation(operation: string) {
	return operationRowSchema.parse({
		kind: 'operation', service: 'desk', operation, method: 'GET', pathPrefix: '/', idempotent: true,
	});
}

const short = createOperation('short');
const long = createOperation('long');

test('an operation that runs ten times longer than another is classified as long, at any scale and in either order', () => {
	const cases = fastCheck.record({scale: fastCheck.integer({min: 1, max: 500}), isLongFirst: fastCheck.boolean()});
	fastCheck.assert(fastCheck.property(cases, ({scale, isLongFirst}) => {
		const estimator = createDurationEstimator();
		if (isLongFirst) {
			estimator.recordDuration(long, 10 * scale, 0);
		}

		for (let index = 0; index < 200; index++) {
			estimator.recordDuration(index % 20 === 5 ? long : short, scale * (index % 20 === 5 ? 10 : 1), index);
		}

		expect(estimator.isLong(long, 200)).toBe(true);
		expect(estimator.isLong(short, 200)).toBe(false);
	}), {seed});
});

test('operations of similar duration are all classified as short', () => {
	const estimator = createDurationEstimator();
	for (let index = 0; index < 100; index++) {
		estimator.recordDuration(index % 2 === 0 ? short : long, 100 + (index % 7), index);
	}

	expect([short, long].map(operation => estimator.isLong(operation, 100))).toEqual([false, false]);
});

test('an operation whose first call is still unanswered counts as long after four typical short durations', () => {
	const estimator = createDurationEstimator();
	estimator.recordDuration(short, 10, 0);
	estimator.recordStart(long, 100);
	expect(estimator.isLong(long, 130)).toBe(false);
	expect(estimator.isLong(long, 141)).toBe(true);
});

// Guards against short calls that are refused or wait in the queue of long work after the process stood still.
test('an operation with random durations stays short although pauses of the process delay some of its answers', () => {
	fastCheck.assert(fastCheck.property(fastCheck.integer(), fastCheck.integer({min: 50, max: 300}), (streamSeed, pauseMilliseconds) => {
		const random = createRandomSource(streamSeed);
		const estimator = createDurationEstimator();
		for (let index = 0; index < 1000; index++) {
			const isPaused = index % 50 < 5;
			estimator.recordDuration(short, (isPaused ? pauseMilliseconds : 0) - (4 * Math.log(1 - random.nextFraction())), index);
			expect(estimator.isLong(short, index)).toBe(false);
		}
	}), {seed});
});
