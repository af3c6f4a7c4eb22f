import * as vitest from 'vitest';
import * as responseProgress from './response-progress.ts';

const {expect, test} = vitest;

/** Observes a response every 250 ms; returns the time at which it is judged to have no end, if it is. */
function observe(getReceived: (now: number) => responseProgress.ReceivedParts, milliseconds: number): number | undefined {
	const progress = responseProgress.createResponseProgress(500);
	for (let now = 0; now <= milliseconds; now += 250) {
		if (progress.observe(getReceived(now), now)) {
			return now;
		}
	}

	return undefined;
}

test('bytes that complete no part for a second have no end', () => {
	expect(observe(now => ({bytes: 500 + now, interimResponses: 0, finalParts: 0}), 5000)).toBe(1250);
});

test('trailers without end have none either, counted from the last piece of the body', () => {
	expect(observe(now => ({bytes: 500 + now, interimResponses: 0, finalParts: Math.min(5, now / 250)}), 5000)).toBe(2500);
});

test('interim responses without end have none', () => {
	expect(observe(now => ({bytes: 500 + now, interimResponses: now / 100, finalParts: 0}), 5000)).toBe(1750);
});

test('an upstream that works for long, before or after an interim response, may answer', () => {
	expect(observe(() => ({bytes: 500, interimResponses: 0, finalParts: 0}), 20_000)).toBeUndefined();
	expect(observe(now => ({bytes: now < 1000 ? 500 : 560, interimResponses: now < 1000 ? 0 : 1, finalParts: 0}), 20_000)).toBeUndefined();
});

test('a body that arrives slowly, piece by piece, may end', () => {
	expect(observe(now => ({bytes: 500 + now, interimResponses: 0, finalParts: Math.floor(now / 900)}), 20_000)).toBeUndefined();
});
