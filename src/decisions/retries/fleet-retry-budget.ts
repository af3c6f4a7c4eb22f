/**
Limits the retries of all entries together without communication between them. A retry sends a request to a further upstream.

In any window of `windowMilliseconds`, all entries together may send at most `ratio` times the requests of a service plus
`slack` retries. Each entry is limited by its own requests and an equal share of the slack. A newly started process has no
record of the retries that its predecessor sent, so its share of the slack grows from zero over the first window.
*/

/** Fleet-wide limits on the retries of one service. */
export type FleetRetryLimits = {
	/** Retries allowed per request. */
	readonly ratio: number;
	readonly windowMilliseconds: number;
	/** Retries allowed per window in addition to the ratio, over all entries. */
	readonly slack: number;
};

/** Retry budget of one entry, kept for each service. */
export type FleetRetryBudget = {
	/** Counts a request, which raises the budget of the service by `ratio` for one window. */
	countRequest(service: string, now: number): void;
	/** Charges a retry and returns true if the budget of the service allows it; `entries` is the number of running entries. */
	tryCharge(service: string, entries: number, now: number): boolean;
};

/** Share of the limit that is used; the rest is a margin for entries that count different numbers of running entries. */
const usedLimitShare = 0.8;
/** Number of time buckets in which requests and retries of one window are counted. */
const bucketsPerWindow = 20;

type Counts = {requests: number; retries: number};

/** Creates the budget of an entry whose process started at `startedAt`. */
export function createFleetRetryBudget(limits: FleetRetryLimits, startedAt: number): FleetRetryBudget {
	const bucketMilliseconds = limits.windowMilliseconds / bucketsPerWindow;
	const bucketsByService = new Map<string, Map<number, Counts>>();

	function getBucket(service: string, now: number): Counts {
		const buckets = bucketsByService.get(service) ?? new Map<number, Counts>();
		bucketsByService.set(service, buckets);
		const index = Math.floor(now / bucketMilliseconds);
		const counts = buckets.get(index) ?? {requests: 0, retries: 0};
		buckets.set(index, counts);
		for (const oldIndex of buckets.keys()) {
			if (oldIndex >= index - bucketsPerWindow) {
				break;
			}

			buckets.delete(oldIndex);
		}

		return counts;
	}

	function sumCounts(service: string, key: keyof Counts): number {
		let total = 0;
		for (const counts of bucketsByService.get(service)?.values() ?? []) {
			total += counts[key];
		}

		return total;
	}

	return {
		countRequest(service, now) {
			getBucket(service, now).requests++;
		},
		tryCharge(service, entries, now) {
			const bucket = getBucket(service, now);
			const rampUpShare = Math.min(1, (now - startedAt) / limits.windowMilliseconds);
			const slack = limits.slack * rampUpShare / Math.max(1, entries);
			const allowed = usedLimitShare * ((limits.ratio * sumCounts(service, 'requests')) + slack);
			if (sumCounts(service, 'retries') + 1 > allowed) {
				return false;
			}

			bucket.retries++;
			return true;
		},
	};
}
