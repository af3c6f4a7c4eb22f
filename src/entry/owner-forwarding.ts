/** Forwards calls to the entry that owns their key; falls back to recorded outcomes when that entry does not answer. */
import * as timers from 'node:timers/promises';
import {assertNever} from '../decisions/assert-never.ts';
import {type IdempotencyKey} from '../decisions/outcomes/idempotency-key.ts';
import {type CallEvidence, type KeyHistory} from '../decisions/outcomes/resolve-outcome.ts';
import {type ForwardingClient} from '../peers/forwarding-client.ts';
import {type ClaimLog} from '../platform/claim-log.ts';
import {type KeyedCallDecision, createSettledCall, type KeyedCall} from './claim-stage-types.ts';

export type KeyOwnerHost = {
	readonly forwarding: Pick<ForwardingClient, 'forward'>;
	readonly claimLog: Pick<ClaimLog, 'getClaim' | 'getHandover'>;
	/** Milliseconds of a monotonic clock. */
	now(): number;
	/** Gets the peer address of an incarnation; undefined when the incarnation is gone or unknown. */
	getPeerAddress(incarnation: string): string | undefined;
};

/** Forwards a call to the owner of its key, repeatedly until the owner answers or the retry time is over. */
export type ForwardToOwner = (call: KeyedCall, owner: string, history: KeyHistory) => Promise<KeyedCallDecision>;

/** Time for which forwarding is retried while the owner has no address or refuses connections. */
const notConnectedRetryMilliseconds = 300;

/** Time for which forwarding is retried after the owner received the call but did not answer. */
const silentRetryMilliseconds = 3000;

const retryPauseMilliseconds = 50;

/** Creates the function that forwards calls to the owners of their keys. */
export function createForwardToOwner(host: KeyOwnerHost): ForwardToOwner {
	const createSettledDecision = (evidence: CallEvidence, history: KeyHistory): KeyedCallDecision => ({
		kind: 'settled', settled: createSettledCall(evidence, history),
	});

	/** Settles a call from the claim log when the owner of its key does not answer. */
	const settleFromRecords = (key: IdempotencyKey, owner: string, evidence: CallEvidence, history: KeyHistory): KeyedCallDecision => {
		if (key.kind === 'caller-made') {
			const outcome = host.claimLog.getClaim(key.text)?.outcome;
			return createSettledDecision(outcome ? {kind: 'recorded', outcome} : evidence, history);
		}

		const handover = host.claimLog.getHandover(owner, key.text, key.bucket);
		switch (handover.kind) {
			case 'recorded': {
				return createSettledDecision({kind: 'recorded', outcome: handover.outcome}, history);
			}

			case 'never-dispatched': {
				return createSettledDecision({kind: 'refused-before-dispatch'}, {kind: 'first-use'});
			}

			case 'expired': {
				return createSettledDecision({kind: 'key-expired'}, history);
			}

			case 'absent': {
				return createSettledDecision(evidence, history);
			}

			default: {
				return assertNever(handover);
			}
		}
	};

	return async (call, owner, history) => {
		const content = await call.readCall();
		if (!content) {
			return settleFromRecords(call.key, owner, {kind: 'owner-not-connected'}, history);
		}

		const startedAt = host.now();
		let evidence: CallEvidence = {kind: 'owner-gone'};
		for (;;) {
			const timeoutMilliseconds = Math.floor(call.deadlineAt - host.now());
			const retryMilliseconds = evidence.kind === 'owner-silent' ? silentRetryMilliseconds : notConnectedRetryMilliseconds;
			if (timeoutMilliseconds <= 0 || host.now() > startedAt + retryMilliseconds) {
				return settleFromRecords(call.key, owner, evidence, history);
			}

			const peerAddress = host.getPeerAddress(owner);
			const result = peerAddress === undefined
				? undefined
				: await host.forwarding.forward(peerAddress, {
					...content, incarnation: owner, timeoutMilliseconds, isLookup: call.key.kind === 'caller-made',
				});
			if (result?.kind === 'answered') {
				return {kind: 'relay', answer: result.answer};
			}

			if (result?.kind === 'silent') {
				evidence = {kind: 'owner-silent'};
			} else if (result?.kind === 'not-connected' && evidence.kind === 'owner-gone') {
				evidence = {kind: 'owner-not-connected'};
			}

			await timers.setTimeout(retryPauseMilliseconds);
		}
	};
}
