/**
Limits the rate of load checks of each upstream across all entries, without communication between the entries.

Each entry limits itself to its share of the checks that all upstreams of a service may receive together. Because
requests are routed to upstreams at random, one entry may temporarily check a single upstream more often than that, by
a factor of up to `maximumConcentration`.
*/

export type CheckedUpstream = {
	readonly id: string;
	readonly service: string;
	/** Number of upstreams of the service. */
	readonly serviceUpstreamCount: number;
};

/** Purpose of a check: to route a request that has just arrived (`choice`), or requests held until an upstream has capacity (`held`). */
export type CheckPurpose = 'choice' | 'held';

export type CheckBudget = {
	/** Consumes one check of an upstream and returns true if the budget allows it; `share` is the part of the fleet-wide limit that this entry may use. */
	tryCharge(upstream: CheckedUpstream, purpose: CheckPurpose, share: number, now: number): boolean;
};

/** Share of the limit that all entries use together; the rest covers entries that disagree on the number of entries. */
const usableShare = 0.8;
/**
Maximum rate at which one entry checks one upstream, as a multiple of its share. An entry checks the upstreams of
its own failure domain first, and these are only a third of all.
*/
const maximumConcentration = 4;
/** Burst capacity of a bucket, as the time in milliseconds that it takes to refill at the full rate. */
const burstMilliseconds = 2000;
/** Share of the burst capacity that checks for held requests leave to arriving requests, which would otherwise be held too. */
const reservedShare = 0.5;
const millisecondsPerSecond = 1000;

/** Token bucket; one token pays for one check. */
type Bucket = {tokens: number; refilledAt: number; capacity: number};

function getRequiredTokens({capacity}: Bucket, purpose: CheckPurpose): number {
	return purpose === 'held' ? Math.min(capacity, 1 + (reservedShare * capacity)) : 1;
}

/** Creates the budget of one entry for a fleet-wide limit in checks per second and upstream. */
export function createCheckBudget(checksPerSecond: number): CheckBudget {
	const upstreams = new Map<string, Bucket>();
	const services = new Map<string, Bucket>();

	function refillBucket(buckets: Map<string, Bucket>, key: string, checksPerMillisecond: number, now: number): Bucket {
		const capacity = Math.max(1, checksPerMillisecond * burstMilliseconds);
		const bucket = buckets.get(key) ?? {tokens: capacity, refilledAt: now, capacity};
		buckets.set(key, bucket);
		bucket.capacity = capacity;
		bucket.tokens = Math.min(capacity, bucket.tokens + ((now - bucket.refilledAt) * checksPerMillisecond));
		bucket.refilledAt = now;
		return bucket;
	}

	return {
		tryCharge({id, service, serviceUpstreamCount: serviceSize}, purpose, share, now) {
			const checksPerMillisecond = usableShare * checksPerSecond * share / millisecondsPerSecond;
			const upstreamBucket = refillBucket(upstreams, id, Math.min(usableShare * checksPerSecond / millisecondsPerSecond, maximumConcentration * checksPerMillisecond), now);
			const serviceBucket = refillBucket(services, service, Math.max(1, serviceSize) * checksPerMillisecond, now);
			if (upstreamBucket.tokens < getRequiredTokens(upstreamBucket, purpose) || serviceBucket.tokens < getRequiredTokens(serviceBucket, purpose)) {
				return false;
			}

			upstreamBucket.tokens -= 1;
			serviceBucket.tokens -= 1;
			return true;
		},
	};
}
