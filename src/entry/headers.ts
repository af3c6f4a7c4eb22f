/** Names of headers, and which of them are passed on. */
import type * as http from 'node:http';
import {type HeaderPairs} from './call.ts';

export const headerNames = {
	/** Time left for the call, in milliseconds. */
	timeout: 'fescuering-timeout-milliseconds',
	/** Number of calls that a call is nested in. */
	depth: 'fescuering-depth',
	/** `denied` when a caller above retries. */
	retry: 'fescuering-retry',
	outcome: 'fescuering-outcome',
	entry: 'fescuering-entry',
	/** `refresh` tells the caller to ask for the entries again. */
	entries: 'fescuering-entries',
	/** Version of the list of entries that the caller uses. */
	entriesVersion: 'fescuering-entries-version',
	/** Load of an upstream. */
	load: 'fescuering-load',
	idempotencyKey: 'idempotency-key',
	/** `1` states that the caller sent no call with this key before, and sends none until this one has ended. */
	attempt: 'fescuering-attempt',
	traceparent: 'traceparent',
} as const;

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const connectionHeaders = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** Headers that the entry sets itself. */
const ownRequestHeaders = new Set<string>([
	'host', 'expect', 'content-length', headerNames.timeout, headerNames.depth, headerNames.retry, headerNames.traceparent, headerNames.idempotencyKey, headerNames.entriesVersion,
]);
const ownAnswerHeaders = new Set<string>([
	headerNames.outcome, headerNames.entry, headerNames.entries, headerNames.load,
]);

/** Takes the headers of a request that go on to the upstream, from the alternating names and values of `rawHeaders`. */
export function getForwardedRequestHeaders(rawHeaders: readonly string[]): HeaderPairs {
	return getForwardedHeaders(rawHeaders, ownRequestHeaders);
}

/** Takes the headers of an answer that go on to the caller. */
export function getForwardedAnswerHeaders(headers: http.IncomingHttpHeaders): HeaderPairs {
	const rawHeaders: string[] = [];
	for (const [name, value] of Object.entries(headers)) {
		for (const single of Array.isArray(value) ? value : [value ?? '']) {
			rawHeaders.push(name, single);
		}
	}

	return getForwardedHeaders(rawHeaders, ownAnswerHeaders);
}

/** Takes the headers that are neither bound to one connection nor among `ownHeaders`; names become lower case. */
export function getForwardedHeaders(rawHeaders: readonly string[], ownHeaders: {has(name: string): boolean}): HeaderPairs {
	const pairs: Array<[string, string]> = [];
	let connectionOptions: readonly string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		const value = rawHeaders[index + 1]!;
		if (name === 'connection') {
			connectionOptions = value.toLowerCase().split(',').map(option => option.trim());
		}

		if (!connectionHeaders.has(name) && !ownHeaders.has(name)) {
			pairs.push([name, value]);
		}
	}

	const named = connectionOptions.filter(option => option !== 'close' && option !== 'keep-alive');
	return named.length === 0 ? pairs : pairs.filter(([name]) => !named.includes(name));
}
