/** Limits the memory of the messages that other entries send, or whoever else reaches their port. */
import type * as http2 from 'node:http2';
import type * as trafficMemory from '../decisions/admission/traffic-memory.ts';
import type * as peerServer from '../peers/peer-server.ts';

/** Largest message of another entry, in bytes; the statements of a thousand upstreams take half of it. */
const readMaxBytes = 131_072;
/** Memory that a message claims at first, in bytes; hundreds of entries may send one at the same moment. */
const usualBytes = 16_384;
/** Maximum number of unanswered requests of another entry; more of its own wait until it has answers, those of strangers are refused by the protocol. */
const maximumStreams = 64;
/** Time after which a message that is not complete claims the memory of the largest one, in milliseconds. */
const usualMilliseconds = 250;

/** Creates the options of the peer server: each message that is not complete claims memory. */
export function createMessageLimits(memory: trafficMemory.TrafficMemory, getNow: () => number): Pick<peerServer.PeerServerOptions, 'readMaxBytes' | 'maximumStreams' | 'onRequest'> {
	return {
		readMaxBytes,
		maximumStreams,
		onRequest(request: http2.Http2ServerRequest) {
			const claim = memory.claim('peer-messages', getNow(), () => {
				request.stream.close();
			});
			const timer = setTimeout(() => {
				claim.resize(readMaxBytes, getNow());
			}, usualMilliseconds);
			const free = () => {
				clearTimeout(timer);
				claim.free();
			};

			request.once('end', free);
			request.stream.once('close', free);
			claim.resize(usualBytes, getNow());
		},
	};
}
