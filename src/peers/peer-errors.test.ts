import {Code, ConnectError} from '@connectrpc/connect';
import * as vitest from 'vitest';
import {isPeerSessionError} from './peer-errors.ts';

const {expect, test} = vitest;

test('only errors of HTTP/2 sessions to other entries may be ignored when uncaught', () => {
	expect(isPeerSessionError(new ConnectError('received GOAWAY without any open streams', Code.Canceled))).toBe(true);
	expect(isPeerSessionError(Object.assign(new Error('Session closed'), {code: 'ERR_HTTP2_SESSION_ERROR'}))).toBe(true);
	expect(isPeerSessionError(new TypeError('x is not a function'))).toBe(false);
	expect(isPeerSessionError(Object.assign(new Error('reset'), {code: 'ECONNRESET'}))).toBe(false);
	expect(isPeerSessionError('text')).toBe(false);
});
