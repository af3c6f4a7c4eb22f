/** Limits the memory of the messages that other entries send, or whoever else reaches their port. */
import type * as http2 from 'node:http2';
import type * as trafficMemory from '../decisions/admission/traffic-memory.ts';
import type * as peerServer from '../peers/peer-server.ts';

/** Largest message of another entry, in bytes; the statements of a thousand upstreams take a quarter of it. */
const readMaxBytes = 262_144;

/** Creates the options of the peer server: each message that is not complete claims the memory of the largest one. */
export function createMessageLimits(memory: trafficMemory.TrafficMemory, getNow: () => number): Pick<peerServer.PeerServerOptions, 'readMaxBytes' | 'onRequest'> {
	return {
		readMaxBytes,
		onRequest(request: http2.Http2ServerRequest) {
			const now = getNow();
			const claim = memory.claim('peer-messages', now, () => {
				request.stream.close();
			});
			request.once('end', claim.free);
			request.stream.once('close', claim.free);
			claim.resize(readMaxBytes, now);
		},
	};
}
