/** Checks the health and load of one upstream, on the connection that the request would use. */
import type * as http from 'node:http';
import * as attempt from '../entry/attempt.ts';
import {type Connection} from '../entry/connection-pool.ts';
import * as patientTimer from './patient-timer.ts';
import {type Upstream} from './upstreams.ts';
import type * as statementRecorder from './statement-recorder.ts';
import {type HeaderHost, type ResponseMetadata} from './types.ts';

/** Dependencies of a load check. */
export type LoadCheckHost = {
	readonly headers: HeaderHost;
	/** Path of the health check of a service. */
	getHealthPath(service: string): string;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	recordCheck(upstream: Upstream, result: CheckResult['kind'], milliseconds: number): void;
	/** Records what an upstream stated about itself in its response. */
	recordStatements(upstream: Upstream, metadata: ResponseMetadata, exchange: statementRecorder.Exchange): void;
};

/** Result of a check. The receiver must use or release the connection of a healthy result. */
export type CheckResult
	= | {readonly kind: 'healthy'; readonly connection: Connection}
	/** The upstream is shutting down or failing. */
		| {readonly kind: 'unhealthy'}
	/** Another upstream responded at the address. */
		| {readonly kind: 'misdirected'}
	/** No connection, no response in time, or an invalid response. */
		| {readonly kind: 'silent'};

/** A load check in progress. */
export type LoadCheck = {
	/** Prevents the call of the listener; the connection of a healthy response that arrives later returns to its pool unless `takeLate` takes it. */
	detach(takeLate: (connection: Connection) => boolean): void;
};

const okStatus = 200;
/** Time after which a check without a response fails, in milliseconds; a busy entry reads responses tens of milliseconds late. */
const timeoutMilliseconds = 300;
/** Maximum size of the body of a response, in bytes; the load is in its headers. */
const maximumResponseBytes = 65_536;

/** Starts a check. The listener is called once, unless the check is detached first. */
export function startLoadCheck(host: LoadCheckHost, upstream: Upstream, listener: (result: CheckResult) => void): LoadCheck {
	const {pool, record, registration} = upstream;
	const startedAt = host.getNow();
	let runningAttempt: attempt.Attempt | undefined;
	let isOver = false;
	let takeLate: ((connection: Connection) => boolean) | undefined;
	let receivedBytes = 0;
	let responseHead: {readonly statusCode: number; readonly headers: http.IncomingHttpHeaders} | undefined;

	function finish(result: CheckResult): void {
		if (isOver) {
			return;
		}

		isOver = true;
		timer.stop();
		const now = host.getNow();
		host.recordCheck(upstream, result.kind, now - startedAt);
		if (result.kind === 'silent') {
			record.recordUnreachable(now);
		}

		if (!takeLate) {
			listener(result);
		} else if (result.kind === 'healthy' && !takeLate(result.connection)) {
			pool.release(result.connection);
		}
	}

	function evaluateResponse(connection: Connection): CheckResult {
		const metadata = host.headers.readResponse(responseHead!.headers);
		if (metadata.requestId !== undefined) {
			// A late copy of the response to an earlier request; the response to the check may still follow.
			pool.discard(connection);
			return {kind: 'silent'};
		}

		if (metadata.upstreamId !== undefined && metadata.upstreamId !== registration.id) {
			pool.discard(connection);
			return {kind: 'misdirected'};
		}

		if (metadata.upstreamId !== undefined) {
			host.recordStatements(upstream, metadata, {kind: 'check', statusCode: responseHead!.statusCode});
		}

		if (metadata.load) {
			record.recordReading({...metadata.load, readAt: host.getNow()});
		}

		if (responseHead!.statusCode !== okStatus) {
			pool.release(connection);
			return {kind: 'unhealthy'};
		}

		return {kind: 'healthy', connection};
	}

	function sendCheck(connection: Connection): void {
		runningAttempt = attempt.startAttempt(connection, {
			method: 'GET',
			path: host.getHealthPath(registration.service),
			headers: ['host', registration.address],
			body: {kind: 'none'},
		}, {
			onSent: () => undefined,
			onHead(statusCode, headers) {
				responseHead = {statusCode, headers};
			},
			onData(chunk) {
				receivedBytes += chunk.length;
				if (receivedBytes > maximumResponseBytes) {
					pool.discard(connection);
					finish({kind: 'silent'});
				}

				return true;
			},
			onEnd(isComplete) {
				connection.lastActiveAt = host.getNow();
				if (isComplete) {
					finish(evaluateResponse(connection));
				} else {
					pool.discard(connection);
					finish({kind: 'silent'});
				}
			},
			onFailed() {
				pool.discard(connection);
				finish({kind: 'silent'});
			},
		});
	}

	const cancelAcquire = pool.acquire(false, connection => {
		if (isOver) {
			if (connection) {
				pool.release(connection);
			}
		} else if (connection) {
			sendCheck(connection);
		} else {
			finish({kind: 'silent'});
		}
	});
	const timer = patientTimer.startPatientTimer(timeoutMilliseconds, host.getNow, () => {
		cancelAcquire();
		runningAttempt?.abort();
		finish({kind: 'silent'});
		pool.closeInactiveSince(startedAt);
	});

	return {
		detach(newTakeLate) {
			takeLate = newTakeLate;
		},
	};
}
