/** Stand-in for an upstream behind the gateway: signs its responses, reports its load and injects configured faults. */
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import type * as net from 'node:net';

/** How the upstream handles a request. */
export type PlatformUpstreamBehavior
	= | {readonly kind: 'answer'; readonly milliseconds: number}
	/** Responds to each request as its path requires. */
		| {readonly kind: 'choose'; chooseResponse(path: string): ChosenResponse}
	/** Responds that the request was not executed. */
		| {readonly kind: 'refuse'}
	/** Executes the request and resets the connection. */
		| {readonly kind: 'lose'}
	/** Executes the request and resets the connection within the response. */
		| {readonly kind: 'cut'}
	/** Executes the request and sends its response twice. */
		| {readonly kind: 'repeat'}
	/** Executes the request and responds with status 500. */
		| {readonly kind: 'fail'};

export type ChosenResponse = {
	readonly milliseconds: number;
	/** Length to which the body is padded. */
	readonly bytes: number;
	/** How the end of the body is marked; `connection` stands for a body that ends with its connection. */
	readonly end: 'length' | 'chunks' | 'connection';
};

/** What happens to the connections of a client: they hang or are reset, all of them or only those that are new. */
export type Partition = 'none' | 'hang' | 'reset' | 'hang-new' | 'reset-new';

/** Request that the upstream received. */
export type ReceivedRequest = {
	readonly requestId: string;
	readonly hasRun: boolean;
	readonly method: string;
	readonly path: string;
	readonly headers: http.IncomingHttpHeaders;
	/** SHA-256 digest of the body in hexadecimal digits. */
	readonly digest: string;
	/** Length to which the body of the response is padded. */
	readonly responseBytes: number;
	/** Time of receipt in milliseconds of the monotonic clock. */
	readonly receivedAt: number;
};

/** End of an executed request: its response was written, or its connection closed before. */
export type EndedRequest = {
	readonly requestId: string;
	readonly hasResponded: boolean;
	/** Time of receipt in milliseconds of the monotonic clock. */
	readonly receivedAt: number;
	/** Time of the end in milliseconds of the monotonic clock. */
	readonly endedAt: number;
};

/** Running upstream. */
export type PlatformUpstream = {
	readonly id: string;
	/** Host and port. */
	readonly address: string;
	/** IDs of the executed requests, in the order of their receipt. */
	readonly executedRequestIds: readonly string[];
	readonly receivedRequests: readonly ReceivedRequest[];
	/** IDs of the requests whose connection closed before the response. */
	readonly abortedRequestIds: readonly string[];
	readonly endedRequests: readonly EndedRequest[];
	/** Times at which load checks were received, in milliseconds of the monotonic clock. */
	readonly checkTimes: readonly number[];
	setBehavior(behaviour: PlatformUpstreamBehavior): void;
	/** Sets headers that are added to each response to a request, e.g. a rate limit. */
	setStatements(headers: Readonly<Record<string, string>>): void;
	/** Sets the partition between the upstream and its clients, by their address. */
	setPartition(getPartition: (clientAddress: string) => Partition): void;
	/** Sets the time for which the upstream states that it is cold, in milliseconds; undefined for a warm one. */
	setCold(milliseconds: number | undefined): void;
	/** Sets whether health checks fail and responses close their connection, as for an upstream that is shutting down. */
	setDraining(isLeaving: boolean): void;
	close(): Promise<void>;
};

const misdirectedStatus = 421;

/** Creates the body of the response to an executed request, padded to a length. */
export function createResponseBody(id: string, requestId: string, digest: string, bytes = 0): string {
	return `${id} ran ${requestId} ${digest}`.padEnd(bytes, '.');
}

