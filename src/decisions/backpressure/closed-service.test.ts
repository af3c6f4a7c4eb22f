import * as vitest from 'vitest';
import * as randomness from '../random.ts';
import * as closedService from './closed-service.ts';

const {expect, test} = vitest;
const random = randomness.createRandomSource(1);

test('a request is held for a pause that ends before it expires, and rejected otherwise', () => {
	expect(closedService.decideForClosedService({permitWaitMilliseconds: undefined, pauseEndsAt: 1300, isEvacuated: false}, 1400, random, 1000)).toEqual({kind: 'hold'});
	expect(closedService.decideForClosedService({permitWaitMilliseconds: undefined, pauseEndsAt: 4000, isEvacuated: false}, 1400, random, 1000)).toMatchObject({kind: 'reject'});
	expect(closedService.decideForClosedService({permitWaitMilliseconds: 250, pauseEndsAt: undefined, isEvacuated: false}, 1400, random, 1000)).toEqual({kind: 'reject', retryAfterMilliseconds: 250});
	expect(closedService.decideForClosedService({permitWaitMilliseconds: 250, pauseEndsAt: 4000, isEvacuated: false}, 1400, random, 1000)).toEqual({kind: 'reject', retryAfterMilliseconds: 250});
});

test('a request to a service whose failure domains are all evacuated is rejected at once with a time to come back', () => {
	const decision = closedService.decideForClosedService({permitWaitMilliseconds: undefined, pauseEndsAt: undefined, isEvacuated: true}, 1400, random, 1000);
	expect(decision.kind === 'reject' && decision.retryAfterMilliseconds).toBeGreaterThanOrEqual(1000);
	expect(decision.kind === 'reject' && decision.retryAfterMilliseconds).toBeLessThan(3000);
});

test('callers that are rejected together return after the pause, and not together', () => {
	const returnsAt = Array.from({length: 1000}, () => {
		const decision = closedService.decideForClosedService({permitWaitMilliseconds: undefined, pauseEndsAt: 4000, isEvacuated: false}, 1400, random, 1000);
		return decision.kind === 'reject' ? 1000 + decision.retryAfterMilliseconds : 0;
	});
	expect(Math.min(...returnsAt)).toBeGreaterThanOrEqual(4000);
	for (let from = 4000; from < 6000; from += 100) {
		expect(returnsAt.filter(at => at >= from && at < from + 100).length).toBeLessThanOrEqual(100);
	}
});
