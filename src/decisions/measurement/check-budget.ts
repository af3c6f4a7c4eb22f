/**
Bounds the load checks of upstreams over all entries, without a message between them.

Each entry keeps to its equal part of what the upstreams of a service together may get. Since requests go to upstreams
at random, the part of a single upstream may be uneven for a while, up to `concentration` times the equal part.
*/

export type CheckedUpstream = {
	readonly id: string;
	readonly service: string;
	/** Upstreams of the service. */
	readonly serviceSize: number;
};

/** What a check is for: a request that has just come, or requests that are held until there is room. */
export type CheckPurpose = 'choice' | 'held';

export type CheckBudget = {
	/** Takes one check of an upstream if the budget allows it; `entries` is the number of entries that run. */
	tryTake(upstream: CheckedUpstream, purpose: CheckPurpose, entries: number, now: number): boolean;
};

/** Part of the bound that is used; the rest covers entries that count each other differently. */
const usedShare = 0.8;
/** Checks of one upstream by one entry, in equal parts; an entry asks the upstreams of its failure domain first, a third of all. */
const concentration = 4;
/** Checks that are saved up, as a time at the full rate, in milliseconds. */
const savedMilliseconds = 2000;
/** Share of what can be saved up that checks for held requests leave to requests that come; those would be held without it. */
const reservedShare = 0.5;
const millisecondsPerSecond = 1000;

type Bucket = {tokens: number; at: number; capacity: number};

function getNeeded({capacity}: Bucket, purpose: CheckPurpose): number {
	return purpose === 'held' ? Math.min(capacity, 1 + (reservedShare * capacity)) : 1;
}

/** Creates the budget for a bound in checks per second and upstream. */
export function createCheckBudget(checksPerSecond: number): CheckBudget {
	const upstreams = new Map<string, Bucket>();
	const services = new Map<string, Bucket>();

	function fill(buckets: Map<string, Bucket>, key: string, perMillisecond: number, now: number): Bucket {
		const capacity = Math.max(1, perMillisecond * savedMilliseconds);
		const bucket = buckets.get(key) ?? {tokens: capacity, at: now, capacity};
		buckets.set(key, bucket);
		bucket.capacity = capacity;
		bucket.tokens = Math.min(capacity, bucket.tokens + ((now - bucket.at) * perMillisecond));
		bucket.at = now;
		return bucket;
	}

	return {
		tryTake({id, service, serviceSize}, purpose, entries, now) {
			const perMillisecond = usedShare * checksPerSecond / Math.max(1, entries) / millisecondsPerSecond;
			const own = fill(upstreams, id, Math.min(usedShare * checksPerSecond / millisecondsPerSecond, concentration * perMillisecond), now);
			const shared = fill(services, service, Math.max(1, serviceSize) * perMillisecond, now);
			if (own.tokens < getNeeded(own, purpose) || shared.tokens < getNeeded(shared, purpose)) {
				return false;
			}

			own.tokens -= 1;
			shared.tokens -= 1;
			return true;
		},
	};
}
