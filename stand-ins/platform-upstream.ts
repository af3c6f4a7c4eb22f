/** Stand-in of an upstream on the platform: signs its answers, tells its load, and misbehaves as it is told. */
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import type * as net from 'node:net';

/** What the upstream does with a request. */
export type UpstreamBehaviour
	= | {readonly kind: 'answer'; readonly milliseconds: number}
	/** States that the request was not run. */
		| {readonly kind: 'refuse'}
	/** Runs the request and resets the connection. */
		| {readonly kind: 'lose'}
	/** Runs the request and resets the connection within the answer. */
		| {readonly kind: 'cut'}
	/** Runs the request and sends its answer twice. */
		| {readonly kind: 'repeat'}
	/** Answers 500 after running. */
		| {readonly kind: 'fail'};

/** A request as it reached the upstream. */
export type Arrival = {
	readonly requestId: string;
	readonly hasRun: boolean;
	readonly method: string;
	readonly path: string;
	/** SHA-256 of the body, in hexadecimal digits. */
	readonly digest: string;
	/** Milliseconds of the monotonic clock. */
	readonly at: number;
};

export type PlatformUpstream = {
	readonly id: string;
	/** Host and port. */
	readonly address: string;
	/** Ids of the requests that ran, in their order. */
	readonly ran: readonly string[];
	readonly arrivals: readonly Arrival[];
	setBehaviour(behaviour: UpstreamBehaviour): void;
	/** Says that it leaves, in its health checks and in the headers of its answers. */
	setLeaving(isLeaving: boolean): void;
	close(): Promise<void>;
};

const misdirectedStatus = 421;

/** Gets the body with which an upstream answers a request. */
export function createAnswerText(id: string, requestId: string, digest: string): string {
	return `${id} ran ${requestId} ${digest}`;
}

/** Starts an upstream on a free port of the loopback address. */
export async function startPlatformUpstream(id: string, slots = 4): Promise<PlatformUpstream> {
	const arrivals: Arrival[] = [];
	const sockets = new Set<net.Socket>();
	let behaviour: UpstreamBehaviour = {kind: 'answer', milliseconds: 1};
	let running = 0;
	let isLeaving = false;

	const getLoad = () => `${running},0,${slots},100`;

	function receive(request: http.IncomingMessage, response: http.ServerResponse): void {
		const hash = crypto.createHash('sha256');
		request.on('data', (chunk: Uint8Array) => {
			hash.update(chunk);
		});
		request.once('end', () => {
			if (request.url === '/healthz') {
				response.writeHead(isLeaving ? 503 : 200, {'instance-id': id, 'upstream-load': getLoad()}).end();
				return;
			}

			take(request, response, hash.digest('hex'));
		});
	}

	function take(request: http.IncomingMessage, response: http.ServerResponse, digest: string): void {
		const requestId = String(request.headers['attempt-id'] ?? '');
		const target = request.headers['target-instance'];
		const isMisdirected = target !== undefined && target !== id;
		const hasRun = !isMisdirected && behaviour.kind !== 'refuse' && running < slots;
		arrivals.push({
			requestId, hasRun, method: request.method ?? '', path: request.url ?? '', digest, at: performance.now(),
		});
		if (isMisdirected) {
			response.writeHead(misdirectedStatus, {'instance-id': id}).end();
		} else if (hasRun) {
			run(requestId, digest, response);
		} else {
			response.writeHead(503, {'attempt-id': requestId, 'not-executed': '1', 'upstream-load': getLoad()}).end();
		}
	}

	function run(requestId: string, digest: string, response: http.ServerResponse): void {
		const getHeaders = () => ({
			'attempt-id': requestId, 'upstream-signature': `signed-by-${id}`, 'upstream-load': getLoad(), ...(isLeaving ? {connection: 'close'} : {}),
		});
		const text = createAnswerText(id, requestId, digest);
		switch (behaviour.kind) {
			case 'answer': {
				running++;
				setTimeout(() => {
					running--;
					response.writeHead(200, getHeaders()).end(text);
				}, behaviour.milliseconds);
				break;
			}

			case 'lose': {
				response.socket?.resetAndDestroy();
				break;
			}

			case 'cut': {
				response.writeHead(200, {...getHeaders(), 'content-length': String(2 * text.length)});
				response.write(text);
				setImmediate(() => {
					response.socket?.resetAndDestroy();
				});
				break;
			}

			case 'repeat': {
				const {socket} = response;
				response.writeHead(200, {...getHeaders(), 'content-length': String(text.length)}).end(text, () => {
					socket?.write(`HTTP/1.1 200 OK\r\nattempt-id: ${requestId}\r\nupstream-signature: signed-by-${id}\r\ncontent-length: ${text.length}\r\n\r\n${text}`);
				});
				break;
			}

			case 'fail': {
				response.writeHead(500, getHeaders()).end('failed');
				break;
			}

			case 'refuse': {
				break;
			}
		}
	}

	const server = http.createServer(receive);
	server.on('connection', socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	return {
		id,
		address: `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`,
		arrivals,
		get ran() {
			return arrivals.filter(({hasRun}) => hasRun).map(({requestId}) => requestId);
		},
		setBehaviour(next) {
			behaviour = next;
		},
		setLeaving(next) {
			isLeaving = next;
		},
		async close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}
