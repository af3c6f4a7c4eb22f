/**
Claim stage: decides whether this entry may dispatch a non-idempotent call with a key, and settles repeated calls.

Only the incarnation named in a bound key dispatches it. Only the incarnation whose claim comes first in the log
dispatches a caller-made key. Other entries forward the call to the owner of the key, or query the owner for the
outcome; they never dispatch the call.
*/
import {assertNever} from '../decisions/assert-never.ts';
import {type HandoverRecord} from '../decisions/outcomes/claim-fold.ts';
import {bucketMilliseconds, getIssueBucket} from '../decisions/outcomes/idempotency-key.ts';
import {createKeyTable, type StoredAnswer, type RecordedKey} from '../decisions/outcomes/key-table.ts';
import {type CallEvidence, type KeyHistory, resolveOutcome} from '../decisions/outcomes/resolve-outcome.ts';
import {type ClaimLog} from '../platform/claim-log.ts';
import {
	type KeyedCallDecision, type ClaimTicket, createSettledCall, getDeclaredHistory, type KeyedCall, type SettledCall,
} from './claim-stage-types.ts';
import {createForwardToOwner, type KeyOwnerHost} from './owner-forwarding.ts';

/** Claim stage of one incarnation. */
export type ClaimStage = {
	/** Decides on a call that a caller sent to this entry or that another entry forwarded to it. */
	decide(call: KeyedCall): Promise<KeyedCallDecision>;
	/** Returns the result recorded for a key; waits until the deadline for a call in flight with the key to end. */
	lookUp(key: string, deadlineAt: number): Promise<SettledCall>;
	/** Removes expired keys. */
	expireKeys(): void;
	/** Permanently stops accepting new keys and returns the key table in parts. */
	seal(): readonly HandoverRecord[];
	getSize(): {readonly keys: number; readonly bytes: number};
};

export type ClaimStageHost = KeyOwnerHost & {
	readonly claimLog: Pick<ClaimLog, 'claim' | 'recordOutcome' | 'isFull' | 'getClaim' | 'getHandover'>;
	/** Milliseconds since the epoch. */
	wallNow(): number;
};

export type ClaimStageOptions = {
	readonly incarnation: string;
	/** Limit on the size of the key table. */
	readonly maximumBytes: number;
	readonly keyLifetimeMilliseconds: number;
};

/** Share of the remaining time that a claim may take; the rest is reserved for running the call. */
const claimTimeShare = 0.6;

/** Time by which the issue time of a key may be ahead of this entry's clock. */
const futureToleranceMilliseconds = 300_000;
const keysPerHandoverPart = 500;

