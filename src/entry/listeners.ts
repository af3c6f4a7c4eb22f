/** Opens the ports of an entry, and drains the port for callers without interrupting calls. */
import type * as net from 'node:net';
import * as neverthrow from 'neverthrow';
import {createDiagnostic, diagnostics, type Diagnostic} from '../decisions/diagnostics.ts';
import {createPeerServer, type PeerServer, type PeerServerOptions} from '../peers/peer-server.ts';
import {type CallerServer} from './caller-server.ts';
import {type EntrySettings} from './settings.ts';

/** Server on the peer port. */
export type PeerListener = {
	readonly server: PeerServer;
	/** Host and port that other entries connect to. */
	readonly address: string;
};

type ListenSettings = EntrySettings['listen'];

/** Opens the port for callers; resolves to the address to announce to them. */
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
export async function listenForPeers(settings: ListenSettings, {routes, deployment, recordFailure}: Pick<PeerServerOptions, 'routes' | 'deployment' | 'recordFailure'>): Promise<neverthrow.Result<PeerListener, Diagnostic>> {
	const {host, peerPort, announcedHost, announcedPeerPort} = settings;
	const result = await createPeerServer({
		host, port: peerPort, routes, deployment, recordFailure,
	});
	return result
		.map(server => ({server, address: `${announcedHost ?? host}:${announcedPeerPort ?? server.port}`}))
		.mapErr(error => createDiagnostic(diagnostics.settingsAddressUnavailable, `${host}:${peerPort}`, error.message));
}

/** Conditions that end a drain. */
export type DrainOptions = {
	/** Maximum time to wait for calls in flight. */
	readonly graceMilliseconds: number;
	countCalls(): number;
	/** Current time of a monotonic clock, in milliseconds. */
	getNow(): number;
};

/** Interval at which `drainCallers` counts the calls in flight. */
const drainCheckIntervalMilliseconds = 20;

/** Stops accepting connections of callers, waits until all calls have ended or the grace period is over, and closes the connections. */
export async function drainCallers(callerServer: CallerServer, options: DrainOptions): Promise<void> {
	const graceEndsAt = options.getNow() + options.graceMilliseconds;
	await callerServer.stop();
	while ((options.countCalls() > 0 || callerServer.countClosing() > 0) && options.getNow() < graceEndsAt) {
		await new Promise(resolve => {
			setTimeout(resolve, drainCheckIntervalMilliseconds);
		});
	}

	callerServer.server.closeAllConnections();
}
