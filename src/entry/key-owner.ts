/** Passes calls on to the entry that owns their key, and falls back on records when that entry can't be asked. */
import * as timers from 'node:timers/promises';
import {assertNever} from '../decisions/assert-never.ts';
import {type IdempotencyKey} from '../decisions/outcomes/idempotency-key.ts';
import {type CallEvidence, type KeyHistory} from '../decisions/outcomes/resolve-outcome.ts';
import {type ForwardingClient} from '../peers/forwarding-client.ts';
import {type ClaimLog} from '../platform/claim-log.ts';
import {type ClaimDecision, createSettled, type KeyedCall} from './claim-types.ts';

export type KeyOwnerHost = {
	readonly forwarding: Pick<ForwardingClient, 'forward'>;
	readonly claimLog: Pick<ClaimLog, 'getClaim' | 'getHandover'>;
	/** Milliseconds of a monotonic clock. */
	now(): number;
	/** Gets the peer address of an incarnation that is not known to be gone. */
	getPeerAddress(incarnation: string): string | undefined;
};

/** Passes a call on to the owner of its key until it answers or its patience ends. */
export type ForwardToOwner = (call: KeyedCall, owner: string, history: KeyHistory) => Promise<ClaimDecision>;

/** Time for which an owner without an address, or that refuses connections, is tried again. */
const notConnectedPatienceMilliseconds = 300;

/** Time for which an owner that does not answer is tried again. */
const silentPatienceMilliseconds = 3000;

const forwardPauseMilliseconds = 50;

/** Creates the function that passes calls on. */
export function createForwardToOwner(host: KeyOwnerHost): ForwardToOwner {
	const settle = (evidence: CallEvidence, history: KeyHistory): ClaimDecision => ({
		kind: 'settled', settled: createSettled(evidence, history),
	});

	/** Gets what is on record about a key whose owner can't be asked. */
	const settleFromRecords = (key: IdempotencyKey, owner: string, evidence: CallEvidence, history: KeyHistory): ClaimDecision => {
		if (key.kind === 'caller-made') {
			const outcome = host.claimLog.getClaim(key.text)?.outcome;
			return settle(outcome ? {kind: 'recorded', outcome} : evidence, history);
		}

		const handover = host.claimLog.getHandover(owner, key.text, key.bucket);
		switch (handover.kind) {
			case 'recorded': {
				return settle({kind: 'recorded', outcome: handover.outcome}, history);
			}

			case 'never-dispatched': {
				return settle({kind: 'refused-before-dispatch'}, {kind: 'first-use'});
			}

			case 'expired': {
				return settle({kind: 'key-expired'}, history);
			}

			case 'absent': {
				return settle(evidence, history);
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
			const patience = evidence.kind === 'owner-silent' ? silentPatienceMilliseconds : notConnectedPatienceMilliseconds;
			if (timeoutMilliseconds <= 0 || host.now() > startedAt + patience) {
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

			await timers.setTimeout(forwardPauseMilliseconds);
		}
	};
}
