/** Tests that a response which ends early is never taken for a complete one, wherever it is cut. */
import * as vitest from 'vitest';
import * as hostileUpstream from './support/hostile-upstream.ts';

const {afterEach, expect, test} = vitest;

afterEach(hostileUpstream.close);

const head = 'HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nUpstream-Signature: s\r\n';
const responses = [
	{name: 'with a length', text: `${head}Content-Length: 4\r\n\r\nbody`},
	{name: 'with a length, on a connection that closes', text: `${head}Connection: close\r\nContent-Length: 4\r\n\r\nbody`},
	{name: 'in chunks', text: `${head}Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n`},
	{name: 'in chunks, on a connection that closes', text: `${head}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n`},
	{name: 'of HTTP/1.0 with a length', text: `${head.replace('1.1', '1.0')}Content-Length: 4\r\n\r\nbody`},
];

test.each(responses)('a response $name that is cut anywhere is not complete', async ({text}) => {
	for (const isReset of [false, true]) {
		for (let length = 0; length < text.length; length++) {
			const upstream = await hostileUpstream.start(socket => {
				socket.write(text.slice(0, length), () => {
					if (isReset) {
						socket.resetAndDestroy();
					} else {
						socket.end();
					}
				});
			});
			const {end} = await hostileUpstream.attempt(upstream, 'a');
			expect(end.kind, JSON.stringify(text.slice(0, length))).toBe('broken');
		}
	}
});

test('a head without a length that is cut before its end is not a complete response', async () => {
	const text = `${head}Connection: close\r\n`;
	for (let length = 0; length <= text.length; length++) {
		const upstream = await hostileUpstream.start(socket => {
			socket.end(text.slice(0, length));
		});
		const {end} = await hostileUpstream.attempt(upstream, 'a');
		expect(end.kind, JSON.stringify(text.slice(0, length))).toBe('broken');
	}
});
