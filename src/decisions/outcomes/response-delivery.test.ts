/** Replays rows of requests on one connection whose responses may close it. */
import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as responseDelivery from './response-delivery.ts';

const {expect, test} = vitest;

const responses = fc.array(fc.record({hasOwnEnd: fc.boolean(), isLeaving: fc.boolean()}), {minLength: 1, maxLength: 8});

// Guards against requests that run and are cut because a response before them closes their connection.
test('in any row of responses only the last one closes the connection or is ended by it', () => {
	fc.assert(fc.property(responses, fc.boolean(), (row, isLastUnread) => {
		const deliveries = row.map(({hasOwnEnd, isLeaving}, index) => responseDelivery.decideDelivery({
			hasOwnEnd, isLeaving, isFollowed: index < row.length - 1, isRequestUnread: isLastUnread && index === row.length - 1,
		}));
		for (const delivery of deliveries.slice(0, -1)) {
			expect(delivery).toEqual({end: 'length', closesConnection: false});
		}

		const last = row.at(-1)!;
		expect(deliveries.at(-1)!.closesConnection).toBe(last.isLeaving || isLastUnread || !last.hasOwnEnd);
	}), {seed: 59, numRuns: 500});
});

// Guards against half of a response that looks complete because it got a length here.
test('a response that ended with the connection of its upstream ends with the connection of its caller if nothing is behind it', () => {
	expect(responseDelivery.decideDelivery({
		hasOwnEnd: false, isLeaving: false, isFollowed: false, isRequestUnread: false,
	})).toEqual({end: 'connection', closesConnection: true});
});
