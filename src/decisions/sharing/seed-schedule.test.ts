import * as vitest from 'vitest';
import * as random from '../random.ts';
import * as seedSchedule from './seed-schedule.ts';

const {expect, test} = vitest;
const createSchedule = (seed = 1) => seedSchedule.createSeedSchedule(random.createRandomSource(seed));

/** Lists the times of the questions until an end, if what is known of the others is looked at every 50 ms. */
function listQuestions(schedule: seedSchedule.SeedSchedule, known: seedSchedule.KnownEntries, from: number, to: number): readonly number[] {
	const times: number[] = [];
	for (let now = from; now < to; now += 50) {
		if (schedule.isDue(known, now)) {
			schedule.recordQuestion(now);
			times.push(now);
		}
	}

	return times;
}

test('an entry asks at once, ever less often while it knows none that is ready, and every two seconds once it does', () => {
	const schedule = createSchedule();
	const early = listQuestions(schedule, 'none', 0, 10_000);
	expect(early[0]).toBe(0);
	expect(early.length).toBeGreaterThanOrEqual(6);
	expect(early.length).toBeLessThanOrEqual(9);
	expect(listQuestions(schedule, 'ready', 10_000, 20_000).length).toBeLessThanOrEqual(6);
});

// Guards against an entry that reads the store alone for two seconds since it heard of the one that it asked first that it isn't ready yet.
test('an entry that hears of an unready one, or loses the one that it follows, asks again soon', () => {
	const schedule = createSchedule();
	listQuestions(schedule, 'none', 0, 20_000);
	expect(listQuestions(schedule, 'unready', 20_000, 21_500).length).toBeGreaterThanOrEqual(3);
	expect(listQuestions(schedule, 'followed', 21_500, 30_000)).toEqual([]);
	expect(listQuestions(schedule, 'unready', 30_000, 30_050)).toEqual([30_000]);
});

test.each(['none', 'unready'] as const)('312 entries that start at once and know %s of the others ask their three seeds at a bounded rate', known => {
	const counts = Array.from({length: 30}, () => 0);
	for (let entry = 0; entry < 312; entry++) {
		const schedule = createSchedule(entry);
		const startedAt = entry % 300;
		for (const time of listQuestions(schedule, known, startedAt, 30_000)) {
			counts[Math.floor(time / 1000)]!++;
		}
	}

	// At most four questions of each entry in its first second, and one in two seconds after ten.
	expect(Math.max(...counts)).toBeLessThanOrEqual(4 * 312);
	expect(Math.max(...counts.slice(10))).toBeLessThanOrEqual(312);
	expect(counts.slice(10).reduce((sum, count) => sum + count, 0)).toBeLessThanOrEqual(20 * 312 / 2 * 1.1);
});
