/** Tests of a coordinator that takes over, freezes, or gets another allowance. */
import * as vitest from 'vitest';
import * as randomness from '../random.ts';
import * as allowanceIssuer from './allowance-issuer.ts';

const {expect, test} = vitest;
const part = {requestsPerSecond: 10, burst: 20};
/** Requests beyond its part of the burst that a coordinator may have at once: four of them stay within the slack of 20. */
const toleratedRequests = 5;
const workspace = 'w';

const createIssuer = () => allowanceIssuer.createAllowanceIssuer(randomness.createRandomSource(1));
const ask = (issuer: allowanceIssuer.AllowanceIssuer, needed: number, now: number) => issuer.request({
	workspace, entry: 'edge-1', needed, ahead: 0,
}, now);

/** Asks every 100 ms for more than there is, and returns what was issued. */
function drain(issuer: allowanceIssuer.AllowanceIssuer, from: number, to: number): number {
	let issued = 0;
	for (let now = from; now < to; now += 100) {
		const response = ask(issuer, 1000, now);
		issued += response.kind === 'issued' ? response.count : 0;
	}

	return issued;
}

// Guards against a burst that is issued again by whoever takes over.
test('a coordinator that takes over begins without credit, and not before its predecessor\'s admissions have ended', () => {
	const issuer = createIssuer();
	issuer.setParts(new Map([[workspace, part]]), 0);
	expect(ask(issuer, 1, allowanceIssuer.admissionMilliseconds)).toMatchObject({kind: 'not-counted'});
	expect(drain(issuer, 0, 2000)).toBeLessThanOrEqual(2 * part.requestsPerSecond);
});

test('a coordinator that others take for one but that doesn\'t count the workspace issues nothing', () => {
	const issuer = createIssuer();
	expect(ask(issuer, 1, 0)).toMatchObject({kind: 'not-counted'});
	issuer.setParts(new Map([[workspace, part]]), 0);
	issuer.setParts(new Map(), 5000);
	expect(ask(issuer, 1, 5000)).toMatchObject({kind: 'not-counted'});
});

// Guards against credit that piles up while a process stands still.
test('a coordinator that wakes after a freeze has no more than its part of the burst', () => {
	const issuer = createIssuer();
	issuer.setParts(new Map([[workspace, part]]), 0);
	drain(issuer, 0, 5000);
	const response = ask(issuer, 1000, 600_000);
	expect(response).toMatchObject({kind: 'issued'});
	expect(response.kind === 'issued' ? response.count : 0).toBeLessThanOrEqual(part.burst + toleratedRequests);
});

test('a lower allowance cuts what is left of the burst, and a coordinator that sees less of the fleet issues less', () => {
	const issuer = createIssuer();
	issuer.setParts(new Map([[workspace, part]]), 0);
	issuer.setParts(new Map([[workspace, {requestsPerSecond: 1, burst: 2}]]), 60_000);
	expect(drain(issuer, 60_000, 65_000)).toBeLessThanOrEqual(2 + toleratedRequests + 5);
});

test('admissions are issued ahead only while there are plenty, and one that got too few is told when to ask again', () => {
	const issuer = createIssuer();
	issuer.setParts(new Map([[workspace, part]]), 0);
	const request = {
		workspace, entry: 'edge-1', needed: 1, ahead: 1000,
	};
	const response = issuer.request(request, 60_000);
	expect(response.kind === 'issued' ? response.count : 0).toBeLessThan(part.burst);
	expect(ask(issuer, 1000, 60_000)).toMatchObject({kind: 'issued'});
	const refused = ask(issuer, 1, 60_000);
	expect(refused).toMatchObject({kind: 'issued', count: 0});
	expect(refused.retryAfterMilliseconds).toBeGreaterThan(0);
});
