/** Properties of all ports: whatever bytes arrive on one, and however the connection ends, the process goes on. */
import * as timers from 'node:timers/promises';
import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as fleets from '../stand-ins/fleet.ts';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';
import * as rawCaller from './support/raw-caller.ts';

const {afterEach, expect, test} = vitest;

afterEach(gatewayProcess.close);

/** A connection: what is written on it, and how it ends. */
type Visit = {readonly text: string; readonly pauseMilliseconds: number; readonly end: 'finish' | 'reset' | 'leave'};

const anyText = fastCheck.uint8Array({maxLength: 40}).map(bytes => String.fromCodePoint(...bytes));
const token = fastCheck.constantFrom('', 'a', 'host', 'close', 'upgrade', 'keep-alive', 'h2c', 'chunked', 'gzip, chunked', 'trailers', '100-continue', '0', '-1', '9'.repeat(30), '__proto__', '\u00E9', 'x'.repeat(20_000));
const line = fastCheck.tuple(fastCheck.constantFrom('Host', 'Connection', 'Upgrade', 'Expect', 'Content-Length', 'Transfer-Encoding', 'HTTP2-Settings', 'TE', 'Attempt-Id', '__proto__', 'X'), fastCheck.array(token, {maxLength: 3})).map(([name, values]) => `${name}: ${values.join(', ')}\r\n`);
const method = fastCheck.constantFrom('GET', 'HEAD', 'POST', 'PUT', 'OPTIONS', 'TRACE', 'CONNECT', 'PRI', 'SOURCE', 'get', 'QUERY');
const target = fastCheck.oneof(fastCheck.constantFrom('/', '*', '//', 'http://', 'http://[', 'a:80', '/api/ready', '/api/resolve', '/metrics', '/api/resolve?zone=%', '/v1/entries?a=%E0', 'http://a/api/resolve?zone=riverside', '/%00'), anyText);
const request = fastCheck.tuple(method, target, fastCheck.constantFrom('HTTP/1.1', 'HTTP/1.0', 'HTTP/0.9', 'HTTP/2.0', 'HTTP/9'), fastCheck.array(line, {maxLength: 5}), anyText)
	.map(([requestMethod, requestTarget, version, lines, body]) => `${requestMethod} ${requestTarget} ${version}\r\nHost: a\r\n${lines.join('')}\r\n${body}`);
const frame = fastCheck.tuple(fastCheck.integer({min: 0, max: 12}), fastCheck.integer({min: 0, max: 255}), fastCheck.constantFrom(0, 1, 1, 2, 3, 0x7F_FF_FF_FF), fastCheck.uint8Array({maxLength: 30})).map(([type, flags, stream, payload]) => {
	const head = [0, 0, payload.length, type, flags, ...[24, 16, 8, 0].map(shift => Math.floor(stream / (2 ** shift)) % 256)];
	return String.fromCodePoint(...head, ...payload);
});
/** Header fields of a request: POST, http, a path of one letter. */
const validHeadersFrame = String.fromCodePoint(0, 0, 5, 1, 4, 0, 0, 0, 1, 0x83, 0x86, 0x04, 0x01, 0x2F);
const preface = 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n';
const settingsFrame = String.fromCodePoint(0, 0, 0, 4, 0, 0, 0, 0, 0);
const session = fastCheck.tuple(fastCheck.constantFrom('', settingsFrame), fastCheck.constantFrom('', validHeadersFrame), fastCheck.array(frame, {maxLength: 6})).map(parts => preface + parts.flat().join(''));
const visit: fastCheck.Arbitrary<Visit> = fastCheck.record({
	text: fastCheck.oneof({weight: 4, arbitrary: fastCheck.array(request, {minLength: 1, maxLength: 3}).map(requests => requests.join(''))}, {weight: 3, arbitrary: session}, anyText),
	pauseMilliseconds: fastCheck.constantFrom(0, 0, 1, 5),
	end: fastCheck.constantFrom('finish', 'reset', 'leave'),
});

async function visitOnce(address: string, {text, pauseMilliseconds, end}: Visit): Promise<void> {
	const caller = rawCaller.connect(address);
	await new Promise<void>(resolve => {
		caller.socket.write(text, 'latin1', () => {
			resolve();
		});
	});
	await timers.setTimeout(pauseMilliseconds);
	if (end === 'finish') {
		caller.socket.end();
		await Promise.race([caller.closed, timers.setTimeout(20)]);
	}

	caller.socket[end === 'reset' ? 'resetAndDestroy' : 'destroy']();
}

/** Visits an address, several times at once; `check` fails once the process has ended. */
async function visitOften(address: string, seed: number, check: () => Promise<void>): Promise<void> {
	await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(visit, {minLength: 4, maxLength: 8}), async visits => {
		await Promise.all(visits.map(async one => visitOnce(address, one)));
		await check();
	}), {seed, numRuns: 150, endOnFailure: true});
}

// Guards against a process that bytes on one of its ports end, such as a CONNECT whose connection is reset at once.
test.each(['front', 'directory', 'ready', 'metrics', 'peers'] as const)('nothing that arrives on the port %s ends a gateway', async name => {
	const standIns = await gatewayProcess.startStandIns();
	const gateway = await gatewayProcess.startReady(standIns.store);
	const address = name === 'metrics' ? `${gateway.host}:${gatewayProcess.metricsPort}` : gateway[name];
	await visitOften(address, 36, async () => {
		expect(gateway.hasEnded()).toBe(false);
		expect(gateway.hasLogged('gateway-crashed')).toBe(false);
	});
	await timers.setTimeout(100);
	expect(gateway.hasEnded()).toBe(false);
	expect(await gateways.isReady(gateway)).toBe(true);
	expect(await gatewayProcess.readMetric(gateway, 'fescuering_gateway_cut_off')).toBe(0);
	expect(await gateways.send(gateway.front, '/price/1')).toMatchObject({status: 200});
	expect(await gateways.send(gateway.directory, '/api/resolve?zone=riverside')).toMatchObject({status: 200});
}, 60_000);

test.each(['callers', 'peers'] as const)('nothing that arrives on the port for %s ends an entry', async name => {
	const fleet = await fleets.startFleet({
		entryCount: 1, failureDomains: ['north'], seed: 36, services: [],
	});
	try {
		const {address, peerAddress, program} = fleet.entries[0]!;
		let hasEnded = false;
		void program.exited.then(() => {
			hasEnded = true;
		});
		await visitOften(name === 'peers' ? peerAddress : address, 36, async () => {
			expect(hasEnded, program.getErrorOutput()).toBe(false);
		});
		await timers.setTimeout(100);
		expect(hasEnded, program.getErrorOutput()).toBe(false);
		expect(await gateways.send(address, '/healthz')).toMatchObject({status: 200});
	} finally {
		await fleet.stop();
	}
}, 60_000);
