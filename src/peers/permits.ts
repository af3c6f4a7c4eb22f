/** Client and service by which an entry asks the coordinator of an upstream for a permit. */
import * as protobuf from '@bufbuild/protobuf';
import * as connect from '@connectrpc/connect';
import * as neverthrow from 'neverthrow';
import * as exhaustiveness from '../decisions/assert-never.ts';
import type * as permitIssuer from '../decisions/backpressure/permit-issuer.ts';
import * as generated from '../generated/permits_pb.ts';
import type * as peerServer from './peer-server.ts';
import * as peerTransports from './peer-transports.ts';

/** Request for a permit, with the rate limit that the requester knows, since the coordinator may not have heard of it. */
export type SharedPermitRequest = permitIssuer.PermitRequest & {
	readonly requestsPerSecond: number;
	/** Time since the limit was heard from the upstream. */
	readonly ageMilliseconds: number;
	/** Time for which the upstream stays cold, which is why it has a limit; 0 for a limit that it stated. */
	readonly coldMilliseconds: number;
};

/** The coordinator didn't answer, or its answer is invalid. */
export type PermitError = {
	readonly kind: 'no-answer';
	readonly message: string;
};

export type PermitClient = {
	request(address: string, request: SharedPermitRequest): neverthrow.ResultAsync<permitIssuer.PermitResponse, PermitError>;
	close(): void;
};

/** Maximum time for an answer; a busy entry needs some tens of milliseconds. */
const answerTimeoutMilliseconds = 300;

/** Creates a client with its own connections, so that a coordinator that doesn't answer disturbs no other calls to it. */
export function createPermitClient(): PermitClient {
	const transports = peerTransports.createPeerTransports();

	async function sendRequest(address: string, request: SharedPermitRequest): Promise<permitIssuer.PermitResponse> {
		const client = connect.createClient(generated.PermitService, transports.get(address));
		const message = protobuf.create(generated.PermitRequestSchema, {
			...request, incarnation: BigInt(request.incarnation), ageMilliseconds: Math.round(Math.max(0, request.ageMilliseconds)), coldMilliseconds: Math.ceil(request.coldMilliseconds),
		});
		return toPermitResponse(await client.requestPermit(message, {timeoutMs: answerTimeoutMilliseconds}));
	}

	return {
		request: (address, request) => neverthrow.ResultAsync.fromPromise(sendRequest(address, request), error => {
			transports.discard(address);
			return {kind: 'no-answer' as const, message: error instanceof Error ? error.message : String(error)};
		}),
		close() {
			transports.close();
		},
	};
}

/** Functions of the entry that the permit service calls. */
export type PermitServiceHost = {
	handleRequest(request: SharedPermitRequest): permitIssuer.PermitResponse;
};

/** Creates the routes of the permit service on the peer port. */
export function createPermitRoutes(host: PermitServiceHost): peerServer.PeerRoutes {
	return router => {
		router.service(generated.PermitService, {
			requestPermit({
				requester, upstreamId, incarnation, requestsPerSecond, ageMilliseconds, coldMilliseconds,
			}) {
				if (!(requestsPerSecond > 0)) {
					throw new connect.ConnectError('The request has no rate limit. Set requests_per_second to the limit that the upstream stated.', connect.Code.InvalidArgument);
				}

				return toResponseMessage(host.handleRequest({
					requester, upstreamId, incarnation: Number(incarnation), requestsPerSecond, ageMilliseconds, coldMilliseconds,
				}));
			},
		});
	};
}

function toResponseMessage(response: permitIssuer.PermitResponse): generated.PermitResponse {
	switch (response.kind) {
		case 'granted': {
			const {startsInMilliseconds, validMilliseconds} = response;
			return protobuf.create(generated.PermitResponseSchema, {result: {case: 'granted', value: {startsInMilliseconds, validMilliseconds}}});
		}

		case 'denied': {
			const {retryAfterMilliseconds} = response;
			return protobuf.create(generated.PermitResponseSchema, {result: {case: 'denied', value: {retryAfterMilliseconds}}});
		}

		default: {
			return exhaustiveness.assertNever(response);
		}
	}
}

/** Converts a response from its wire form; throws if it has no result. */
function toPermitResponse({result}: generated.PermitResponse): permitIssuer.PermitResponse {
	switch (result.case) {
		case 'granted': {
			const {startsInMilliseconds, validMilliseconds} = result.value;
			return {kind: 'granted', startsInMilliseconds, validMilliseconds};
		}

		case 'denied': {
			return {kind: 'denied', retryAfterMilliseconds: result.value.retryAfterMilliseconds};
		}

		case undefined: {
			throw new Error('The response to a permit request has no result. Run the same version of the program on all entries.');
		}

		default: {
			return exhaustiveness.assertNever(result);
		}
	}
}
