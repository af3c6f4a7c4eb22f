/** Decides what a request asks for, from its request line and headers. */
import * as neverthrow from 'neverthrow';
import {resolveOperation, type TableView} from '../decisions/table/service-view.ts';
import {type OperationRow} from '../decisions/table/rows.ts';
import {tryParseIdempotencyKey} from '../decisions/outcomes/idempotency-key.ts';
import {headerNames} from './headers.ts';
import {type ProblemKind} from './problem.ts';

/** Calls may be nested in this many others. */
export const largestDepth = 8;

const longestTimeoutMilliseconds = 3_600_000;

/** Request line and headers, in lower case, of a request. */
export type RequestShape = {
	readonly method: string;
	readonly url: string;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
};

export type Classification = {
	readonly service: string;
	readonly operation: OperationRow;
	/** Path and query below the service. */
	readonly path: string;
	readonly timeoutMilliseconds: number;
	readonly depth: number;
	readonly isRetryAllowed: boolean;
	readonly idempotencyKey: string | undefined;
};

/** Classifies a request; the error is the kind of problem to answer with. */
export function classify(shape: RequestShape, view: TableView): neverthrow.Result<Classification, ProblemKind> {
	const target = splitTarget(shape.url);
	if (!target) {
		return neverthrow.err('malformed-request');
	}

	const serviceView = view.services.get(target.service);
	if (!serviceView) {
		return neverthrow.err('unknown-service');
	}

	const operation = resolveOperation(serviceView, shape.method, target.path);
	if (!operation) {
		return neverthrow.err('unknown-operation');
	}

	const timeoutMilliseconds = getInteger(shape, headerNames.timeout, operation.timeoutMilliseconds);
	if (timeoutMilliseconds === undefined || timeoutMilliseconds < 1) {
		return neverthrow.err('malformed-timeout');
	}

	const depth = getInteger(shape, headerNames.depth, 0);
	if (depth === undefined) {
		return neverthrow.err('malformed-request');
	}

	if (depth >= largestDepth) {
		return neverthrow.err('nested-too-deep');
	}

	const idempotencyKey = shape.headers[headerNames.idempotencyKey];
	if (idempotencyKey !== undefined && (typeof idempotencyKey !== 'string' || !tryParseIdempotencyKey(idempotencyKey))) {
		return neverthrow.err('malformed-key');
	}

	return neverthrow.ok({
		...target,
		operation,
		timeoutMilliseconds: Math.min(timeoutMilliseconds, longestTimeoutMilliseconds),
		depth,
		isRetryAllowed: shape.headers[headerNames.retry] !== 'denied',
		idempotencyKey,
	});
}

/** Splits `/{service}/rest?query`; undefined for other forms of a request target. */
function splitTarget(url: string): {service: string; path: string} | undefined {
	const match = /^\/(?<service>[a-z0-9\-]+)(?<path>[\/?][\u0021-\u007E]*)?$/v.exec(url);
	if (!match?.groups) {
		return undefined;
	}

	const path = match.groups.path ?? '/';
	return {service: match.groups.service!, path: path.startsWith('/') ? path : `/${path}`};
}

function getInteger(shape: RequestShape, name: string, absent: number): number | undefined {
	const value = shape.headers[name];
	if (value === undefined) {
		return absent;
	}

	return typeof value === 'string' && /^\d{1,9}$/v.test(value) ? Number(value) : undefined;
}
