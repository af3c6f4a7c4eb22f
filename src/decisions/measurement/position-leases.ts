/**
Leases on measurement positions, coordinated through the log.

The number of positions is fixed. An entry claims positions by appending a record and renews its leases by further
records. Every reader evaluates the claims in the order of their offsets and by the timestamps of the log, so that a
position has at most one holder. The holder measures its lease from a time before it sent the record, and stops using
the position long before other entries may claim it.
*/
import * as z from 'zod';
import {type RandomSource} from '../random.ts';

/** Name of the log stream that contains the claims. */
export const positionStream = 'measurement-positions';

/** Number of positions in the whole fleet. It must be equal on all entries, since they divide the polling budget by it. */
export const positionCount = 16;

/** Interval between two renewals. */
export const renewalMilliseconds = 10_000;

/** Time for which a holder uses a position, measured from just before it sent the granted claim. */
export const usableMilliseconds = 20_000;

/** Duration of a lease by the clock of the log; other entries may claim the position afterwards. */
export const leaseMilliseconds = 40_000;

/** Interval between two claims while the entry has fewer positions than it wants. */
const claimRetryMilliseconds = 2000;

export const positionClaimSchema = z.strictObject({
	/** Incarnation that makes the claim. */
	holder: z.string(),
	positions: z.array(z.int().min(0).max(positionCount - 1)).min(1).max(positionCount),
});

export type PositionClaim = z.infer<typeof positionClaimSchema>;

/** A claim with its identity and timestamp in the log. */
export type PositionClaimRecord = {
	readonly id: string;
	readonly appendedAt: number;
	readonly claim: PositionClaim;
};

type Lease = {
	readonly holder: string;
	/** When the last claim granted to the holder was appended. */
	readonly renewedAt: number;
	/** When the last claim by any incarnation was appended, granted or not. */
	readonly claimedAt: number;
};

/** Lease of a position whose holder does not appear in the available records. */
const unknownLease = {holder: '', renewedAt: Number.NEGATIVE_INFINITY};

/** State of all leases after some prefix of the log. */
export type Leases = {
	readonly byPosition: ReadonlyMap<number, Lease>;
	/** Latest timestamp of any record so far; it never decreases. */
	readonly logTime: number;
	/** Claims before this time are not granted, since earlier records are missing. It is NaN until the first record sets it. */
	readonly grantableFrom: number;
};

/** Creates the leases before the first record. Without a complete history, no claim is granted until a lease from the missing records would have expired. */
export function createLeases(isHistoryComplete: boolean): Leases {
	return {byPosition: new Map(), logTime: Number.NEGATIVE_INFINITY, grantableFrom: isHistoryComplete ? Number.NEGATIVE_INFINITY : Number.NaN};
}

export type ClaimResult = {
	readonly leases: Leases;
	/** Positions granted to the claim. */
	readonly granted: readonly number[];
};

/** Applies the next claim of the log to the leases. */
export function applyClaim(leases: Leases, record: PositionClaimRecord): ClaimResult {
	const {holder, positions} = record.claim;
	const logTime = Math.max(leases.logTime, record.appendedAt);
	const grantableFrom = Number.isNaN(leases.grantableFrom) ? logTime + leaseMilliseconds : leases.grantableFrom;
	const byPosition = new Map(leases.byPosition);
	const granted: number[] = [];
	for (const position of new Set(positions)) {
		const lease = byPosition.get(position);
		const isGranted = logTime >= grantableFrom && isAvailable(lease, holder, logTime);
		if (isGranted) {
			granted.push(position);
		}

		byPosition.set(position, isGranted ? {holder, renewedAt: logTime, claimedAt: logTime} : {...(lease ?? unknownLease), claimedAt: logTime});
	}

	return {leases: {byPosition, logTime, grantableFrom}, granted};
}

/** Returns whether a claim may be granted: to the holder during its lease, or to the first claim after a full lease duration without any claim. */
function isAvailable(lease: Lease | undefined, holder: string, logTime: number): boolean {
	if (!lease || logTime - lease.claimedAt > leaseMilliseconds) {
		return true;
	}

	return lease.holder === holder && logTime - lease.renewedAt <= leaseMilliseconds;
}

/** The positions of one entry. All times are milliseconds of the entry's own monotonic clock, except for those of the log. */
export type PositionHolder = {
	/** Lists the positions that may be used at this moment; callers must repeat the call before each use. */
	listUsable(now: number): readonly number[];
	/** Creates the next claim; undefined when none is due. The caller must append it immediately under the given record ID. */
	tryPlanClaim(id: string, positionsWanted: number, now: number): PositionClaim | undefined;
	/** Applies the next records of the log. */
	applyRecords(records: readonly PositionClaimRecord[], now: number): void;
	/** Resets the leases, e.g. after records expired unread, when the history is incomplete. */
	reset(isHistoryComplete: boolean): void;
};

/** Creates the position holder of an incarnation that has no positions yet. */
export function createPositionHolder(incarnation: string, random: RandomSource): PositionHolder {
	/** Time at which each own claim was created, by record ID. */
	const claimSentAt = new Map<string, number>();
	const usableUntil = new Map<number, number>();
	/** Time of the last claim seen for each position that did not grant it to this holder. */
	const lastOtherClaimAt = new Map<number, number>();
	let leases = createLeases(true);
	let nextClaimAt = Number.NEGATIVE_INFINITY;

	const getUsable = (now: number): readonly number[] => [...usableUntil].filter(([, until]) => now < until).map(([position]) => position);

	function chooseFreePositions(count: number, now: number): readonly number[] {
		const free = Array.from({length: positionCount}, (_, position) => position)
			.filter(position => !usableUntil.has(position) && now - (lastOtherClaimAt.get(position) ?? Number.NEGATIVE_INFINITY) > leaseMilliseconds);
		const chosen: number[] = [];
		while (chosen.length < count && free.length > 0) {
			chosen.push(...free.splice(random.nextInteger(free.length), 1));
		}

		return chosen;
	}

	function pruneExpired(now: number): void {
		for (const [position, until] of usableUntil) {
			if (now >= until) {
				usableUntil.delete(position);
			}
		}

		for (const [id, time] of claimSentAt) {
			if (now - time > usableMilliseconds) {
				claimSentAt.delete(id);
			}
		}
	}

	return {
		listUsable: getUsable,
		tryPlanClaim(id, positionsWanted, now) {
			if (now < nextClaimAt) {
				return undefined;
			}

			pruneExpired(now);
			const renewed = [...usableUntil.keys()].slice(0, positionsWanted);
			const positions = [...renewed, ...chooseFreePositions(positionsWanted - renewed.length, now)];
			nextClaimAt = now + (renewed.length < positionsWanted ? claimRetryMilliseconds : renewalMilliseconds);
			if (positions.length === 0) {
				return undefined;
			}

			claimSentAt.set(id, now);
			return {holder: incarnation, positions};
		},
		applyRecords(records, now) {
			for (const record of records) {
				const result = applyClaim(leases, record);
				leases = result.leases;
				const ownClaimSentAt = record.claim.holder === incarnation ? claimSentAt.get(record.id) : undefined;
				for (const position of record.claim.positions) {
					if (ownClaimSentAt !== undefined && result.granted.includes(position)) {
						usableUntil.set(position, Math.max(usableUntil.get(position) ?? Number.NEGATIVE_INFINITY, ownClaimSentAt + usableMilliseconds));
					} else {
						lastOtherClaimAt.set(position, now);
					}
				}
			}
		},
		reset(isHistoryComplete) {
			leases = createLeases(isHistoryComplete);
		},
	};
}
