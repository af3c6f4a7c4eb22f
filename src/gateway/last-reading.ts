/**
Lets the event loop read what has arrived before a stop resets connections.

Load pattern: a process that stood still, or got no processor time, finds the end of its stop due before it reads its
sockets. Whole answers of upstreams lie there unread, and their callers would be reset.
*/
import * as timers from 'node:timers/promises';

/** What shows that answers are on their way. */
export type LastReadingHost = {
	/** Counts the exchanges that have not ended. */
	countOpen(): number;
	/** Counts those of them whose response is written, but not yet taken by the system. */
	countWritten(): number;
	/** Counts the bytes that were received of the responses that are not complete. */
	countReceivedBytes(): number;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

/** Pause between two looks, in milliseconds; the event loop reads all sockets in it. */
const turnMilliseconds = 1;
/** Number of turns without movement after which nothing more is on its way. */
const quietTurns = 10;
/** Minimum number of turns, whatever the time is: an answer is read in the first one, and written in the second one. */
const minimumTurns = 4;

/** Resolves when nothing that has arrived is left to be delivered, or at a time. */
export async function readArrived(host: LastReadingHost, endsAt: number): Promise<void> {
	let last = look(host);
	for (let turns = 0, quiet = 0; last.open > 0 && quiet < quietTurns && (turns < minimumTurns || host.getNow() < endsAt); turns++) {
		await timers.setTimeout(turnMilliseconds);
		await timers.setImmediate();
		const next = look(host);
		quiet = next.written > 0 || next.open !== last.open || next.receivedBytes !== last.receivedBytes ? 0 : quiet + 1;
		last = next;
	}
}

const look = (host: LastReadingHost) => ({open: host.countOpen(), written: host.countWritten(), receivedBytes: host.countReceivedBytes()});
