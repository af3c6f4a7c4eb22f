/** Headers of a caller's request that are passed on to upstreams. */
import type * as http from 'node:http';
import type * as call from '../entry/call.ts';
import * as headers from '../entry/headers.ts';
import type * as types from './types.ts';

/** Creates the headers to pass on, without those that the entry sets itself; `hasWorkspaces` removes the keys of callers as well. */
export function createForwardedHeaders(host: types.HeaderHost, request: http.IncomingMessage, body: call.CallBody, hasWorkspaces: boolean): types.GatewayRequest['headers'] {
	const isDropped = (name: string) => name === 'host' || name === 'expect' || name === 'content-length' || host.isReplacedHeader(name) || (hasWorkspaces && host.isCredentialHeader(name));
	const forwarded = headers.getForwardedHeaders(request.rawHeaders, {has: isDropped}, {has: host.isIdentityHeader});
	const length = body.kind === 'streamed' ? request.headers['content-length'] : undefined;
	return [['host', request.headers.host ?? ''], ...forwarded, ...(length === undefined ? [] : [['content-length', length] as const])];
}

/** Computes the size of a header section as it was sent, in bytes, from alternating names and values. */
export function countHeaderBytes(rawHeaders: readonly string[]): number {
	const separatorBytes = 2;
	return rawHeaders.reduce((sum, text) => sum + text.length + separatorBytes, 0);
}
