import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as trafficMemory from './traffic-memory.ts';

const {expect, test} = vitest;
const seed = 20_361;

// Guards against a process that runs out of memory by bodies without end on many connections at once.
test('the largest response gives way when the memory is full, and the others go on', () => {
	const ended: string[] = [];
	const memory = trafficMemory.createTrafficMemory(200);
	const small = memory.claim('responses', 0, () => {
		ended.push('small');
	});
	const large = memory.claim('responses', 0, () => {
		ended.push('large');
	});
	large.resize(70, 0);
	small.resize(20, 0);
	small.resize(40, 0);
	expect(ended).toEqual(['large']);
	expect(memory.getUsed()).toBe(40);
	large.resize(120, 0);
	large.free();
	expect(memory.getUsed()).toBe(40);
	small.free();
	expect(memory.getUsed()).toBe(0);
});

test('what has stopped moving gives way before what moves, however small it is', () => {
	const ended: string[] = [];
	const memory = trafficMemory.createTrafficMemory(200);
	for (const name of ['first', 'second']) {
		memory.claim('callers', 0, () => {
			ended.push(name);
		}).resize(30, 0);
	}

	memory.claim('callers', 2000, () => {
		ended.push('moving');
	}).resize(90, 2000);
	expect(ended).toEqual(['first', 'second']);
});

test('kept claims never give way, and leave room for a request', () => {
	const memory = trafficMemory.createTrafficMemory(200);
	const results = Array.from({length: 5}, () => {
		const claim = memory.claim('callers', 0, () => undefined);
		claim.resize(25, 0);
		return claim.keep();
	});
	expect(results).toEqual([true, true, true, true, false]);
	let hasGivenWay = false;
	const next = memory.claim('callers', 0, () => {
		hasGivenWay = true;
	});
	next.resize(75, 0);
	expect(hasGivenWay).toBe(false);
});

// Guards against bodies that are held for upstreams and keep out requests without a body.
test('large kept claims leave room for small ones', () => {
	const memory = trafficMemory.createTrafficMemory(20_000_000);
	const keep = (bytes: number) => {
		const claim = memory.claim('callers', 0, () => undefined);
		claim.resize(bytes, 0);
		return claim.keep();
	};

	expect(Array.from({length: 9}, () => keep(1_000_000))).toEqual([...Array.from({length: 8}, () => true), false]);
	expect(Array.from({length: 60}, () => keep(30_000)).includes(false)).toBe(false);
});

test('a port with too many connections closes one of its own', () => {
	const ended: string[] = [];
	const memory = trafficMemory.createTrafficMemory(2000);
	memory.claim('directory', 0, () => {
		ended.push('directory');
	}).resize(500, 0);
	memory.claim('callers', 0, () => {
		ended.push('callers');
	}).resize(10, 0);
	expect(memory.closeOne('callers', 0)).toBe(true);
	expect(memory.closeOne('callers', 0)).toBe(false);
	expect(ended).toEqual(['callers']);
});

const maximumBytes = 400;
const step = fastCheck.record({
	claim: fastCheck.nat({max: 5}), bytes: fastCheck.nat({max: 300}), milliseconds: fastCheck.nat({max: 700}), isKept: fastCheck.boolean(),
});

test('the memory in use never exceeds its size, and is free once all claims are', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(step, {maxLength: 100}), steps => {
		const memory = trafficMemory.createTrafficMemory(maximumBytes);
		const claims = Array.from({length: 6}, () => memory.claim('responses', 0, () => undefined));
		const kept = new Set<number>();
		let now = 0;
		for (const {claim, bytes, milliseconds, isKept} of steps) {
			now += milliseconds;
			if (!kept.has(claim)) {
				claims[claim]!.resize(bytes, now);
			}

			if (isKept && claims[claim]!.keep()) {
				kept.add(claim);
			}

			expect(memory.getUsed()).toBeLessThanOrEqual(maximumBytes);
		}

		for (const claim of claims) {
			claim.free();
		}

		expect(memory.getUsed()).toBe(0);
	}), {seed});
});

// Guards against callers that keep others from being served by what they hold without moving it.
test('a request that fits alone is never refused in calm, whatever the others did before', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(step, {maxLength: 60}), fastCheck.integer({min: 1, max: maximumBytes / 2}), (steps, size) => {
		const memory = trafficMemory.createTrafficMemory(maximumBytes);
		let now = 0;
		const others = Array.from({length: 6}, () => memory.claim('callers', 0, () => undefined));
		for (const {claim, bytes, milliseconds} of steps) {
			now += milliseconds;
			others[claim]!.resize(bytes, now);
		}

		now += 1000;
		let hasGivenWay = false;
		const request = memory.claim('callers', now, () => {
			hasGivenWay = true;
		});
		for (let bytes = 0; bytes < size; bytes += 50) {
			now += 10;
			request.resize(Math.min(size, bytes + 50), now);
		}

		expect(hasGivenWay).toBe(false);
		expect(memory.getUsed()).toBeLessThanOrEqual(maximumBytes);
	}), {seed});
});
