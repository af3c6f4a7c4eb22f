/** Functions that start and stop the TCP servers of the stand-ins. */
import type * as net from 'node:net';

export type ListeningAddress = {readonly host: string; readonly port: number};

/** Starts listening and resolves to the bound address; port 0 selects a free port. */
export async function listen(server: net.Server, host = '127.0.0.1', port = 0): Promise<ListeningAddress> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	const address = server.address();
	if (address === null || typeof address === 'string') {
		throw new TypeError('The server is not bound to a TCP address.');
	}

	return {host: address.address, port: address.port};
}

/** Stops a server and resolves when all of its connections are closed. */
export async function close(server: net.Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
}
