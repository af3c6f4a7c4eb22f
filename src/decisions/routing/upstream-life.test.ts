import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {
	advanceUpstreamLife, createUpstreamLife, getLifeState, type UpstreamLife, type UpstreamLifeEvent,
} from './upstream-life.ts';

const {expect, test} = vitest;
const seed = 20_263;

function play(life: UpstreamLife, events: readonly UpstreamLifeEvent[]): UpstreamLife {
	let current = life;
	for (const event of events) {
		current = advanceUpstreamLife(current, event);
	}

	return current;
}

test('failures eject, the pause doubles, and good answers bring the upstream back', () => {
	const ejected = play(createUpstreamLife(false), [{type: 'failures', now: 1000, isAllowed: true}]);
	expect(getLifeState(ejected)).toBe('ejected');
	expect(ejected.context.pausedUntil).toBe(1500);
	const again = play(ejected, [{type: 'pause-over'}, {type: 'failures', now: 2000, isAllowed: true}]);
	expect(again.context.pausedUntil).toBe(3000);
	const good = Array.from({length: 5}, () => ({type: 'good-answer'}) as const);
	const recovered = play(again, [{type: 'pause-over'}, ...good]);
	expect(getLifeState(recovered)).toBe('live');
	expect(recovered.context.pauses).toBe(0);
});

test('a cold upstream starts slowly', () => {
	expect(getLifeState(createUpstreamLife(true))).toBe('starting');
	expect(getLifeState(createUpstreamLife(false))).toBe('live');
});

test('no event pauses an upstream without permission, or brings a removed one back', () => {
	const event: fastCheck.Arbitrary<UpstreamLifeEvent> = fastCheck.oneof(
		fastCheck.record({type: fastCheck.constant('good-answer' as const)}),
		fastCheck.record({type: fastCheck.constant('failures' as const), now: fastCheck.nat(), isAllowed: fastCheck.constant(false)}),
		fastCheck.record({type: fastCheck.constant('slow' as const), now: fastCheck.nat(), isAllowed: fastCheck.constant(false)}),
		fastCheck.record({type: fastCheck.constant('pause-over' as const)}),
		fastCheck.record({type: fastCheck.constant('draining' as const)}),
		fastCheck.record({type: fastCheck.constant('not-draining' as const)}),
	);
	fastCheck.assert(fastCheck.property(fastCheck.array(event), fastCheck.boolean(), (events, isCold) => {
		const life = play(createUpstreamLife(isCold), events);
		expect(['starting', 'live', 'draining']).toContain(getLifeState(life));
		expect(getLifeState(play(life, [{type: 'removed'}, ...events]))).toBe('gone');
	}), {seed});
});
