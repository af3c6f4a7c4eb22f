/**
Stand-in for the platform's store: topics with one partition, whose records have offsets, with fault injection.

It implements the parts of the platform's protocol that the gateway uses: long polls for records from an offset, and
the newest record of each key of a keyed topic. `returnFromCopy` plays a loss: the store is away for a moment and comes
back from an older copy, in a later era; tests and soaks call it at any time, also twice in a row.
*/
import * as buffer from 'node:buffer';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';

/** Fault that affects all requests. */
export type StoreFault
	= | {readonly kind: 'none'}
	/** Responds to each request with a status code, without an effect. */
		| {readonly kind: 'refuse'; readonly statusCode: 429 | 503}
	/** Resets the connection of each request. */
		| {readonly kind: 'reset'}
	/** Accepts requests but never responds. */
		| {readonly kind: 'silent'}
		| {readonly kind: 'slow'; readonly milliseconds: number};

export type EraText = string | readonly string[] | undefined;

/** Times of a return from an older copy, in milliseconds. */
export type CopyReturn = {
	/** How long the store is away before it returns. */
	readonly awayMilliseconds: number;
	/** Age of the copy when the store goes away. */
	readonly lostMilliseconds: number;
	/** Time after the return until the operator and the upstreams write again what they wrote last of each lost key. */
	readonly rewriteMilliseconds: number;
	/** Whether they do so; true by default. */
	readonly isRewritten?: boolean;
};

/** Running store. */
export type StoreStandIn = {
	/** Host and port. */
	readonly address: string;
	/** Appends a record as operators and upstreams do; an undefined value deletes the key. */
	put(topic: string, key: string, value: unknown): void;
	/** Appends a record with an arbitrary value, which may be invalid JSON. */
	putBytes(topic: string, key: string, value: buffer.Buffer): void;
	/** Expires all records of a topic; the newest record of each key remains available by its key. */
	expireHistory(topic: string): void;
	setFault(fault: StoreFault): void;
	/** Goes away, returns from an older copy in the next era, and gets the lost records again; resolves after that. The fault that was set holds again from the return on. */
	returnFromCopy(copyReturn: CopyReturn): Promise<void>;
	/** Replaces the header that states the era, in the answers about one topic or all; undefined leaves it out, several texts are sent as several headers. */
	setEraText(text: EraText, topic?: string): void;
	/** Returns the number of requests since the start. */
	countCalls(): number;
	close(): Promise<void>;
};

type StoredRecord = {readonly key: string; readonly value: buffer.Buffer; readonly writtenAt: number};

type Topic = {
	/** All records by offset, also those that have expired, which an older copy is made of. */
	readonly records: StoredRecord[];
	/** Offset of the first record that has not expired. */
	firstOffset: number;
	readonly newestByKey: Map<string, {readonly value: buffer.Buffer; readonly offset: number}>;
	readonly waiters: Set<() => void>;
};

const newestPageSize = 500;
const offsetBytes = 8;
const maximumWaitMilliseconds = 30_000;
const eraHeader = 'store-era';

