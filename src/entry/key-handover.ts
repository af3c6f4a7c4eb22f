/** Hands over the key table of a leaving entry to the log, and to peers in case the log is unavailable. */
import {type HandoverRecord} from '../decisions/outcomes/claim-fold.ts';
import {type Logger} from '../observability/logger.ts';
import {type ForwardingClient} from '../peers/forwarding-client.ts';
import {type ClaimLog} from '../platform/claim-log.ts';

export type KeyHandoverHost = {
	readonly claimLog: Pick<ClaimLog, 'handOver'>;
	readonly forwarding: Pick<ForwardingClient, 'handOver'>;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** Peer addresses of the other live entries. */
	getPeerAddresses(): readonly string[];
};

/** Limit on the peers that receive the table directly; the others read it from the log. */
const maximumDirectPeers = 16;

/** Hands over a sealed key table; resolves within the given time. */
export async function handOverKeys(parts: readonly HandoverRecord[], host: KeyHandoverHost, timeoutMilliseconds: number): Promise<void> {
	const peers = host.getPeerAddresses().slice(0, maximumDirectPeers);
	const [isInLog, ...peerResults] = await Promise.all([
		host.claimLog.handOver(parts, timeoutMilliseconds),
		...peers.map(async peer => host.forwarding.handOver(peer, parts, timeoutMilliseconds)),
	]);
	const keys = parts.reduce((sum, part) => sum + part.keys.length, 0);
	const peerCount = peerResults.filter(Boolean).length;
	if (isInLog || peerCount > 0) {
		host.logger.info('keys-handed-over', {keys, isInLog, peers: peerCount});
	} else {
		host.logger.warn('keys-not-handed-over', {keys, peersTried: peers.length});
	}
}
