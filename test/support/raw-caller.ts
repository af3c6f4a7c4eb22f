/** Callers that write requests to a connection byte by byte and keep what they receive. */
import * as net from 'node:net';
import * as gateways from './gateways.ts';

/** A connection of a caller. */
export type RawCaller = {
	readonly socket: net.Socket;
	/** Resolves when the connection has closed. */
	readonly closed: Promise<void>;
	/** All bytes that were received, as text. */
	getText(): string;
	/** Identifiers of the requests whose responses arrived, in the order of arrival. */
	listAnswered(): readonly string[];
	/** Status codes of the responses that arrived. */
	listStatuses(): readonly number[];
};

/** Connects to an address. */
export function connect(address: string, options: {readonly allowHalfOpen?: boolean} = {}): RawCaller {
	const [host, port] = address.split(':');
	const socket = net.connect({host: host!, port: Number(port), ...options});
	let text = '';
	socket.on('data', (chunk: Uint8Array) => {
		text += new TextDecoder('latin1').decode(chunk);
	});
	socket.on('error', () => undefined);
	return {
		socket,
		getText: () => text,
		listAnswered: () => [...text.matchAll(/^attempt-id: (?<id>\S+)\r$/gimv)].map(match => match.groups!.id!),
		listStatuses: () => [...text.matchAll(/HTTP\/1\.1 (?<status>\d{3}) /gv)].map(match => Number(match.groups!.status)),
		closed: new Promise(resolve => {
			socket.once('close', () => {
				resolve();
			});
		}),
	};
}

/** Creates the text of a request; one with a body is sent with its length. */
export function createRequest(id: string, options: {readonly path?: string; readonly method?: string; readonly body?: string; readonly deadlineMilliseconds?: number} = {}): string {
	const {path = '/price/1', method = 'GET', body = '', deadlineMilliseconds = 1500} = options;
	const length = body === '' ? '' : `Content-Length: ${body.length}\r\n`;
	return `${method} ${path} HTTP/1.1\r\nHost: ${gateways.host}\r\nAttempt-Id: ${id}\r\nDeadline-Ms: ${deadlineMilliseconds}\r\n${length}\r\n${body}`;
}
