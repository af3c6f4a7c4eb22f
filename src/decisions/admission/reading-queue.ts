/**
Decides from which connections an entry reads next while some of them are costly to read.

Load pattern: a crowd of callers sends bodies in chunks of one byte. Whatever is read from one of them costs tens of
milliseconds, and an ordinary request that arrives behind the crowd waits for all of them.

Connections are read a few at a time, and reading takes at most a share of the time, so that new connections are accepted
and other work goes on meanwhile. Of each few, one is the newest, as an ordinary caller that has just come isn't behind the
crowd then, and one has waited longest.
*/

/** Connections that wait until they are read. */
export type ReadingQueue<Connection> = {
	add(connection: Connection): void;
	has(connection: Connection): boolean;
	remove(connection: Connection): void;
	/** Takes the connections to read in the next turn. */
	takeTurn(): readonly Connection[];
	size(): number;
};

/** Share of the time that reading in turns may take. */
const readingShare = 0.5;

/** Creates an empty queue. */
export function createReadingQueue<Connection>(): ReadingQueue<Connection> {
	const waiting = new Set<Connection>();
	return {
		add(connection) {
			waiting.add(connection);
		},
		has: connection => waiting.has(connection),
		remove(connection) {
			waiting.delete(connection);
		},
		takeTurn() {
			const all = [...waiting];
			const taken = new Set([...all.slice(-1), ...all.slice(0, 1)]);
			for (const connection of taken) {
				waiting.delete(connection);
			}

			return [...taken];
		},
		size: () => waiting.size,
	};
}

/** Computes the time until the next turn of reading, from the time that the last one took, in milliseconds. */
export function getPauseAfterTurn(turnMilliseconds: number): number {
	return turnMilliseconds * (1 - readingShare) / readingShare;
}
