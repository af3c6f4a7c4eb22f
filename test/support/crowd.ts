/** Crowds of callers that stay connected in the middle of what they send, and the resources of the process that they meet. */
import * as buffer from 'node:buffer';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as stream from 'node:stream';
import * as timers from 'node:timers/promises';
import * as gateways from './gateways.ts';

/** Callers that are connected until they are closed or the process closes them. */
export type Crowd = {
	/** Number of connections that the process has closed. */
	countClosed(): number;
	close(): void;
};

/** Head of a request whose body follows; `index` alternates between a route that is idempotent and one that isn't. */
export function createHead(index: number, headers: readonly string[]): string {
	const path = index % 2 === 0 ? '/price/1' : '/credit/1';
	return [`POST ${path} HTTP/1.1`, `Host: ${gateways.host}`, `Attempt-Id: crowd-${index}`, 'Deadline-Ms: 120000', ...headers, '', ''].join('\r\n');
}

/** Head of a request whose body follows in chunks. */
export const createChunkedHead = (index: number, headers: readonly string[] = []) => createHead(index, ['Transfer-Encoding: chunked', ...headers]);

const largeChunkBytes = 65_000;
const largeChunk = `${largeChunkBytes.toString(16)}\r\n${'x'.repeat(largeChunkBytes)}\r\n`;

export const largeChunks = (count: number) => largeChunk.repeat(count);
export const smallChunks = (count: number) => '1\r\nx\r\n'.repeat(count);

/** Opens connections, each of which sends its text and stays open. Resolves when each has sent all of it or is closed. */
export async function gather(address: string, count: number, createText: (index: number) => string): Promise<Crowd> {
	const {crowd, sockets} = connect(address, count);
	for (const socket of sockets) {
		socket.resume();
	}

	await Promise.all(sockets.map(async (socket, index) => send(socket, createText(index))));
	return crowd;
}

/** Opens connections, each of which sends its text, reads nothing and stays open. The system may hold a part of the text. */
export function gatherDeaf(address: string, count: number, createText: (index: number) => string): Crowd {
	const {crowd, sockets} = connect(address, count);
	for (const [index, socket] of sockets.entries()) {
		void send(socket, createText(index));
	}

	return crowd;
}

/** Opens connections, each of which sends its text a byte at a time and stays open. */
export async function gatherBytewise(address: string, count: number, createText: (index: number) => string): Promise<Crowd> {
	const {crowd, sockets} = connect(address, count);
	const texts = sockets.map((socket, index) => {
		socket.resume();
		socket.setNoDelay();
		return createText(index);
	});
	const longest = Math.max(...texts.map(text => text.length));
	for (let position = 0; position < longest; position++) {
		await timers.setTimeout(1);
		for (const [index, socket] of sockets.entries()) {
			if (socket.writable && position < texts[index]!.length) {
				socket.write(texts[index]![position]!, 'latin1');
			}
		}
	}

	return crowd;
}

function connect(address: string, count: number): {readonly crowd: Crowd; readonly sockets: readonly net.Socket[]} {
	let closed = 0;
	const [host, port] = address.split(':');
	const sockets = Array.from({length: count}, () => {
		const socket = net.connect(Number(port), host);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			closed++;
		});
		return socket;
	});
	return {
		sockets,
		crowd: {
			countClosed: () => closed,
			close() {
				for (const socket of sockets) {
					socket.destroy();
				}
			},
		},
	};
}

async function send(socket: net.Socket, text: string): Promise<void> {
	return new Promise(resolve => {
		socket.once('close', () => {
			resolve();
		});
		socket.write(buffer.Buffer.from(text, 'latin1'), () => {
			resolve();
		});
	});
}

/** Sends a request whose body comes in the given chunks. Resolves to the body of the response. */
export async function sendStream(address: string, chunks: Iterable<string>, headers: Readonly<Record<string, string>>): Promise<string> {
	return new Promise((resolve, reject) => {
		const request = http.request(`http://${address}/credit/1`, {
			method: 'POST', agent: false, headers: {
				host: gateways.host, 'attempt-id': 'single', 'deadline-ms': '120000', ...headers,
			},
		}, response => {
			let text = '';
			response.on('data', chunk => {
				text += String(chunk);
			});
			response.on('end', () => {
				resolve(text);
			});
		});
		request.on('error', reject);
		stream.Readable.from(chunks, {objectMode: true}).pipe(request);
	});
}

const pollMilliseconds = 50;
/** Number of polls in a row without unread bytes that show that no more follow. */
const emptyPolls = 5;

/** Resolves once a process has read all that was sent to an address, or has ended. */
export async function waitUntilRead(address: string, hasEnded: () => boolean): Promise<void> {
	for (let count = 0; count < emptyPolls && !hasEnded();) {
		count = countUnreadBytes(address) > 0 ? 0 : count + 1;
		await timers.setTimeout(pollMilliseconds);
	}
}

/** Number of polls in a row without a change that show that a process reads no more from callers that don't read. */
const unchangedPolls = 40;

/** Resolves once a process reads nothing more that was sent to an address, although some of it may be unread, or has ended. */
export async function waitUntilUnchanged(address: string, hasEnded: () => boolean): Promise<void> {
	let bytes = countUnreadBytes(address);
	for (let count = 0; count < unchangedPolls && !hasEnded(); count++) {
		await timers.setTimeout(pollMilliseconds);
		const latest = countUnreadBytes(address);
		count = latest === bytes ? count : 0;
		bytes = latest;
	}
}

/** Counts the bytes that the system holds for the connections to an address, from both ends. */
function countUnreadBytes(address: string): number {
	const [host, port] = address.split(':');
	const localAddress = `${host!.split('.').toReversed().map(part => toHexadecimal(Number(part), 2)).join('')}:${toHexadecimal(Number(port), 4)}`;
	const rows = fs.readFileSync('/proc/net/tcp', 'utf8').trim().split('\n').slice(1).map(line => line.trim().split(/\s+/v));
	const listening = '0A';
	let bytes = 0;
	for (const [, local, remote, state, queues] of rows) {
		const [sent, received] = queues!.split(':').map(text => Number.parseInt(text, 16));
		if (state !== listening && local === localAddress) {
			bytes += received!;
		} else if (remote === localAddress) {
			bytes += sent!;
		}
	}

	return bytes;
}

const toHexadecimal = (value: number, digits: number) => value.toString(16).toUpperCase().padStart(digits, '0');

/** Resources of a process. */
export type ProcessResources = {
	/** Largest resident memory since the start of the process, in megabytes. */
	readonly peakMegabytes: number;
	readonly descriptors: number;
};

/** Reads the resources of a running process. */
export function readResources(processId: number): ProcessResources {
	const status = fs.readFileSync(`/proc/${processId}/status`, 'utf8');
	const kilobytes = Number(/^VmHWM:\s+(?<kilobytes>\d+) kB$/mv.exec(status)!.groups!.kilobytes);
	return {peakMegabytes: kilobytes / 1000, descriptors: fs.readdirSync(`/proc/${processId}/fd`).length};
}
