import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import type * as heldRequests from './held-requests.ts';
import * as holdAdmission from './hold-admission.ts';

const {expect, test} = vitest;
const service = 'desk';

function createRequest(priority: number, receivedAt: number, changes: Partial<heldRequests.HeldRequest> = {}): heldRequests.HeldRequest {
	return {
		priority, objectiveEndsAt: receivedAt + 600, expiresAt: receivedAt + 480, expectedMilliseconds: 300, ...changes,
	};
}

test('at a crest, requests that can\'t be sent in time are refused at their arrival, and most of those that are held are sent in time', () => {
	// One departure in 50 ms against an arrival every 10 ms: a fifth of the requests fits.
	const admission = holdAdmission.createHoldAdmission(() => 0.02);
	const held = new Set<heldRequests.HeldRequest>();
	let refusedAtArrival = 0;
	let refusedLate = 0;
	let sentInTime = 0;
	let sentLate = 0;
	for (let now = 1000; now < 6000; now += 10) {
		const request = createRequest(2, now);
		if (admission.canHold(service, request, held, now)) {
			held.add(request);
		} else {
			refusedAtArrival++;
		}

		for (const hopeless of holdAdmission.listHopelessRequests(held, now)) {
			held.delete(hopeless);
			refusedLate++;
		}

		const [next] = held;
		if (now % 50 === 0 && next) {
			held.delete(next);
			admission.recordDeparture(service, next.priority, now);
			if (now + next.expectedMilliseconds <= next.objectiveEndsAt) {
				sentInTime++;
			} else {
				sentLate++;
			}
		}
	}

	expect(refusedAtArrival).toBeGreaterThan(380);
	expect(refusedLate).toBeLessThan(10);
	expect(sentInTime).toBeGreaterThan(95);
	expect(sentLate).toBe(0);
});

test('a request is held while no request is before it, even if its objective is over', () => {
	const admission = holdAdmission.createHoldAdmission(() => 0.001);
	expect(admission.canHold(service, createRequest(1, 0), [], 5000)).toBe(true);
	expect(admission.canHold(service, createRequest(1, 0), [createRequest(2, 0)], 5000)).toBe(true);
	expect(admission.canHold(service, createRequest(1, 0), [createRequest(0, 0)], 5000)).toBe(false);
});

test('requests of a lower priority don\'t delay the admission of those of a higher one', () => {
	fastCheck.assert(fastCheck.property(fastCheck.integer({min: 0, max: 200}), fastCheck.integer({min: 0, max: 300}), (count, now) => {
		const admission = holdAdmission.createHoldAdmission(() => 0.001);
		const held = Array.from({length: count}, () => createRequest(2, 0));
		expect(admission.canHold(service, createRequest(1, 0), held, now)).toBe(true);
	}), {seed: 20_266});
});

test('hopeless requests are given up only while another request can still meet its objective', () => {
	const late = createRequest(0, 0);
	const inTime = createRequest(2, 400);
	expect(holdAdmission.listHopelessRequests([late, inTime], 400)).toEqual([late]);
	expect(holdAdmission.listHopelessRequests([late], 400)).toEqual([]);
	expect(holdAdmission.listHopelessRequests([inTime], 400)).toEqual([]);
});

test('an urgent request is held where less urgent ones are sent often, although urgent ones were seldom held', () => {
	const admission = holdAdmission.createHoldAdmission(() => 0.02);
	const urgent = (receivedAt: number) => createRequest(0, receivedAt, {objectiveEndsAt: receivedAt + 400, expectedMilliseconds: 200});
	for (let now = 1000; now < 5000; now += 50) {
		admission.recordDeparture(service, now % 500 === 0 ? 0 : 2, now);
	}

	// Two before it leave within 100 ms at 20 departures a second, and it may start 200 ms late.
	expect(admission.canHold(service, urgent(5000), [urgent(4990), urgent(4995)], 5000)).toBe(true);
	// Less urgent requests get only what the urgent ones leave.
	for (let now = 5000; now < 9000; now += 50) {
		admission.recordDeparture(service, 0, now);
	}

	expect(admission.canHold(service, createRequest(2, 9000, {expectedMilliseconds: 400}), [urgent(8990), urgent(8995), urgent(8997)], 9000)).toBe(false);
});

