/** Opens the ports of an entry and closes the one for callers without cutting calls off. */
import type * as net from 'node:net';
import * as neverthrow from 'neverthrow';
import {createDiagnostic, diagnostics, type Diagnostic} from '../decisions/diagnostics.ts';
import {createPeerServer, type PeerRoutes, type PeerServer} from '../peers/peer-server.ts';
import {type CallerServer} from './caller-server.ts';
import {type EntrySettings} from './settings.ts';

export type PeerListener = {
	readonly server: PeerServer;
	/** Host and port for other entries. */
	readonly address: string;
};

type ListenSettings = EntrySettings['listen'];

/** Opens the port for callers; resolves to the address to give to them. */
export async function listenForCallers({server}: CallerServer, settings: ListenSettings): Promise<neverthrow.Result<string, Diagnostic>> {
	const {host, callerPort} = settings;
	return new Promise(resolve => {
		server.once('error', (error: NodeJS.ErrnoException) => {
			resolve(neverthrow.err(createDiagnostic(diagnostics.settingsAddressUnavailable, `${host}:${callerPort}`, error.code ?? error.message)));
		});
		server.listen(callerPort, host, () => {
			resolve(neverthrow.ok(formatCallerAddress(server.address() ?? undefined, settings)));
		});
	});
}

function formatCallerAddress(address: string | net.AddressInfo | undefined, settings: ListenSettings): string {
	const port = typeof address === 'object' ? address.port : settings.callerPort;
	return `${settings.announcedHost ?? settings.host}:${port}`;
}

/** Opens the port for other entries. */
export async function listenForPeers(settings: ListenSettings, routes: readonly PeerRoutes[]): Promise<neverthrow.Result<PeerListener, Diagnostic>> {
	const {host, peerPort, announcedHost, announcedPeerPort} = settings;
	const result = await createPeerServer({host, port: peerPort, routes});
	return result
		.map(server => ({server, address: `${announcedHost ?? host}:${announcedPeerPort ?? server.port}`}))
		.mapErr(error => createDiagnostic(diagnostics.settingsAddressUnavailable, `${host}:${peerPort}`, error.message));
}

export type DrainOptions = {
	/** Longest wait for the calls that have not ended. */
	readonly graceMilliseconds: number;
	countCalls(): number;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

/** Interval at which calls that have not ended are looked for. */
const checkMilliseconds = 20;

/** Stops listening for callers, waits until all calls have ended and closes the connections. */
export async function drainCallers({server}: CallerServer, options: DrainOptions): Promise<void> {
	const graceEndsAt = options.getNow() + options.graceMilliseconds;
	server.close();
	while (options.countCalls() > 0 && options.getNow() < graceEndsAt) {
		await new Promise(resolve => {
			setTimeout(resolve, checkMilliseconds);
		});
	}

	server.closeAllConnections();
}
