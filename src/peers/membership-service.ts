/** Answers the exchanges that other entries start. */
import * as protobuf from '@bufbuild/protobuf';
import {type Digest} from '../decisions/membership/types.ts';
import {GetTableResponseSchema, MembershipService} from '../generated/membership_pb.ts';
import {toDigest, toDigestMessage} from './membership-codec.ts';
import {type PeerRoutes} from './peer-server.ts';

export type MembershipServiceHost = {
	/** Takes a digest and returns the answer. */
	answer(digest: Digest): Digest;
	/** Gets what a reader of the table at a position lacks, as JSON; undefined when it lacks nothing. */
	getTableUpdate(position: number): string | undefined;
};

/** Creates the methods of the membership service for the peer port. */
export function createMembershipRoutes(host: MembershipServiceHost): PeerRoutes {
	return router => {
		router.service(MembershipService, {
			exchange: message => toDigestMessage(host.answer(toDigest(message))),
			getTable: request => protobuf.create(GetTableResponseSchema, {update: host.getTableUpdate(Number(request.tablePosition)) ?? ''}),
		});
	};
}
