/** Decides when an entry asks one of the entries that it knows from its settings. */
import type * as randomness from '../random.ts';

/** What an entry knows of the others: it follows one, or it follows none and knows no other, none that is ready, or some that are. */
export type KnownEntries = 'followed' | 'none' | 'unready' | 'ready';

export type SeedSchedule = {
	isDue(known: KnownEntries, now: number): boolean;
	recordQuestion(now: number): void;
};

/** Maximum time between two questions, in milliseconds; below the time after which an entry that was not heard is forgotten. */
const maximumIntervalMilliseconds = 2000;
/** First time between two questions while no ready entry is known, in milliseconds; it doubles with each, since many entries may start at once. */
const firstIntervalMilliseconds = 100;

/** Creates the schedule of an entry that has just started. */
export function createSeedSchedule(random: randomness.RandomSource): SeedSchedule {
	let previous: KnownEntries = 'none';
	let interval = firstIntervalMilliseconds;
	let jitter = 1;
	let askedAt = Number.NEGATIVE_INFINITY;

	function getPause(known: Exclude<KnownEntries, 'followed'>): number {
		switch (known) {
			case 'none': {
				return interval * jitter;
			}

			case 'unready': {
				return Math.min(maximumIntervalMilliseconds, interval * jitter);
			}

			case 'ready': {
				return maximumIntervalMilliseconds;
			}
		}
	}

	return {
		isDue(known, now) {
			if (known !== previous) {
				previous = known;
				interval = firstIntervalMilliseconds;
			}

			return known !== 'followed' && now >= askedAt + getPause(known);
		},
		recordQuestion(now) {
			interval = askedAt === Number.NEGATIVE_INFINITY ? interval : Math.min(maximumIntervalMilliseconds, interval * 2);
			jitter = 1 + random.nextFraction();
			askedAt = now;
		},
	};
}
