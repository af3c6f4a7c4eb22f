/** Validates the request line and headers of a call, and resolves its service and operation. */
import * as neverthrow from 'neverthrow';
import {findOperation, type TableView} from '../decisions/table/service-view.ts';
import {type OperationRow} from '../decisions/table/rows.ts';
import {tryParseIdempotencyKey} from '../decisions/outcomes/idempotency-key.ts';
import {headerNames} from './headers.ts';
import {type ProblemKind} from './problem.ts';

/** Calls with this many enclosing calls, or more, are refused; this limit also ends cycles among the services. */
export const depthLimit = 8;

const maximumTimeoutMilliseconds = 3_600_000;

/** Method, target and headers of a request; header names are in lower case. */
export type RequestHead = {
	readonly method: string;
	readonly url: string;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
};

/** Operation that a request calls, and the parameters of the call. */
export type Classification = {
	readonly service: string;
	readonly operation: OperationRow;
	/** Path and query after the service name. */
	readonly path: string;
	readonly timeoutMilliseconds: number;
	readonly depth: number;
	readonly isRetryAllowed: boolean;
	readonly idempotencyKey: string | undefined;
};

/** Classifies a request. The error is the kind of the problem to return to the caller. */
export function classifyRequest(head: RequestHead, view: TableView): neverthrow.Result<Classification, ProblemKind> {
	const target = splitTarget(head.url);
	if (!target) {
		return neverthrow.err('malformed-request');
	}

	const serviceView = view.services.get(target.service);
	if (!serviceView) {
		return neverthrow.err('unknown-service');
	}

	const operation = findOperation(serviceView, head.method, target.path);
	if (!operation) {
		return neverthrow.err('unknown-operation');
	}

	const timeoutMilliseconds = parseIntegerHeader(head, headerNames.timeout, operation.timeoutMilliseconds);
	if (timeoutMilliseconds === undefined || timeoutMilliseconds < 1) {
		return neverthrow.err('malformed-timeout');
	}

	const depth = parseIntegerHeader(head, headerNames.depth, 0);
	if (depth === undefined) {
		return neverthrow.err('malformed-request');
	}

	if (depth >= depthLimit) {
		return neverthrow.err('nested-too-deep');
	}

	const idempotencyKey = head.headers[headerNames.idempotencyKey];
	if (idempotencyKey !== undefined && (typeof idempotencyKey !== 'string' || !tryParseIdempotencyKey(idempotencyKey))) {
		return neverthrow.err('malformed-key');
	}

	return neverthrow.ok({
		...target,
		operation,
		timeoutMilliseconds: Math.min(timeoutMilliseconds, maximumTimeoutMilliseconds),
		depth,
		isRetryAllowed: head.headers[headerNames.retry] !== 'denied',
		idempotencyKey,
	});
}

/** Splits `/{service}/rest?query`; returns undefined for other forms of a request target. */
function splitTarget(url: string): {service: string; path: string} | undefined {
	const match = /^\/(?<service>[a-z0-9\-]+)(?<path>[\/?][\u0021-\u007E]*)?$/v.exec(url);
	if (!match?.groups) {
		return undefined;
	}

	const path = match.groups.path ?? '/';
	return {service: match.groups.service!, path: path.startsWith('/') ? path : `/${path}`};
}

/** Parses a header that holds a non-negative integer; returns undefined when it is malformed. */
function parseIntegerHeader(head: RequestHead, name: string, defaultValue: number): number | undefined {
	const value = head.headers[name];
	if (value === undefined) {
		return defaultValue;
	}

	return typeof value === 'string' && /^\d{1,9}$/v.test(value) ? Number(value) : undefined;
}
