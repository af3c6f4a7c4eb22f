/** Tests of starts and signals with real processes. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as gatewayProcess from './support/gateway-process.ts';
import * as gateways from './support/gateways.ts';

const {afterEach, beforeEach, expect, test} = vitest;

let standIns: gatewayProcess.StandIns;

beforeEach(async () => {
	standIns = await gatewayProcess.startStandIns();
});

afterEach(gatewayProcess.close);

async function holdPort(host: string, port: number): Promise<net.Server> {
	const server = net.createServer();
	await new Promise<void>(resolve => {
		server.listen(port, host, resolve);
	});
	gatewayProcess.addCleanup(async () => {
		server.close();
	});
	return server;
}

// Guards against a process that ends because the one before it still holds a port, or because of a SIGHUP before its ports are open.
test('a process whose port is still held starts once the port is free, and survives SIGHUP meanwhile', async () => {
	const host = gatewayProcess.createHost();
	const holder = await holdPort(host, 8144);
	const gateway = gatewayProcess.start({host, storeAddress: standIns.store.address});
	await gateways.waitUntil(() => gateway.hasLogged('port-held'));
	gateway.signal('SIGHUP');
	gateway.signal('SIGHUP');
	await timers.setTimeout(200);
	holder.close();
	await gateways.waitUntil(async () => gatewayProcess.isReady(gateway));
	await gateways.waitUntil(() => gateway.hasLogged('settings-reloaded'));
	const {status} = await gateways.send(gateway.front, '/price/1');
	expect(status).toBe(200);
});

test('SIGTERM during a start ends the process in order', async () => {
	const host = gatewayProcess.createHost();
	await holdPort(host, 8144);
	const gateway = gatewayProcess.start({host, storeAddress: standIns.store.address});
	await gateways.waitUntil(() => gateway.hasLogged('port-held'));
	gateway.signal('SIGTERM');
	expect(await gateway.exited).toEqual({code: 0});
});

// Guards against a process that can't start because something else has the port of its metrics.
test('a process whose metrics port is held serves requests', async () => {
	const host = gatewayProcess.createHost();
	await holdPort(host, gatewayProcess.metricsPort);
	const gateway = gatewayProcess.start({host, storeAddress: standIns.store.address});
	await gateways.waitUntil(async () => gatewayProcess.isReady(gateway));
	const {status} = await gateways.send(gateway.front, '/price/1');
	expect(status).toBe(200);
});

// Guards against a process that ends by a SIGHUP while it loads the program.
test('the launcher keeps SIGHUP from ending the process while it loads the program', async () => {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'fescuering-launcher-'));
	gatewayProcess.addCleanup(async () => {
		fs.rmSync(folder, {recursive: true});
	});
	fs.copyFileSync('scripts/load-bundle.cjs', path.join(folder, 'gateway.cjs'));
	fs.writeFileSync(path.join(folder, 'gateway-bundle.cjs'), 'process.kill(process.pid, "SIGHUP"); setTimeout(() => process.exit(3), 100);');
	const {status} = childProcess.spawnSync(process.execPath, [path.join(folder, 'gateway.cjs')]);
	expect(status).toBe(3);
});
