/**
The claim stage: decides whether a non-idempotent call with a key may be dispatched here, and what a repeat is told.

A bound key is dispatched only by the incarnation in it. A caller-made key is dispatched only by the incarnation whose
claim comes first in the log. Other entries forward the call, or ask, and never dispatch it.
*/
import {assertNever} from '../decisions/assert-never.ts';
import {type HandoverRecord} from '../decisions/outcomes/claim-fold.ts';
import {bucketMilliseconds, getIssueBucket} from '../decisions/outcomes/idempotency-key.ts';
import {createKeyTable, type StoredAnswer, type RecordedKey} from '../decisions/outcomes/key-table.ts';
import {type CallEvidence, type KeyHistory, resolveOutcome} from '../decisions/outcomes/resolve-outcome.ts';
import {type ClaimLog} from '../platform/claim-log.ts';
import {
	type ClaimDecision, type ClaimTicket, createSettled, getCallerHistory, type KeyedCall, type SettledCall,
} from './claim-types.ts';
import {createForwardToOwner, type KeyOwnerHost} from './key-owner.ts';

export type ClaimStage = {
	/** Decides a call that a caller sent to this entry, or that another entry forwarded here. */
	take(call: KeyedCall): Promise<ClaimDecision>;
	/** Says what is known of a key; waits for a call in flight until the deadline. */
	lookUp(key: string, deadlineAt: number): Promise<SettledCall>;
	/** Drops old keys. */
	advance(): void;
	/** Ends dispatching for good and returns the key table in parts. */
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
	readonly maximumBytes: number;
	readonly keyLifetimeMilliseconds: number;
};

/** Share of the time left that a claim may take; the rest is for running the call. */
const claimTimeShare = 0.6;

const futureToleranceMilliseconds = 300_000;
const keysPerHandoverPart = 500;

