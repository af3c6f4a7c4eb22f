/** Observes how late the event loop runs its timers, which tells that the entry was busy, stood still or got no processor time. */
import type * as logger from '../observability/logger.ts';

/** Dependencies of the watch. */
export type LatenessWatchHost = {
	readonly logger: logger.Logger;
	/** Counts the exchanges that have not ended. */
	countOpen(): number;
};

/** Records the lateness of timers. */
export type LatenessWatch = {
	/** Records by how many milliseconds a timer was late. */
	record(milliseconds: number): void;
	/** Returns the largest lateness since the last `takeLargest`, in milliseconds. */
	getLargest(): number;
	/** Returns the largest lateness since the last call, in milliseconds. */
	takeLargest(): number;
};

/** Lateness from which on it is logged, in milliseconds; half of the time in which upstreams must hear that a caller has left. */
const loggedMilliseconds = 250;

/** Creates a watch. */
export function createLatenessWatch(host: LatenessWatchHost): LatenessWatch {
	let largest = 0;
	return {
		record(milliseconds) {
			largest = Math.max(largest, milliseconds);
			if (milliseconds >= loggedMilliseconds) {
				host.logger.warn('event-loop-late', {milliseconds: Math.round(milliseconds), openRequests: host.countOpen()});
			}
		},
		getLargest: () => largest,
		takeLargest() {
			const taken = largest;
			largest = 0;
			return taken;
		},
	};
}
