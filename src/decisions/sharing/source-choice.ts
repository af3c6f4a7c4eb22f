/**
Decides where an entry gets news of the platform from: from another entry, or from the platform itself.

All entries rank the members alike: those that can read the store before the others, then those that serve, those with
the widest link and those that run for longest. Each follows the first one that answers with fresh news; the first of
all has nobody to follow and reads the store for all. Whoever hears nothing fresh reads for itself, so no single reader
can hold news back for longer than `staleMilliseconds`.
*/

/** A member that could be followed. */
export type Candidate = {
	readonly name: string;
	/** Start of the member's process, in milliseconds since the epoch. */
	readonly startedAt: number;
	/** Whether its latest read of the store was answered. */
	readonly canRead: boolean;
	/** Whether it serves; one that starts may not know anything yet, and one that leaves is gone soon. */
	readonly isReady: boolean;
	/** Bandwidth of its link, in megabits a second. */
	readonly linkMegabits: number;
};

/** News older than this are fetched from the platform by the entry itself. */
export const staleMilliseconds = 1200;
/** A source that failed or had no fresh news is passed over for this long. */
export const avoidanceMilliseconds = 3000;

export type SourceChoice = {
	/** Gets the member to follow; undefined where this entry is the first that is left, and reads by itself. */
	choose(members: readonly Candidate[], now: number): string | undefined;
	/** The member did not answer, or its news were old. */
	avoid(name: string, now: number): void;
};

/** Creates the choice of the member with the given name. */
export function createSourceChoice(self: Pick<Candidate, 'name'>): SourceChoice {
	const avoidedUntil = new Map<string, number>();
	const isAvoided = (name: string, now: number) => (avoidedUntil.get(name) ?? Number.NEGATIVE_INFINITY) > now;
	return {
		choose(members, now) {
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

/** Orders members; names decide between those that started together. */
export function compareCandidates(left: Candidate, right: Candidate): number {
	return Number(right.canRead) - Number(left.canRead)
		|| Number(right.isReady) - Number(left.isReady)
		|| right.linkMegabits - left.linkMegabits
		|| left.startedAt - right.startedAt || (left.name < right.name ? -1 : Number(left.name > right.name));
}
