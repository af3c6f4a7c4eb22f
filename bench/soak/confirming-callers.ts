/**
Callers of a soak whose requests aren't idempotent, have bodies in chunks that trickle, and ask for work that may last
longer than the grace period. They use a connection, with one request at a time, until the gateway ends it.
*/
import * as crypto from 'node:crypto';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as random from '../../src/decisions/random.ts';
import type * as leavingCallers from './leaving-callers.ts';
import * as responseForms from './response-forms.ts';
import * as responseReader from './response-reader.ts';
import * as soakPlatform from './soak-platform.ts';
import type * as stayingCallers from './staying-callers.ts';

/** How long work lasts and how bodies trickle in a run. */
type Load = {
	readonly workMilliseconds: number;
	/** Share of the requests whose work takes a time of the tail. */
	readonly tailShare: number;
	readonly chunkMilliseconds: number;
};

const deadlineMilliseconds = 20_000;
/** Time after which a caller no longer waits for an answer, in milliseconds; longer than the timeout of the route. */
const patienceMilliseconds = 12_000;
const workMilliseconds = [300, 500, 850];
const tailShares = [0.03, 0.06, 0.1];
const minimumTailMilliseconds = 3000;
const maximumTailMilliseconds = 9000;
const chunkMilliseconds = [15, 60, 200, 500];
const maximumChunks = 5;
const maximumChunkBytes = 400;
/** Probability that a caller connects to the gateway that ended its connection. */
const returnProbability = 0.7;
const reconnectMilliseconds = 50;
const pollMilliseconds = 5;
/** Spreads consecutive seeds, whose first numbers are close to each other otherwise. */
const seedFactor = 104_738;

/** Starts the callers. */
export function startConfirmingCallers(options: leavingCallers.LeavingCallersOptions): stayingCallers.StayingCallers {
	const stopController = new AbortController();
	const connections: stayingCallers.ObservedConnection[] = [];
	const loadSource = random.createRandomSource(options.seed * seedFactor);
	const load: Load = {workMilliseconds: choose(workMilliseconds, loadSource), tailShare: choose(tailShares, loadSource), chunkMilliseconds: choose(chunkMilliseconds, loadSource)};

	async function runCaller(index: number): Promise<void> {
		const randomSource = random.createRandomSource(options.seed + (1000 * index) + 3);
		let gateway = choose(options.addresses, randomSource);
		while (!stopController.signal.aborted) {
			const connection = await useConnection(gateway, randomSource);
			if (connection.requests.length > 0) {
				connections.push(connection);
			}

			gateway = randomSource.nextFraction() < returnProbability ? gateway : choose(options.addresses, randomSource);
			await timers.setTimeout(reconnectMilliseconds);
		}
	}

	async function useConnection(gateway: string, randomSource: random.RandomSource): Promise<stayingCallers.ObservedConnection> {
		const [host, port] = gateway.split(':');
		const socket = net.connect({host: host!, port: Number(port), noDelay: true});
		const reader = responseReader.createResponseReader();
		const requests: stayingCallers.SentRequest[] = [];
		const end: {at: number | undefined; error: string} = {at: undefined, error: ''};
		socket.on('data', chunk => {
			reader.receive(chunk, performance.now());
		});
		socket.once('end', () => {
			end.at ??= performance.now();
			reader.end(end.at);
		});
		socket.on('error', error => {
			end.at ??= performance.now();
			end.error = 'code' in error ? String(error.code) : error.message;
		});
		socket.once('close', () => {
			end.at ??= performance.now();
		});
		const waitUntil = async (isDone: () => boolean, milliseconds: number) => {
			const patientUntil = performance.now() + milliseconds;
			while (end.at === undefined && !isDone() && performance.now() < patientUntil) {
				await timers.setTimeout(pollMilliseconds);
			}
		};

		await waitUntil(() => !socket.connecting, patienceMilliseconds);
		while (end.at === undefined && !stopController.signal.aborted && reader.answers.length === requests.length && reader.answers.at(-1)?.isLast !== true) {
			const {head, chunks, request} = createRequest(options.listRoutes()[0]!, load, randomSource);
			requests.push(request);
			const isAnswered = () => reader.answers.length >= requests.length;
			socket.write(head);
			for (const chunk of [...chunks, '']) {
				await waitUntil(isAnswered, chunk === '' ? 0 : load.chunkMilliseconds);
				if (end.at !== undefined || isAnswered()) {
					break;
				}

				socket.write(`${chunk.length.toString(16)}\r\n${chunk}\r\n`);
				if (chunk === '') {
					requests.splice(-1, 1, {...request, lastByteAt: performance.now()});
				}
			}

			await waitUntil(isAnswered, patienceMilliseconds);
			if (requests.at(-1)!.lastByteAt === Number.POSITIVE_INFINITY) {
				break;
			}
		}

		socket.destroy();
		return {
			gateway, requests, answers: reader.answers, isMalformed: reader.hasFailed(), hasLeft: false, endedAt: end.at ?? performance.now(), error: end.error,
		};
	}

	const workers = Array.from({length: options.count}, async (_value, index) => runCaller(index));
	return {
		async stop() {
			stopController.abort();
			await Promise.all(workers);
			return connections;
		},
	};
}

function createRequest(route: soakPlatform.PublishedRoute, load: Load, randomSource: random.RandomSource): {readonly request: stayingCallers.SentRequest; readonly head: string; readonly chunks: readonly string[]} {
	const chunks = Array.from({length: 1 + randomSource.nextInteger(maximumChunks)}, () => 'x'.repeat(1 + randomSource.nextInteger(maximumChunkBytes)));
	const milliseconds = randomSource.nextFraction() < load.tailShare ? minimumTailMilliseconds + randomSource.nextInteger(maximumTailMilliseconds - minimumTailMilliseconds) : load.workMilliseconds;
	const id = crypto.randomBytes(8).toString('hex');
	const path = `${route.path}${responseForms.createFormPath({milliseconds, bytes: 0, end: 'length'})}${randomSource.nextInteger(1000)}`;
	return {
		request: {
			id, route, method: 'POST', path, requestBodyDigest: crypto.createHash('sha256').update(chunks.join('')).digest('hex'), sentAt: performance.now(), lastByteAt: Number.POSITIVE_INFINITY,
		},
		head: `POST ${path} HTTP/1.1\r\nHost: ${soakPlatform.callerHost}\r\nAttempt-Id: ${id}\r\nDeadline-Ms: ${deadlineMilliseconds}\r\nTransfer-Encoding: chunked\r\n\r\n`,
		chunks,
	};
}

function choose<Item>(items: readonly Item[], randomSource: random.RandomSource): Item {
	return items[randomSource.nextInteger(items.length)]!;
}
