import * as http from 'node:http';
import * as net from 'node:net';
import * as vitest from 'vitest';
import * as stopParsing from './stop-parsing.ts';

const {expect, test} = vitest;

// Guards against memory for thousands of requests of a connection on which nothing is handled any more.
test('the requests that were read together with the last one are not parsed, and those before are answered', async () => {
	const handled = 3;
	let count = 0;
	const server = http.createServer((request, response) => {
		count++;
		if (count === handled) {
			stopParsing.stopParsing(request.socket);
		}

		response.end();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	const socket = net.connect(typeof address === 'object' && address ? address.port : 0, '127.0.0.1');
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	socket.end('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(2000));
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	expect(text.match(/^HTTP\/1\.1 200 /gmv)).toHaveLength(handled);
	expect(count).toBe(handled);
	server.close();
});
