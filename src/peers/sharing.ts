/** Client and service by which entries share news of the platform. */
import * as connect from '@connectrpc/connect';
import * as neverthrow from 'neverthrow';
import {SharingService} from '../generated/sharing_pb.ts';
import {type PeerRoutes} from './peer-server.ts';
import {createPeerTransports} from './peer-transports.ts';
import * as codec from './sharing-codec.ts';

/** Another entry didn't answer, or not in a form that can be read. */
export type SharingError = {
	readonly kind: 'no-answer';
	readonly message: string;
};

export type SharingClient = {
	follow(address: string, question: codec.FollowQuestion, signal: AbortSignal): neverthrow.ResultAsync<codec.FollowNews, SharingError>;
	close(): void;
};

/** Time for an answer beyond the wait that was asked for, in milliseconds; a busy entry takes some tens. */
const answerMilliseconds = 250;

/** Creates a client with its own connections; one that doesn't answer is dropped, since it may be silent for good. */
export function createSharingClient(): SharingClient {
	const transports = createPeerTransports();

	async function ask(address: string, question: codec.FollowQuestion, signal: AbortSignal): Promise<codec.FollowNews> {
		const client = connect.createClient(SharingService, transports.get(address));
		return codec.toNews(await client.follow(codec.toQuestionMessage(question), {timeoutMs: question.waitMilliseconds + answerMilliseconds, signal}));
	}

	return {
		follow: (address, question, signal) => neverthrow.ResultAsync.fromPromise(ask(address, question, signal), error => {
			if (!signal.aborted) {
				transports.discard(address);
			}

			return {kind: 'no-answer' as const, message: error instanceof Error ? error.message : String(error)};
		}),
		close() {
			transports.close();
		},
	};
}

export type SharingServiceHost = {
	/** Gets what a follower lacks, now or after its wait. */
	answer(question: codec.FollowQuestion): Promise<codec.FollowNews>;
};

/** Creates the methods of the sharing service for the peer port. */
export function createSharingRoutes(host: SharingServiceHost): PeerRoutes {
	return router => {
		router.service(SharingService, {
			async follow(message) {
				const question = codec.toQuestion(message);
				if (!question) {
					throw new connect.ConnectError('The follower is missing. Send the member that asks.', connect.Code.InvalidArgument);
				}

				return codec.toNewsMessage(await host.answer(question));
			},
		});
	};
}
