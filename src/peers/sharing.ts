/** Client and service by which entries share the configuration, the registry and the member list. */
import * as connect from '@connectrpc/connect';
import * as neverthrow from 'neverthrow';
import {SharingService} from '../generated/sharing_pb.ts';
import {type PeerRoutes} from './peer-server.ts';
import {createPeerTransports} from './peer-transports.ts';
import * as codec from './sharing-codec.ts';

/** Another entry didn't answer, or its answer is invalid. */
export type SharingError = {
	readonly kind: 'no-answer';
	readonly message: string;
};

export type SharingClient = {
	/** Requests the changes since the versions in the request; the other entry may wait for changes before it answers. */
	follow(address: string, request: codec.SharingRequest, signal: AbortSignal): neverthrow.ResultAsync<codec.SharingUpdate, SharingError>;
	close(): void;
};

/** Time for an answer in addition to the requested wait; a busy entry needs some tens of milliseconds. */
export const answerGraceMilliseconds = 250;

/**
Creates a client with its own connections.

A connection is closed after a failed call that the caller didn't abort, since it may never answer again.
*/
export function createSharingClient(): SharingClient {
	const transports = createPeerTransports();

	async function sendRequest(address: string, request: codec.SharingRequest, signal: AbortSignal): Promise<codec.SharingUpdate> {
		const client = connect.createClient(SharingService, transports.get(address));
		return codec.toSharingUpdate(await client.follow(codec.toRequestMessage(request), {timeoutMs: request.waitMilliseconds + answerGraceMilliseconds, signal}));
	}

	return {
		follow: (address, request, signal) => neverthrow.ResultAsync.fromPromise(sendRequest(address, request, signal), error => {
			if (!signal.aborted) {
				transports.discard(address);
			}

			return {kind: 'no-answer' as const, message: error instanceof Error ? error.message : String(error)};
		}),
		close() {
			transports.close();
		},
	};
}

/** Functions of the entry that the sharing service calls. */
export type SharingServiceHost = {
	/** Gets the changes for a follower; waits for changes up to the time in the request. */
	handleFollow(request: codec.SharingRequest): Promise<codec.SharingUpdate>;
};

/** Creates the routes of the sharing service on the peer port. */
export function createSharingRoutes(host: SharingServiceHost): PeerRoutes {
	return router => {
		router.service(SharingService, {
			async follow(message) {
				const request = codec.toSharingRequest(message);
				if (!request) {
					throw new connect.ConnectError('The request has no follower. Set follower to the member that sends the request.', connect.Code.InvalidArgument);
				}

				return codec.toUpdateMessage(await host.handleFollow(request), request.acceptsCompressed);
			},
		});
	};
}
