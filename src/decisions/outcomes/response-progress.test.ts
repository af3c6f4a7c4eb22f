import * as vitest from 'vitest';
import * as responseProgress from './response-progress.ts';

const {expect, test} = vitest;

type Received = Pick<responseProgress.ReceivedParts, 'bytes' | 'interimResponses' | 'finalParts'> & Partial<responseProgress.ReceivedParts>;

/** Observes a response at an interval; returns the time at which it is judged to have no end, if it is. */
function observe(getReceived: (now: number) => Received, milliseconds: number, {expectedMilliseconds = 1000, deadlineAt = 60_000, interval = 250} = {}): number | undefined {
	const progress = responseProgress.createResponseProgress({
		bytes: 500, expectedMilliseconds, startedAt: 0, deadlineAt,
	});
	for (let now = 0; now <= milliseconds; now += interval) {
		if (progress.observe({bodyBytes: 0, bodyLength: undefined, ...getReceived(now)}, now)) {
			return now;
		}
	}

	return undefined;
}

test('bytes that complete no part for a second have no end', () => {
	expect(observe(now => ({bytes: 500 + now, interimResponses: 0, finalParts: 0}), 5000)).toBe(1250);
});

test('trailers without end have none either, counted from the last piece of the body', () => {
	expect(observe(now => ({
		bytes: 500 + now, interimResponses: 0, finalParts: Math.min(5, now / 250), bodyBytes: 10_000,
	}), 5000)).toBe(2500);
});

test('interim responses without end have none', () => {
	expect(observe(now => ({bytes: 500 + now, interimResponses: now / 100, finalParts: 0}), 5000)).toBe(1250);
	expect(observe(now => ({bytes: 500 + now, interimResponses: Math.floor(now / 1000), finalParts: 0}), 60_000, {interval: 50, expectedMilliseconds: 20_000})).toBe(17_000);
});

test('an upstream that works for long, before or after an interim response, may answer', () => {
	expect(observe(() => ({bytes: 500, interimResponses: 0, finalParts: 0}), 20_000)).toBeUndefined();
	expect(observe(now => ({bytes: now < 1000 ? 500 : 560, interimResponses: now < 1000 ? 0 : 1, finalParts: 0}), 20_000)).toBeUndefined();
});

test('a body that arrives slowly, piece by piece, may end', () => {
	expect(observe(now => ({
		bytes: 500 + now, interimResponses: 0, finalParts: Math.floor(now / 900), bodyBytes: Math.floor(now / 900), bodyLength: 30,
	}), 20_000)).toBeUndefined();
});

const quick = {expectedMilliseconds: 100, deadlineAt: 1500, interval: 50};

test('bytes that complete no part are given up the sooner the sooner the upstream promised its response', () => {
	const head = (now: number) => ({bytes: 500 + now, interimResponses: 0, finalParts: 0});
	expect(observe(head, 5000, quick)).toBe(200);
	expect(observe(head, 5000, {...quick, expectedMilliseconds: 400})).toBe(450);
	expect(observe(head, 5000, {...quick, expectedMilliseconds: 4000})).toBe(1050);
});

test('a head that arrives in two pieces, however late the second one is, may be complete', () => {
	expect(observe(now => ({bytes: now < 600 ? 510 : 520, interimResponses: 0, finalParts: now < 600 ? 0 : 1}), 5000, quick)).toBeUndefined();
});

test('a few bytes of a head now and then, of which no part becomes complete, have no end', () => {
	expect(observe(now => ({bytes: 501 + Math.floor(now / 400), interimResponses: 0, finalParts: 0}), 5000, quick)).toBe(400);
});

/** A body of which a byte arrives every 40 ms. */
const createBody = (now: number, bodyLength: number | undefined, bytesAtOnce: number) => {
	const pieces = Math.floor(now / 40);
	return {
		bytes: 600 + (pieces * bytesAtOnce), interimResponses: 0, finalParts: 1 + pieces, bodyBytes: pieces * bytesAtOnce, bodyLength,
	};
};

test('a body that is not complete before the deadline at its pace is given up, and one that is isn\'t', () => {
	expect(observe(now => createBody(now, 100_000, 1), 5000, quick)).toBe(300);
	expect(observe(now => createBody(now, 30, 1), 1200, quick)).toBeUndefined();
	expect(observe(now => createBody(now, 100_000, 4000), 1000, quick)).toBeUndefined();
});

test('a body of unknown length is given up below the minimum pace, after twice the promised time', () => {
	expect(observe(now => createBody(now, undefined, 1), 5000, quick)).toBe(300);
	expect(observe(now => createBody(now, undefined, 1), 5000, {...quick, expectedMilliseconds: 400})).toBe(800);
	expect(observe(now => createBody(now, undefined, 200), 5000, quick)).toBeUndefined();
});
