/** Tests that a failing handler ends its own request and nothing else. */
import * as http from 'node:http';
import * as vitest from 'vitest';
import * as freePorts from '../bench/faults/free-ports.ts';
import * as guardedRequests from '../src/gateway/guarded-requests.ts';
import * as gateways from './support/gateways.ts';

const {expect, test} = vitest;

const handlers = new Map<string | undefined, guardedRequests.RequestHandler>([
	['/throw', () => {
		throw new Error('thrown');
	}],
	['/reject', async () => {
		throw new Error('rejected');
	}],
	['/late', (_request, response) => {
		response.writeHead(200, {'content-length': '10'}).write('half');
		throw new Error('late');
	}],
	['/sound', (_request, response) => {
		response.end('ok');
	}],
]);

// Guards against a process that one failing handler of a small port ends.
test('a handler that throws ends its own request with 500, is logged and counted, and others are answered', async () => {
	const [port] = await freePorts.findFreePorts(1);
	const address = `127.0.0.1:${port}`;
	const reasons: string[] = [];
	const ports: string[] = [];
	const host: guardedRequests.RequestGuardHost = {
		logger: {
			error(event, fields) {
				reasons.push(`${event} ${String(fields?.reason).split('\n', 1)[0]}`);
			},
			warn: () => undefined,
			info: () => undefined,
			debug: () => undefined,
		},
		recordFailedHandler(name) {
			ports.push(name);
		},
	};
	const server = http.createServer(guardedRequests.createGuardedListener(host, 'directory', (request, response) => handlers.get(request.url)!(request, response)));
	await new Promise<void>(resolve => {
		server.listen(port, '127.0.0.1', resolve);
	});
	expect(await gateways.send(address, '/throw')).toMatchObject({status: 500});
	expect(await gateways.send(address, '/reject')).toMatchObject({status: 500});
	await expect(gateways.send(address, '/late')).rejects.toThrow();
	expect(await gateways.send(address, '/sound')).toMatchObject({status: 200, body: 'ok'});
	expect(reasons).toEqual(['thrown', 'rejected', 'late'].map(reason => `handler-failed Error: ${reason}`));
	expect(ports).toEqual(['directory', 'directory', 'directory']);
	server.closeAllConnections();
	server.close();
});
