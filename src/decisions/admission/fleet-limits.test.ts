import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {limitRowSchema, serviceRowSchema} from '../table/rows.ts';
import {type ServiceView} from '../table/service-view.ts';
import {createFleetLimits, divideEvenly, getBurstCalls} from './fleet-limits.ts';

const {expect, test} = vitest;
const seed = 20_264;

function createView(callsPerSecond: number | undefined, callsInFlight: number | undefined): ServiceView {
	return {
		service: serviceRowSchema.parse({kind: 'service', service: 'desk', slotsPerUpstream: 4}),
		operations: [],
		places: new Map(),
		upstreams: new Map(),
		limit: limitRowSchema.parse({
			kind: 'limit', service: 'desk', ...(callsPerSecond === undefined ? {} : {callsPerSecond}), ...(callsInFlight === undefined ? {} : {callsInFlight}),
		}),
	};
}

function createFleet(visibleEntries: number, self: number): Parameters<typeof createFleetLimits>[1] {
	const entries = Array.from({length: visibleEntries}, (_, index) => ({name: `entry-${index}`, failureDomain: 'riverside'}));
	return {self: `entry-${self}`, selfFailureDomain: 'riverside', entries};
}

test('the fleet stays below its rate divided by the visible share of the members, plus one burst per entry', () => {
	const cases = fastCheck.record({
		entries: fastCheck.integer({min: 1, max: 15}),
		visibleShare: fastCheck.constantFrom(0.5, 0.75, 1),
		rate: fastCheck.integer({min: 1, max: 2000}),
	});
	fastCheck.assert(fastCheck.property(cases, ({entries, visibleShare, rate}) => {
		const seconds = 2;
		let admitted = 0;
		let bursts = 0;
		let smallestView = entries;
		for (let self = 0; self < entries; self++) {
			const fleet = createFleet(Math.ceil(entries * visibleShare), self);
			const members = new Set([...fleet.entries.map(entry => entry.name), fleet.self]).size;
			smallestView = Math.min(smallestView, members);
			bursts += getBurstCalls(rate / members);
			const limits = createFleetLimits(createView(rate, undefined), fleet, 0);
			for (let now = 0; now < seconds * 1000; now++) {
				admitted += limits.tryAdmit(now) ? 0 : 1;
				admitted += limits.tryAdmit(now) ? 0 : 1;
			}
		}

		expect(admitted).toBeLessThanOrEqual((rate * seconds * entries / smallestView) + bursts);
	}), {seed, numRuns: 40});
});

test('the shares of an in-flight limit add up to the limit, and no entry exceeds its share', () => {
	fastCheck.assert(fastCheck.property(fastCheck.integer({min: 1, max: 15}), fastCheck.integer({min: 1, max: 60}), (entries, limit) => {
		let sum = 0;
		for (let self = 0; self < entries; self++) {
			const limits = createFleetLimits(createView(undefined, limit), createFleet(entries, self), 0);
			for (let call = 0; call < limit + 2; call++) {
				sum += limits.tryAdmit(0) ? 0 : 1;
			}
		}

		expect(sum).toBe(limit);
	}), {seed});
});

test('the end of a call allows the next call under an in-flight limit', () => {
	const limits = createFleetLimits(createView(undefined, 1), createFleet(1, 0), 0);
	expect(limits.tryAdmit(0)).toBeUndefined();
	expect(limits.tryAdmit(0)?.reason).toBe('service-limit');
	limits.release();
	expect(limits.tryAdmit(0)).toBeUndefined();
});

test('the parts of an evenly divided number differ by at most one', () => {
	expect([0, 1, 2].map(rank => divideEvenly(8, 3, rank))).toEqual([3, 3, 2]);
});
