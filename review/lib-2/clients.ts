/** Clients of the deployment, as the pages describe them. */
import * as buffer from 'node:buffer';
import * as net from 'node:net';
import * as platform from './platform.ts';

/** What became of one request: the status of its answer, or none. */
export type Answer = {readonly status: number | undefined; readonly at: number};

/** A connection that a client has opened. */
export type ClientConnection = {
	readonly openedAt: number;
	/** Sends a request, and resolves to the first answer on the connection, or to none at the deadline or the close. */
	send(request: {readonly method: 'GET' | 'POST'; readonly path: string; readonly id: string; readonly deadlineMilliseconds: number; readonly bodyBytes: number}): Promise<Answer>;
	close(): void;
};

/** Opens a connection to a front address. */
export async function openConnection(address: string): Promise<ClientConnection> {
	const [hostName, port] = address.split(':');
	const socket = net.connect({
		host: hostName!, port: Number(port), noDelay: true, allowHalfOpen: true,
	});
	socket.on('error', () => undefined);
	await new Promise<void>((resolve, reject) => {
		socket.once('connect', resolve);
		socket.once('close', () => {
			reject(new Error(`no connection to ${address}`));
		});
	});
	let received = '';
	let onAnswer: (() => void) | undefined;
	socket.on('data', chunk => {
		received += chunk.toString('latin1');
		onAnswer?.();
	});
	const openedAt = performance.now();
	return {
		openedAt,
		async send({method, path, id, deadlineMilliseconds, bodyBytes}) {
			received = '';
			const head = [
				`${method} ${path} HTTP/1.1`,
				`Host: ${platform.host}`,
				`Attempt-Id: ${id}`,
				`Deadline-Ms: ${deadlineMilliseconds}`,
				...(method === 'POST' ? [`Content-Length: ${bodyBytes}`] : []),
			].join('\r\n');
			socket.write(buffer.Buffer.from(`${head}\r\n\r\n${'x'.repeat(method === 'POST' ? bodyBytes : 0)}`));
			return new Promise(resolve => {
				const finish = () => {
					clearTimeout(timer);
					onAnswer = undefined;
					socket.off('close', finish);
					socket.off('end', finish);
					const status = /^HTTP\/1\.1 (?<code>\d{3}) /v.exec(received)?.groups?.code;
					resolve({status: status === undefined ? undefined : Number(status), at: performance.now()});
				};

				const timer = setTimeout(finish, deadlineMilliseconds);
				socket.once('close', finish);
				socket.once('end', finish);
				onAnswer = () => {
					if (isComplete(received)) {
						finish();
					}
				};
			});
		},
		close() {
			socket.destroy();
		},
	};
}

function isComplete(text: string): boolean {
	const end = text.indexOf('\r\n\r\n');
	const length = /\r\ncontent-length: *(?<length>\d+)/iv.exec(text.slice(0, Math.max(0, end)))?.groups?.length;
	return end !== -1 && text.length >= end + 4 + Number(length ?? 0);
}
