/** Small JSON server that the platform stand-ins share. */
import * as http from 'node:http';
import * as streamConsumers from 'node:stream/consumers';

/** Request as a stand-in sees it. */
export type JsonRequest = {
	readonly method: string;
	readonly path: string;
	readonly query: URLSearchParams;
	readonly body: unknown;
	/** Aborted when the client goes away. */
	readonly signal: AbortSignal;
};

/** Answer of a stand-in; `destroy` closes the connection without an answer, `silence` keeps it open without one. */
export type JsonAnswer
	= | {readonly kind: 'answer'; readonly statusCode: number; readonly body: unknown}
		| {readonly kind: 'destroy'}
		| {readonly kind: 'silence'};

export type JsonServer = {
	readonly url: string;
	/** Closes the server and all of its connections. */
	close(): Promise<void>;
};

export function createAnswer(body: unknown, statusCode = 200): JsonAnswer {
	return {kind: 'answer', statusCode, body};
}

/** Starts a server; port 0 takes a free one. */
export async function createJsonServer(host: string, port: number, handle: (request: JsonRequest) => Promise<JsonAnswer>): Promise<JsonServer> {
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

async function serve(request: http.IncomingMessage, response: http.ServerResponse, handle: (request: JsonRequest) => Promise<JsonAnswer>): Promise<void> {
	const abort = new AbortController();
	response.once('close', () => {
		abort.abort();
	});
	try {
		const url = new URL(request.url ?? '/', 'http://stand-in');
		const answer = await handle({
			method: request.method ?? 'GET', path: url.pathname, query: url.searchParams, body: await readBody(request), signal: abort.signal,
		});
		sendAnswer(response, answer);
	} catch (error) {
		sendAnswer(response, createAnswer({error: String(error)}, 400));
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

function sendAnswer(response: http.ServerResponse, answer: JsonAnswer): void {
	if (answer.kind === 'silence' || response.destroyed) {
		return;
	}

	if (answer.kind === 'destroy') {
		response.socket?.destroy();
		return;
	}

	response.writeHead(answer.statusCode, {'content-type': 'application/json'});
	response.end(JSON.stringify(answer.body));
}

/** Waits; returns early when the signal is aborted. */
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
