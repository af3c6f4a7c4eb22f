/** Opens the ports of a gateway. A port that another process still holds is tried again for a while. */
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import type * as logger from '../observability/logger.ts';

/** Dependencies of a port that is being opened. */
export type PortHost = {
	readonly logger: logger.Logger;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

/** Time for which a port that can't be opened is tried again, in milliseconds: longer than the grace period of a process that may still hold it. */
const openMilliseconds = 15_000;
const retryMilliseconds = 100;
const retriedCodes: ReadonlySet<string> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

/** Opens a port through a function that rejects with the error of the system; rejects if the port can't be opened in time. */
export async function openPort<Value>(host: PortHost, name: string, open: () => Promise<Value>): Promise<Value> {
	const endsAt = host.getNow() + openMilliseconds;
	let isReported = false;
	for (;;) {
		try {
			return await open();
		} catch (error) {
			const reason = error instanceof Error ? error.message : String(error);
			if (!retriedCodes.has(getErrorCode(error)) || host.getNow() >= endsAt) {
				throw new Error(`The port for ${name} can't be opened (${reason}). End the process that holds it, or change the address in the settings.`, {cause: error});
			}

			if (!isReported) {
				host.logger.warn('port-held', {port: name, reason, retryMilliseconds: openMilliseconds});
				isReported = true;
			}

			await timers.setTimeout(retryMilliseconds);
		}
	}
}

/** Starts to listen on an address; resolves when the port is open. Errors after that, such as a lack of descriptors for a new connection, are logged. */
export async function listen(host: PortHost, name: string, server: net.Server, address: {readonly host: string; readonly port: number}): Promise<void> {
	await openPort(host, name, async () => new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, () => {
			server.off('error', reject);
			resolve();
		});
	}));
	server.on('error', error => {
		host.logger.error('port-failed', {port: name, reason: error.message});
	});
}

function getErrorCode(error: unknown): string {
	return error instanceof Error && 'code' in error ? String(error.code) : '';
}
