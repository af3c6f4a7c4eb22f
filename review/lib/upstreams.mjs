/** Stand-ins for upstreams, as PROTOCOL.md describes them. They report to the store and note each request that reaches them. */
import * as http from 'node:http';

const heartbeatMilliseconds = 1500;

/**
Starts an upstream and registers it.

`behave` returns how a request ends: its status, the milliseconds of work, and headers to add.
*/
async function startUpstream({store, host, getNow, arrivals}, options) {
	const {id, service, zone, slots = 4, queue = 8, behave} = options;
	const sockets = new Set();
	const waiting = [];
	let running = 0;
	let sequence = 0;
	let timer;
	const getLoad = () => `${running},${waiting.length},${slots},100`;

	/** Sends an answer without a length, which ends with its connection; one that breaks off is reset in the middle of its body. */
	function respondUnframed({socket}, requestId, body, doesBreakOff) {
		const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${requestId}\r\nUpstream-Signature: s.${id}.${requestId}\r\nUpstream-Load: ${getLoad()}\r\nConnection: close\r\n\r\n`;
		if (doesBreakOff) {
			socket.write(head + body.slice(0, body.length / 2), () => {
				socket.resetAndDestroy();
			});
		} else {
			socket.end(head + body);
		}
	}

	function respond(response, requestId, {status, headers, body = `${id} ${requestId}`, framing = 'length'}) {
		if (response.destroyed) {
			return;
		}

		if (framing !== 'length') {
			respondUnframed(response, requestId, body, framing === 'none and broken off');
			return;
		}

		response.writeHead(status, {
			'attempt-id': requestId,
			'upstream-signature': `s.${id}.${requestId}`,
			'upstream-load': getLoad(),
			'content-length': body.length,
			...headers,
		});
		response.end(body);
	}

	function run(arrival, response) {
		if (response.destroyed) {
			waiting.shift()?.();
			return;
		}

		const {requestId} = arrival;
		const outcome = behave(requestId, id);
		arrival.hasRun = true;
		arrival.status = outcome.status;
		running++;
		let isOver = false;
		const end = () => {
			if (isOver) {
				return;
			}

			isOver = true;
			clearTimeout(workTimer);
			running--;
			respond(response, requestId, outcome);
			waiting.shift()?.();
		};

		const workTimer = setTimeout(end, outcome.milliseconds);
		// Most upstreams drop a request when its connection closes.
		response.once('close', end);
	}

	function receive(request, response) {
		request.resume();
		if (request.url === '/healthz') {
			response.writeHead(200, {'instance-id': id, 'upstream-load': getLoad(), 'content-length': 0}).end();
			return;
		}

		const requestId = request.headers['attempt-id'];
		const arrival = {
			at: getNow(), requestId, upstream: id, hasRun: false, status: undefined,
		};
		arrivals.push(arrival);
		if (request.headers['target-instance'] !== undefined && request.headers['target-instance'] !== id) {
			response.writeHead(421, {'attempt-id': requestId, 'instance-id': id, 'content-length': 0}).end();
		} else if (running < slots) {
			run(arrival, response);
		} else if (waiting.length < queue) {
			waiting.push(() => {
				run(arrival, response);
			});
		} else {
			response.writeHead(503, {
				'attempt-id': requestId, 'not-executed': '1', 'upstream-load': getLoad(), 'content-length': 0,
			}).end();
		}
	}

	const server = http.createServer(receive);
	server.keepAliveTimeout = 10_000;
	server.on('connection', socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	const born = Date.now();
	const report = () => {
		// A report to a store that is down is lost; the next one follows after the usual time.
		if (store.isDown()) {
			return;
		}

		store.put('keyed.servers', id, {
			service, addr: `${host}:${server.address().port}`, zone, version: 'v1', slots, state: 'ready', coldLeftMs: 0, seq: ++sequence, born,
		});
	};

	const scheduleReport = milliseconds => {
		timer = setTimeout(() => {
			report();
			scheduleReport(heartbeatMilliseconds * (0.9 + (0.2 * Math.random())));
		}, milliseconds);
	};

	report();
	scheduleReport(heartbeatMilliseconds * Math.random());
	return {
		id,
		zone,
		/** Removes the entry without a report of draining; returns the time of the store's acknowledgement. The upstream keeps serving. */
		removeEntry() {
			clearTimeout(timer);
			return store.put('keyed.servers', id, undefined);
		},
		close() {
			clearTimeout(timer);
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

/** Creates the upstreams of a case; `arrivals` receives an entry for each request, health probes excepted. */
export function createUpstreams(host) {
	const all = [];
	return {
		async start(options) {
			const upstream = await startUpstream(host, options);
			all.push(upstream);
			return upstream;
		},
		close() {
			for (const upstream of all) {
				upstream.close();
			}
		},
	};
}
