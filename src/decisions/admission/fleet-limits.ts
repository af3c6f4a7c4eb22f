/**
Enforces fleet-wide limits of a service and of a failure domain (a `place` row) without coordination.

Each entry limits its own calls to an even share of the limit, computed from the members in its view of the fleet. When
the view of every entry contains at least the fraction `v` of the members, the fleet stays below the limit divided by
`v`, plus one burst per entry.
*/
import {type FleetView} from '../routing/types.ts';
import {type ServiceView} from '../table/service-view.ts';

/** Size of a burst, expressed as the time in which the rate allows that many calls, in milliseconds. */
export const burstMilliseconds = 100;
const millisecondsPerSecond = 1000;
/** Retry delay after a refusal by a limit on calls in flight. */
const inFlightRetryMilliseconds = 100;

/** Refusal of a call by a limit. */
export type LimitRefusal = {
	readonly reason: 'service-limit' | 'place-limit';
	readonly retryAfterMilliseconds: number;
};

/** Limits of one service that apply to the calls of this entry. */
export type FleetLimits = {
	/** Counts a call against the limits; returns a refusal, and counts nothing, when a limit is exhausted. */
	tryAdmit(now: number): LimitRefusal | undefined;
	/** Counts a call that is queued again for a retry; the limits are not checked. */
	admitRetry(): void;
	/** Records that an admitted call has ended. */
	release(): void;
	setView(view: ServiceView): void;
	setFleet(fleet: FleetView): void;
};

/** Share of one limit that belongs to this entry; the rate is enforced by a token bucket. */
type LimitShare = {
	readonly reason: LimitRefusal['reason'];
	/** Undefined means no limit. */
	readonly callsPerSecond: number | undefined;
	/** Undefined means no limit. */
	readonly callsInFlight: number | undefined;
	tokens: number;
	refilledAt: number;
};

/** Returns the part of a whole number for the member with the given rank; the parts add up to the whole. */
export function divideEvenly(whole: number, members: number, rank: number): number {
	return Math.floor(whole / members) + (rank < whole % members ? 1 : 0);
}

/** Creates the limits; every token bucket starts full. */
export function createFleetLimits(initialView: ServiceView, initialFleet: FleetView, now: number): FleetLimits {
	let view = initialView;
	let fleet = initialFleet;
	let inFlight = 0;
	let shares = createShares(undefined, now);

	function createShares(previous: readonly LimitShare[] | undefined, startedAt: number): readonly LimitShare[] {
		const place = view.places.get(fleet.selfFailureDomain);
		const fleetNames = fleet.entries.map(entry => entry.name);
		const localNames = fleet.entries.filter(entry => entry.failureDomain === fleet.selfFailureDomain).map(entry => entry.name);
		const rows = [
			{reason: 'service-limit', row: view.limit, members: fleetNames},
			{reason: 'place-limit', row: place, members: localNames},
		] as const;
		return rows.flatMap(({reason, row, members}) => {
			if (row?.callsPerSecond === undefined && row?.callsInFlight === undefined) {
				return [];
			}

			const names = [...new Set([...members, fleet.self])].toSorted();
			const rank = names.indexOf(fleet.self);
			const rate = row.callsPerSecond === undefined ? undefined : row.callsPerSecond / names.length;
			const previousShare = previous?.find(share => share.reason === reason);
			return [{
				reason,
				callsPerSecond: rate,
				callsInFlight: row.callsInFlight === undefined ? undefined : divideEvenly(row.callsInFlight, names.length, rank),
				tokens: Math.min(previousShare?.tokens ?? Number.POSITIVE_INFINITY, getBurstCalls(rate)),
				refilledAt: previousShare?.refilledAt ?? startedAt,
			}];
		});
	}

	function checkShare(share: LimitShare, at: number): LimitRefusal | undefined {
		if (share.callsInFlight !== undefined && inFlight >= share.callsInFlight) {
			return {reason: share.reason, retryAfterMilliseconds: inFlightRetryMilliseconds};
		}

		if (share.callsPerSecond === undefined) {
			return undefined;
		}

		share.tokens = Math.min(getBurstCalls(share.callsPerSecond), share.tokens + ((at - share.refilledAt) * share.callsPerSecond / millisecondsPerSecond));
		share.refilledAt = at;
		if (share.tokens >= 1) {
			return undefined;
		}

		const missingTokens = 1 - share.tokens;
		return {reason: share.reason, retryAfterMilliseconds: share.callsPerSecond === 0 ? millisecondsPerSecond : Math.ceil(missingTokens * millisecondsPerSecond / share.callsPerSecond)};
	}

	return {
		tryAdmit(at) {
			for (const share of shares) {
				const refusal = checkShare(share, at);
				if (refusal) {
					return refusal;
				}
			}

			for (const share of shares) {
				share.tokens -= 1;
			}

			inFlight += 1;
			return undefined;
		},
		admitRetry() {
			inFlight += 1;
		},
		release() {
			inFlight = Math.max(0, inFlight - 1);
		},
		setView(next) {
			view = next;
			shares = createShares(shares, now);
		},
		setFleet(next) {
			fleet = next;
			shares = createShares(shares, now);
		},
	};
}

/** Returns the largest number of calls that may pass at once under a rate in calls per second. */
export function getBurstCalls(callsPerSecond: number | undefined): number {
	if (callsPerSecond === undefined) {
		return Number.POSITIVE_INFINITY;
	}

	return callsPerSecond === 0 ? 0 : Math.max(1, callsPerSecond * burstMilliseconds / millisecondsPerSecond);
}
