/** Ends the exchange of a caller whose handling fails, and no other one. */
import type * as exchangesModule from '../entry/exchanges.ts';
import {type GatewayResponse} from './types.ts';

/** Dependencies of a boundary. */
export type RequestBoundaryHost = {
	/** Logs and counts an error of a handler. */
	recordFailure(error: unknown, id: string | undefined): void;
	/** Identifier of the request of an exchange; may throw. */
	readId(exchange: exchangesModule.Exchange): string | undefined;
	/** Whether the request was passed on, so that it may have run. */
	isPassedOn(exchange: exchangesModule.Exchange): boolean;
	respond(exchange: exchangesModule.Exchange, response: GatewayResponse): void;
};

/** Boundary for the errors of handlers. */
export type RequestBoundary = {
	/** Runs a part of the handling of an exchange. */
	guard(exchange: exchangesModule.Exchange, run: () => void): void;
};

const internalErrorStatus = 500;
const badGatewayStatus = 502;

/** Creates a boundary. */
export function createRequestBoundary(host: RequestBoundaryHost): RequestBoundary {
	const failed = new WeakSet<exchangesModule.Exchange>();

	function readId(exchange: exchangesModule.Exchange): string | undefined {
		try {
			return host.readId(exchange);
		} catch {
			return undefined; // The error that is being handled is the one to tell.
		}
	}

	function guard(exchange: exchangesModule.Exchange, run: () => void): void {
		try {
			run();
		} catch (error) {
			handleFailure(exchange, error);
		}
	}

	function handleFailure(exchange: exchangesModule.Exchange, error: unknown): void {
		host.recordFailure(error, readId(exchange));
		if (exchange.hasEnded()) {
			return;
		}

		// What was begun can't be taken back, and an answer that fails again would fail forever.
		if (exchange.response.headersSent || failed.has(exchange)) {
			exchange.response.destroy();
			return;
		}

		failed.add(exchange);
		exchange.request.resume();
		guard(exchange, () => {
			host.respond(exchange, {
				statusCode: host.isPassedOn(exchange) ? badGatewayStatus : internalErrorStatus, headers: [], body: new Uint8Array(), hasOwnEnd: true, isOwn: true,
			});
		});
	}

	return {guard};
}
