/** Callers of a soak that send several requests ahead on a connection, and leave at any moment without reading. */
import * as crypto from 'node:crypto';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as random from '../../src/decisions/random.ts';
import type * as callers from './callers.ts';
import * as soakPlatform from './soak-platform.ts';

export type LeavingCallersOptions = Omit<callers.CallersOptions, 'directoryAddresses'> & {
	/** Host and port of each gateway. */
	readonly addresses: readonly string[];
};

const requestsAhead = 6;
const maximumStayMilliseconds = 400;
const maximumPauseMilliseconds = 150;
const requestTimeoutMilliseconds = 2000;
const emptyDigest = crypto.createHash('sha256').digest('hex');

/** Starts the callers; they leave for good when they are stopped. */
export function startLeavingCallers(options: LeavingCallersOptions): Pick<callers.Callers, 'stop'> {
	const stopController = new AbortController();
	const observedRequests: callers.ObservedRequest[] = [];

	function createRequests(address: string, randomSource: random.RandomSource): readonly callers.ObservedRequest[] {
		const routes = options.listRoutes().filter(({isIdempotent}) => isIdempotent);
		return Array.from({length: 1 + randomSource.nextInteger(requestsAhead)}, () => {
			const route = routes[randomSource.nextInteger(routes.length)]!;
			return {
				id: crypto.randomBytes(8).toString('hex'), gateway: address, route, method: 'GET', path: `${route.path}${randomSource.nextInteger(1000)}`, requestBodyDigest: emptyDigest, sentAt: performance.now(), lastByteAt: performance.now(), endedAt: performance.now(), status: 0, error: '', isCancelled: true, signature: '', body: '',
			};
		});
	}

	async function runCaller(index: number): Promise<void> {
		const randomSource = random.createRandomSource(options.seed + (1000 * index) + 1);
		while (!stopController.signal.aborted) {
			const address = options.addresses[randomSource.nextInteger(options.addresses.length)]!;
			const requests = createRequests(address, randomSource);
			observedRequests.push(...requests);
			const [host, port] = address.split(':');
			const socket = net.connect(Number(port), host);
			socket.on('error', () => undefined);
			socket.write(requests.map(({id, path}) => `GET ${path} HTTP/1.1\r\nHost: ${soakPlatform.callerHost}\r\nAttempt-Id: ${id}\r\nDeadline-Ms: ${requestTimeoutMilliseconds}\r\n\r\n`).join(''));
			await timers.setTimeout(randomSource.nextInteger(maximumStayMilliseconds));
			socket.destroy();
			await timers.setTimeout(randomSource.nextInteger(maximumPauseMilliseconds));
		}
	}

	const workers = Array.from({length: options.count}, async (_value, index) => runCaller(index));
	return {
		async stop() {
			stopController.abort();
			await Promise.all(workers);
			return observedRequests;
		},
	};
}
