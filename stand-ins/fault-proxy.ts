/**
TCP proxy that injects faults between two processes.

The proxy forwards bytes unchanged unless a fault is set. A silent connection stays open while the proxy discards all
data that it receives on it, as a middlebox does that lost its connection state.
*/
import * as net from 'node:net';
import {close, listen} from './listen.ts';

/** Faults that apply to all connections of a proxy. */
export type FaultProxyFaults = {
	/** Delay of each chunk of data, in each direction. */
	readonly delayMilliseconds: number;
	/** Resets all open connections, and each new connection. */
	readonly cut: boolean;
	/** `open` silences the open connections permanently; `all` also silences each new connection while it is set. */
	readonly silent: 'none' | 'open' | 'all';
	/** Forwards requests, but drops responses and resets the connection at the first byte of a response. */
	readonly loseAnswers: boolean;
};

/** What happens to the connections of a client: they stay open and silent, or are reset. */
export type ClientPartition = 'none' | 'silent' | 'reset';

export const noFaults: FaultProxyFaults = {
	delayMilliseconds: 0, cut: false, silent: 'none', loseAnswers: false,
};

export type FaultProxyOptions = {
	readonly host?: string;
	readonly port?: number;
	readonly targetHost: string;
	readonly targetPort: number;
	readonly faults?: Partial<FaultProxyFaults>;
};

/** Running proxy, with the address on which it listens. */
export type FaultProxy = {
	readonly host: string;
	readonly port: number;
	/** Sets the faults; faults that are not given are cleared. */
	setFaults(faults: Partial<FaultProxyFaults>): void;
	/** Sets which clients are partitioned from the server, by their address; silent connections stay silent. */
	setPartition(getPartition: (clientAddress: string) => ClientPartition): void;
	/** Number of open connections. */
	countConnections(): number;
	close(): Promise<void>;
};

type ProxiedConnection = {
	readonly client: net.Socket;
	readonly target: net.Socket;
	isSilent: boolean;
};

/** Starts a proxy in front of a TCP server. */
export async function createFaultProxy(options: FaultProxyOptions): Promise<FaultProxy> {
	let faults: FaultProxyFaults = {...noFaults, ...options.faults};
	const connections = new Set<ProxiedConnection>();
	let getPartition: (clientAddress: string) => ClientPartition = () => 'none';

	const server = net.createServer({noDelay: true}, client => {
		const partition = getPartition(client.remoteAddress ?? '');
		if (faults.cut || partition === 'reset') {
			client.resetAndDestroy();
			return;
		}

		const target = net.connect({host: options.targetHost, port: options.targetPort, noDelay: true});
		const connection: ProxiedConnection = {client, target, isSilent: faults.silent === 'all' || partition === 'silent'};
		connections.add(connection);
		forward(connection, client, target, 'request');
		forward(connection, target, client, 'answer');
	});

	function forward(connection: ProxiedConnection, from: net.Socket, to: net.Socket, direction: 'request' | 'answer'): void {
		from.on('data', chunk => {
			if (connection.isSilent) {
				return;
			}

			if (direction === 'answer' && faults.loseAnswers) {
				reset(connection);
				return;
			}

			runAfterDelay(connection, () => {
				if (!to.destroyed && !to.write(chunk)) {
					from.pause();
					to.once('drain', () => {
						from.resume();
					});
				}
			});
		});
		from.on('end', () => {
			if (!connection.isSilent) {
				runAfterDelay(connection, () => {
					to.end();
				});
			}
		});
		from.on('error', () => {
			if (!connection.isSilent) {
				to.resetAndDestroy();
			}
		});
		from.on('close', () => {
			connections.delete(connection);
			if (!connection.isSilent) {
				runAfterDelay(connection, () => {
					to.destroy();
				});
			}
		});
	}

	function runAfterDelay(connection: ProxiedConnection, action: () => void): void {
		if (faults.delayMilliseconds === 0) {
			action();
			return;
		}

		setTimeout(() => {
			if (!connection.isSilent) {
				action();
			}
		}, faults.delayMilliseconds);
	}

	function reset(connection: ProxiedConnection): void {
		connections.delete(connection);
		connection.client.resetAndDestroy();
		connection.target.resetAndDestroy();
	}

	const address = await listen(server, options.host, options.port);

	return {
		host: address.host,
		port: address.port,
		setFaults(newFaults) {
			faults = {...noFaults, ...newFaults};
			for (const connection of connections) {
				if (faults.cut) {
					reset(connection);
				} else if (faults.silent !== 'none') {
					connection.isSilent = true;
				}
			}
		},
		setPartition(getNewPartition) {
			getPartition = getNewPartition;
			for (const connection of connections) {
				const partition = getPartition(connection.client.remoteAddress ?? '');
				if (partition === 'reset') {
					reset(connection);
				} else if (partition === 'silent') {
					connection.isSilent = true;
				}
			}
		},
		countConnections: () => connections.size,
		async close() {
			for (const connection of connections) {
				reset(connection);
			}

			await close(server);
		},
	};
}
