/**
Callers of a soak: they resolve the addresses of gateways, cache the addresses, keep their connections alive, and
record the result of each request.
*/
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as random from '../../src/decisions/random.ts';
import {callerHost, type PublishedRoute} from './soak-platform.ts';

/** One request and its result, as observed by its caller. Times are in milliseconds of the monotonic clock. */
export type ObservedRequest = {
	readonly id: string;
	/** Host and port of the gateway. */
	readonly gateway: string;
	readonly route: PublishedRoute;
	readonly method: string;
	readonly path: string;
	/** SHA-256 of the body of the request, in hexadecimal digits. */
	readonly requestBodyDigest: string;
	/** Time of the first byte. */
	readonly sentAt: number;
	/** Time of the last byte; infinite if it was not sent. */
	readonly lastByteAt: number;
	readonly endedAt: number;
	/** HTTP status; 0 if the connection ended or the caller cancelled the request before the answer was complete. */
	readonly status: number;
	/** Error code of the connection; empty without an error. */
	readonly error: string;
	/** Whether the caller cancelled the request. */
	readonly isCancelled: boolean;
	/** Signature of the upstream in the headers of the answer; empty without one. */
	readonly signature: string;
	/** Body of the answer; empty without a complete answer. */
	readonly body: string;
};

export type CallersOptions = {
	readonly seed: number;
	/** Number of concurrent callers. */
	readonly count: number;
	/** Host and port of each directory, the service that lists the gateways to connect to. */
	readonly directoryAddresses: readonly string[];
	/** Lists the routes of the current configuration and those that were recently withdrawn. */
	listRoutes(): readonly PublishedRoute[];
};

export type Callers = {
	/** Lists the requests that ended at or after a time of the monotonic clock. */
	listEndedSince(time: number): readonly ObservedRequest[];
	/** Sends no more requests, waits for those in flight and resolves to all observed requests. */
	stop(): Promise<readonly ObservedRequest[]>;
};

/** Error of a request whose caller gave up. */
export const timeoutError = 'caller-timeout';
const requestTimeoutMilliseconds = 2000;
const directoryTimeoutMilliseconds = 1000;
/** Time for which resolved addresses are cached, in milliseconds; one caller in four caches them three times as long. */
const addressCacheMilliseconds = 1000;
const maximumPauseMilliseconds = 30;
const cancellationProbability = 0.02;
const maximumBodyBytes = 5000;

/** Starts callers that send requests until they are stopped. */
export function startCallers(options: CallersOptions): Callers {
	const stopController = new AbortController();
	const observedRequests: ObservedRequest[] = [];

	async function runCaller(index: number): Promise<void> {
		const randomSource = random.createRandomSource(options.seed + (1000 * index));
		const agent = new http.Agent({keepAlive: true, maxSockets: 1, keepAliveMsecs: 1000});
		let addresses: readonly string[] = [];
		let resolvedAt = Number.NEGATIVE_INFINITY;
		while (!stopController.signal.aborted) {
			if (performance.now() - resolvedAt > addressCacheMilliseconds * (index % 4 === 0 ? 3 : 1)) {
				const resolvedAddresses = await resolveAddresses(options.directoryAddresses[randomSource.nextInteger(options.directoryAddresses.length)]!);
				addresses = resolvedAddresses.length > 0 ? resolvedAddresses : addresses;
				resolvedAt = resolvedAddresses.length > 0 ? performance.now() : resolvedAt;
			}

			const address = addresses[randomSource.nextInteger(Math.max(1, addresses.length))];
			if (address !== undefined) {
				const observedRequest = await send(agent, address, randomSource);
				observedRequests.push(observedRequest);
				addresses = observedRequest.status === 0 && !observedRequest.isCancelled ? addresses.filter(other => other !== address) : addresses;
			}

			await timers.setTimeout(randomSource.nextInteger(maximumPauseMilliseconds));
		}

		agent.destroy();
	}

	async function send(agent: http.Agent, address: string, randomSource: random.RandomSource): Promise<ObservedRequest> {
		const routes = options.listRoutes();
		const route = routes[randomSource.nextInteger(routes.length)]!;
		const id = crypto.randomBytes(8).toString('hex');
		const path = `${route.path}${randomSource.nextInteger(1000)}`;
		const method = route.isIdempotent ? 'GET' : 'POST';
		const body = route.isIdempotent ? '' : 'x'.repeat(randomSource.nextInteger(maximumBodyBytes));
		const cancelAfterMilliseconds = randomSource.nextFraction() < cancellationProbability ? 1 + randomSource.nextInteger(60) : undefined;
		const sentAt = performance.now();
		return new Promise(resolve => {
			let isCancelled = false;
			const finish = (result: Pick<ObservedRequest, 'status' | 'error' | 'signature' | 'body'>) => {
				clearTimeout(timer);
				clearTimeout(cancellationTimer);
				const digest = crypto.createHash('sha256').update(body).digest('hex');
				resolve({
					id, gateway: address, route, method, path, requestBodyDigest: digest, sentAt, lastByteAt: sentAt, endedAt: performance.now(), isCancelled, ...result,
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
					host: callerHost, 'attempt-id': id, 'deadline-ms': String(requestTimeoutMilliseconds), ...(method === 'POST' ? {'content-length': String(body.length)} : {}),
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
				request.destroy(new Error(timeoutError));
			}, requestTimeoutMilliseconds);
			const cancellationTimer = cancelAfterMilliseconds === undefined
				? undefined
				: setTimeout(() => {
					isCancelled = true;
					request.destroy();
				}, cancelAfterMilliseconds);
		});
	}

	const workers = Array.from({length: options.count}, async (_value, index) => runCaller(index));
	return {
		listEndedSince: time => observedRequests.filter(({endedAt}) => endedAt >= time),
		async stop() {
			stopController.abort();
			await Promise.all(workers);
			return observedRequests;
		},
	};
}

/** Queries a directory for the addresses of gateways; returns none if the directory doesn't answer. */
async function resolveAddresses(directory: string): Promise<readonly string[]> {
	try {
		const response = await fetch(`http://${directory}/api/resolve?name=${callerHost}&region=east&zone=courthouse`, {signal: AbortSignal.timeout(directoryTimeoutMilliseconds)});
		if (!response.ok) {
			return [];
		}

		const answer: unknown = await response.json();
		return typeof answer === 'object' && answer !== null && 'addrs' in answer && Array.isArray(answer.addrs) ? answer.addrs.map(String) : [];
	} catch {
		// The gateway is unavailable; the caller keeps its cached addresses, as the platform's callers do.
		return [];
	}
}
