/**
Stand-in for the platform's store, as PROTOCOL.md describes it: the keyed topics of partition 0.

Each gateway reaches the store at an address of its own, so that single gateways can be partitioned from it.
*/
import * as buffer from 'node:buffer';
import * as http from 'node:http';

const newestPageSize = 500;
const answerMilliseconds = 4;

function encode({key, value}) {
	const keyBytes = buffer.Buffer.from(key);
	const content = buffer.Buffer.concat([buffer.Buffer.from([keyBytes.length]), keyBytes, value]);
	const length = buffer.Buffer.alloc(4);
	length.writeUInt32BE(content.length);
	return buffer.Buffer.concat([length, content]);
}

function sendNewest(response, topic, after) {
	const keys = [...topic.newest.keys()].toSorted((left, right) => left < right ? -1 : 1).filter(key => key > after);
	const page = keys.slice(0, newestPageSize);
	response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({
		items: page.map(key => ({key, value: topic.newest.get(key).value.toString('base64'), offset: topic.newest.get(key).offset})),
		truncated: page.length < keys.length,
		end: topic.records.length,
	}));
}

async function waitForRecord(topic, milliseconds) {
	await new Promise(resolve => {
		const finish = () => {
			clearTimeout(timer);
			topic.waiters.delete(finish);
			resolve();
		};

		const timer = setTimeout(finish, milliseconds);
		topic.waiters.add(finish);
	});
}

async function sendRecords(response, topic, from, waitMilliseconds) {
	if (from >= topic.records.length && waitMilliseconds > 0) {
		await waitForRecord(topic, waitMilliseconds);
	}

	const header = buffer.Buffer.alloc(16);
	header.writeBigUInt64BE(BigInt(topic.records.length), 0);
	response.writeHead(200).end(buffer.Buffer.concat([header, ...topic.records.slice(from).map(record => encode(record))]));
}

/** Creates the store; `getNow` is the clock of the record. */
export function createStore(getNow) {
	const topics = new Map();
	const doors = [];
	let isDown = false;

	function getTopic(name) {
		if (!topics.has(name)) {
			topics.set(name, {records: [], newest: new Map(), waiters: new Set()});
		}

		return topics.get(name);
	}

	/** Appends a record; an undefined value removes the key. Returns the time of the acknowledgement. */
	function put(name, key, value) {
		const topic = getTopic(name);
		const bytes = value === undefined ? buffer.Buffer.alloc(0) : buffer.Buffer.from(JSON.stringify(value));
		const offset = topic.records.length;
		topic.records.push({key, value: bytes});
		if (value === undefined) {
			topic.newest.delete(key);
		} else {
			topic.newest.set(key, {value: bytes, offset});
		}

		for (const wake of topic.waiters) {
			wake();
		}

		return getNow();
	}

	async function answer(request, response) {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		const topic = getTopic(searchParams.get('topic'));
		if (pathname === '/api/log-newest') {
			sendNewest(response, topic, searchParams.get('after') ?? '');
		} else {
			await sendRecords(response, topic, Number(searchParams.get('from')), Number(searchParams.get('waitMs') ?? 0));
		}
	}

	/** Opens the address through which one gateway reaches the store. */
	async function openDoor(host) {
		const sockets = new Set();
		let isCut = false;
		const server = http.createServer((request, response) => {
			request.resume();
			setTimeout(() => {
				if (!isCut) {
					answer(request, response);
				}
			}, answerMilliseconds);
		});
		server.on('connection', socket => {
			if (isCut) {
				socket.resetAndDestroy();
				return;
			}

			sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('close', () => {
				sockets.delete(socket);
			});
		});
		await new Promise(resolve => {
			server.listen(0, host, resolve);
		});
		const door = {
			address: `${host}:${server.address().port}`,
			/** Resets the connections of the gateway, and each new one, until `heal`. */
			cut() {
				isCut = true;
				for (const socket of sockets) {
					socket.resetAndDestroy();
				}
			},
			heal() {
				isCut = false;
			},
			close() {
				server.close();
				for (const socket of sockets) {
					socket.destroy();
				}
			},
		};
		doors.push(door);
		return door;
	}

	return {
		put,
		openDoor,
		/** Takes the whole store down: it resets the connections of gateways, and takes no reports of upstreams, until `goUp`. */
		goDown() {
			isDown = true;
			for (const door of doors) {
				door.cut();
			}
		},
		goUp() {
			isDown = false;
			for (const door of doors) {
				door.heal();
			}
		},
		isDown: () => isDown,
		close() {
			for (const door of doors) {
				door.close();
			}
		},
	};
}
