/** Starts the calls of an entry in the turns of its event loop, unless their callers leave first. */
import * as startQueue from '../decisions/admission/start-queue.ts';
import type * as exchanges from '../entry/exchanges.ts';

/** Starts calls. */
export type CallStarter = {
	/** Starts the call of an exchange soon, unless the exchange ends first. */
	schedule(exchange: exchanges.Exchange, start: () => void): void;
};

type ReceivedCall = {readonly exchange: exchanges.Exchange; readonly start: () => void};

/** Creates a starter; `getNow` returns the present time in milliseconds of a monotonic clock. */
export function createCallStarter(getNow: () => number): CallStarter {
	const queue = startQueue.createStartQueue<ReceivedCall>();

	// Runs after the event loop has read from its sockets.
	function runTurn(): void {
		queue.beginTurn(getNow());
		for (let call = queue.takeNext(getNow()); call; call = queue.takeNext(getNow())) {
			if (!call.exchange.hasEnded()) {
				call.start();
			}
		}

		if (!queue.isEmpty()) {
			setImmediate(runTurn);
		}
	}

	return {
		schedule(exchange, start) {
			if (queue.isEmpty()) {
				setImmediate(runTurn);
			}

			queue.add({exchange, start});
		},
	};
}
