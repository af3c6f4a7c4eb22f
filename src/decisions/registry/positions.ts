/**
Positions in a log of the store, which may return from an older copy.

After such a return, offsets that were given out are given out again, and the store states the next era. Positions are
ordered by their era first. A return that the store doesn't state counts as a rise by a fraction of an era, so that the
next stated era is later in any case.
*/

/** Place in a log: `offset` is that of the next record; -1 before the first read. */
export type Position = {readonly era: number; readonly offset: number};

/** Part of a log, from the offset of the first record to the one after the last. */
export type PositionRange = {readonly era: number; readonly from: number; readonly to: number};

/** Position before the first read. */
export const initialPosition: Position = {era: 0, offset: -1};

const unstatedRise = 1 / 1024;

/** Gets the era after a return that the store didn't state. */
export const getNextUnstatedEra = (era: number): number => era + unstatedRise;

/** Whether the first position is later than the second. */
export function isLater(first: Position, second: Position): boolean {
	return first.era === second.era ? first.offset > second.offset : first.era > second.era;
}
