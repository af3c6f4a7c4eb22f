/** Tests that no request ends a process, whatever its bytes. */
import * as net from 'node:net';
import * as vitest from 'vitest';
import * as gatewayProcess from './support/gateway-process.ts';

const {afterEach, beforeEach, expect, test} = vitest;

let standIns: gatewayProcess.StandIns;

beforeEach(async () => {
	standIns = await gatewayProcess.startStandIns();
});

afterEach(gatewayProcess.close);

const oddTargets = ['//', '///', 'http://', 'http://[/a/b', '*', '?', '/\\', 'http://a:b/', '/api/resolve?%', '%'];

/** Sends a request with a target as it is; returns the text of the response, which may be empty. */
async function sendTarget(address: string, target: string): Promise<string> {
	const [host, port] = address.split(':');
	const socket = net.connect(Number(port), host);
	let text = '';
	socket.on('error', () => undefined);
	socket.on('data', chunk => {
		text += String(chunk);
	});
	socket.write(`GET ${target} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a\r\nConnection: close\r\n\r\n`);
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	return text;
}

// Guards against a process that ends because of a request target that can't be parsed.
test('requests with odd targets end no process, on any port', async () => {
	const gateway = await gatewayProcess.startReady(standIns.store);
	for (const address of [gateway.directory, gateway.ready, gateway.front, gateway.peers, `${gateway.host}:${gatewayProcess.metricsPort}`]) {
		for (const target of oddTargets) {
			await sendTarget(address, target);
		}
	}

	for (const target of ['/api/resolve', '/api/resolve?zone=riverside', 'http://any.example/api/resolve']) {
		expect(await sendTarget(gateway.directory, target)).toMatch(/^HTTP\/1\.1 200 /v);
	}

	expect(gateway.hasLogged('gateway-crashed')).toBe(false);
});
