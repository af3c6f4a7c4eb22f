import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {
	advanceUpstreamLifeCycle, createUpstreamLifeCycle, getLifeCycleState, type UpstreamLifeCycle, type UpstreamLifeCycleEvent,
} from './upstream-life-cycle.ts';

const {expect, test} = vitest;
const seed = 20_263;

function applyEvents(lifeCycle: UpstreamLifeCycle, events: readonly UpstreamLifeCycleEvent[]): UpstreamLifeCycle {
	let current = lifeCycle;
	for (const event of events) {
		current = advanceUpstreamLifeCycle(current, event);
	}

	return current;
}

test('failures eject an upstream, a second ejection lasts twice as long, and successful answers make it live again', () => {
	const ejected = applyEvents(createUpstreamLifeCycle(false), [{type: 'failures', now: 1000, isAllowed: true}]);
	expect(getLifeCycleState(ejected)).toBe('ejected');
	expect(ejected.context.pausedUntil).toBe(1500);
	const again = applyEvents(ejected, [{type: 'pause-over'}, {type: 'failures', now: 2000, isAllowed: true}]);
	expect(again.context.pausedUntil).toBe(3000);
	const good = Array.from({length: 5}, () => ({type: 'good-answer'}) as const);
	const recovered = applyEvents(again, [{type: 'pause-over'}, ...good]);
	expect(getLifeCycleState(recovered)).toBe('live');
	expect(recovered.context.pauses).toBe(0);
});

test('a cold upstream begins in its slow start and a warm one is live at once', () => {
	expect(getLifeCycleState(createUpstreamLifeCycle(true))).toBe('starting');
	expect(getLifeCycleState(createUpstreamLifeCycle(false))).toBe('live');
});

test('no event pauses an upstream when pauses are not allowed, and a removed upstream stays gone', () => {
	const event: fastCheck.Arbitrary<UpstreamLifeCycleEvent> = fastCheck.oneof(
		fastCheck.record({type: fastCheck.constant('good-answer' as const)}),
		fastCheck.record({type: fastCheck.constant('failures' as const), now: fastCheck.nat(), isAllowed: fastCheck.constant(false)}),
		fastCheck.record({type: fastCheck.constant('slow' as const), now: fastCheck.nat(), isAllowed: fastCheck.constant(false)}),
		fastCheck.record({type: fastCheck.constant('pause-over' as const)}),
		fastCheck.record({type: fastCheck.constant('draining' as const)}),
		fastCheck.record({type: fastCheck.constant('not-draining' as const)}),
	);
	fastCheck.assert(fastCheck.property(fastCheck.array(event), fastCheck.boolean(), (events, isCold) => {
		const lifeCycle = applyEvents(createUpstreamLifeCycle(isCold), events);
		expect(['starting', 'live', 'draining']).toContain(getLifeCycleState(lifeCycle));
		expect(getLifeCycleState(applyEvents(lifeCycle, [{type: 'removed'}, ...events]))).toBe('gone');
	}), {seed});
});
