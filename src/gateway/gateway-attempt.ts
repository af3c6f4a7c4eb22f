/** One attempt of a request at one upstream: sends it, holds the answer until it is whole, and judges it. */
import type * as http from 'node:http';
import * as buffer from 'node:buffer';
import {type AttemptEnd} from '../decisions/outcomes/resend-rule.ts';
import * as attempt from '../entry/attempt.ts';
import {type Connection} from '../entry/connection-pool.ts';
import {type Selected} from './selection.ts';
import {type AnswerFacts, type GatewayRequest, type HeaderHost} from './types.ts';

/** A whole answer of an upstream. */
export type AttemptAnswer = {
	readonly statusCode: number;
	readonly headers: http.IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** Whether the answer told where it ends; otherwise it ended with its connection, and may be cut short. */
	readonly hasOwnEnd: boolean;
};

export type GatewayAttemptHost = {
	readonly headers: HeaderHost;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

export type GatewayAttemptListener = {
	/** From now on the request may run. */
	onSent(): void;
	/** Comes once and last; an end of kind `answered` has the answer. */
	onEnd(end: AttemptEnd, answer: AttemptAnswer | undefined): void;
};

export type GatewayAttempt = {
	start(): void;
	/** Ends the attempt; a request that was sent is cut off, so that the upstream stops its work. */
	giveUp(): void;
};

const firstFailureStatus = 300;
const misdirectedStatus = 421;
/** Answers are held whole up to this size, in bytes; the largest of the users' is below a tenth of it. */
const largestAnswerBytes = 4 * 1024 * 1024;
/** Time that is left to the upstream at least, in milliseconds. */
const shortestDeadlineMilliseconds = 1;

/** Creates an attempt; `start` begins it. */
export function createGatewayAttempt(host: GatewayAttemptHost, request: GatewayRequest, selected: Selected, listener: GatewayAttemptListener): GatewayAttempt {
	const {upstream} = selected;
	const {pool, registration, record} = upstream;
	const chunks: Uint8Array[] = [];
	let size = 0;
	let head: {readonly statusCode: number; readonly headers: http.IncomingHttpHeaders; readonly facts: AnswerFacts} | undefined;
	let running: attempt.Attempt | undefined;
	let withdraw: (() => void) | undefined;
	let isSent = false;
	let isOver = false;

	function finish(end: AttemptEnd, answer?: AttemptAnswer): void {
		if (!isOver) {
			isOver = true;
			listener.onEnd(end, answer);
		}
	}

	function run(connection: Connection): void {
		const milliseconds = Math.max(shortestDeadlineMilliseconds, Math.floor(request.limitAt - host.getNow()));
		running = attempt.startAttempt(connection.client, {
			method: request.method,
			path: request.path,
			headers: [...request.headers.flat(), ...host.headers.createUpstreamHeaders(registration.id, milliseconds)],
			body: request.body,
		}, {
			onSent() {
				isSent = true;
				listener.onSent();
			},
			onHead(statusCode, headers) {
				head = {statusCode, headers, facts: host.headers.readAnswer(headers)};
			},
			onData(chunk) {
				chunks.push(chunk);
				size += chunk.length;
				if (size > largestAnswerBytes) {
					breakOff(connection, 'answer-too-large');
				}

				return true;
			},
			onEnd() {
				connection.lastHeardAt = host.getNow();
				judge(connection);
			},
			onFailed(error) {
				pool.discard(connection);
				finish(isSent ? {kind: 'broken', reason: describeError(error)} : {kind: 'not-sent'});
			},
		});
	}

	function breakOff(connection: Connection, reason: string): void {
		pool.discard(connection);
		finish({kind: 'broken', reason});
	}

	/** Decides what a complete answer is worth. An answer to another request says nothing of this one. */
	function judge(connection: Connection): void {
		const {statusCode, headers, facts} = head!;
		if (facts.load) {
			record.noteReading({...facts.load, readAt: host.getNow()});
		}

		if (facts.requestId !== undefined && facts.requestId !== request.id) {
			breakOff(connection, 'foreign-answer');
			return;
		}

		if (facts.isNotRun || statusCode === misdirectedStatus) {
			pool.release(connection);
			finish({kind: 'not-run'});
			return;
		}

		if (facts.requestId === undefined) {
			breakOff(connection, 'unidentified-answer');
			return;
		}

		if (!facts.isSigned && statusCode < firstFailureStatus) {
			breakOff(connection, 'unsigned-answer');
			return;
		}

		if (connection.isBroken && !hasOwnEnd(headers)) {
			breakOff(connection, 'reset-within-answer');
			return;
		}

		pool.release(connection);
		finish({kind: 'answered', statusCode}, {
			statusCode, headers, body: chunks.length === 1 ? chunks[0]! : buffer.Buffer.concat(chunks), hasOwnEnd: hasOwnEnd(headers),
		});
	}

	return {
		start() {
			record.noteSent(host.getNow());
			if (selected.connection) {
				run(selected.connection);
				return;
			}

			withdraw = pool.acquire(true, connection => {
				if (isOver) {
					if (connection) {
						pool.release(connection);
					}
				} else if (connection) {
					run(connection);
				} else {
					finish({kind: 'not-sent'});
				}
			});
		},
		giveUp() {
			if (isOver) {
				return;
			}

			withdraw?.();
			finish(isSent ? {kind: 'broken', reason: 'given-up'} : {kind: 'not-sent'});
			running?.abort();
		},
	};
}

/** Whether an answer tells where it ends; undici takes the reset of a connection for the end of one that doesn't. */
function hasOwnEnd(headers: http.IncomingHttpHeaders): boolean {
	return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

function describeError(error: Error): string {
	return 'code' in error ? String(error.code) : error.message;
}
