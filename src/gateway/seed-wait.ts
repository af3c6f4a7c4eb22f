/** Decides how long an entry that starts leaves the store to the entries that it knows from its settings. */
import * as timers from 'node:timers/promises';

export type SeedWaitHost = {
	/** Whether all entries start for the first time. */
	readonly isFirstStart: boolean;
	/** Peer address of this entry. */
	readonly peerAddress: string;
	readonly seeds: readonly string[];
	readonly startedAt: number;
};

export type SeedWait = {
	/** Records that the first question to a seed was answered, or failed. */
	recordAnswer(): void;
	/** Whether the seeds are to read the store first, so that not every entry reads all of it. */
	shouldLeaveStore(now: number): boolean;
	/** Whether the first answer of a seed may still arrive after a wait. An older copy of the store may list upstreams that the other entries know to be gone. */
	mayBeAnswered(waitedMilliseconds: number): boolean;
};

/** Time for which an entry waits for a seed when all entries start for the first time, in milliseconds; they start within about 0.3 s of each other. */
const leaveStoreMilliseconds = 2000;
/** Time for which an entry that starts waits for the first answer of a seed, in milliseconds; time for which it stands still doesn't count. */
const firstAnswerMilliseconds = 300;
/** Time between two checks, in milliseconds. */
const checkIntervalMilliseconds = 50;

/** Creates the wait of an entry that starts. */
export function createSeedWait({isFirstStart, peerAddress, seeds, startedAt}: SeedWaitHost): SeedWait {
	const isSeed = seeds.includes(peerAddress);
	let isQuestionOpen = seeds.some(address => address !== peerAddress);
	return {
		recordAnswer() {
			isQuestionOpen = false;
		},
		shouldLeaveStore: now => isFirstStart && !isSeed && now < startedAt + leaveStoreMilliseconds,
		mayBeAnswered: waitedMilliseconds => isQuestionOpen && waitedMilliseconds < firstAnswerMilliseconds,
	};
}

/** Waits until the entry knows another one, or need not wait for one any longer. */
export async function waitForSeeds(wait: SeedWait, isAlone: () => boolean, getNow: () => number): Promise<void> {
	for (let waitedMilliseconds = 0; isAlone() && (wait.shouldLeaveStore(getNow()) || wait.mayBeAnswered(waitedMilliseconds)); waitedMilliseconds += checkIntervalMilliseconds) {
		await timers.setTimeout(checkIntervalMilliseconds);
	}
}
