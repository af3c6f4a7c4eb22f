/** Finds free ports for programs that must keep their port across restarts. */
import * as crypto from 'node:crypto';
import * as net from 'node:net';

/**
Port range below the ephemeral ports of operating systems, so that no outgoing connection or other program is assigned
a port while its program restarts.
*/
const firstPort = 15_000;
const lastPort = 32_000;

/** Finds ports of the loopback address that are free at the time of the call. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
	const ports: number[] = [];
	let candidate = crypto.randomInt(firstPort, lastPort - (10 * count));
	while (ports.length < count && candidate < lastPort) {
		if (await isFree(candidate)) {
			ports.push(candidate);
		}

		candidate++;
	}

	return ports;
}

async function isFree(port: number): Promise<boolean> {
	const server = net.createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
