/**
Callers of a soak that send several requests ahead on a connection and stay: they use a connection until the gateway
ends it, and read slowly or half-close it at times.
*/
import * as crypto from 'node:crypto';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as random from '../../src/decisions/random.ts';
import type * as callers from './callers.ts';
import type * as leavingCallers from './leaving-callers.ts';
import * as responseForms from './response-forms.ts';
import * as responseReader from './response-reader.ts';
import * as soakPlatform from './soak-platform.ts';

export type SentRequest = Pick<callers.ObservedRequest, 'id' | 'route' | 'method' | 'path' | 'requestBodyDigest' | 'sentAt' | 'lastByteAt'>;

/** A connection and all that was sent and received on it. Times are in milliseconds of the monotonic clock. */
export type ObservedConnection = {
	/** Host and port of the gateway. */
	readonly gateway: string;
	/** Requests in the order in which they were sent. */
	readonly requests: readonly SentRequest[];
	/** Complete answers in the order in which they arrived. */
	readonly answers: readonly responseReader.ReceivedAnswer[];
	/** Whether bytes arrived that are no answer. */
	readonly isMalformed: boolean;
	/** Whether the caller half-closed the connection. */
	readonly hasLeft: boolean;
	/** Time at which the gateway ended the connection, it failed, or the caller ended it. */
	readonly endedAt: number;
	/** Error code of the connection; empty without an error. */
	readonly error: string;
};

export type StayingCallers = {
	/** Sends no more requests, waits for the answers that are due and resolves to all connections. */
	stop(): Promise<readonly ObservedConnection[]>;
};

const minimumRequestsAhead = 2;
const maximumRequestsAhead = 8;
const requestTimeoutMilliseconds = 2000;
/** Time after which a caller no longer waits for answers or for the end of the connection, in milliseconds; longer than the pauses of gateways. */
const patienceMilliseconds = 10_000;
const pollMilliseconds = 5;
const maximumPauseMilliseconds = 200;
const maximumBodyBytes = 3000;
const maximumSlowReadingMilliseconds = 300;
const slowReadingProbability = 0.15;
const halfCloseProbability = 0.03;
/** Probability that a caller sends more before everything is answered. */
const impatientProbability = 0.3;
const idempotentProbability = 0.7;
const largeBytes = 200_000;
const responseMilliseconds = [1, 5, 20, 20, 60, 150, 400];
const responseBytes = [0, 0, 0, 2000, 20_000, largeBytes];
/** Probability that an answer ends with its connection. */
const connectionEndProbability = 0.05;

