/** Client and service by which an entry asks the coordinators of a workspace for admissions. */
import * as protobuf from '@bufbuild/protobuf';
import * as connect from '@connectrpc/connect';
import * as neverthrow from 'neverthrow';
import type * as allowanceIssuer from '../decisions/admission/allowance-issuer.ts';
import * as exhaustiveness from '../decisions/assert-never.ts';
import * as generated from '../generated/allowances_pb.ts';
import type * as peerServer from './peer-server.ts';
import * as peerTransports from './peer-transports.ts';

/** The coordinator didn't answer, or its answer is invalid. */
export type AllowanceError = {readonly kind: 'no-answer'; readonly message: string};

export type AllowanceClient = {
	request(address: string, request: allowanceIssuer.AdmissionRequest): neverthrow.ResultAsync<allowanceIssuer.AdmissionResponse, AllowanceError>;
	close(): void;
};

/** Maximum time for an answer, in milliseconds; a request waits for it. */
const answerTimeoutMilliseconds = 250;

/** Creates a client with its own connections. */
export function createAllowanceClient(): AllowanceClient {
	const transports = peerTransports.createPeerTransports();

	async function sendRequest(address: string, request: allowanceIssuer.AdmissionRequest): Promise<allowanceIssuer.AdmissionResponse> {
		const client = connect.createClient(generated.AllowanceService, transports.get(address));
		return toAdmissionResponse(await client.requestAdmissions({...request}, {timeoutMs: answerTimeoutMilliseconds}));
	}

	return {
		request: (address, request) => neverthrow.ResultAsync.fromPromise(sendRequest(address, request), error => {
			// A late answer doesn't make the connection bad, and a new one would cost a busy coordinator more; pings find out whether it is.
			if (connect.ConnectError.from(error).code !== connect.Code.DeadlineExceeded) {
				transports.discard(address);
			}

			return {kind: 'no-answer' as const, message: error instanceof Error ? error.message : String(error)};
		}),
		close() {
			transports.close();
		},
	};
}

/** Functions of the entry that the allowance service calls. */
export type AllowanceServiceHost = {
	handleRequest(request: allowanceIssuer.AdmissionRequest): allowanceIssuer.AdmissionResponse;
};

/** Creates the routes of the allowance service on the peer port. */
export function createAllowanceRoutes(host: AllowanceServiceHost): peerServer.PeerRoutes {
	return router => {
		router.service(generated.AllowanceService, {
			requestAdmissions: ({workspace, entry, needed, ahead}) => toResponseMessage(host.handleRequest({
				workspace, entry, needed, ahead,
			})),
		});
	};
}

function toResponseMessage(response: allowanceIssuer.AdmissionResponse): generated.AdmissionResponse {
	const retryAfterMilliseconds = Math.ceil(response.retryAfterMilliseconds);
	switch (response.kind) {
		case 'issued': {
			return protobuf.create(generated.AdmissionResponseSchema, {result: {case: 'issued', value: {count: response.count, retryAfterMilliseconds}}});
		}

		case 'not-counted': {
			return protobuf.create(generated.AdmissionResponseSchema, {result: {case: 'notCounted', value: {retryAfterMilliseconds}}});
		}

		default: {
			return exhaustiveness.assertNever(response);
		}
	}
}

/** Converts a response from its wire form; throws if it has no result. */
function toAdmissionResponse({result}: generated.AdmissionResponse): allowanceIssuer.AdmissionResponse {
	switch (result.case) {
		case 'issued': {
			const {count, retryAfterMilliseconds} = result.value;
			return {kind: 'issued', count, retryAfterMilliseconds};
		}

		case 'notCounted': {
			return {kind: 'not-counted', retryAfterMilliseconds: result.value.retryAfterMilliseconds};
		}

		case undefined: {
			throw new Error('The response to a request for admissions has no result. Run the same version of the program on all entries.');
		}

		default: {
			return exhaustiveness.assertNever(result);
		}
	}
}
