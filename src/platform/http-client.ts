/** HTTP client for the JSON interfaces of the platform's services. */
import {ResultAsync} from 'neverthrow';
import * as undici from 'undici';
import type * as z from 'zod';
import {type PlatformError} from './types.ts';

/** Request to a platform service; `schema` validates the response body. */
export type PlatformRequest<ResponseBody> = {
	readonly url: string;
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly body?: unknown;
	readonly timeoutMilliseconds: number;
	readonly schema: z.ZodType<ResponseBody>;
};

/** Sends a request and validates the response body against the schema. */
export function requestJson<ResponseBody>(request: PlatformRequest<ResponseBody>): ResultAsync<ResponseBody, PlatformError> {
	return ResultAsync.fromPromise(send(request), toPlatformError);
}

async function send<ResponseBody>(request: PlatformRequest<ResponseBody>): Promise<ResponseBody> {
	const response = await undici.request(request.url, {
		method: request.method,
		signal: AbortSignal.timeout(request.timeoutMilliseconds),
		...(request.body === undefined ? {} : {body: JSON.stringify(request.body), headers: {'content-type': 'application/json'}}),
	});
	const text = await response.body.text();
	if (response.statusCode !== 200) {
		throw new RefusedError(`${request.method} ${request.url} returned status ${response.statusCode}`);
	}

	return request.schema.parse(JSON.parse(text));
}

/** The service responded with a status other than 200, which means that the request had no effect. */
class RefusedError extends Error {
	override name = 'RefusedError';
}

/** Error codes of connections that failed before a request was sent. */
const connectErrorCodes = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

function toPlatformError(error: unknown): PlatformError {
	if (!(error instanceof Error)) {
		return {kind: 'lost', message: String(error)};
	}

	if (error.name === 'ZodError' || error instanceof SyntaxError) {
		return {kind: 'invalid', message: error.message};
	}

	const code = 'code' in error ? String(error.code) : '';
	const isRefused = error instanceof RefusedError || connectErrorCodes.has(code);
	return {kind: isRefused ? 'refused' : 'lost', message: error.message};
}
