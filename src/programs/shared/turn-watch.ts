/** Observes the turns of the event loop, so that a signal that is handled late isn't taken for one that has just arrived. */

/** Observer of the turns. */
export type TurnWatch = {
	/** Latest time at which no signal was waiting to be handled, on the clock of the watch; for use by the handler of a signal. */
	getLastTurn(): number;
};

/** Interval at which a turn is observed, in milliseconds. */
const intervalMilliseconds = 100;

/** Starts to observe. */
export function watchTurns(getNow: () => number): TurnWatch {
	let lastTurn = getNow();
	const timer = setInterval(() => {
		const now = getNow();
		// A signal that was waiting by then is handled before this.
		setImmediate(() => {
			lastTurn = now;
		});
	}, intervalMilliseconds);
	timer.unref();
	return {getLastTurn: () => lastTurn};
}
