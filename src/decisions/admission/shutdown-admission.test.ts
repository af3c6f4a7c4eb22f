import * as vitest from 'vitest';
import type * as configuration from '../configuration/types.ts';
import * as random from '../random.ts';
import * as shutdownAdmission from './shutdown-admission.ts';
import * as stopTimes from './stop-times.ts';
import * as workBounds from './work-bounds.ts';

const {expect, test} = vitest;
const graceMilliseconds = 6000;
const noticeMilliseconds = 3200;
const route = 'confirm';
const service = 'desk';

/** Work of the requests of a route: a mean, of which a share takes a multiple. */
type Work = {readonly mean: number; readonly tailShare: number; readonly tailMultiple: number};

/** An entry that is told to stop some time after its start, while requests arrive. */
type Replay = {
	readonly seed: number;
	readonly kind: configuration.RequestKind;
	readonly work: Work;
	readonly timeoutMilliseconds: number;
	readonly requestsPerSecond: number;
	/** Age of the process when it is told to stop, in milliseconds. */
	readonly ageMilliseconds: number;
	/** Factor by which work lasts longer once the stop has begun, because other entries stop as well. */
	readonly slowdown: number;
};

type Outcome = {accepted: number; refused: number; cut: number; cutAfterNotice: number};

/** Replays the requests that arrive during the stop. */
function replay({seed, kind, work, timeoutMilliseconds, requestsPerSecond, ageMilliseconds, slowdown}: Replay): Outcome {
	const source = random.createRandomSource(seed);
	const bounds = workBounds.createWorkBounds();
	const {beganAt, noticeEndsAt, resetsAt} = stopTimes.getStopTimes(ageMilliseconds, graceMilliseconds, noticeMilliseconds);
	const getPhase = (now: number): shutdownAdmission.ShutdownPhase => {
		if (now < beganAt) {
			return {kind: 'running'};
		}

		return {kind: now < noticeEndsAt ? 'notice' : 'draining', stopsAt: resetsAt};
	};

	const outcome: Outcome = {
		accepted: 0, refused: 0, cut: 0, cutAfterNotice: 0,
	};
	let running: Array<{readonly endsAt: number; readonly deadlineAt: number; readonly started: workBounds.StartedWork}> = [];
	for (let now = 0; now < beganAt + graceMilliseconds; now += -Math.log(1 - source.nextFraction()) * 1000 / requestsPerSecond) {
		for (const {endsAt, deadlineAt, started} of running.filter(({endsAt}) => endsAt <= now).toSorted((first, second) => first.endsAt - second.endsAt)) {
			started.recordEnd(endsAt < deadlineAt ? 'finished' : 'unfinished', endsAt);
		}

		running = running.filter(({endsAt}) => endsAt > now);
		const deadlineAt = now + timeoutMilliseconds;
		const isAccepted = shutdownAdmission.shouldAcceptRequest(getPhase(now), {kind, deadlineAt, getSeen: () => bounds.getSeen(route, service, now)}, now);
		const multiple = source.nextFraction() < work.tailShare ? work.tailMultiple : 0.5 + source.nextFraction();
		const endsAt = Math.min(deadlineAt, now + (work.mean * multiple * (now < beganAt ? 1 : slowdown)));
		if (isAccepted) {
			running.push({endsAt, deadlineAt, started: bounds.start(route, service, now)});
		}

		if (now >= beganAt) {
			outcome.accepted += isAccepted ? 1 : 0;
			outcome.refused += isAccepted ? 0 : 1;
			outcome.cut += isAccepted && endsAt > resetsAt ? 1 : 0;
			outcome.cutAfterNotice += isAccepted && endsAt > resetsAt && now >= noticeEndsAt ? 1 : 0;
		}
	}

	return outcome;
}