/** Starts an upstream on a free port of the loopback address; it executes at most `slots` requests concurrently. */
export async function startPlatformUpstream(id: string, slots = 4): Promise<PlatformUpstream> {
	const arrivals: ReceivedRequest[] = [];
	const sockets = new Set<net.Socket>();
	let behaviour: PlatformUpstreamBehavior = {kind: 'answer', milliseconds: 1};
	let runningCount = 0;
	let isLeaving = false;
	let coldUntil: number | undefined;
	let statements: Readonly<Record<string, string>> = {};
	const checkTimes: number[] = [];
	const abortedRequestIds: string[] = [];
	const endedRequests: EndedRequest[] = [];

	let getPartition: (clientAddress: string) => Partition = () => 'none';
	/** Sockets that hang for good. */
	const hanging = new WeakSet<net.Socket>();

	/** Returns whether the client of a connection or request is cut off. */
	function applyPartition(socket: net.Socket, isNew: boolean): boolean {
		const partition = getPartition(socket.remoteAddress ?? '');
		const applies = partition === 'hang' || partition === 'reset' || (isNew && partition !== 'none');
		if (applies && partition.startsWith('reset')) {
			socket.resetAndDestroy();
		} else if (applies) {
			hanging.add(socket);
		}

		return applies || hanging.has(socket);
	}

	const createColdHeader = () => coldUntil === undefined ? {} : {'cold-ms': String(Math.max(0, Math.round(coldUntil - performance.now())))};
	const formatLoad = () => `${runningCount},0,${slots},100`;

	function receiveRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
		if (applyPartition(request.socket, false)) {
			return;
		}

		const hash = crypto.createHash('sha256');
		request.on('data', (chunk: Uint8Array) => {
			hash.update(chunk);
		});
		request.once('end', () => {
			if (request.url === '/healthz') {
				checkTimes.push(performance.now());
				response.writeHead(isLeaving ? 503 : 200, {'instance-id': id, 'upstream-load': formatLoad(), ...createColdHeader()}).end();
				return;
			}

			handleRequest(request, response, hash.digest('hex'));
		});
	}

	function handleRequest(request: http.IncomingMessage, response: http.ServerResponse, digest: string): void {
		const requestId = String(request.headers['attempt-id'] ?? '');
		const target = request.headers['target-instance'];
		const isMisdirected = target !== undefined && target !== id;
		const path = request.url ?? '';
		const receivedAt = performance.now();
		const hasRun = !isMisdirected && behaviour.kind !== 'refuse' && runningCount < slots;
		response.once('close', () => {
			if (!response.writableFinished) {
				abortedRequestIds.push(requestId);
			}

			if (hasRun) {
				endedRequests.push({
					requestId, hasResponded: response.writableFinished, receivedAt, endedAt: performance.now(),
				});
			}
		});
		arrivals.push({
			requestId, hasRun, method: request.method ?? '', path, headers: request.headers, digest, responseBytes: behaviour.kind === 'choose' ? behaviour.chooseResponse(path).bytes : 0, receivedAt,
		});
		if (isMisdirected) {
			response.writeHead(misdirectedStatus, {'instance-id': id, 'attempt-id': requestId}).end();
		} else if (hasRun) {
			execute({requestId, path, digest}, response);
		} else {
			response.writeHead(503, {
				'attempt-id': requestId, 'not-executed': '1', 'upstream-load': formatLoad(), ...statements,
			}).end();
		}
	}

	function execute({requestId, path, digest}: Pick<ReceivedRequest, 'requestId' | 'path' | 'digest'>, response: http.ServerResponse): void {
		const createHeaders = () => ({
			'attempt-id': requestId, 'upstream-signature': `signed-by-${id}`, 'upstream-load': formatLoad(), ...(isLeaving ? {connection: 'close'} : {}), ...statements,
		});
		const text = createResponseBody(id, requestId, digest);
		switch (behaviour.kind) {
			case 'answer': {
				runningCount++;
				setTimeout(() => {
					runningCount--;
					response.writeHead(200, createHeaders()).end(text);
				}, behaviour.milliseconds);
				break;
			}

			case 'choose': {
				const {milliseconds, bytes, end} = behaviour.chooseResponse(path);
				const body = createResponseBody(id, requestId, digest, bytes);
				runningCount++;
				setTimeout(() => {
					runningCount--;
					response.useChunkedEncodingByDefault = end === 'chunks';
					response.writeHead(200, {...createHeaders(), ...(end === 'length' ? {'content-length': body.length} : {})}).end(body);
				}, milliseconds);
				break;
			}

			case 'lose': {
				response.socket?.resetAndDestroy();
				break;
			}

			case 'cut': {
				response.writeHead(200, {...createHeaders(), 'content-length': String(2 * text.length)});
				response.write(text);
				setImmediate(() => {
					response.socket?.resetAndDestroy();
				});
				break;
			}

			case 'repeat': {
				const {socket} = response;
				response.writeHead(200, {...createHeaders(), 'content-length': String(text.length)}).end(text, () => {
					socket?.write(`HTTP/1.1 200 OK\r\nattempt-id: ${requestId}\r\nupstream-signature: signed-by-${id}\r\ncontent-length: ${text.length}\r\n\r\n${text}`);
				});
				break;
			}

			case 'fail': {
				response.writeHead(500, createHeaders()).end('failed');
				break;
			}

			case 'refuse': {
				break;
			}
		}
	}

	const server = http.createServer(receiveRequest);
	server.on('connection', socket => {
		sockets.add(socket);
		applyPartition(socket, true);
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
		receivedRequests: arrivals,
		checkTimes,
		abortedRequestIds,
		endedRequests,
		get executedRequestIds() {
			return arrivals.filter(({hasRun}) => hasRun).map(({requestId}) => requestId);
		},
		setBehavior(newBehavior) {
			behaviour = newBehavior;
		},
		setStatements(headers) {
			statements = headers;
		},
		setPartition(getNewPartition) {
			getPartition = getNewPartition;
		},
		setCold(milliseconds) {
			coldUntil = milliseconds === undefined ? undefined : performance.now() + milliseconds;
		},
		setDraining(isNowLeaving) {
			isLeaving = isNowLeaving;
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