/** Starts a store on a free port of the loopback address. */
export async function startStore(): Promise<StoreStandIn> {
	const topics = new Map<string, Topic>();
	const sockets = new Set<net.Socket>();
	let fault: StoreFault = {kind: 'none'};
	let callCount = 0;
	let era = 1;
	let getEraText = (_topic: string): EraText => String(era);
	let isAway = false;

	function getTopic(name: string): Topic {
		const topic = topics.get(name) ?? {
			records: [], firstOffset: 0, newestByKey: new Map(), waiters: new Set(),
		};
		topics.set(name, topic);
		return topic;
	}

	const getEndOffset = ({records}: Topic) => records.length;

	function indexRecord(topic: Topic, {key, value}: StoredRecord, offset: number): void {
		if (value.length === 0) {
			topic.newestByKey.delete(key);
		} else {
			topic.newestByKey.set(key, {value, offset});
		}
	}

	function putBytes(name: string, key: string, value: buffer.Buffer): void {
		const topic = getTopic(name);
		const record = {key, value, writtenAt: performance.now()};
		indexRecord(topic, record, getEndOffset(topic));
		topic.records.push(record);
		for (const wake of topic.waiters) {
			wake();
		}
	}

	/** Removes the records of a topic since a time; returns them. */
	function loseRecords(topic: Topic, since: number): readonly StoredRecord[] {
		const kept = topic.records.filter(({writtenAt}) => writtenAt < since);
		const lost = topic.records.splice(kept.length);
		topic.firstOffset = Math.min(topic.firstOffset, kept.length);
		topic.newestByKey.clear();
		for (const [offset, record] of kept.entries()) {
			indexRecord(topic, record, offset);
		}

		return lost;
	}

	async function returnFromCopy({awayMilliseconds, lostMilliseconds, rewriteMilliseconds, isRewritten = true}: CopyReturn): Promise<void> {
		const since = performance.now() - lostMilliseconds;
		isAway = true;
		for (const socket of sockets) {
			socket.destroy();
		}

		await timers.setTimeout(awayMilliseconds);
		const losses = [...topics].map(([name, topic]) => {
			const newest = new Map(loseRecords(topic, since).map(record => [record.key, record]));
			return {
				name, topic, newest, end: getEndOffset(topic),
			};
		});
		era++;
		isAway = false;
		if (!isRewritten) {
			return;
		}

		await timers.setTimeout(rewriteMilliseconds);
		for (const {name, topic, newest, end} of losses) {
			const writtenKeys = new Set(topic.records.slice(end).map(({key}) => key));
			for (const {key, value} of [...newest.values()].filter(record => !writtenKeys.has(record.key))) {
				putBytes(name, key, value);
			}
		}
	}

	function sendJson(response: http.ServerResponse, statusCode: number, body: unknown): void {
		response.writeHead(statusCode, {'content-type': 'application/json'}).end(JSON.stringify(body));
	}

	function sendNewestRecords(response: http.ServerResponse, topic: Topic, after: string): void {
		const keys = [...topic.newestByKey.keys()].toSorted((left, right) => left < right ? -1 : 1).filter(key => key > after);
		const page = keys.slice(0, newestPageSize);
		sendJson(response, 200, {
			items: page.map(key => ({key, value: topic.newestByKey.get(key)!.value.toString('base64'), offset: topic.newestByKey.get(key)!.offset})),
			truncated: page.length < keys.length,
			end: getEndOffset(topic),
		});
	}

	async function sendRecords(response: http.ServerResponse, topic: Topic, from: number, waitMilliseconds: number): Promise<void> {
		if (from >= getEndOffset(topic) && waitMilliseconds > 0) {
			await waitForRecord(topic, waitMilliseconds);
		}

		if (from < topic.firstOffset || from > getEndOffset(topic)) {
			sendJson(response, 410, {first: topic.firstOffset});
			return;
		}

		const header = buffer.Buffer.alloc(2 * offsetBytes);
		header.writeBigUInt64BE(BigInt(getEndOffset(topic)), 0);
		header.writeBigUInt64BE(BigInt(topic.firstOffset), offsetBytes);
		response.writeHead(200).end(buffer.Buffer.concat([header, ...topic.records.slice(from).map(record => encodeRecord(record))]));
	}

	async function waitForRecord(topic: Topic, milliseconds: number): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				topic.waiters.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, Math.min(milliseconds, maximumWaitMilliseconds));
			topic.waiters.add(finish);
		});
	}

	function stateEra(request: http.IncomingMessage, response: http.ServerResponse): void {
		const eraText = getEraText(new URL(request.url ?? '/', 'http://store').searchParams.get('topic') ?? '');
		if (eraText !== undefined) {
			response.setHeader(eraHeader, eraText);
		}
	}

	async function handleRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		stateEra(request, response);
		const {pathname, searchParams} = new URL(request.url ?? '/', 'http://store');
		const topic = getTopic(searchParams.get('topic') ?? '');
		switch (pathname) {
			case '/api/log-newest': {
				sendNewestRecords(response, topic, searchParams.get('after') ?? '');
				break;
			}

			case '/api/log-read': {
				await sendRecords(response, topic, Number(searchParams.get('from')), Number(searchParams.get('waitMs') ?? 0));
				break;
			}

			default: {
				sendJson(response, 404, {});
			}
		}
	}

	async function receiveRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		callCount++;
		request.resume();
		if (isAway) {
			request.socket.resetAndDestroy();
			return;
		}

		switch (fault.kind) {
			case 'none': {
				await handleRequest(request, response);
				break;
			}

			case 'refuse': {
				stateEra(request, response);
				sendJson(response, fault.statusCode, {});
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
					void handleRequest(request, response);
				}, milliseconds);
				break;
			}
		}
	}

	const server = http.createServer((request, response) => {
		void receiveRequest(request, response);
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
		expireHistory(name) {
			const topic = getTopic(name);
			topic.firstOffset = getEndOffset(topic);
		},
		setFault(newFault) {
			fault = newFault;
		},
		returnFromCopy,
		setEraText(text, topic) {
			const getPreviousText = getEraText;
			getEraText = name => topic === undefined || name === topic ? text : getPreviousText(name);
		},
		countCalls: () => callCount,
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

/** Encodes a record: length of the rest (4 bytes, big endian), length of the key (1 byte), key and value. */
function encodeRecord({key, value}: Pick<StoredRecord, 'key' | 'value'>): buffer.Buffer {
	const keyBytes = buffer.Buffer.from(key);
	const content = buffer.Buffer.concat([buffer.Buffer.from([keyBytes.length]), keyBytes, value]);
	const length = buffer.Buffer.alloc(4);
	length.writeUInt32BE(content.length, 0);
	return buffer.Buffer.concat([length, content]);
}
