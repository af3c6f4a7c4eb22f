/**
Stand-in of the platform's store: topics of one partition whose records have offsets, with injected faults.

It speaks the parts of the platform's protocol that the gateway uses: append, read with a wait, and the newest record of
each key of a keyed topic.
*/
import * as buffer from 'node:buffer';
import * as http from 'node:http';
import type * as net from 'node:net';

/** What the store does to calls. */
export type StoreFault
	= | {readonly kind: 'none'}
	/** Answers every call with a status, without an effect. */
		| {readonly kind: 'refuse'; readonly statusCode: 429 | 503}
	/** Resets every connection. */
		| {readonly kind: 'reset'}
	/** Takes calls and never answers. */
		| {readonly kind: 'silent'}
		| {readonly kind: 'slow'; readonly milliseconds: number};

export type StoreStandIn = {
	/** Host and port. */
	readonly address: string;
	/** Writes a record as operators and upstreams do; without a value the key is dropped. */
	put(topic: string, key: string, value: unknown): void;
	/** Writes bytes that may be no JSON. */
	putBytes(topic: string, key: string, value: buffer.Buffer): void;
	/** Forgets the records before the end of a topic; the newest of each key stays. */
	forgetHistory(topic: string): void;
	setFault(fault: StoreFault): void;
	countCalls(): number;
	close(): Promise<void>;
};

type StoredRecord = {readonly key: string; readonly value: buffer.Buffer};

type Topic = {
	readonly records: StoredRecord[];
	/** Offset of the first record that is kept. */
	first: number;
	readonly newest: Map<string, {readonly value: buffer.Buffer; readonly offset: number}>;
	readonly waiters: Set<() => void>;
};

const newestPageSize = 500;
const offsetBytes = 8;
const largestWaitMilliseconds = 30_000;

/** Starts a store on a free port of the loopback address. */
export async function startStore(): Promise<StoreStandIn> {
	const topics = new Map<string, Topic>();
	const sockets = new Set<net.Socket>();
	let fault: StoreFault = {kind: 'none'};
	let calls = 0;

	function getTopic(name: string): Topic {
		const topic = topics.get(name) ?? {
			records: [], first: 0, newest: new Map(), waiters: new Set(),
		};
		topics.set(name, topic);
		return topic;
	}

	const getEnd = ({first, records}: Topic) => first + records.length;

	function putBytes(name: string, key: string, value: buffer.Buffer): void {
		const topic = getTopic(name);
		const offset = getEnd(topic);
		topic.records.push({key, value});
		if (value.length === 0) {
			topic.newest.delete(key);
		} else {
			topic.newest.set(key, {value, offset});
		}

		for (const wake of topic.waiters) {
			wake();
		}
	}

	function answerJson(response: http.ServerResponse, statusCode: number, body: unknown): void {
		response.writeHead(statusCode, {'content-type': 'application/json'}).end(JSON.stringify(body));
	}

	function answerNewest(response: http.ServerResponse, topic: Topic, after: string): void {
		const keys = [...topic.newest.keys()].toSorted((left, right) => left < right ? -1 : 1).filter(key => key > after);
		const page = keys.slice(0, newestPageSize);
		answerJson(response, 200, {
			items: page.map(key => ({key, value: topic.newest.get(key)!.value.toString('base64'), offset: topic.newest.get(key)!.offset})),
			truncated: page.length < keys.length,
			end: getEnd(topic),
		});
	}

	async function answerRead(response: http.ServerResponse, topic: Topic, from: number, waitMilliseconds: number): Promise<void> {
		if (from >= getEnd(topic) && waitMilliseconds > 0) {
			await waitForRecord(topic, waitMilliseconds);
		}

		if (from < topic.first) {
			answerJson(response, 410, {first: topic.first});
			return;
		}

		const header = buffer.Buffer.alloc(2 * offsetBytes);
		header.writeBigUInt64BE(BigInt(getEnd(topic)), 0);
		header.writeBigUInt64BE(BigInt(topic.first), offsetBytes);
		response.writeHead(200).end(buffer.Buffer.concat([header, ...topic.records.slice(from - topic.first).map(record => encodeRecord(record))]));
	}

	async function waitForRecord(topic: Topic, milliseconds: number): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				topic.waiters.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, Math.min(milliseconds, largestWaitMilliseconds));
			topic.waiters.add(finish);
		});
	}

	async function answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const {pathname, searchParams} = new URL(request.url ?? '/', 'http://store');
		const topic = getTopic(searchParams.get('topic') ?? '');
		switch (pathname) {
			case '/api/log-newest': {
				answerNewest(response, topic, searchParams.get('after') ?? '');
				break;
			}

			case '/api/log-read': {
				await answerRead(response, topic, Number(searchParams.get('from')), Number(searchParams.get('waitMs') ?? 0));
				break;
			}

			default: {
				answerJson(response, 404, {});
			}
		}
	}

	async function receive(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		calls++;
		request.resume();
		switch (fault.kind) {
			case 'none': {
				await answer(request, response);
				break;
			}

			case 'refuse': {
				answerJson(response, fault.statusCode, {});
				break;
			}

			case 'reset': {
				request.socket.resetAndDestroy();
				break;
			}

			case 'silent': {
				break;
			}

			case 'slow': {
				const {milliseconds} = fault;
				setTimeout(() => {
					void answer(request, response);
				}, milliseconds);
				break;
			}
		}
	}

	const server = http.createServer((request, response) => {
		void receive(request, response);
	});
	server.on('connection', socket => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	return {
		address: `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`,
		put(topic, key, value) {
			putBytes(topic, key, value === undefined ? buffer.Buffer.alloc(0) : buffer.Buffer.from(JSON.stringify(value)));
		},
		putBytes,
		forgetHistory(name) {
			const topic = getTopic(name);
			topic.first = getEnd(topic);
			topic.records.length = 0;
		},
		setFault(next) {
			fault = next;
		},
		countCalls: () => calls,
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

/** Encodes a record: its length, the length of its key, the key and the value. */
function encodeRecord({key, value}: StoredRecord): buffer.Buffer {
	const keyBytes = buffer.Buffer.from(key);
	const content = buffer.Buffer.concat([buffer.Buffer.from([keyBytes.length]), keyBytes, value]);
	const length = buffer.Buffer.alloc(4);
	length.writeUInt32BE(content.length, 0);
	return buffer.Buffer.concat([length, content]);
}