/** Starts the callers. */
export function startStayingCallers(options: leavingCallers.LeavingCallersOptions): StayingCallers {
	const stopController = new AbortController();
	const connections: ObservedConnection[] = [];

	async function runCaller(index: number): Promise<void> {
		const randomSource = random.createRandomSource(options.seed + (1000 * index) + 2);
		while (!stopController.signal.aborted) {
			const gateway = options.addresses[randomSource.nextInteger(options.addresses.length)]!;
			connections.push(await useConnection(gateway, randomSource));
			await timers.setTimeout(randomSource.nextInteger(maximumPauseMilliseconds));
		}
	}

	async function useConnection(gateway: string, randomSource: random.RandomSource): Promise<ObservedConnection> {
		const [host, port] = gateway.split(':');
		const socket = net.connect(Number(port), host);
		const reader = responseReader.createResponseReader();
		const requests: SentRequest[] = [];
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

		const waitUntil = async (isDone: () => boolean) => {
			const patientUntil = performance.now() + patienceMilliseconds;
			while (end.at === undefined && !isDone() && performance.now() < patientUntil) {
				await timers.setTimeout(pollMilliseconds);
			}
		};

		const hasLastAnswer = () => reader.answers.at(-1)?.isLast === true;
		const isAnswered = () => reader.answers.length >= requests.length;
		let hasLeft = false;
		while (end.at === undefined && !hasLeft && !hasLastAnswer() && !stopController.signal.aborted) {
			const row = createRow(options.listRoutes(), randomSource);
			requests.push(...row.requests);
			socket.write(row.text);
			if (randomSource.nextFraction() < slowReadingProbability) {
				socket.pause();
				await timers.setTimeout(randomSource.nextInteger(maximumSlowReadingMilliseconds));
				socket.resume();
			}

			hasLeft = randomSource.nextFraction() < halfCloseProbability;
			if (randomSource.nextFraction() >= impatientProbability) {
				await waitUntil(() => isAnswered() || hasLastAnswer());
			}

			await timers.setTimeout(randomSource.nextInteger(maximumPauseMilliseconds));
		}

		if (hasLeft) {
			socket.end();
		}

		await waitUntil(() => isAnswered() && !hasLeft && !hasLastAnswer());
		socket.destroy();
		return {
			gateway, requests, answers: reader.answers, isMalformed: reader.hasFailed(), hasLeft, endedAt: end.at ?? performance.now(), error: end.error,
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

/** Creates requests that are sent at once, and their text. */
function createRow(routes: readonly soakPlatform.PublishedRoute[], randomSource: random.RandomSource): {readonly requests: readonly SentRequest[]; readonly text: string} {
	const choose = <Item>(items: readonly Item[]) => items[randomSource.nextInteger(items.length)]!;
	const count = minimumRequestsAhead + randomSource.nextInteger(1 + maximumRequestsAhead - minimumRequestsAhead);
	const rows = Array.from({length: count}, () => {
		const isIdempotent = randomSource.nextFraction() < idempotentProbability;
		const route = choose(routes.filter(candidate => candidate.isIdempotent === isIdempotent));
		const id = crypto.randomBytes(8).toString('hex');
		const method = isIdempotent ? 'GET' : 'POST';
		const end = randomSource.nextFraction() < connectionEndProbability ? 'connection' : choose(['length', 'chunks'] as const);
		const path = `${route.path}${responseForms.createFormPath({milliseconds: choose(responseMilliseconds), bytes: choose(responseBytes), end})}${randomSource.nextInteger(1000)}`;
		const body = isIdempotent ? '' : 'x'.repeat(1 + randomSource.nextInteger(maximumBodyBytes));
		const head = `${method} ${path} HTTP/1.1\r\nHost: ${soakPlatform.callerHost}\r\nAttempt-Id: ${id}\r\nDeadline-Ms: ${requestTimeoutMilliseconds}\r\n`;
		return {
			request: {
				id, route, method, path, requestBodyDigest: crypto.createHash('sha256').update(body).digest('hex'), sentAt: performance.now(), lastByteAt: performance.now(),
			},
			text: head + formatBody(body, randomSource),
		};
	});
	return {requests: rows.map(({request}) => request), text: rows.map(({text}) => text).join('')};
}

/** Formats the end of a head and the body, with a length or in chunks. */
function formatBody(body: string, randomSource: random.RandomSource): string {
	if (body === '') {
		return '\r\n';
	}

	if (randomSource.nextInteger(2) === 0) {
		return `Content-Length: ${body.length}\r\n\r\n${body}`;
	}

	const middle = randomSource.nextInteger(body.length);
	const chunks = [body.slice(0, middle), body.slice(middle)].filter(chunk => chunk !== '');
	return `Transfer-Encoding: chunked\r\n\r\n${chunks.map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('')}0\r\n\r\n`;
}

/** Lists the requests of a connection with their results; answers belong to requests by their order. */
export function listObservedRequests({requests, answers, gateway, hasLeft, endedAt, error}: ObservedConnection): readonly callers.ObservedRequest[] {
	return requests.map((request, index) => {
		const answer = answers[index];
		return {
			...request,
			gateway,
			endedAt: answer?.endedAt ?? endedAt,
			status: answer?.status ?? 0,
			error: answer ? '' : error,
			isCancelled: !answer && hasLeft,
			signature: answer?.signature ?? '',
			body: answer?.body ?? '',
		};
	});
}
