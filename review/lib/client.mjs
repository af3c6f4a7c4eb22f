/** Stand-in for clients: asks a gateway where to connect, and sends requests as PROTOCOL.md describes. */
import * as crypto from 'node:crypto';
import * as http from 'node:http';

const longestCacheSeconds = 5;
const idleMilliseconds = 12_000;

/** Sends a GET request and returns its status and body; undefined if it fails. */
export async function get(address, path, timeout = 1000) {
	const [host, port] = address.split(':');
	const options = {
		host, port, path, timeout, agent: false,
	};
	return new Promise(resolve => {
		const request = http.get(options, response => {
			let text = '';
			response.setEncoding('utf8');
			response.on('data', chunk => {
				text += chunk;
			});
			response.on('end', () => {
				resolve({status: response.statusCode, text});
			});
			response.on('error', () => {
				resolve(undefined);
			});
		});
		request.on('timeout', () => {
			request.destroy();
		});
		request.on('error', () => {
			resolve(undefined);
		});
	});
}

/** Creates the clients of a case; `requests` receives an entry for each client attempt. */
export function createClients(context) {
	const {getNow, requests, hostName, listDirectories} = context;
	const cache = new Map();
	const agents = new Map();

	/** Asks up to three gateways, nearest first, and keeps the answer for its time; each client has an answer of its own. */
	async function resolve(client, zone) {
		const cached = cache.get(client);
		if (cached && getNow() < cached.expiresAt) {
			return cached.addresses;
		}

		for (const directory of listDirectories(zone).slice(0, 3)) {
			const answer = await get(directory, `/api/resolve?name=${hostName}&region=dixie-east&zone=${zone}`);
			if (answer?.status === 200) {
				const {addrs, ttlS} = JSON.parse(answer.text);
				cache.set(client, {addresses: addrs, expiresAt: getNow() + (1000 * Math.min(longestCacheSeconds, ttlS))});
				return addrs;
			}
		}

		return cached?.addresses ?? [];
	}

	function getAgent(address) {
		if (!agents.has(address)) {
			agents.set(address, new http.Agent({keepAlive: true, maxFreeSockets: 32, timeout: idleMilliseconds}));
		}

		return agents.get(address);
	}

	/** Sends one client attempt to a gateway; resolves to its entry when it has ended. */
	async function send({address, path, method = 'GET', deadline, isIdempotent}) {
		const entry = {
			id: crypto.randomBytes(8).toString('hex'),
			sentAt: getNow(),
			endedAt: undefined,
			answeredAt: undefined,
			gateway: address,
			path,
			isIdempotent,
			status: undefined,
			headers: {},
			body: '',
			end: 'none',
			isKept: false,
		};
		requests.push(entry);
		const [host, port] = address.split(':');
		const headers = {host: hostName, 'attempt-id': entry.id, 'deadline-ms': deadline};
		const options = {
			host, port, path, method, headers, agent: getAgent(address),
		};
		return new Promise(resolveEntry => {
			const end = how => {
				if (entry.endedAt === undefined) {
					clearTimeout(timer);
					entry.isKept = request.reusedSocket;
					entry.end = how;
					entry.endedAt = getNow();
					resolveEntry(entry);
				}
			};

			const request = http.request(options, response => {
				entry.status = response.statusCode;
				entry.headers = response.headers;
				entry.answeredAt = getNow();
				response.setEncoding('utf8');
				response.on('data', chunk => {
					entry.body += chunk;
				});
				response.on('end', () => {
					end(response.complete ? 'answered' : 'cut');
				});
				response.on('error', () => {
					end('cut');
				});
			});
			const timer = setTimeout(() => {
				end('deadline');
				request.destroy();
			}, deadline);
			request.on('error', error => {
				end(error.code ?? 'error');
			});
			request.end();
		});
	}

	return {
		resolve,
		send,
		close() {
			for (const agent of agents.values()) {
				agent.destroy();
			}
		},
	};
}