function replayRandomly(kind: configuration.RequestKind, seeds: number): Outcome {
	const total: Outcome = {
		accepted: 0, refused: 0, cut: 0, cutAfterNotice: 0,
	};
	for (let seed = 1; seed <= seeds; seed++) {
		const source = random.createRandomSource(seed + 10_000);
		const drawn = replay({
			seed,
			kind,
			work: {mean: 20 + (980 * source.nextFraction()), tailShare: 0.05 * source.nextFraction(), tailMultiple: 2 + (8 * source.nextFraction())},
			timeoutMilliseconds: 2000 + (18_000 * source.nextFraction()),
			requestsPerSecond: 1 + (60 * source.nextFraction()),
			ageMilliseconds: 300_000 * (source.nextFraction() ** 3),
			slowdown: 1 + source.nextFraction(),
		});
		total.accepted += drawn.accepted;
		total.refused += drawn.refused;
		total.cut += drawn.cut;
		total.cutAfterNotice += drawn.cutAfterNotice;
	}

	return total;
}

// Guards against requests that are taken on during a stop, run, and are cut at its end without an answer.
test('of the requests that are not idempotent and arrive during a stop, at most one in a thousand that are taken on is cut, over random work, rates and ages of the process', () => {
	const {accepted, refused, cut, cutAfterNotice} = replayRandomly('non-idempotent', 300);
	expect(accepted).toBeGreaterThan(1000);
	expect(refused).toBeGreaterThan(1000);
	expect(cutAfterNotice).toBe(0);
	expect(cut).toBeLessThanOrEqual(accepted / 1000);
});

test('of the idempotent requests that arrive during a stop, at most one in a hundred that are taken on is cut', () => {
	const {accepted, refused, cut, cutAfterNotice} = replayRandomly('idempotent', 300);
	expect(accepted).toBeGreaterThan(1000);
	expect(refused).toBeGreaterThan(1000);
	expect(cutAfterNotice).toBe(0);
	expect(cut).toBeLessThanOrEqual(accepted / 100);
});

// Guards against a bound that is learned from the requests that have ended while long ones still run.
test('a process that started seconds before takes on nothing that could outlast its stop', () => {
	for (let seed = 1; seed <= 50; seed++) {
		expect(replay({
			seed, kind: 'non-idempotent', work: {mean: 850, tailShare: 0.03, tailMultiple: 7}, timeoutMilliseconds: 10_000, requestsPerSecond: 60, ageMilliseconds: 100 * seed, slowdown: 1,
		})).toMatchObject({accepted: 0, cut: 0});
	}
});

test('short work is taken on during the whole notice although its timeout is long', () => {
	const {accepted, refused, cut} = replay({
		seed: 1, kind: 'non-idempotent', work: {mean: 20, tailShare: 0.03, tailMultiple: 7}, timeoutMilliseconds: 60_000, requestsPerSecond: 50, ageMilliseconds: 120_000, slowdown: 2,
	});
	expect(accepted / (accepted + refused)).toBeCloseTo(noticeMilliseconds / graceMilliseconds, 1);
	expect(cut).toBe(0);
});

test('requests that end by their deadline are taken on until the end of the stop', () => {
	const getSeen = () => ({finished: 0, unfinished: 0, longestMilliseconds: 0});
	for (const kind of ['idempotent', 'non-idempotent'] as const) {
		const request = {kind, deadlineAt: 5000, getSeen};
		expect(shutdownAdmission.shouldAcceptRequest({kind: 'running'}, {...request, deadlineAt: 60_000}, 0)).toBe(true);
		expect(shutdownAdmission.shouldAcceptRequest({kind: 'notice', stopsAt: 5750}, request, 0)).toBe(true);
		expect(shutdownAdmission.shouldAcceptRequest({kind: 'draining', stopsAt: 5750}, request, 4000)).toBe(true);
		expect(shutdownAdmission.shouldAcceptRequest({kind: 'draining', stopsAt: 5050}, request, 4000)).toBe(false);
		expect(shutdownAdmission.shouldAcceptRequest({kind: 'notice', stopsAt: 5750}, {...request, deadlineAt: 60_000}, 0)).toBe(false);
	}
});
