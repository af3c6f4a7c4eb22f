/**
Bounds how often all entries together send requests to a second upstream, without a message between them.

In any window of `windowMilliseconds` a service may get `ratio` times its requests plus `slack` more arrivals than
requests, over all entries. Each entry keeps to its own requests and to its equal part of the slack. A process that
has just started does not know what it sent before; its part of the slack grows over the first window.
*/

export type FleetRetryLimits = {
	/** Repeats for each request. */
	readonly ratio: number;
	readonly windowMilliseconds: number;
	/** Repeats in a window beside the ratio, over all entries. */
	readonly slack: number;
};

export type FleetRetryBudget = {
	countRequest(service: string, now: number): void;
	/** Charges a repeat if the budget of the service allows it; `entries` is the number of entries that run. */
	tryCharge(service: string, entries: number, now: number): boolean;
};

/** Part of the bound that is used; the rest covers entries that count each other differently. */
const usedShare = 0.8;
const bucketsPerWindow = 20;

type Counts = {requests: number; repeats: number};

/** Creates the budget of an entry that starts now. */
export function createFleetRetryBudget(limits: FleetRetryLimits, startedAt: number): FleetRetryBudget {
	const bucketMilliseconds = limits.windowMilliseconds / bucketsPerWindow;
	const services = new Map<string, Map<number, Counts>>();

	function getBucket(service: string, now: number): Counts {
		const buckets = services.get(service) ?? new Map<number, Counts>();
		services.set(service, buckets);
		const index = Math.floor(now / bucketMilliseconds);
		const counts = buckets.get(index) ?? {requests: 0, repeats: 0};
		buckets.set(index, counts);
		for (const old of buckets.keys()) {
			if (old >= index - bucketsPerWindow) {
				break;
			}

			buckets.delete(old);
		}

		return counts;
	}

	function sum(service: string, key: keyof Counts): number {
		let total = 0;
		for (const counts of services.get(service)?.values() ?? []) {
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
			const grown = Math.min(1, (now - startedAt) / limits.windowMilliseconds);
			const slack = limits.slack * grown / Math.max(1, entries);
			const allowed = usedShare * ((limits.ratio * sum(service, 'requests')) + slack);
			if (sum(service, 'repeats') + 1 > allowed) {
				return false;
			}

			bucket.repeats++;
			return true;
		},
	};
}
