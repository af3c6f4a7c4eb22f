/** Tests of responses that arrive slowly: those without end end the attempt long before the deadline, all others are waited for. */
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as hostileUpstream from './support/hostile-upstream.ts';

const {afterEach, expect, test} = vitest;

afterEach(hostileUpstream.close);

const head = 'HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nUpstream-Signature: s\r\n';
const intervalMilliseconds = 40;

const endlessResponses = [
	{name: 'header lines', start: head, part: 'A: b\r\n'},
	{name: 'a header value', start: `${head}A: `, part: 'b'},
	{name: 'interim responses', start: '', part: 'HTTP/1.1 103 Early Hints\r\n\r\n'},
	{name: 'a chunk extension', start: `${head}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n4;a=`, part: 'b'},
	{name: 'trailers', start: `${head}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n`, part: 'A: b\r\n'},
];

// Guards against requests that wait until their deadline for bytes which never become a response.
test.each(endlessResponses)('$name without end, a few bytes at a time, end the attempt', async ({start, part}) => {
	const upstream = await hostileUpstream.start(socket => {
		socket.write(start);
		const timer = setInterval(() => {
			socket.write(part);
		}, intervalMilliseconds);
		socket.once('close', () => {
			clearInterval(timer);
		});
	});
	const {end} = await hostileUpstream.attempt(upstream, 'a');
	expect(end.kind).toBe('broken');
	expect(upstream.pool.count()).toBe(0);
});

async function writeParts(socket: net.Socket, parts: readonly string[], pauseMilliseconds: number): Promise<void> {
	for (const part of parts) {
		socket.write(part);
		await timers.setTimeout(pauseMilliseconds);
	}
}

const slowResponses = [
	{name: 'a long time after an interim response', parts: ['HTTP/1.1 103 Early Hints\r\n\r\n', '', '', `${head}Content-Length: 4\r\n\r\nbody`]},
	{name: 'whose head arrives in two parts', parts: [head, 'Content-Length: 4\r\n\r\nbody']},
	{name: 'whose body arrives in pieces', parts: [`${head}Content-Length: 4\r\n\r\n`, 'b', 'o', 'd', 'y']},
];

test.each(slowResponses)('a response $name is waited for', async ({parts}) => {
	const upstream = await hostileUpstream.start(socket => {
		void writeParts(socket, parts, 600);
	});
	const {answer} = await hostileUpstream.attempt(upstream, 'a');
	expect(new TextDecoder().decode(answer?.body)).toBe('body');
});

// Guards against a process that runs out of memory: each of many responses without end stays within the limit of one.
test('many bodies at once stay within the memory for all responses, and it is free afterwards', async () => {
	const bodyBytes = 4_000_000;
	const upstream = await hostileUpstream.start((socket, requestText) => {
		const id = /attempt-id: (?<id>\S+)/v.exec(requestText)!.groups!.id!;
		socket.write(`${head.replace('Attempt-Id: a', `Attempt-Id: ${id}`)}Content-Length: ${bodyBytes + 1}\r\n\r\n`);
		socket.write(new Uint8Array(bodyBytes));
		setTimeout(() => {
			socket.end('!');
		}, 500);
	});
	const results = await Promise.all(Array.from({length: 8}, async (_value, index) => hostileUpstream.attempt(upstream, `a${index}`)));
	const reasons = results.map(({end}) => end.kind === 'broken' ? end.reason : end.kind);
	expect(reasons.filter(reason => reason === 'memory-full')).toHaveLength(3);
	expect(reasons.filter(reason => reason === 'answered')).toHaveLength(5);
	expect(hostileUpstream.memory.getUsed()).toBe(0);
});
