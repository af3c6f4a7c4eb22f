/** Callers of a soak: they ask where to connect, keep the answer and their connections, and write down what they see. */
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as random from '../../src/decisions/random.ts';
import {callerHost, type RouteSpan} from './site.ts';

/** One request as its caller saw it. Times are milliseconds of the monotonic clock. */
export type Seen = {
	readonly id: string;
	readonly gateway: string;
	readonly route: RouteSpan;
	readonly method: string;
	readonly path: string;
	/** SHA-256 of the body, in hexadecimal digits. */
	readonly digest: string;
	readonly sentAt: number;
	readonly endedAt: number;
	/** 0 where the connection ended or the caller left before an answer was whole. */
	readonly status: number;
	/** Code of the error of the connection; empty for none. */
	readonly error: string;
	/** Whether the caller left by itself. */
	readonly hasLeft: boolean;
	readonly signature: string;
	readonly body: string;
};

export type CallersOptions = {
	readonly seed: number;
	readonly count: number;
	/** Addresses that tell where to connect. */
	readonly directories: readonly string[];
	/** Routes that a configuration has now or had lately. */
	listRoutes(): readonly RouteSpan[];
};

export type Callers = {
	/** Gets the requests that ended since a time. */
	listSince(time: number): readonly Seen[];
	/** Ends after the requests in flight; resolves to all that was seen. */
	stop(): Promise<readonly Seen[]>;
};

const deadlineMilliseconds = 2000;
const directoryMilliseconds = 1000;
/** Time for which an answer of a directory is kept, in milliseconds; some callers keep it three times as long. */
const addressMilliseconds = 1000;
const longestPauseMilliseconds = 30;
const leavingChance = 0.02;
const longestBodyBytes = 5000;

/** Starts callers that go on until they are stopped. */
export function startCallers(options: CallersOptions): Callers {
	const stopping = new AbortController();
	const seen: Seen[] = [];

	async function work(index: number): Promise<void> {
		const source = random.createRandomSource(options.seed + (1000 * index));
		const agent = new http.Agent({keepAlive: true, maxSockets: 1, keepAliveMsecs: 1000});
		let addresses: readonly string[] = [];
		let askedAt = Number.NEGATIVE_INFINITY;
		while (!stopping.signal.aborted) {
			if (performance.now() - askedAt > addressMilliseconds * (index % 4 === 0 ? 3 : 1)) {
				const answer = await resolve(options.directories[source.nextInteger(options.directories.length)]!);
				addresses = answer.length > 0 ? answer : addresses;
				askedAt = answer.length > 0 ? performance.now() : askedAt;
			}

			const address = addresses[source.nextInteger(Math.max(1, addresses.length))];
			if (address !== undefined) {
				const result = await send(agent, address, source);
				seen.push(result);
				addresses = result.status === 0 && !result.hasLeft ? addresses.filter(other => other !== address) : addresses;
			}

			await timers.setTimeout(source.nextInteger(longestPauseMilliseconds));
		}

		agent.destroy();
	}

	async function send(agent: http.Agent, address: string, source: random.RandomSource): Promise<Seen> {
		const routes = options.listRoutes();
		const route = routes[source.nextInteger(routes.length)]!;
		const id = crypto.randomBytes(8).toString('hex');
		const path = `${route.path}${source.nextInteger(1000)}`;
		const method = route.isIdempotent ? 'GET' : 'POST';
		const body = route.isIdempotent ? '' : 'x'.repeat(source.nextInteger(longestBodyBytes));
		const leavesAfter = source.nextFraction() < leavingChance ? 1 + source.nextInteger(60) : undefined;
		const sentAt = performance.now();
		return new Promise(resolve => {
			let hasLeft = false;
			const finish = (end: Pick<Seen, 'status' | 'error' | 'signature' | 'body'>) => {
				clearTimeout(timer);
				clearTimeout(leaveTimer);
				const digest = crypto.createHash('sha256').update(body).digest('hex');
				resolve({
					id, gateway: address, route, method, path, digest, sentAt, endedAt: performance.now(), hasLeft, ...end,
				});
			};

			const fail = (error: Error) => {
				finish({
					status: 0, error: 'code' in error ? String(error.code) : error.message, signature: '', body: '',
				});
			};

			const request = http.request(`http://${address}${path}`, {
				method,
				agent,
				headers: {
					host: callerHost, 'attempt-id': id, 'deadline-ms': String(deadlineMilliseconds), ...(method === 'POST' ? {'content-length': String(body.length)} : {}),
				},
			}, response => {
				let text = '';
				response.on('data', (chunk: Uint8Array) => {
					text += String(chunk);
				});
				response.on('error', fail);
				response.on('end', () => {
					finish({
						status: response.statusCode ?? 0, error: '', signature: String(response.headers['upstream-signature'] ?? ''), body: text,
					});
				});
			});
			request.on('error', fail);
			request.end(body);
			const timer = setTimeout(() => {
				request.destroy(new Error('caller-timeout'));
			}, deadlineMilliseconds);
			const leaveTimer = leavesAfter === undefined
				? undefined
				: setTimeout(() => {
					hasLeft = true;
					request.destroy();
				}, leavesAfter);
		});
	}

	const workers = Array.from({length: options.count}, async (_value, index) => work(index));
	return {
		listSince: time => seen.filter(({endedAt}) => endedAt >= time),
		async stop() {
			stopping.abort();
			await Promise.all(workers);
			return seen;
		},
	};
}

/** Asks a gateway where to connect; none where it doesn't answer. */
async function resolve(directory: string): Promise<readonly string[]> {
	try {
		const response = await fetch(`http://${directory}/api/resolve?name=${callerHost}&region=east&zone=courthouse`, {signal: AbortSignal.timeout(directoryMilliseconds)});
		if (!response.ok) {
			return [];
		}

		const answer: unknown = await response.json();
		return typeof answer === 'object' && answer !== null && 'addrs' in answer && Array.isArray(answer.addrs) ? answer.addrs.map(String) : [];
	} catch {
		// The gateway is away; the caller keeps what it had, as the platform's callers do.
		return [];
	}
}
