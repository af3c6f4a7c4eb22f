/** Header names, and the selection of the headers that are forwarded. */
import type * as http from 'node:http';
import {type HeaderPairs} from './call.ts';

/** Names of the headers that the entry sets or evaluates. */
export const headerNames = {
	/** Time until the deadline of the call, in milliseconds. */
	timeout: 'fescuering-timeout-milliseconds',
	/** Number of calls that enclose a call. */
	depth: 'fescuering-depth',
	/** `denied` when a sender further up the chain of nested calls retries. */
	retry: 'fescuering-retry',
	outcome: 'fescuering-outcome',
	entry: 'fescuering-entry',
	/** `refresh` requests that the caller fetch the entry list again. */
	entries: 'fescuering-entries',
	/** Version of the entry list that the caller uses. */
	entriesVersion: 'fescuering-entries-version',
	/** Load that an upstream reports. */
	load: 'fescuering-load',
	idempotencyKey: 'idempotency-key',
	/** `1` declares that the caller has sent no earlier call with this key, and sends none until this one has ended. */
	attempt: 'fescuering-attempt',
	traceparent: 'traceparent',
} as const;

/** Hop-by-hop headers, which apply to a single connection (RFC 9110, section 7.6.1). */
const hopByHopHeaders = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** Headers that are not forwarded because the entry sets or evaluates them itself. */
const excludedRequestHeaders = new Set<string>([
	'host', 'expect', 'content-length', headerNames.timeout, headerNames.depth, headerNames.retry, headerNames.traceparent, headerNames.idempotencyKey, headerNames.entriesVersion,
]);
const excludedAnswerHeaders = new Set<string>([
	headerNames.outcome, headerNames.entry, headerNames.entries, headerNames.load,
]);

/** Returns the headers of a request to forward to the upstream; `rawHeaders` holds alternating names and values. */
export function getForwardedRequestHeaders(rawHeaders: readonly string[]): HeaderPairs {
	return getForwardedHeaders(rawHeaders, excludedRequestHeaders);
}

/** Returns the headers of an answer to forward to the caller. */
export function getForwardedAnswerHeaders(headers: http.IncomingHttpHeaders): HeaderPairs {
	const rawHeaders: string[] = [];
	for (const [name, value] of Object.entries(headers)) {
		for (const singleValue of Array.isArray(value) ? value : [value ?? '']) {
			rawHeaders.push(name, singleValue);
		}
	}

	return getForwardedHeaders(rawHeaders, excludedAnswerHeaders);
}

/** Names of headers. */
export type HeaderNames = {has(name: string): boolean};

const noHeaders: HeaderNames = new Set();

/** Returns the headers that are neither hop-by-hop nor among `excludedHeaders`, with names in lower case. The `Connection` header can't make one of `endToEndHeaders` hop-by-hop. */
export function getForwardedHeaders(rawHeaders: readonly string[], excludedHeaders: HeaderNames, endToEndHeaders = noHeaders): HeaderPairs {
	const pairs: Array<[string, string]> = [];
	const connectionOptions: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		const value = rawHeaders[index + 1]!;
		if (name === 'connection') {
			connectionOptions.push(...value.toLowerCase().split(',').map(option => option.trim()));
		}

		if (!hopByHopHeaders.has(name) && !excludedHeaders.has(name)) {
			pairs.push([name, value]);
		}
	}

	const connectionSpecificNames = connectionOptions.filter(option => option !== 'close' && option !== 'keep-alive' && !endToEndHeaders.has(option));
	return connectionSpecificNames.length === 0 ? pairs : pairs.filter(([name]) => !connectionSpecificNames.includes(name));
}
