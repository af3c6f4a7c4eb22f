/** Tests of callers that send a body in chunks, and read only then, while the process stops; with real processes. */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, expect, test} = vitest;
const graceSeconds = 6;
const chunkCount = 8;
const chunkMilliseconds = 300;

afterEach(gatewayProcess.close);

// Guards against callers whose connection ends without the answer that nothing was run, although the stop has time left.
test('a caller that reads once it has sent its body gets an answer if the body ends in the first half of a stop', async () => {
	const standIns = await gatewayProcess.startStandIns();
	standIns.store.put('keyed.op', 'config', gateways.createConfiguration(5, undefined, 10_000));
	const gateway = await gatewayProcess.startReady(standIns.store, [], {graceSeconds});
	const [host, port] = gateway.front.split(':');
	const socket = net.connect({host: host!, port: Number(port), noDelay: true});
	const errors: string[] = [];
	socket.on('error', (error: NodeJS.ErrnoException) => {
		errors.push(String(error.code));
	});
	socket.pause();
	socket.write(`POST /credit/1 HTTP/1.1\r\nHost: ${gateways.host}\r\nAttempt-Id: upload\r\nDeadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n`);
	await timers.setTimeout(100);
	gateway.signal('SIGTERM');
	for (let count = 1; count <= chunkCount && !socket.destroyed; count++) {
		await timers.setTimeout(chunkMilliseconds);
		socket.write(count === chunkCount ? '4\r\naaaa\r\n0\r\n\r\n' : '4\r\naaaa\r\n');
	}

	let text = '';
	socket.on('data', (chunk: Uint8Array) => {
		text += new TextDecoder('latin1').decode(chunk);
	});
	socket.resume();
	await timers.setTimeout(500);
	socket.destroy();
	expect({errors, status: /^HTTP\/1\.1 (?<status>200|503) /v.exec(text)?.groups?.status}).toEqual({errors: [], status: standIns.upstream.executedRequestIds.length === 1 ? '200' : '503'});
}, 30_000);
