/**
Issues the permits to send requests to an upstream with a rate limit.

All permits of an upstream come from one entry, its coordinator, so that their sum holds without an agreement among the
entries. The permits are spaced evenly; each may be used from its start for `permitMilliseconds`. A new coordinator waits
before it issues its first permit, because its predecessor's permits may still be used. It issues only a part of the limit
if it has lost sight of other entries, because these may have a coordinator of their own.
*/
import type * as randomness from '../random.ts';

/** Request for a permit. */
export type PermitRequest = {
	readonly upstreamId: string;
	readonly incarnation: number;
	/** Name of the entry that asks. */
	readonly requester: string;
};

/** Answer to a request for a permit; all times are relative, since the clocks of two entries differ. */
export type PermitResponse
	= | {readonly kind: 'granted'; readonly startsInMilliseconds: number; readonly validMilliseconds: number}
		| {readonly kind: 'denied'; readonly retryAfterMilliseconds: number};

/** State on which the issuer decides. */
export type IssuerState = {
	/** Limit of the upstream in requests per second; undefined if this entry knows of none. */
	readonly requestsPerSecond: number | undefined;
	/** Whether this entry ranks first among the entries that it knows. */
	readonly isCoordinator: boolean;
	/** Part of the fleet that this entry sees, from 0 to 1. */
	readonly visibleShare: number;
};

/** Issues permits as the coordinator of upstreams. */
export type PermitIssuer = {
	/** Grants a permit, or tells when to ask again. */
	request(request: PermitRequest, state: IssuerState, now: number): PermitResponse;
	/** Forgets the upstreams that are no longer registered. */
	retain(isRegistered: (id: string) => boolean): void;
};

/** Share of a limit that is issued; the rest is a margin for requests sent by entries that didn't know of the limit. */
const issuedShare = 0.9;
/** Time for which a permit may be used after its start, in milliseconds. */
export const permitMilliseconds = 500;
/** Longest time by which a permit may start in the future, in milliseconds. */
const horizonMilliseconds = 1000;
/** Time from the first request for a permit until an entry issues permits as the coordinator, in milliseconds, in which most of its predecessor's permits expire. */
const takeoverMilliseconds = permitMilliseconds;
/** Time for which an entry that asked counts as one that competes for the permits, in milliseconds. */
const requesterMemoryMilliseconds = 2000;
const minimumRetryMilliseconds = 100;
const maximumRetryMilliseconds = 2000;
const millisecondsPerSecond = 1000;

type UpstreamPermits = {
	readonly incarnation: number;
	/** Start of the next permit. */
	nextStartAt: number;
	/** Times at which entries asked, by name. */
	readonly askedAt: Map<string, number>;
};

/** Creates an issuer that has issued no permits. */
export function createPermitIssuer(random: randomness.RandomSource): PermitIssuer {
	const permitsByUpstream = new Map<string, UpstreamPermits>();

	function getUpstreamPermits({upstreamId, incarnation}: PermitRequest, now: number): UpstreamPermits {
		const existing = permitsByUpstream.get(upstreamId);
		if (existing?.incarnation === incarnation) {
			return existing;
		}

		const created: UpstreamPermits = {incarnation, nextStartAt: now + takeoverMilliseconds, askedAt: new Map()};
		permitsByUpstream.set(upstreamId, created);
		return created;
	}

	/** Counts the entries that compete for the permits of an upstream. */
	function countRequesters({askedAt}: UpstreamPermits, requester: string, now: number): number {
		askedAt.set(requester, now);
		for (const [name, at] of askedAt) {
			if (now - at > requesterMemoryMilliseconds) {
				askedAt.delete(name);
			}
		}

		return askedAt.size;
	}

	return {
		request(request, {requestsPerSecond, isCoordinator, visibleShare}, now) {
			if (!isCoordinator || requestsPerSecond === undefined) {
				permitsByUpstream.delete(request.upstreamId);
				return {kind: 'denied', retryAfterMilliseconds: minimumRetryMilliseconds};
			}

			const intervalMilliseconds = millisecondsPerSecond / (issuedShare * visibleShare * requestsPerSecond);
			const permits = getUpstreamPermits(request, now);
			const requesters = countRequesters(permits, request.requester, now);
			const startsAt = Math.max(now, permits.nextStartAt);
			if (startsAt > now + horizonMilliseconds) {
				const fairWait = requesters * intervalMilliseconds * (1 + random.nextFraction()) / 2;
				return {kind: 'denied', retryAfterMilliseconds: Math.min(maximumRetryMilliseconds, Math.max(minimumRetryMilliseconds, fairWait))};
			}

			permits.nextStartAt = startsAt + intervalMilliseconds;
			return {kind: 'granted', startsInMilliseconds: startsAt - now, validMilliseconds: permitMilliseconds};
		},
		retain(isRegistered) {
			for (const id of permitsByUpstream.keys()) {
				if (!isRegistered(id)) {
					permitsByUpstream.delete(id);
				}
			}
		},
	};
}
