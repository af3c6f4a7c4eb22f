/**
Limits of a service and of a place over the whole fleet.

Each entry holds its calls to an even share of the limit, by the members that it sees. When every entry sees at least
the fraction `v` of the members, the fleet stays below the limit divided by `v`, plus one burst per entry.
*/
import {type FleetView} from '../routing/types.ts';
import {type ServiceView} from '../table/service-view.ts';

/** Calls that may pass at once, as the time over which the rate earns them. */
export const burstMilliseconds = 100;
const millisecondsPerSecond = 1000;
const inFlightRetryMilliseconds = 100;

export type LimitRefusal = {
	readonly reason: 'service-limit' | 'place-limit';
	readonly retryAfterMilliseconds: number;
};

export type FleetLimits = {
	/** Counts a call against the limits, or refuses it. */
	tryAdmit(now: number): LimitRefusal | undefined;
	/** Counts a call again that goes out for a retry. */
	readmit(): void;
	/** Counts the end of an admitted call. */
	release(): void;
	setView(view: ServiceView): void;
	setFleet(fleet: FleetView): void;
};

type LimitShare = {
	readonly reason: LimitRefusal['reason'];
	/** Calls per second; undefined means no limit. */
	readonly callsPerSecond: number | undefined;
	readonly callsInFlight: number | undefined;
	tokens: number;
	filledAt: number;
};

/** Gets the part of a whole number that falls to the member with the given rank; the parts add up to the whole. */
export function divideWhole(whole: number, members: number, rank: number): number {
	return Math.floor(whole / members) + (rank < whole % members ? 1 : 0);
}

/** Creates the limits with a full burst. */
export function createFleetLimits(initialView: ServiceView, initialFleet: FleetView, now: number): FleetLimits {
	let view = initialView;
	let fleet = initialFleet;
	let inFlight = 0;
	let shares = createShares(undefined, now);

	function createShares(previous: readonly LimitShare[] | undefined, startedAt: number): readonly LimitShare[] {
		const place = view.places.get(fleet.selfFailureDomain);
		const all = fleet.entries.map(entry => entry.name);
		const local = fleet.entries.filter(entry => entry.failureDomain === fleet.selfFailureDomain).map(entry => entry.name);
		const rows = [
			{reason: 'service-limit', row: view.limit, members: all},
			{reason: 'place-limit', row: place, members: local},
		] as const;
		return rows.flatMap(({reason, row, members}) => {
			if (row?.callsPerSecond === undefined && row?.callsInFlight === undefined) {
				return [];
			}

			const names = [...new Set([...members, fleet.self])].toSorted();
			const rank = names.indexOf(fleet.self);
			const rate = row.callsPerSecond === undefined ? undefined : row.callsPerSecond / names.length;
			const known = previous?.find(share => share.reason === reason);
			return [{
				reason,
				callsPerSecond: rate,
				callsInFlight: row.callsInFlight === undefined ? undefined : divideWhole(row.callsInFlight, names.length, rank),
				tokens: Math.min(known?.tokens ?? Number.POSITIVE_INFINITY, getBurst(rate)),
				filledAt: known?.filledAt ?? startedAt,
			}];
		});
	}

	function check(share: LimitShare, at: number): LimitRefusal | undefined {
		if (share.callsInFlight !== undefined && inFlight >= share.callsInFlight) {
			return {reason: share.reason, retryAfterMilliseconds: inFlightRetryMilliseconds};
		}

		if (share.callsPerSecond === undefined) {
			return undefined;
		}

		share.tokens = Math.min(getBurst(share.callsPerSecond), share.tokens + ((at - share.filledAt) * share.callsPerSecond / millisecondsPerSecond));
		share.filledAt = at;
		if (share.tokens >= 1) {
			return undefined;
		}

		const missing = 1 - share.tokens;
		return {reason: share.reason, retryAfterMilliseconds: share.callsPerSecond === 0 ? millisecondsPerSecond : Math.ceil(missing * millisecondsPerSecond / share.callsPerSecond)};
	}

	return {
		tryAdmit(at) {
			for (const share of shares) {
				const refusal = check(share, at);
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
		readmit() {
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

/** Largest number of calls that may pass at once under a rate in calls per second. */
export function getBurst(callsPerSecond: number | undefined): number {
	if (callsPerSecond === undefined) {
		return Number.POSITIVE_INFINITY;
	}

	return callsPerSecond === 0 ? 0 : Math.max(1, callsPerSecond * burstMilliseconds / millisecondsPerSecond);
}
