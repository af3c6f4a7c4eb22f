/** Remembers the largest number of entries that this entry knew lately: of entries that it has lost sight of, some may still run. */

/** Numbers of known entries. */
export type LargestEntryCount = {
	/** Records the present number, and returns the largest one of the last seconds. */
	observe(entries: number, now: number): number;
};

/** Time for which a number is remembered, in milliseconds. */
const memoryMilliseconds = 15_000;

/** Creates a memory without observations. */
export function createLargestEntryCount(): LargestEntryCount {
	/** Each number is larger than the ones after it. */
	let observations: ReadonlyArray<{readonly entries: number; readonly at: number}> = [];
	return {
		observe(entries, now) {
			observations = [...observations.filter(({entries: earlier, at}) => earlier > entries && now - at <= memoryMilliseconds), {entries, at: now}];
			return observations[0]!.entries;
		},
	};
}
