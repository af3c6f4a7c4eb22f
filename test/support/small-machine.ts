/** A gateway process on a small machine, and what it must still do after callers have sent what costs it much. */
import * as vitest from 'vitest';
import * as crowds from './crowd.ts';
import * as gatewayProcess from './gateway-process.ts';
import * as gateways from './gateways.ts';

const {expect} = vitest;

/** Limits of the machine; small, so that a small crowd suffices. */
export const machine = {memoryLimitMb: 200, maxFds: 300};
/** Largest memory of the whole process: eight tenths of the machine's. */
const maximumMegabytes = 160;
const nodeOptions = ['--max-old-space-size=64', '--max-semi-space-size=2'];
export const routeTimeoutMilliseconds = 60_000;

/** Creates a configuration with long timeouts, so that what is sent is limited by nothing else than its cost. */
export function createConfiguration(maximumBodyBytes: number) {
	const configuration = gateways.createConfiguration(5);
	return {
		...configuration,
		limits: {...configuration.limits, maxBodyBytes: maximumBodyBytes},
		listeners: configuration.listeners.map(listener => ({
			...listener, rules: listener.rules.map(rule => ({...rule, targetLatencyMs: routeTimeoutMilliseconds, action: {...rule.action, timeoutMs: routeTimeoutMilliseconds}})),
		})),
	};
}

/** Starts a process and waits until it is ready. */
export async function start(storeAddress: string): Promise<gatewayProcess.GatewayProcess> {
	const gateway = gatewayProcess.start({
		host: gatewayProcess.createHost(), storeAddress, limits: machine, nodeOptions,
	});
	await gateways.waitUntil(async () => gatewayProcess.isReady(gateway));
	return gateway;
}

/** Gathers a crowd at an address of a gateway, and waits until all that it sends is read. */
export async function gather(gateway: gatewayProcess.GatewayProcess, address: string, count: number, createText: (index: number) => string): Promise<void> {
	const crowd = await crowds.gather(address, count, createText);
	gatewayProcess.addCleanup(async () => {
		crowd.close();
	});
	await crowds.waitUntilRead(address, gateway.hasEnded);
}

/** Expects that a process lives, stays within its machine, and answers one ordinary request. */
export async function expectOrdinaryService(gateway: gatewayProcess.GatewayProcess): Promise<void> {
	expect(gateway.hasEnded(), 'the process has ended').toBe(false);
	const {peakMegabytes, descriptors} = crowds.readResources(gateway.processId);
	expect(peakMegabytes).toBeLessThan(maximumMegabytes);
	expect(descriptors).toBeLessThan(machine.maxFds);
	const {status} = await gateways.send(gateway.front, '/price/1', 'GET', '', {'deadline-ms': String(routeTimeoutMilliseconds)});
	expect(status).toBe(200);
	expect(gateway.hasEnded(), 'the process has ended').toBe(false);
	expect(crowds.readResources(gateway.processId).peakMegabytes).toBeLessThan(maximumMegabytes);
}
