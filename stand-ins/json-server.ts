/** HTTP server with JSON bodies that the stand-ins of the platform services share. */
import * as http from 'node:http';
import * as streamConsumers from 'node:stream/consumers';

/** Parsed request. */
export type JsonRequest = {
	readonly method: string;
	readonly path: string;
	readonly query: URLSearchParams;
	readonly body: unknown;
	/** Aborted when the response is sent or the client disconnects. */
	readonly signal: AbortSignal;
};

/** Response of a stand-in; `destroy` closes the connection without a response, `silence` keeps it open without one. */
export type JsonResponse
	= | {readonly kind: 'answer'; readonly statusCode: number; readonly body: unknown}
		| {readonly kind: 'destroy'}
		| {readonly kind: 'silence'};

export type JsonServer = {
	readonly url: string;
	/** Stops the server and closes all of its connections. */
	close(): Promise<void>;
};

/** Creates a response with a JSON body. */
export function createResponse(body: unknown, statusCode = 200): JsonResponse {
	return {kind: 'answer', statusCode, body};
}

/** Starts a server; port 0 selects a free port. */
export async function createJsonServer(host: string, port: number, handle: (request: JsonRequest) => Promise<JsonResponse>): Promise<JsonServer> {
	const server = http.createServer((request, response) => {
		void serve(request, response, handle);
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	const address = server.address();
	const boundPort = typeof address === 'object' && address ? address.port : port;
	return {
		url: `http://${host}:${boundPort}`,
		close: async () => new Promise(resolve => {
			server.close(() => {
				resolve();
			});
			server.closeAllConnections();
		}),
	};
}

async function serve(request: http.IncomingMessage, response: http.ServerResponse, handle: (request: JsonRequest) => Promise<JsonResponse>): Promise<void> {
	const abortController = new AbortController();
	response.once('close', () => {
		abortController.abort();
	});
	try {
		const url = new URL(request.url ?? '/', 'http://stand-in');
		const jsonResponse = await handle({
			method: request.method ?? 'GET', path: url.pathname, query: url.searchParams, body: await readBody(request), signal: abortController.signal,
		});
		sendResponse(response, jsonResponse);
	} catch (error) {
		sendResponse(response, createResponse({error: String(error)}, 400));
	}
}

async function readBody(request: http.IncomingMessage): Promise<unknown> {
	const text = await streamConsumers.text(request);
	if (text === '') {
		return undefined;
	}

	const body: unknown = JSON.parse(text);
	return body;
}

function sendResponse(response: http.ServerResponse, jsonResponse: JsonResponse): void {
	if (jsonResponse.kind === 'silence' || response.destroyed) {
		return;
	}

	if (jsonResponse.kind === 'destroy') {
		response.socket?.destroy();
		return;
	}

	response.writeHead(jsonResponse.statusCode, {'content-type': 'application/json'});
	response.end(JSON.stringify(jsonResponse.body));
}

/** Waits for a time; resolves early if the signal is aborted. */
export async function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
	if (milliseconds <= 0) {
		return;
	}

	await new Promise<void>(resolve => {
		const timer = setTimeout(resolve, milliseconds);
		signal?.addEventListener('abort', () => {
			clearTimeout(timer);
			resolve();
		}, {once: true});
	});
}
