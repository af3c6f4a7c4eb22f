/** Starts exchanges with other entries. */
import * as connect from '@connectrpc/connect';
import {ResultAsync} from 'neverthrow';
import {type Digest} from '../decisions/membership/types.ts';
import {MembershipService} from '../generated/membership_pb.ts';
import {toDigest, toDigestMessage} from './membership-codec.ts';
import {createPeerTransports} from './peer-transports.ts';

/** Another entry didn't answer; the digest may have arrived all the same. */
export type ExchangeError = {
	readonly kind: 'no-answer';
	readonly message: string;
};

export type MembershipClient = {
	exchange(address: string, digest: Digest): ResultAsync<Digest, ExchangeError>;
	/** Gets what this entry's table lacks, as JSON; empty when the other has nothing newer. */
	getTableUpdate(address: string, position: number): ResultAsync<string, ExchangeError>;
	close(): void;
};

const exchangeTimeoutMilliseconds = 1000;
const tableTimeoutMilliseconds = 5000;

/** Creates a client with its own connections; one that doesn't answer is dropped, since it may be silent for good. */
export function createMembershipClient(): MembershipClient {
	const transports = createPeerTransports();

	function call<Answer>(address: string, run: (client: connect.Client<typeof MembershipService>) => Promise<Answer>): ResultAsync<Answer, ExchangeError> {
		return ResultAsync.fromPromise(run(connect.createClient(MembershipService, transports.get(address))), error => {
			transports.discard(address);
			return {kind: 'no-answer' as const, message: error instanceof Error ? error.message : String(error)};
		});
	}

	return {
		exchange: (address, digest) => call(address, async client => toDigest(await client.exchange(toDigestMessage(digest), {timeoutMs: exchangeTimeoutMilliseconds}))),
		getTableUpdate: (address, position) => call(address, async client => {
			const answer = await client.getTable({tablePosition: BigInt(position)}, {timeoutMs: tableTimeoutMilliseconds});
			return answer.update;
		}),
		close() {
			transports.close();
		},
	};
}
