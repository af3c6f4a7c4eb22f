/**
Leases on measurement positions, agreed through the log.

There is a fixed number of positions. An entry claims some by a record and renews the claim by further records. Each
reader judges the claims in the order of their offsets and by the time of the log, so that a position has one holder at
most. The holder counts from before it sent the record, and stops long before others may claim.
*/
import * as z from 'zod';
import {type RandomSource} from '../random.ts';

/** Name of the log stream that holds the claims. */
export const positionStream = 'measurement-positions';

/** Positions in the whole fleet; equal on all entries, since the budget is divided by it. */
export const positionCount = 16;

/** Time between two renewals. */
export const renewalMilliseconds = 10_000;

/** Time for which a holder uses a position, from before it sent the record that was accepted. */
export const useMilliseconds = 20_000;

/** Time by the log's clock after which others may claim a position. */
export const holdMilliseconds = 40_000;

/** Time between two attempts to get positions. */
const retryMilliseconds = 2000;

export const claimSchema = z.strictObject({
	/** Incarnation that claims. */
	holder: z.string(),
	positions: z.array(z.int().min(0).max(positionCount - 1)).min(1).max(positionCount),
});

export type PositionClaim = z.infer<typeof claimSchema>;

/** Claim as the log holds it. */
export type ClaimedRecord = {
	readonly id: string;
	readonly appendedAt: number;
	readonly claim: PositionClaim;
};

type Lease = {
	readonly holder: string;
	/** When the holder's last claim was appended. */
	readonly renewedAt: number;
	/** When anyone's last claim was appended, granted or not. */
	readonly claimedAt: number;
};

/** A lease whose holder the known records don't show. */
const unknownLease = {holder: '', renewedAt: Number.NEGATIVE_INFINITY};

/** Leases in the order of the log. */
export type Leases = {
	readonly byPosition: ReadonlyMap<number, Lease>;
	/** Latest time that a record has shown; it never goes back. */
	readonly logTime: number;
	/** Claims before this time can't be judged, since earlier records are lacking. */
	readonly judgedFrom: number;
};

/** Leases before the first record; without a complete history, a first while passes in which nothing is granted. */
export function createLeases(isHistoryComplete: boolean): Leases {
	return {byPosition: new Map(), logTime: Number.NEGATIVE_INFINITY, judgedFrom: isHistoryComplete ? Number.NEGATIVE_INFINITY : Number.NaN};
}

export type JudgedClaim = {
	readonly leases: Leases;
	/** Positions that the claim got. */
	readonly granted: readonly number[];
};

/** Judges the next claim of the log. */
export function judgeClaim(leases: Leases, record: ClaimedRecord): JudgedClaim {
	const {holder, positions} = record.claim;
	const logTime = Math.max(leases.logTime, record.appendedAt);
	const judgedFrom = Number.isNaN(leases.judgedFrom) ? logTime + holdMilliseconds : leases.judgedFrom;
	const byPosition = new Map(leases.byPosition);
	const granted: number[] = [];
	for (const position of new Set(positions)) {
		const lease = byPosition.get(position);
		const isGranted = logTime >= judgedFrom && isFor(lease, holder, logTime);
		if (isGranted) {
			granted.push(position);
		}

		byPosition.set(position, isGranted ? {holder, renewedAt: logTime, claimedAt: logTime} : {...(lease ?? unknownLease), claimedAt: logTime});
	}

	return {leases: {byPosition, logTime, judgedFrom}, granted};
}

/** A position goes to its holder while the lease lasts, else to the first claim after a time without any. */
function isFor(lease: Lease | undefined, holder: string, logTime: number): boolean {
	if (!lease || logTime - lease.claimedAt > holdMilliseconds) {
		return true;
	}

	return lease.holder === holder && logTime - lease.renewedAt <= holdMilliseconds;
}

/** The positions of one entry. Times without a note are milliseconds of its own monotonic clock. */
export type PositionHolder = {
	/** Gets the positions that may be used right now; ask again before each use. */
	getUsable(now: number): readonly number[];
	/** Plans the next claim; undefined when none is due. The caller sends it at once under the given identity. */
	tryPlanClaim(id: string, positionsWanted: number, now: number): PositionClaim | undefined;
	/** Takes the next records of the log. */
	take(records: readonly ClaimedRecord[], now: number): void;
	/** Starts over with a history that begins late, e.g. after records expired unread. */
	reset(isHistoryComplete: boolean): void;
};

/** Creates the holder of an incarnation that has no positions yet. */
export function createPositionHolder(self: string, random: RandomSource): PositionHolder {
	const sentAt = new Map<string, number>();
	const usableUntil = new Map<number, number>();
	const seenAt = new Map<number, number>();
	let leases = createLeases(true);
	let nextClaimAt = Number.NEGATIVE_INFINITY;

	const getUsable = (now: number): readonly number[] => [...usableUntil].filter(([, until]) => now < until).map(([position]) => position);

	function chooseFree(count: number, now: number): readonly number[] {
		const free = Array.from({length: positionCount}, (_, position) => position)
			.filter(position => !usableUntil.has(position) && now - (seenAt.get(position) ?? Number.NEGATIVE_INFINITY) > holdMilliseconds);
		const chosen: number[] = [];
		while (chosen.length < count && free.length > 0) {
			chosen.push(...free.splice(random.nextInteger(free.length), 1));
		}

		return chosen;
	}

	function forgetLapsed(now: number): void {
		for (const [position, until] of usableUntil) {
			if (now >= until) {
				usableUntil.delete(position);
			}
		}

		for (const [id, time] of sentAt) {
			if (now - time > useMilliseconds) {
				sentAt.delete(id);
			}
		}
	}

	return {
		getUsable,
		tryPlanClaim(id, positionsWanted, now) {
			if (now < nextClaimAt) {
				return undefined;
			}

			forgetLapsed(now);
			const held = [...usableUntil.keys()].slice(0, positionsWanted);
			const positions = [...held, ...chooseFree(positionsWanted - held.length, now)];
			nextClaimAt = now + (held.length < positionsWanted ? retryMilliseconds : renewalMilliseconds);
			if (positions.length === 0) {
				return undefined;
			}

			sentAt.set(id, now);
			return {holder: self, positions};
		},
		take(records, now) {
			for (const record of records) {
				const judged = judgeClaim(leases, record);
				leases = judged.leases;
				const sent = record.claim.holder === self ? sentAt.get(record.id) : undefined;
				for (const position of record.claim.positions) {
					if (sent !== undefined && judged.granted.includes(position)) {
						usableUntil.set(position, Math.max(usableUntil.get(position) ?? Number.NEGATIVE_INFINITY, sent + useMilliseconds));
					} else {
						seenAt.set(position, now);
					}
				}
			}
		},
		reset(isHistoryComplete) {
			leases = createLeases(isHistoryComplete);
		},
	};
}
