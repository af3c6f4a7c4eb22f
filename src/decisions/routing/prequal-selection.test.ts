import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {createRandomSource, type RandomSource} from '../random.ts';
import {
	chooseUpstream, sampleCandidates, estimateUpstream, getCapacity, type UpstreamState, type WorkEstimate,
} from './prequal-selection.ts';

const {expect, test} = vitest;
const seed = 20_266;
const work: WorkEstimate = {
	workMilliseconds: 140, meanWorkMilliseconds: 150, objectiveMilliseconds: 400, mayExceedCapacity: false,
};

function createState(id: string, overrides: Partial<UpstreamState> & {running?: number; pace?: number} = {}): UpstreamState {
	const {running = 0, pace = 1, ...rest} = overrides;
	return {
		id,
		isLocal: true,
		slots: 4,
		reading: {
			running, waiting: 0, slots: 4, durationFactor: pace, readAt: 0,
		},
		sentSinceReading: 0,
		inFlight: 0,
		failureShare: 0,
		slowness: 1,
		isWarmingUp: false,
		...rest,
	};
}

test('a fast local upstream is selected before a slow, a failing, a remote and a warming one', () => {
	const states = [
		createState('slow', {pace: 4}), createState('failing', {failureShare: 0.5}), createState('far', {isLocal: false}), createState('cold', {isWarmingUp: true}), createState('good'),
	];
	expect(chooseUpstream(states, work)?.id).toBe('good');
});

test('an upstream is full at four fifths of its slots, and requests sent since the reading count towards its load', () => {
	expect([4, 6, 8, 1].map(slots => getCapacity(slots))).toEqual([3, 4, 6, 1]);
	expect(estimateUpstream(createState('a', {running: 2}), work).hasFreeSlot).toBe(true);
	expect(estimateUpstream(createState('a', {running: 3}), work).hasFreeSlot).toBe(false);
	expect(estimateUpstream(createState('a', {running: 2, sentSinceReading: 1}), work).hasFreeSlot).toBe(false);
	expect(estimateUpstream(createState('a', {running: 3}), {...work, mayExceedCapacity: true}).hasFreeSlot).toBe(true);
	expect(chooseUpstream([createState('a', {running: 4})], work)).toBeUndefined();
});

test('more requests ahead never shorten the expected time, at any pace', () => {
	const load = fastCheck.record({running: fastCheck.integer({min: 0, max: 12}), pace: fastCheck.double({min: 0.5, max: 8, noNaN: true})});
	fastCheck.assert(fastCheck.property(load, ({running, pace}) => {
		const {expectedMilliseconds} = estimateUpstream(createState('a', {running, pace}), work);
		expect(estimateUpstream(createState('a', {running: running + 1, pace}), work).expectedMilliseconds).toBeGreaterThanOrEqual(expectedMilliseconds);
		expect(expectedMilliseconds).toBeGreaterThan(0);
	}), {seed});
});

test('failing upstreams are sampled only when there are too few others', () => {
	const states = [createState('bad', {failureShare: 0.9}), createState('a'), createState('b')];
	const draw = (count: number, random: RandomSource) => sampleCandidates(states, count, ({failureShare}) => failureShare, random);
	for (let round = 0; round < 50; round++) {
		const random = createRandomSource(seed + round);
		expect(draw(2, random).map(({id}) => id).toSorted((left, right) => left.localeCompare(right))).toEqual(['a', 'b']);
		expect(draw(3, random).map(({id}) => id).at(-1)).toBe('bad');
	}
});
