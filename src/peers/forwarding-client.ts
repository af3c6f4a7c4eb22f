/** Client that forwards calls to the incarnation that owns their idempotency key. */
import * as connect from '@connectrpc/connect';
import * as z from 'zod';
import {type HandoverRecord} from '../decisions/outcomes/claim-fold.ts';
import {ForwardingService} from '../generated/forwarding_pb.ts';
import {type ForwardedCall, type ForwardResult} from './forwarding-types.ts';
import {createPeerTransports} from './peer-transports.ts';

export type ForwardingClient = {
	/** Sends a call to the owner of its key. May be repeated, since the owner executes a call with the same key only once. */
	forward(peerAddress: string, call: ForwardedCall): Promise<ForwardResult>;
	/** Sends parts of this incarnation's key table; resolves to whether the peer accepted all of them. */
	handOver(peerAddress: string, parts: readonly HandoverRecord[], timeoutMilliseconds: number): Promise<boolean>;
	close(): void;
};

/**
A connection without data for this long is checked by a ping.

If the ping stays unanswered for as long again, the connection is closed, along with its calls.
*/
const pingMilliseconds = 500;

/** Time that the owner has to answer, in addition to the timeout of the call. */
const answerGraceMilliseconds = 100;

const outcomeSchema = z.enum(['ran', 'not-run', 'unknown']);

/** Error codes of a connection attempt that failed, so that no byte of the call was sent. */
const connectFailureCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND']);

/** Creates a client with its own connections. */
export function createForwardingClient(): ForwardingClient {
	const transports = createPeerTransports({pingIntervalMilliseconds: pingMilliseconds, pingTimeoutMilliseconds: pingMilliseconds});
	const getClient = (peerAddress: string) => connect.createClient(ForwardingService, transports.get(peerAddress));

	return {
		async forward(peerAddress, call) {
			try {
				const response = await getClient(peerAddress).forward({
					incarnation: call.incarnation,
					method: call.method,
					path: call.path,
					headers: call.headers.map(([name, value]) => ({name, value})),
					body: call.body,
					timeoutMilliseconds: call.timeoutMilliseconds,
					lookupOnly: call.isLookup,
				}, {timeoutMs: call.timeoutMilliseconds + answerGraceMilliseconds});
				if (response.isOtherIncarnation) {
					return {kind: 'other-incarnation'};
				}

				const headers = response.headers.map(({name, value}) => [name, value] as const);
				return {
					kind: 'answered',
					answer: {
						statusCode: response.statusCode, headers, body: response.body, outcome: outcomeSchema.parse(response.outcome),
					},
				};
			} catch (error) {
				return {kind: isConnectFailure(error) ? 'not-connected' : 'silent'};
			}
		},
		async handOver(peerAddress, parts, timeoutMilliseconds) {
			try {
				await Promise.all(parts.map(async part => getClient(peerAddress).handOver({
					incarnation: part.incarnation, part: part.part, parts: part.parts, horizon: BigInt(part.horizon), keys: part.keys,
				}, {timeoutMs: timeoutMilliseconds})));
				return true;
			} catch {
				return false;
			}
		},
		close() {
			transports.close();
		},
	};
}

function isConnectFailure(error: unknown): boolean {
	for (let cause = error; cause instanceof Error; cause = cause.cause) {
		if ('code' in cause && connectFailureCodes.has(String(cause.code))) {
			return true;
		}
	}

	return false;
}
