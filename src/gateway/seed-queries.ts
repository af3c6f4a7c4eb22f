/** Queries the entries that an entry knows from its settings, while it follows none. */
import * as timers from 'node:timers/promises';
import type * as randomness from '../decisions/random.ts';
import * as seedSchedule from '../decisions/sharing/seed-schedule.ts';

export type SeedQueriesHost = {
	readonly random: randomness.RandomSource;
	/** Lists the peer addresses of a few other entries, which may be outdated. */
	getSeeds(): readonly string[];
	getKnownEntries(): seedSchedule.KnownEntries;
	/** Asks an entry for its state and applies the answer; resolves also if there is none. */
	query(address: string): Promise<void>;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

const checkIntervalMilliseconds = 50;
const firstIndexBound = 1000;

/** Queries the seeds in turn, from a random one on, until the signal is aborted. */
export async function querySeeds(host: SeedQueriesHost, signal: AbortSignal): Promise<void> {
	const schedule = seedSchedule.createSeedSchedule(host.random);
	let index = host.random.nextInteger(firstIndexBound);
	while (!signal.aborted) {
		if (schedule.isDue(host.getKnownEntries(), host.getNow())) {
			const seeds = host.getSeeds();
			const address = seeds[index++ % Math.max(1, seeds.length)];
			if (address !== undefined) {
				await host.query(address);
			}

			schedule.recordQuestion(host.getNow());
		}

		await timers.setTimeout(checkIntervalMilliseconds);
	}
}
