/** Service for calls and key tables that other entries forward to this incarnation. */
import * as protobuf from '@bufbuild/protobuf';
import * as connect from '@connectrpc/connect';
import {claimRecordSchema} from '../decisions/outcomes/claim-fold.ts';
import {
	type ForwardRequest, ForwardResponseSchema, ForwardingService, type HandOverRequest, HandOverResponseSchema,
} from '../generated/forwarding_pb.ts';
import {type ForwardingHost} from './forwarding-types.ts';
import {type PeerRoutes} from './peer-server.ts';

/** Creates the routes of the forwarding service on the peer port. */
export function createForwardingRoutes(host: ForwardingHost): PeerRoutes {
	return router => {
		router.service(ForwardingService, {
			forward: async request => forward(request, host),
			handOver(request) {
				host.applyHandover(parseHandover(request));
				return protobuf.create(HandOverResponseSchema);
			},
		});
	};
}

async function forward(request: ForwardRequest, host: ForwardingHost) {
	if (request.incarnation !== host.incarnation) {
		return protobuf.create(ForwardResponseSchema, {isOtherIncarnation: true});
	}

	const answer = await host.executeCall({
		incarnation: request.incarnation,
		method: request.method,
		path: request.path,
		headers: request.headers.map(({name, value}) => [name, value]),
		body: request.body,
		timeoutMilliseconds: request.timeoutMilliseconds,
		isLookup: request.lookupOnly,
	});
	return protobuf.create(ForwardResponseSchema, {
		statusCode: answer.statusCode,
		headers: answer.headers.map(([name, value]) => ({name, value})),
		body: answer.body,
		outcome: answer.outcome,
	});
}

function parseHandover(request: HandOverRequest) {
	const parsed = claimRecordSchema.safeParse({
		kind: 'handover',
		incarnation: request.incarnation,
		part: request.part,
		parts: request.parts,
		horizon: Number(request.horizon),
		keys: request.keys.map(({key, outcome}) => ({key, outcome})),
	});
	if (!parsed.success || parsed.data.kind !== 'handover') {
		throw new connect.ConnectError('The key table is malformed. Send outcomes ran, not-run or unknown.', connect.Code.InvalidArgument);
	}

	return parsed.data;
}
