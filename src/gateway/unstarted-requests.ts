/** Tracks the requests that no upstream has received, so that a stop can refuse them truthfully. */
import type * as exchanges from '../entry/exchanges.ts';

/** A request that waits for an admission, for its body, or for others of its connection. */
export type UnstartedRequest<Context> = {
	readonly exchange: exchanges.Exchange;
	readonly context: Context;
	/** Withdraws the request from the queue for admissions. */
	withdraw(): void;
};

/** Requests that have not been started. */
export type UnstartedRequests<Context> = {
	add(request: UnstartedRequest<Context>): void;
	/** Removes a request because it is started or refused; returns whether it was waiting. */
	remove(exchange: exchanges.Exchange): boolean;
	/** Removes and returns the requests of which a condition holds. */
	takeWhere(condition: (context: Context) => boolean): ReadonlyArray<UnstartedRequest<Context>>;
};

/** Creates the tracker without requests. */
export function createUnstartedRequests<Context>(): UnstartedRequests<Context> {
	const requests = new Map<exchanges.Exchange, UnstartedRequest<Context>>();

	return {
		add(request) {
			const {exchange} = request;
			requests.set(exchange, request);
			exchange.onEnd(() => {
				requests.delete(exchange);
			});
		},
		remove: exchange => requests.delete(exchange),
		takeWhere(condition) {
			const taken = [...requests.values()].filter(({context}) => condition(context));
			for (const {exchange} of taken) {
				requests.delete(exchange);
			}

			return taken;
		},
	};
}
