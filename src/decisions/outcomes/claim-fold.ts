/**
Folds the records of the claims stream in the order of their offsets.

The first claim of a key by offset wins, within a window of time by the clock of the log service. Records also carry
outcomes of claimed keys, and the key tables of entries that left. A fold that missed records, or had to drop claims
younger than the window, is incomplete for one window: claims that it can't decide are `gap`.
*/
import * as z from 'zod';
import {type RecordedKey} from './key-table.ts';
import {type Outcome} from './types.ts';

/** Name of the log stream that holds claims. */
export const claimsStream = 'claims';

const recordedKeySchema = z.object({key: z.string(), outcome: z.enum(['ran', 'not-run', 'unknown'])});

export const claimRecordSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('batch'),
		incarnation: z.string(),
		claims: z.array(z.string()),
		outcomes: z.array(recordedKeySchema),
	}),
	/** One part of the key table of an entry that left and dispatches nothing any more. */
	z.object({
		kind: z.literal('handover'),
		incarnation: z.string(),
		part: z.int(),
		parts: z.int(),
		/** Absent keys of this bucket or an older one were dropped before and are unknown. */
		horizon: z.int(),
		keys: z.array(recordedKeySchema),
	}),
]);

export type ClaimRecord = z.infer<typeof claimRecordSchema>;
export type BatchRecord = Extract<ClaimRecord, {kind: 'batch'}>;
export type HandoverRecord = Extract<ClaimRecord, {kind: 'handover'}>;

/** Place and time of a record in the log. */
export type RecordPosition = {
	readonly id: string;
	/** Milliseconds since the epoch by the clock of the log service. */
	readonly appendedAt: number;
};

export type ClaimDecision
	= | {readonly kind: 'won'; readonly key: string}
		| {readonly kind: 'lost'; readonly key: string; readonly owner: string}
		| {readonly kind: 'gap'; readonly key: string};

export type ClaimStatus = {readonly owner: string; readonly outcome: Outcome | undefined};

/** What an entry that left says of one of its bound keys. */
export type HandoverStatus
	= | {readonly kind: 'recorded'; readonly outcome: Outcome}
	/** Absent from a complete table: never dispatched, and never will be. */
		| {readonly kind: 'never-dispatched'}
		| {readonly kind: 'expired'}
	/** No complete table of that incarnation is known. */
		| {readonly kind: 'absent'};

export type ClaimFoldOptions = {
	readonly windowMilliseconds: number;
	readonly maximumClaims: number;
};

export type ClaimFold = {
	/** Takes the next record; returns the decisions on its claims. */
	apply(record: ClaimRecord, position: RecordPosition): readonly ClaimDecision[];
	/** Takes a part of a key table that a peer sent without the log, at a time in milliseconds since the epoch. */
	takeHandover(record: HandoverRecord, receivedAt: number): void;
	/** Notes that records before the next one were missed. */
	noteGap(): void;
	getClaim(key: string): ClaimStatus | undefined;
	getHandover(incarnation: string, key: string, bucket: number): HandoverStatus;
	getSize(): {readonly claims: number; readonly handovers: number};
};

type Claim = {
	readonly owner: string;
	readonly recordId: string;
	readonly claimedAt: number;
	readonly decision: 'won' | 'gap';
	outcome: Outcome | undefined;
};

type Handover = {
	readonly receivedAt: number;
	readonly parts: number;
	readonly horizon: number;
	readonly partsSeen: Set<number>;
	readonly outcomes: Map<string, Outcome>;
};

/** Creates a fold that has seen no record. */
export function createClaimFold(options: ClaimFoldOptions): ClaimFold {
	/** Claims in the order of their offsets. */
	const claims = new Map<string, Claim>();
	const handovers = new Map<string, Handover>();
	let incompleteUntil = Number.NEGATIVE_INFINITY;
	let hasGap = false;

	const expire = (now: number): void => {
		for (const [key, claim] of claims) {
			const isYoung = claim.claimedAt >= now - options.windowMilliseconds;
			if (isYoung && claims.size <= options.maximumClaims) {
				break;
			}

			if (isYoung) {
				incompleteUntil = Math.max(incompleteUntil, claim.claimedAt + options.windowMilliseconds);
			}

			claims.delete(key);
		}

		for (const [incarnation, handover] of handovers) {
			if (handover.receivedAt < now - options.windowMilliseconds) {
				handovers.delete(incarnation);
			}
		}
	};

	const decide = (key: string, owner: string, {id, appendedAt}: RecordPosition): ClaimDecision => {
		const first = claims.get(key);
		if (!first) {
			const decision = appendedAt <= incompleteUntil ? 'gap' : 'won';
			claims.set(key, {
				owner, recordId: id, claimedAt: appendedAt, decision, outcome: undefined,
			});
			return {kind: decision, key};
		}

		const isRepeatedAppend = first.owner === owner && first.recordId === id;
		return isRepeatedAppend ? {kind: first.decision, key} : {kind: 'lost', key, owner: first.owner};
	};

	const applyOutcomes = (owner: string, outcomes: readonly RecordedKey[]): void => {
		for (const {key, outcome} of outcomes) {
			const claim = claims.get(key);
			if (claim?.owner === owner) {
				claim.outcome = outcome;
			}
		}
	};

	const applyHandover = (record: HandoverRecord, receivedAt: number): void => {
		const handover = handovers.get(record.incarnation) ?? {
			receivedAt, parts: record.parts, horizon: record.horizon, partsSeen: new Set(), outcomes: new Map(),
		};
		handover.partsSeen.add(record.part);
		for (const {key, outcome} of record.keys) {
			handover.outcomes.set(key, outcome);
		}

		handovers.set(record.incarnation, handover);
		applyOutcomes(record.incarnation, record.keys);
	};

	return {
		apply(record, position) {
			if (hasGap) {
				hasGap = false;
				incompleteUntil = position.appendedAt + options.windowMilliseconds;
			}

			expire(position.appendedAt);
			if (record.kind === 'handover') {
				applyHandover(record, position.appendedAt);
				return [];
			}

			const decisions = record.claims.map(key => decide(key, record.incarnation, position));
			applyOutcomes(record.incarnation, record.outcomes);
			return decisions;
		},
		takeHandover(record, receivedAt) {
			applyHandover(record, receivedAt);
		},
		noteGap() {
			hasGap = true;
		},
		getClaim: key => claims.get(key),
		getHandover(incarnation, key, bucket) {
			const handover = handovers.get(incarnation);
			if (!handover || handover.partsSeen.size < handover.parts) {
				return {kind: 'absent'};
			}

			const outcome = handover.outcomes.get(key);
			if (outcome) {
				return {kind: 'recorded', outcome};
			}

			return bucket <= handover.horizon ? {kind: 'expired'} : {kind: 'never-dispatched'};
		},
		getSize: () => ({claims: claims.size, handovers: handovers.size}),
	};
}
