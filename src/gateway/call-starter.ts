/** Starts the calls of an entry in the turns of its event loop, a few of each connection at a time, unless their callers leave first. */
import type * as net from 'node:net';
import * as requestsAhead from '../decisions/admission/requests-ahead.ts';
import * as startQueue from '../decisions/admission/start-queue.ts';
import type * as exchanges from '../entry/exchanges.ts';

/** Starts calls. */
export type CallStarter = {
	/** Starts the call of an exchange soon, or once others of its connection have ended, unless the exchange ends first. */
	schedule(exchange: exchanges.Exchange, times: requestsAhead.RequestAhead, start: () => void): void;
};

type ReceivedCall = {readonly exchange: exchanges.Exchange; readonly start: () => void};

/** Calls of one connection. */
type ConnectionCalls = {
	/** Number of calls that were let through and have not ended. */
	running: number;
	/** Functions that let the calls through that wait for others, in the order of their receipt. */
	readonly waiting: Set<() => void>;
};

/** Creates a starter; `getNow` returns the present time in milliseconds of a monotonic clock. */
export function createCallStarter(getNow: () => number): CallStarter {
	const queue = startQueue.createStartQueue<ReceivedCall>();
	const callsBySocket = new WeakMap<net.Socket, ConnectionCalls>();

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

	function enqueue(call: ReceivedCall): void {
		if (queue.isEmpty()) {
			setImmediate(runTurn);
		}

		queue.add(call);
	}

	function getCalls({socket}: exchanges.Exchange): ConnectionCalls {
		const known = callsBySocket.get(socket);
		const calls = known ?? {running: 0, waiting: new Set()};
		callsBySocket.set(socket, calls);
		return calls;
	}

	function letThrough(calls: ConnectionCalls, call: ReceivedCall): void {
		calls.running++;
		call.exchange.onEnd(() => {
			calls.running--;
			const [next] = calls.waiting;
			if (calls.running < requestsAhead.maximumRunning) {
				next?.();
			}
		});
		enqueue(call);
	}

	/** Lets a call through once another one of its connection has ended, or when it would be late otherwise. */
	function wait(calls: ConnectionCalls, call: ReceivedCall, times: requestsAhead.RequestAhead): void {
		const stopWaiting = () => {
			clearTimeout(timer);
			calls.waiting.delete(proceed);
		};

		const proceed = () => {
			stopWaiting();
			letThrough(calls, call);
		};

		const timer = setTimeout(proceed, requestsAhead.getLatestStart(times) - getNow());
		calls.waiting.add(proceed);
		call.exchange.onEnd(stopWaiting);
	}

	return {
		schedule(exchange, times, start) {
			const calls = getCalls(exchange);
			const call = {exchange, start};
			if (calls.running < requestsAhead.maximumRunning) {
				letThrough(calls, call);
			} else {
				wait(calls, call, times);
			}
		},
	};
}
