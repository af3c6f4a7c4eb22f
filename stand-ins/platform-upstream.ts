/** Stand-in of an upstream on the platform: signs its answers, tells its load, and misbehaves as it is told. */
import * as http from 'node:http';
import type * as net from 'node:net';

/** What the upstream does with a request. */
export type UpstreamBehaviour
	= | {readonly kind: 'answer'; readonly milliseconds: number}
	/** States that the request was not run. */
		| {readonly kind: 'refuse'}
	/** Runs the request and resets the connection. */
		| {readonly kind: 'lose'}
	/** Answers 500 after running. */
		| {readonly kind: 'fail'};

export type PlatformUpstream = {
	readonly id: string;
	/** Host and port. */
	readonly address: string;
	/** Ids of the requests that ran, in their order. */
	readonly ran: readonly string[];
	setBehaviour(behaviour: UpstreamBehaviour): void;
	close(): Promise<void>;
};

/** Starts an upstream on a free port of the loopback address. */
export async function startPlatformUpstream(id: string, slots = 4): Promise<PlatformUpstream> {
	const ran: string[] = [];
	const sockets = new Set<net.Socket>();
	let behaviour: UpstreamBehaviour = {kind: 'answer', milliseconds: 1};
	let running = 0;

	const getLoad = () => `${running},0,${slots},100`;

	function receive(request: http.IncomingMessage, response: http.ServerResponse): void {
		const attemptId = String(request.headers['attempt-id'] ?? '');
		request.resume();
		request.once('end', () => {
			if (request.url === '/healthz') {
				response.writeHead(200, {'instance-id': id, 'upstream-load': getLoad()}).end();
				return;
			}

			if (request.headers['target-instance'] !== undefined && request.headers['target-instance'] !== id) {
				response.writeHead(421, {'instance-id': id}).end();
				return;
			}

			run(attemptId, response);
		});
	}

	function run(attemptId: string, response: http.ServerResponse): void {
		const headers = {'attempt-id': attemptId, 'upstream-signature': `signed-by-${id}`, 'upstream-load': getLoad()};
		switch (behaviour.kind) {
			case 'answer': {
				ran.push(attemptId);
				running++;
				setTimeout(() => {
					running--;
					response.writeHead(200, {...headers, 'upstream-load': getLoad()}).end(`${id} ran ${attemptId}`);
				}, behaviour.milliseconds);
				break;
			}

			case 'refuse': {
				response.writeHead(503, {...headers, 'not-executed': '1'}).end();
				break;
			}

			case 'lose': {
				ran.push(attemptId);
				response.socket?.resetAndDestroy();
				break;
			}

			case 'fail': {
				ran.push(attemptId);
				response.writeHead(500, headers).end('failed');
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
		ran,
		setBehaviour(next) {
			behaviour = next;
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
