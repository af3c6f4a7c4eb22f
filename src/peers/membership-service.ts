/** Service that answers membership exchanges started by other entries. */
import * as protobuf from '@bufbuild/protobuf';
import {type Digest} from '../decisions/membership/types.ts';
import {GetTableResponseSchema, MembershipService} from '../generated/membership_pb.ts';
import {toDigest, toDigestMessage} from './membership-codec.ts';
import {type PeerRoutes} from './peer-server.ts';

/** Functions of the entry that the membership service calls. */
export type MembershipServiceHost = {
	/** Applies a received digest and returns the digest to answer with. */
	handleExchange(digest: Digest): Digest;
	/** Gets the table changes after a position, as JSON; undefined if there are none. */
	getTableUpdate(position: number): string | undefined;
};

/** Creates the routes of the membership service on the peer port. */
export function createMembershipRoutes(host: MembershipServiceHost): PeerRoutes {
	return router => {
		router.service(MembershipService, {
			exchange: message => toDigestMessage(host.handleExchange(toDigest(message))),
			getTable: request => protobuf.create(GetTableResponseSchema, {update: host.getTableUpdate(Number(request.tablePosition)) ?? ''}),
		});
	};
}
