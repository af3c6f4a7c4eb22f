/** Forwards calls to the incarnation that owns their key. */
import * as connect from '@connectrpc/connect';
import * as z from 'zod';
import {type HandoverRecord} from '../decisions/outcomes/claim-fold.ts';
import {ForwardingService} from '../generated/forwarding_pb.ts';
import {type ForwardedCall, type ForwardResult} from './forwarding-types.ts';
import {createPeerTransports} from './peer-transports.ts';

export type ForwardingClient = {
	/** Sends a call to the peer address of its owner. The owner keeps it from running twice, so it may be sent again. */
	forward(peerAddress: string, call: ForwardedCall): Promise<ForwardResult>;
	/** Sends parts of this incarnation's key table; resolves to whether the peer took all of them. */
	handOver(peerAddress: string, parts: readonly HandoverRecord[], timeoutMilliseconds: number): Promise<boolean>;
	close(): void;
};

/** A connection that leaves a ping unanswered for this long is closed, along with the calls on it. */
const pingMilliseconds = 500;

/** Time beyond the call's own that its owner has for the answer. */
const answerGraceMilliseconds = 100;

const outcomeSchema = z.enum(['ran', 'not-run', 'unknown']);

const codesBeforeSending = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND']);

/** Creates a client with connections of its own. */
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
				return {kind: isBeforeSending(error) ? 'not-connected' : 'silent'};
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

function isBeforeSending(error: unknown): boolean {
	for (let cause = error; cause instanceof Error; cause = cause.cause) {
		if ('code' in cause && codesBeforeSending.has(String(cause.code))) {
			return true;
		}
	}

	return false;
}
