/** Finds ports for programs that must keep their port over restarts. */
import * as net from 'node:net';

/** Finds ports of the loopback address that are free now. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
	const servers = Array.from({length: count}, () => net.createServer());
	const ports = await Promise.all(servers.map(async server => new Promise<number>((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
			const address = server.address();
			resolve(typeof address === 'object' && address ? address.port : 0);
		});
	})));
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}
