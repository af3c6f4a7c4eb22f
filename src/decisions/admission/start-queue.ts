/**
Decides when the calls that an entry has received start.

Load pattern: an entry was busy, or got no processor time, while callers sent requests and left again. It reads the
requests first, and only in its next turn what arrived behind them on their connections. A call that starts at once goes
to an upstream for nobody. A burst of calls that all start in one turn also keeps the entry from reading.

A call therefore starts in the turn after the one in which it was received, once the entry has read everything that had
arrived before. Calls start in the order of their receipt, for a bounded time in each turn.
*/

/** Calls that are received, but not started. */
export type StartQueue<Call> = {
	add(call: Call): void;
	/** Begins a turn, after the entry has read what had arrived. */
	beginTurn(now: number): void;
	/** Takes the next call to start in this turn; undefined if there is none. */
	takeNext(now: number): Call | undefined;
	isEmpty(): boolean;
};

/** Time of a turn in which calls start, in milliseconds; at least one starts in each. */
const turnMilliseconds = 10;

/** Creates an empty queue. */
export function createStartQueue<Call>(): StartQueue<Call> {
	const waiting: Array<{readonly call: Call; readonly receivedIn: number}> = [];
	let turn = 0;
	let turnEndsAt = Number.NEGATIVE_INFINITY;
	let startedInTurn = 0;

	return {
		add(call) {
			waiting.push({call, receivedIn: turn});
		},
		beginTurn(now) {
			turn++;
			turnEndsAt = now + turnMilliseconds;
			startedInTurn = 0;
		},
		takeNext(now) {
			const first = waiting[0];
			const isReady = first !== undefined && first.receivedIn <= turn - 2 && (startedInTurn === 0 || now < turnEndsAt);
			if (!isReady) {
				return undefined;
			}

			startedInTurn++;
			waiting.shift();
			return first.call;
		},
		isEmpty: () => waiting.length === 0,
	};
}
