/** Bounds the load checks of each upstream over all entries, without a message between them: each keeps to its equal part. */

export type CheckBudget = {
	/** Takes one check of an upstream if the budget allows it; `entries` is the number of entries that run. */
	tryTake(upstream: string, entries: number, now: number): boolean;
};

/** Part of the bound that is used; the rest covers entries that count each other differently. */
const usedShare = 0.8;
/** Checks that are saved up, as a time at the full rate, in milliseconds. */
const savedMilliseconds = 2000;
const millisecondsPerSecond = 1000;

type Bucket = {tokens: number; at: number};

/** Creates the budget for a bound in checks per second and upstream. */
export function createCheckBudget(checksPerSecond: number): CheckBudget {
	const buckets = new Map<string, Bucket>();
	return {
		tryTake(upstream, entries, now) {
			const perMillisecond = usedShare * checksPerSecond / Math.max(1, entries) / millisecondsPerSecond;
			const capacity = Math.max(1, perMillisecond * savedMilliseconds);
			const bucket = buckets.get(upstream) ?? {tokens: capacity, at: now};
			buckets.set(upstream, bucket);
			bucket.tokens = Math.min(capacity, bucket.tokens + ((now - bucket.at) * perMillisecond));
			bucket.at = now;
			if (bucket.tokens < 1) {
				return false;
			}

			bucket.tokens -= 1;
			return true;
		},
	};
}
