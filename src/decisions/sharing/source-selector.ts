/**
Selects the source from which an entry gets platform data: another entry or the store of the platform itself.

All entries rank the members by the same order: members that can read the store first, then ready members, then those
with the highest link bandwidth, then those that have run longest. Each entry follows the first member that answers with
fresh data; the first member follows no other and reads the store for all. An entry that receives no fresh data reads the
store itself, so no single reader can delay data for longer than `staleMilliseconds`.
*/

/** A member that other entries may follow. */
export type Candidate = {
	readonly name: string;
	/** Start of the member's process, in milliseconds since the epoch. */
	readonly startedAt: number;
	/** Whether the member's latest read of the store was answered. */
	readonly canRead: boolean;
	/** Whether the member serves callers. A starting member may have no data yet, and a leaving one stops soon. */
	readonly isReady: boolean;
	/** Bandwidth of the member's network link, in megabits per second. */
	readonly linkMegabits: number;
};

/** Age above which data from the source is stale, so that the entry reads the platform itself. */
export const staleMilliseconds = 1200;
/** Time for which a source is avoided after it failed or returned stale data. */
export const avoidanceMilliseconds = 3000;

/** Pause after a source that failed or returned stale data, and its maximum, in milliseconds. */
const firstPauseMilliseconds = 50;
const maximumPauseMilliseconds = 800;

/**
Computes the pause before the next source is asked, from the number of sources in a row that failed or returned stale data.

While the store answers nobody, all sources are stale, and each one that is asked sends its whole state.
*/
export function getPauseAfterFailures(failures: number): number {
	return Math.min(maximumPauseMilliseconds, firstPauseMilliseconds * (2 ** (failures - 1)));
}

/** Selects the member that an entry follows. */
export type SourceSelector = {
	/** Gets the name of the member to follow; undefined if this entry ranks first among the members that aren't avoided, or if all are avoided: it then reads the store itself. */
	selectSource(members: readonly Candidate[], now: number): string | undefined;
	/** Excludes a member for `avoidanceMilliseconds`, because it did not answer or its data was stale. */
	avoid(name: string, now: number): void;
};

/** Creates the source selector of the member with the given name. */
export function createSourceSelector(self: Pick<Candidate, 'name'>): SourceSelector {
	const avoidedUntil = new Map<string, number>();
	const isAvoided = (name: string, now: number) => (avoidedUntil.get(name) ?? Number.NEGATIVE_INFINITY) > now;
	return {
		selectSource(members, now) {
			const first = members
				.filter(({name}) => !isAvoided(name, now))
				.toSorted(compareCandidates)[0];
			return first === undefined || first.name === self.name ? undefined : first.name;
		},
		avoid(name, now) {
			avoidedUntil.set(name, now + avoidanceMilliseconds);
		},
	};
}

/** Compares members by rank; the name breaks ties between members that started at the same time. */
export function compareCandidates(left: Candidate, right: Candidate): number {
	return Number(right.canRead) - Number(left.canRead)
		|| Number(right.isReady) - Number(left.isReady)
		|| right.linkMegabits - left.linkMegabits
		|| left.startedAt - right.startedAt || (left.name < right.name ? -1 : Number(left.name > right.name));
}
