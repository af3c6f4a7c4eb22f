/** Keeps errors of the handlers of a server from ending the process: the request that failed ends, and no other one. */
import type * as http from 'node:http';
import type * as loggerModule from '../observability/logger.ts';

/** Dependencies of a guard. */
export type RequestGuardHost = {
	readonly logger: loggerModule.Logger;
	recordFailedHandler(port: string): void;
};

/** Handler of a server that only reads the state of the process, so that the state can be trusted after an error. */
export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse) => unknown;

const internalErrorStatus = 500;

/** Creates a function that logs and counts an error of a handler of a port; the name of the request is its identifier or its method. */
export function createFailureRecorder(host: RequestGuardHost, port: string, nameField: 'id' | 'method'): (error: unknown, name: string | undefined) => void {
	return (error, name) => {
		host.logger.error('handler-failed', {port, [nameField]: name, reason: formatError(error)});
		host.recordFailedHandler(port);
	};
}

const formatError = (error: unknown) => error instanceof Error ? error.stack ?? error.message : String(error);

/** Creates a listener that calls a handler, and answers for it if it throws or its promise is rejected. */
export function createGuardedListener(host: RequestGuardHost, port: string, handler: RequestHandler): http.RequestListener {
	function handleError(request: http.IncomingMessage, response: http.ServerResponse, error: unknown): void {
		host.logger.error('handler-failed', {port, method: request.method, reason: formatError(error)});
		host.recordFailedHandler(port);
		if (response.headersSent) {
			// The caller must not take the response for complete.
			response.destroy();
		} else {
			response.writeHead(internalErrorStatus, {connection: 'close', 'content-length': '0'}).end();
		}
	}

	async function handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		try {
			await handler(request, response);
		} catch (error) {
			handleError(request, response, error);
		}
	}

	return (request, response) => {
		void handle(request, response);
	};
}

/** Guards the listeners for requests that a server has now. */
export function guardRequests(host: RequestGuardHost, port: string, server: http.Server): void {
	const listeners = server.listeners('request') as RequestHandler[]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	server.removeAllListeners('request');
	for (const listener of listeners) {
		server.on('request', createGuardedListener(host, port, listener));
	}
}