/** Creates the claim stage of one incarnation. */
export function createClaimStage(options: ClaimStageOptions, host: ClaimStageHost): ClaimStage {
	const table = createKeyTable({
		maximumBytes: options.maximumBytes,
		lifetimeBuckets: Math.ceil(options.keyLifetimeMilliseconds / bucketMilliseconds),
		futureBuckets: Math.ceil(futureToleranceMilliseconds / bucketMilliseconds),
	});
	/** Calls that wait for another call with the same key. */
	const waiters = new Map<string, Set<() => void>>();
	const forwardToOwner = createForwardToOwner(host);
	let isSealed = false;

	const wake = (key: string): void => {
		for (const resolve of waiters.get(key) ?? []) {
			resolve();
		}

		waiters.delete(key);
	};

	const settle = (evidence: CallEvidence, history: KeyHistory, answer?: StoredAnswer): ClaimDecision => ({
		kind: 'settled', settled: createSettled(evidence, history, answer),
	});

	const isInFlight = (key: string): boolean => {
		const state = table.get(key);
		return state !== undefined && state.kind !== 'finished';
	};

	/** Waits until the call in flight with this key ends or is released. */
	const waitForEnd = async (key: string, deadlineAt: number): Promise<void> => new Promise(resolve => {
		const keyWaiters = waiters.get(key) ?? new Set();
		const timer = setTimeout(end, Math.max(0, deadlineAt - host.now()));
		waiters.set(key, keyWaiters.add(end));

		function end(): void {
			clearTimeout(timer);
			keyWaiters.delete(end);
			resolve();
		}
	});

	const createTicket = (key: string, isCallerMade: boolean): ClaimTicket => {
		const history: KeyHistory = {kind: 'first-use'};
		return {
			history,
			markDispatched() {
				if (table.get(key)?.kind === 'claimed') {
					table.markDispatched(key);
				}
			},
			finish(outcome, answer) {
				table.finish(key, outcome, answer);
				wake(key);
				if (isCallerMade) {
					host.claimLog.recordOutcome(key, outcome);
				}
			},
		};
	};

	/** Takes a key that only this incarnation may dispatch. */
	const takeOwn = async (call: KeyedCall, bucket: number): Promise<ClaimDecision> => {
		const key = call.key.text;
		if (isSealed && table.get(key) === undefined) {
			const isForgotten = bucket <= table.getSize().horizon;
			return settle({kind: isForgotten ? 'key-expired' : 'refused-before-dispatch'}, {kind: 'first-use'});
		}

		const verdict = table.tryClaim(key, bucket, getIssueBucket(host.wallNow()));
		switch (verdict.kind) {
			case 'started': {
				return {kind: 'run', ticket: createTicket(key, false)};
			}

			case 'in-flight': {
				return {kind: 'settled', settled: await lookUp(key, call.deadlineAt)};
			}

			case 'finished': {
				return settle({kind: 'recorded', outcome: verdict.outcome}, {kind: 'unsettled'}, verdict.answer);
			}

			case 'expired': {
				return settle({kind: 'key-expired'}, {kind: 'unsettled'});
			}

			default: {
				return assertNever(verdict);
			}
		}
	};

	const askOwner = async (call: KeyedCall, owner: string): Promise<ClaimDecision> => owner === options.incarnation
		? {kind: 'settled', settled: await lookUp(call.key.text, call.deadlineAt)}
		: forwardToOwner(call, owner, {kind: 'unsettled'});

	/** Claims a new caller-made key in the log. */
	const claim = async (call: KeyedCall): Promise<ClaimDecision> => {
		const key = call.key.text;
		const result = await host.claimLog.claim(key, (call.deadlineAt - host.now()) * claimTimeShare);
		switch (result.kind) {
			case 'won': {
				return {kind: 'run', ticket: createTicket(key, true)};
			}

			case 'lost': {
				table.release(key);
				wake(key);
				return askOwner(call, result.owner);
			}

			case 'gap': {
				table.finish(key, resolveOutcome({kind: 'log-gap'}, {kind: 'unsettled'}), undefined);
				wake(key);
				return settle({kind: 'log-gap'}, {kind: 'unsettled'});
			}

			case 'undecided': {
				table.release(key);
				wake(key);
				return settle({kind: 'claim-undecided'}, getCallerHistory(call));
			}

			default: {
				return assertNever(result);
			}
		}
	};

	const takeCallerMade = async (call: KeyedCall): Promise<ClaimDecision> => {
		const key = call.key.text;
		if (isInFlight(key)) {
			await waitForEnd(key, call.deadlineAt);
		}

		if (table.get(key) !== undefined || host.now() >= call.deadlineAt) {
			return {kind: 'settled', settled: await lookUp(key, call.deadlineAt)};
		}

		const known = host.claimLog.getClaim(key);
		if (known) {
			return askOwner(call, known.owner);
		}

		if (isSealed) {
			return settle({kind: 'refused-before-dispatch'}, getCallerHistory(call));
		}

		if (host.claimLog.isFull()) {
			return settle({kind: 'claim-undecided'}, getCallerHistory(call));
		}

		const nowBucket = getIssueBucket(host.wallNow());
		const verdict = table.tryClaim(key, nowBucket, nowBucket);
		return verdict.kind === 'started' ? claim(call) : settle({kind: 'key-expired'}, {kind: 'unsettled'});
	};

	const lookUp = async (key: string, deadlineAt: number): Promise<SettledCall> => {
		if (isInFlight(key)) {
			await waitForEnd(key, deadlineAt);
		}

		const state = table.get(key);
		if (state?.kind === 'finished') {
			return createSettled({kind: 'recorded', outcome: state.outcome}, {kind: 'unsettled'}, state.answer);
		}

		const outcome = host.claimLog.getClaim(key)?.outcome;
		const evidence: CallEvidence = state ? {kind: 'in-flight'} : {kind: 'key-expired'};
		return createSettled(outcome ? {kind: 'recorded', outcome} : evidence, {kind: 'unsettled'});
	};

	return {
		async take(call) {
			if (call.key.kind === 'caller-made') {
				return takeCallerMade(call);
			}

			return call.key.incarnation === options.incarnation
				? takeOwn(call, call.key.bucket)
				: forwardToOwner(call, call.key.incarnation, getCallerHistory(call));
		},
		lookUp,
		advance() {
			table.expire(getIssueBucket(host.wallNow()));
		},
		seal() {
			isSealed = true;
			return createHandoverParts(options.incarnation, table.listRecordedKeys(), table.getSize().horizon);
		},
		getSize: () => table.getSize(),
	};
}

function createHandoverParts(incarnation: string, keys: readonly RecordedKey[], horizon: number): readonly HandoverRecord[] {
	const parts = Math.max(1, Math.ceil(keys.length / keysPerHandoverPart));
	return Array.from({length: parts}, (_part, part) => ({
		kind: 'handover', incarnation, part, parts, horizon, keys: keys.slice(part * keysPerHandoverPart, (part + 1) * keysPerHandoverPart),
	}));
}
