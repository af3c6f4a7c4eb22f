/**
TCP proxy that injects faults between two processes.

Bytes pass through unchanged unless a fault is set. A silent proxy keeps connections open and drops what arrives,
in the way of a middlebox that lost its state.
*/
import * as net from 'node:net';
import {close, listen} from './listen.ts';

export type FaultProxyFaults = {
	/** Delay of each chunk in each direction. */
	readonly delayMilliseconds: number;
	/** Connections that are open now, and new ones, are reset. */
	readonly cut: boolean;
	/** `open`: connections that are open now go silent for good; `all`: new ones do, too, while this is set. */
	readonly silent: 'none' | 'open' | 'all';
	/** Requests pass, but answers are dropped and the connection is reset at the first answered byte. */
	readonly loseAnswers: boolean;
};

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

export type FaultProxy = {
	readonly host: string;
	readonly port: number;
	/** Changes the faults; those that are not named are cleared. */
	setFaults(faults: Partial<FaultProxyFaults>): void;
	/** Connections open now. */
	countConnections(): number;
	close(): Promise<void>;
};

type Link = {
	readonly near: net.Socket;
	readonly far: net.Socket;
	isSilent: boolean;
};

/** Starts a proxy before a TCP target. */
export async function createFaultProxy(options: FaultProxyOptions): Promise<FaultProxy> {
	let faults: FaultProxyFaults = {...noFaults, ...options.faults};
	const links = new Set<Link>();

	const server = net.createServer({noDelay: true}, near => {
		if (faults.cut) {
			near.resetAndDestroy();
			return;
		}

		const far = net.connect({host: options.targetHost, port: options.targetPort, noDelay: true});
		const link: Link = {near, far, isSilent: faults.silent === 'all'};
		links.add(link);
		forward(link, near, far, 'request');
		forward(link, far, near, 'answer');
	});

	function forward(link: Link, from: net.Socket, to: net.Socket, direction: 'request' | 'answer'): void {
		from.on('data', chunk => {
			if (link.isSilent) {
				return;
			}

			if (direction === 'answer' && faults.loseAnswers) {
				reset(link);
				return;
			}

			deliver(link, () => {
				if (!to.destroyed && !to.write(chunk)) {
					from.pause();
					to.once('drain', () => {
						from.resume();
					});
				}
			});
		});
		from.on('end', () => {
			if (!link.isSilent) {
				deliver(link, () => {
					to.end();
				});
			}
		});
		from.on('error', () => {
			if (!link.isSilent) {
				to.resetAndDestroy();
			}
		});
		from.on('close', () => {
			links.delete(link);
			if (!link.isSilent) {
				deliver(link, () => {
					to.destroy();
				});
			}
		});
	}

	function deliver(link: Link, action: () => void): void {
		if (faults.delayMilliseconds === 0) {
			action();
			return;
		}

		setTimeout(() => {
			if (!link.isSilent) {
				action();
			}
		}, faults.delayMilliseconds);
	}

	function reset(link: Link): void {
		links.delete(link);
		link.near.resetAndDestroy();
		link.far.resetAndDestroy();
	}

	const address = await listen(server, options.host, options.port);

	return {
		host: address.host,
		port: address.port,
		setFaults(next) {
			faults = {...noFaults, ...next};
			for (const link of links) {
				if (faults.cut) {
					reset(link);
				} else if (faults.silent !== 'none') {
					link.isSilent = true;
				}
			}
		},
		countConnections: () => links.size,
		async close() {
			for (const link of links) {
				reset(link);
			}

			await close(server);
		},
	};
}
