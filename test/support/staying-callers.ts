/** Callers that use their connections, with one request at a time in chunks, until the process is gone. */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as gateways from './gateways.ts';

/** How the callers send. */
export type CallerOptions = {
	readonly count: number;
	readonly method: string;
	readonly deadlineMilliseconds: number;
	/** Pause between the chunks of a body, in milliseconds. */
	readonly chunkMilliseconds: number;
	/** Path of the next request. */
	choosePath(): string;
};

/** A request and how it ended; times in milliseconds of the monotonic clock. */
export type SentRequest = {
	readonly id: string;
	readonly path: string;
	readonly beganAt: number;
	/** Time at which its last byte was sent; undefined if its connection ended before. */
	sentAt: number | undefined;
	endedAt: number | undefined;
	/** Status of the answer; undefined without a whole one. */
	status: number | undefined;
};

/** Running callers. */
export type StayingCallers = {
	readonly requests: readonly SentRequest[];
	/** Sends nothing more; resolves when all requests have ended. */
	stop(): Promise<void>;
};

const chunks = ['aaaa', 'bbbb', 'cccc', 'dddd'];
/** Pause of a caller that finds no connection, in milliseconds. */
const retryMilliseconds = 20;

/** Whether a text holds a whole answer. */
function parseAnswer(text: string): {readonly status: number; readonly closes: boolean} | undefined {
	const headEnd = text.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return undefined;
	}

	const head = text.slice(0, headEnd);
	const length = Number(/content-length: (?<length>\d+)/iv.exec(head)?.groups?.length ?? Number.POSITIVE_INFINITY);
	return text.length - headEnd - 4 < length ? undefined : {status: Number(head.slice(9, 12)), closes: /connection: close/iv.test(head)};
}

async function connect(address: string): Promise<net.Socket | undefined> {
	const [host, port] = address.split(':');
	const socket = net.connect({host: host!, port: Number(port), noDelay: true});
	return new Promise(resolve => {
		socket.once('connect', () => {
			resolve(socket);
		});
		socket.on('error', () => {
			resolve(undefined);
		});
	});
}

/** Starts the callers of one address. */
export function startCallers(address: string, options: CallerOptions): StayingCallers {
	const requests: SentRequest[] = [];
	const stop = new AbortController();

	async function send(socket: net.Socket, request: SentRequest): Promise<boolean> {
		let text = '';
		let answer: ReturnType<typeof parseAnswer>;
		const ended = new Promise<void>(resolve => {
			socket.on('data', (chunk: Uint8Array) => {
				text += new TextDecoder('latin1').decode(chunk);
				answer ??= parseAnswer(text);
				if (answer) {
					resolve();
				}
			});
			socket.once('close', () => {
				resolve();
			});
		});
		socket.write(`${options.method} ${request.path} HTTP/1.1\r\nHost: ${gateways.host}\r\nAttempt-Id: ${request.id}\r\nDeadline-Ms: ${options.deadlineMilliseconds}\r\nTransfer-Encoding: chunked\r\n\r\n`);
		for (const chunk of chunks) {
			await Promise.race([timers.setTimeout(options.chunkMilliseconds), ended]);
			if (answer !== undefined || socket.destroyed) {
				break;
			}

			socket.write(`${chunk.length.toString(16)}\r\n${chunk}\r\n${chunk === chunks.at(-1) ? '0\r\n\r\n' : ''}`);
			request.sentAt = chunk === chunks.at(-1) ? performance.now() : undefined;
		}

		await ended;
		request.endedAt = performance.now();
		request.status = answer?.status;
		socket.removeAllListeners('data');
		return answer !== undefined && !answer.closes && request.sentAt !== undefined;
	}

	async function runCaller(index: number): Promise<void> {
		let socket: net.Socket | undefined;
		for (let count = 0; !stop.signal.aborted; count++) {
			socket = socket?.destroyed === false ? socket : await connect(address);
			if (!socket) {
				await timers.setTimeout(retryMilliseconds);
				continue;
			}

			const request: SentRequest = {
				id: `caller-${index}-${count}`, path: options.choosePath(), beganAt: performance.now(), sentAt: undefined, endedAt: undefined, status: undefined,
			};
			requests.push(request);
			if (!await send(socket, request)) {
				socket.destroy();
			}
		}

		socket?.destroy();
	}

	const running = Array.from({length: options.count}, async (_value, index) => runCaller(index));
	return {
		requests,
		async stop() {
			stop.abort();
			await Promise.all(running);
		},
	};
}
