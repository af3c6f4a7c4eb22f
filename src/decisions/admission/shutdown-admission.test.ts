import * as vitest from 'vitest';
import * as random from '../random.ts';
import * as shutdownAdmission from './shutdown-admission.ts';

const {expect, test} = vitest;
const graceMilliseconds = 6000;
const noticeMilliseconds = 3200;
const timeoutMilliseconds = 2000;

const getPhase = (now: number): shutdownAdmission.ShutdownPhase => ({kind: now < noticeMilliseconds ? 'notice' : 'draining', stopsAt: graceMilliseconds});

test('of the requests that arrive until the end of a grace period, none that is taken on after the notice is cut off', () => {
	const source = random.createRandomSource(1);
	let accepted = 0;
	let cutInNotice = 0;
	for (let now = 0; now < graceMilliseconds; now += 2) {
		const deadlineAt = now + timeoutMilliseconds;
		if (shutdownAdmission.shouldAcceptRequest(getPhase(now), {deadlineAt, expectedMilliseconds: 180}, now)) {
			accepted++;
			const workMilliseconds = 180 * (source.nextFraction() < 0.03 ? 7 : 0.5 + source.nextFraction());
			const endsAt = Math.min(deadlineAt, now + workMilliseconds);
			const isCut = endsAt > graceMilliseconds;
			cutInNotice += isCut && now < noticeMilliseconds ? 1 : 0;
			expect(isCut && now >= noticeMilliseconds).toBe(false);
		}
	}

	expect(accepted).toBeGreaterThan(0);
	expect(cutInNotice).toBe(0);
});

test('long requests are taken on during the notice while their usual work fits, and always while no stop is planned', () => {
	const request = {deadlineAt: 60_000, expectedMilliseconds: 500};
	expect(shutdownAdmission.shouldAcceptRequest({kind: 'running'}, request, 0)).toBe(true);
	expect(shutdownAdmission.shouldAcceptRequest(getPhase(1000), request, 1000)).toBe(true);
	expect(shutdownAdmission.shouldAcceptRequest(getPhase(1000), {...request, expectedMilliseconds: 1500}, 1000)).toBe(false);
	expect(shutdownAdmission.shouldAcceptRequest(getPhase(3300), request, 3300)).toBe(false);
});
