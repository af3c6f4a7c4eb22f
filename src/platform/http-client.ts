/** JSON over HTTP to the platform's services. */
import {ResultAsync} from 'neverthrow';
import * as undici from 'undici';
import type * as z from 'zod';
import {type PlatformError} from './types.ts';

/** Request to a platform service; `schema` checks the answer. */
export type PlatformRequest<Answer> = {
	readonly url: string;
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly body?: unknown;
	readonly timeoutMilliseconds: number;
	readonly schema: z.ZodType<Answer>;
};

/** Sends a request and checks the answer against its schema. */
export function requestJson<Answer>(request: PlatformRequest<Answer>): ResultAsync<Answer, PlatformError> {
	return ResultAsync.fromPromise(send(request), toPlatformError);
}

async function send<Answer>(request: PlatformRequest<Answer>): Promise<Answer> {
	const response = await undici.request(request.url, {
		method: request.method,
		signal: AbortSignal.timeout(request.timeoutMilliseconds),
		...(request.body === undefined ? {} : {body: JSON.stringify(request.body), headers: {'content-type': 'application/json'}}),
	});
	const text = await response.body.text();
	if (response.statusCode !== 200) {
		throw new RefusedError(`${request.method} ${request.url} was answered with status ${response.statusCode}`);
	}

	return request.schema.parse(JSON.parse(text));
}

/** The service said that it did nothing. */
class RefusedError extends Error {
	override name = 'RefusedError';
}

const codesBeforeSending = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

function toPlatformError(error: unknown): PlatformError {
	if (!(error instanceof Error)) {
		return {kind: 'lost', message: String(error)};
	}

	if (error.name === 'ZodError' || error instanceof SyntaxError) {
		return {kind: 'invalid', message: error.message};
	}

	const code = 'code' in error ? String(error.code) : '';
	const isRefused = error instanceof RefusedError || codesBeforeSending.has(code);
	return {kind: isRefused ? 'refused' : 'lost', message: error.message};
}
