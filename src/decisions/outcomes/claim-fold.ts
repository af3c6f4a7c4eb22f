/**
Folds the records of the claims stream in the order of their offsets.

Among the claims of a key within a time window, measured by the clock of the log service, the one with the lowest
offset wins. Records also carry the outcomes of claimed keys, and the key tables of entries that left the fleet. A fold
that missed records, or had to drop claims that were still within the window, is incomplete for the length of one
window: it decides claims as `gap` if an earlier claim of the key may be missing.
*/
import * as z from 'zod';
import {type RecordedKey} from './key-table.ts';
import {type Outcome} from './types.ts';

/** Name of the log stream that contains the claims. */
export const claimsStream = 'claims';

const recordedKeySchema = z.object({key: z.string(), outcome: z.enum(['ran', 'not-run', 'unknown'])});

/** A record of the claims stream. */
export const claimRecordSchema = z.discriminatedUnion('kind', [
	/** New claims of an incarnation, and outcomes of its earlier ones. */
	z.object({
		kind: z.literal('batch'),
		incarnation: z.string(),
		claims: z.array(z.string()),
		outcomes: z.array(recordedKeySchema),
	}),
	/** One part of the key table of an entry that left the fleet and no longer dispatches calls. */
	z.object({
		kind: z.literal('handover'),
		incarnation: z.string(),
		part: z.int(),
		parts: z.int(),
		/** Keys of this bucket or an older one may have been dropped from the table, so their absence proves nothing. */
		horizon: z.int(),
		keys: z.array(recordedKeySchema),
	}),
]);

export type ClaimRecord = z.infer<typeof claimRecordSchema>;
export type BatchRecord = Extract<ClaimRecord, {kind: 'batch'}>;
export type HandoverRecord = Extract<ClaimRecord, {kind: 'handover'}>;

/** Identity and timestamp of a record in the log. */
export type RecordMetadata = {
	readonly id: string;
	/** Milliseconds since the epoch by the clock of the log service. */
	readonly appendedAt: number;
};

/** Result of a claim: `gap` when an earlier claim of the key may be missing. */
export type ClaimDecision
	= | {readonly kind: 'won'; readonly key: string}
		| {readonly kind: 'lost'; readonly key: string; readonly owner: string}
		| {readonly kind: 'gap'; readonly key: string};

export type ClaimStatus = {readonly owner: string; readonly outcome: Outcome | undefined};

/** State of a bound key according to the key table of an entry that left the fleet. */
export type HandoverStatus
	= | {readonly kind: 'recorded'; readonly outcome: Outcome}
	/** The key is absent from a complete table: it was never dispatched and never will be. */
		| {readonly kind: 'never-dispatched'}
	/** The key is absent, but may have been dropped from the table. */
		| {readonly kind: 'expired'}
	/** No complete table of the incarnation was received. */
		| {readonly kind: 'absent'};

export type ClaimFoldOptions = {
	/** Time after which a claim expires, by the clock of the log service. */
	readonly windowMilliseconds: number;
	/** Maximum number of claims that are kept. */
	readonly maximumClaims: number;
};

export type ClaimFold = {
	/** Applies the next record and returns the decisions on its claims. */
	apply(record: ClaimRecord, position: RecordMetadata): readonly ClaimDecision[];
	/** Applies a part of a key table that a peer sent directly, not through the log; `receivedAt` is in milliseconds since the epoch. */
	applyHandover(record: HandoverRecord, receivedAt: number): void;
	/** Records that some records before the next one were missed. */
	recordGap(): void;
	getClaim(key: string): ClaimStatus | undefined;
	/** Gets the state of a key bound to an incarnation that left; `bucket` is the issue bucket of the key. */
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
	readonly receivedParts: Set<number>;
	readonly outcomes: Map<string, Outcome>;
};

/** Creates a fold to which no record has been applied. */
export function createClaimFold(options: ClaimFoldOptions): ClaimFold {
	/** Claims in the order of their offsets. */
	const claims = new Map<string, Claim>();
	const handovers = new Map<string, Handover>();
	/** Claims appended up to this time may have lost to a claim that the fold does not contain. */
	let incompleteUntil = Number.NEGATIVE_INFINITY;
	let hasGap = false;

	const expire = (now: number): void => {
		for (const [key, claim] of claims) {
			const isWithinWindow = claim.claimedAt >= now - options.windowMilliseconds;
			if (isWithinWindow && claims.size <= options.maximumClaims) {
				break;
			}

			if (isWithinWindow) {
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

	const decideClaim = (key: string, owner: string, {id, appendedAt}: RecordMetadata): ClaimDecision => {
		const firstClaim = claims.get(key);
		if (!firstClaim) {
			const decision = appendedAt <= incompleteUntil ? 'gap' : 'won';
			claims.set(key, {
				owner, recordId: id, claimedAt: appendedAt, decision, outcome: undefined,
			});
			return {kind: decision, key};
		}

		const isRepeatedAppend = firstClaim.owner === owner && firstClaim.recordId === id;
		return isRepeatedAppend ? {kind: firstClaim.decision, key} : {kind: 'lost', key, owner: firstClaim.owner};
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
			receivedAt, parts: record.parts, horizon: record.horizon, receivedParts: new Set(), outcomes: new Map(),
		};
		handover.receivedParts.add(record.part);
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

			const decisions = record.claims.map(key => decideClaim(key, record.incarnation, position));
			applyOutcomes(record.incarnation, record.outcomes);
			return decisions;
		},
		applyHandover(record, receivedAt) {
			applyHandover(record, receivedAt);
		},
		recordGap() {
			hasGap = true;
		},
		getClaim: key => claims.get(key),
		getHandover(incarnation, key, bucket) {
			const handover = handovers.get(incarnation);
			if (!handover || handover.receivedParts.size < handover.parts) {
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
