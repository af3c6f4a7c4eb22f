/** Client for the membership service of other entries. */
import * as connect from '@connectrpc/connect';
import {ResultAsync} from 'neverthrow';
import {type Digest} from '../decisions/membership/types.ts';
import {MembershipService} from '../generated/membership_pb.ts';
import {toDigest, toDigestMessage} from './membership-codec.ts';
import {createPeerTransports} from './peer-transports.ts';

/** Another entry didn't answer; it may nevertheless have received the digest. */
export type ExchangeError = {
	readonly kind: 'no-answer';
	readonly message: string;
};

export type MembershipClient = {
	/** Sends a digest to another entry; resolves to the digest that the entry answers with. */
	exchange(address: string, digest: Digest): ResultAsync<Digest, ExchangeError>;
	/** Gets the table changes after a position, as JSON; empty if the other entry has none. */
	getTableUpdate(address: string, position: number): ResultAsync<string, ExchangeError>;
	close(): void;
};

const exchangeTimeoutMilliseconds = 1000;
const tableTimeoutMilliseconds = 5000;

/** Creates a client with its own connections, which names the deployment in its calls. A connection is closed after a failed call, since it may never answer again. */
export function createMembershipClient(deployment?: string): MembershipClient {
	const transports = createPeerTransports({deployment});

	function call<Result>(address: string, sendRequest: (client: connect.Client<typeof MembershipService>) => Promise<Result>): ResultAsync<Result, ExchangeError> {
		return ResultAsync.fromPromise(sendRequest(connect.createClient(MembershipService, transports.get(address))), error => {
			transports.discard(address);
			return {kind: 'no-answer' as const, message: error instanceof Error ? error.message : String(error)};
		});
	}

	return {
		exchange: (address, digest) => call(address, async client => toDigest(await client.exchange(toDigestMessage(digest), {timeoutMs: exchangeTimeoutMilliseconds}))),
		getTableUpdate: (address, position) => call(address, async client => {
			const response = await client.getTable({tablePosition: BigInt(position)}, {timeoutMs: tableTimeoutMilliseconds});
			return response.update;
		}),
		close() {
			transports.close();
		},
	};
}