/** Creates the claim stage of one incarnation. */
export function createClaimStage(options: ClaimStageOptions, host: ClaimStageHost): ClaimStage {
	const keyTable = createKeyTable({
		maximumBytes: options.maximumBytes,
		lifetimeBuckets: Math.ceil(options.keyLifetimeMilliseconds / bucketMilliseconds),
		futureBuckets: Math.ceil(futureToleranceMilliseconds / bucketMilliseconds),
	});
	/** Callbacks of calls that wait for another call with the same key, by key. */
	const waitersByKey = new Map<string, Set<() => void>>();
	const forwardToOwner = createForwardToOwner(host);
	let isSealed = false;

	const resumeWaiters = (key: string): void => {
		for (const resolve of waitersByKey.get(key) ?? []) {
			resolve();
		}

		waitersByKey.delete(key);
	};

	const createSettledDecision = (evidence: CallEvidence, history: KeyHistory, answer?: StoredAnswer): KeyedCallDecision => ({
		kind: 'settled', settled: createSettledCall(evidence, history, answer),
	});

	const isInFlight = (key: string): boolean => {
		const state = keyTable.get(key);
		return state !== undefined && state.kind !== 'finished';
	};

	/** Waits until the call in flight with this key ends, its claim is released or the deadline passes. */
	const waitForEnd = async (key: string, deadlineAt: number): Promise<void> => new Promise(resolve => {
		const keyWaiters = waitersByKey.get(key) ?? new Set();
		const timer = setTimeout(stopWaiting, Math.max(0, deadlineAt - host.now()));
		waitersByKey.set(key, keyWaiters.add(stopWaiting));

		function stopWaiting(): void {
			clearTimeout(timer);
			keyWaiters.delete(stopWaiting);
			resolve();
		}
	});

	const createTicket = (key: string, isCallerMade: boolean): ClaimTicket => {
		const history: KeyHistory = {kind: 'first-use'};
		return {
			history,
			markDispatched() {
				if (keyTable.get(key)?.kind === 'claimed') {
					keyTable.markDispatched(key);
				}
			},
			finish(outcome, answer) {
				keyTable.finish(key, outcome, answer);
				resumeWaiters(key);
				if (isCallerMade) {
					host.claimLog.recordOutcome(key, outcome);
				}
			},
		};
	};

	/** Decides on a call whose key only this incarnation may dispatch. */
	const decideOwnKey = async (call: KeyedCall, bucket: number): Promise<KeyedCallDecision> => {
		const key = call.key.text;
		if (isSealed && keyTable.get(key) === undefined) {
			const isExpired = bucket <= keyTable.getSize().horizon;
			return createSettledDecision({kind: isExpired ? 'key-expired' : 'refused-before-dispatch'}, {kind: 'first-use'});
		}

		const verdict = keyTable.tryClaim(key, bucket, getIssueBucket(host.wallNow()));
		switch (verdict.kind) {
			case 'started': {
				return {kind: 'run', ticket: createTicket(key, false)};
			}

			case 'in-flight': {
				return {kind: 'settled', settled: await lookUp(key, call.deadlineAt)};
			}

			case 'finished': {
				return createSettledDecision({kind: 'recorded', outcome: verdict.outcome}, {kind: 'unsettled'}, verdict.answer);
			}

			case 'expired': {
				return createSettledDecision({kind: 'key-expired'}, {kind: 'unsettled'});
			}

			default: {
				return assertNever(verdict);
			}
		}
	};

	/** Settles a call whose caller-made key has an owner, with the result that the owner recorded. */
	const settleAtOwner = async (call: KeyedCall, owner: string): Promise<KeyedCallDecision> => owner === options.incarnation
		? {kind: 'settled', settled: await lookUp(call.key.text, call.deadlineAt)}
		: forwardToOwner(call, owner, {kind: 'unsettled'});

	/** Claims a new caller-made key in the log and decides on the call from the result. */
	const claimInLog = async (call: KeyedCall): Promise<KeyedCallDecision> => {
		const key = call.key.text;
		const result = await host.claimLog.claim(key, (call.deadlineAt - host.now()) * claimTimeShare);
		switch (result.kind) {
			case 'won': {
				return {kind: 'run', ticket: createTicket(key, true)};
			}

			case 'lost': {
				keyTable.release(key);
				resumeWaiters(key);
				return settleAtOwner(call, result.owner);
			}

			case 'gap': {
				keyTable.finish(key, resolveOutcome({kind: 'log-gap'}, {kind: 'unsettled'}), undefined);
				resumeWaiters(key);
				return createSettledDecision({kind: 'log-gap'}, {kind: 'unsettled'});
			}

			case 'undecided': {
				keyTable.release(key);
				resumeWaiters(key);
				return createSettledDecision({kind: 'claim-undecided'}, getDeclaredHistory(call));
			}

			default: {
				return assertNever(result);
			}
		}
	};

	/** Decides on a call whose key the caller created itself. */
	const decideCallerMadeKey = async (call: KeyedCall): Promise<KeyedCallDecision> => {
		const key = call.key.text;
		if (isInFlight(key)) {
			await waitForEnd(key, call.deadlineAt);
		}

		if (keyTable.get(key) !== undefined || host.now() >= call.deadlineAt) {
			return {kind: 'settled', settled: await lookUp(key, call.deadlineAt)};
		}

		const existingClaim = host.claimLog.getClaim(key);
		if (existingClaim) {
			return settleAtOwner(call, existingClaim.owner);
		}

		if (isSealed) {
			return createSettledDecision({kind: 'refused-before-dispatch'}, getDeclaredHistory(call));
		}

		if (host.claimLog.isFull()) {
			return createSettledDecision({kind: 'claim-undecided'}, getDeclaredHistory(call));
		}

		const nowBucket = getIssueBucket(host.wallNow());
		const verdict = keyTable.tryClaim(key, nowBucket, nowBucket);
		return verdict.kind === 'started' ? claimInLog(call) : createSettledDecision({kind: 'key-expired'}, {kind: 'unsettled'});
	};

	const lookUp = async (key: string, deadlineAt: number): Promise<SettledCall> => {
		if (isInFlight(key)) {
			await waitForEnd(key, deadlineAt);
		}

		const state = keyTable.get(key);
		if (state?.kind === 'finished') {
			return createSettledCall({kind: 'recorded', outcome: state.outcome}, {kind: 'unsettled'}, state.answer);
		}

		const outcome = host.claimLog.getClaim(key)?.outcome;
		const evidence: CallEvidence = state ? {kind: 'in-flight'} : {kind: 'key-expired'};
		return createSettledCall(outcome ? {kind: 'recorded', outcome} : evidence, {kind: 'unsettled'});
	};

	return {
		async decide(call) {
			if (call.key.kind === 'caller-made') {
				return decideCallerMadeKey(call);
			}

			return call.key.incarnation === options.incarnation
				? decideOwnKey(call, call.key.bucket)
				: forwardToOwner(call, call.key.incarnation, getDeclaredHistory(call));
		},
		lookUp,
		expireKeys() {
			keyTable.expire(getIssueBucket(host.wallNow()));
		},
		seal() {
			isSealed = true;
			return createHandoverParts(options.incarnation, keyTable.listRecordedKeys(), keyTable.getSize().horizon);
		},
		getSize: () => keyTable.getSize(),
	};
}

function createHandoverParts(incarnation: string, keys: readonly RecordedKey[], horizon: number): readonly HandoverRecord[] {
	const parts = Math.max(1, Math.ceil(keys.length / keysPerHandoverPart));
	return Array.from({length: parts}, (_part, part) => ({
		kind: 'handover', incarnation, part, parts, horizon, keys: keys.slice(part * keysPerHandoverPart, (part + 1) * keysPerHandoverPart),
	}));
}
