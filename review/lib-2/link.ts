/** A TCP link that can be cut: while it is cut, it holds what either side sends, and passes it on when the cut heals. */
import * as net from 'node:net';

export type Link = {
	/** Host and port at which the link accepts connections. */
	readonly address: string;
	/** Holds all bytes from now on, in both directions. */
	cut(): void;
	/** Passes on what was held, except on connections that their sender has closed meanwhile. */
	heal(): void;
	/** Number of bytes that the target has sent since the start. */
	countAnswerBytes(): number;
	close(): Promise<void>;
};

type Side = {readonly from: net.Socket; readonly to: net.Socket; held: Uint8Array[]; hasEnded: boolean};

/** Starts a link on a free port; each way takes the given time. */
export async function startLink(target: string, delayMilliseconds = 0): Promise<Link> {
	const host = '127.0.0.1';
	const [targetHost, targetPort] = target.split(':');
	const sides = new Set<Side>();
	let isCut = false;
	let answerBytes = 0;

	/** Runs an action after the time of the way; actions keep their order. */
	function runDelayed(action: () => void): void {
		if (delayMilliseconds === 0) {
			action();
		} else {
			setTimeout(action, delayMilliseconds);
		}
	}

	function pass(to: net.Socket, chunk: Uint8Array): void {
		runDelayed(() => {
			if (!to.destroyed) {
				to.write(chunk);
			}
		});
	}

	function connectSide(from: net.Socket, to: net.Socket, isAnswer: boolean): void {
		const side: Side = {
			from, to, held: [], hasEnded: false,
		};
		sides.add(side);
		from.on('data', chunk => {
			answerBytes += isAnswer ? chunk.length : 0;
			if (isCut) {
				side.held.push(chunk);
			} else {
				pass(to, chunk);
			}
		});
		from.on('end', () => {
			side.hasEnded = true;
			if (!isCut) {
				runDelayed(() => {
					to.end();
				});
			}
		});
		from.on('error', () => undefined);
		from.on('close', hadError => {
			if (isCut) {
				// The bytes that are held up are lost if their sender resets the connection.
				side.held = hadError ? [] : side.held;
				side.hasEnded = true;
				return;
			}

			sides.delete(side);
			runDelayed(() => {
				to.destroy();
			});
		});
	}

	const server = net.createServer({allowHalfOpen: true, noDelay: true}, client => {
		const socket = net.connect({
			host: targetHost!, port: Number(targetPort), noDelay: true, allowHalfOpen: true,
		});
		connectSide(client, socket, false);
		connectSide(socket, client, true);
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	const address = server.address();
	const port = typeof address === 'object' && address ? address.port : 0;
	return {
		address: `${host}:${port}`,
		cut() {
			isCut = true;
		},
		heal() {
			isCut = false;
			for (const side of sides) {
				for (const chunk of side.held.splice(0)) {
					pass(side.to, chunk);
				}

				if (side.hasEnded) {
					runDelayed(() => {
						side.to.end();
					});
				}

				if (side.from.destroyed) {
					sides.delete(side);
				}
			}
		},
		countAnswerBytes: () => answerBytes,
		async close() {
			for (const {from, to} of sides) {
				from.destroy();
				to.destroy();
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}
