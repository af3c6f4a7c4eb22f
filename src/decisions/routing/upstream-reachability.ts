/**
Decides whether this entry is cut off from all upstreams.

Answers the load pattern of a network partition at one entry or at some: connections to upstreams of all failure domains
hang, are refused or are reset, while callers and other entries still reach the entry. One upstream, service or failure
domain that fails is no cut, and neither is a pause of this process, after which many time limits pass in one moment.
*/
import * as exhaustiveness from '../assert-never.ts';

/** Whether upstreams can be reached. While it is not `reachable`, the entry should check some upstreams by itself. */
export type ReachabilityState
	= | {readonly kind: 'reachable'}
	/** Several upstreams fail and none answers; more failures must confirm it. */
		| {readonly kind: 'suspected'}
		| {readonly kind: 'cut-off'; readonly since: number};

/** An upstream that didn't answer. */
export type FailedUpstream = {readonly id: string; readonly failureDomain: string};

/** Observes contacts with upstreams. */
export type UpstreamReachability = {
	/** Records that an upstream answered, in whatever way. */
	recordContact(now: number): void;
	/** Records that an upstream could not be reached. `failureDomains` is the number of failure domains with upstreams. */
	recordFailure(upstream: FailedUpstream, failureDomains: number, now: number): void;
	/** Takes upstreams to be reachable, e.g. because there are none to check. */
	reset(): void;
	getState(): ReachabilityState;
};

/** Number of upstreams that must fail. */
const minimumUpstreams = 3;
/** Number of failure domains whose upstreams must fail, if there are as many. */
const minimumFailureDomains = 2;
/** Time between the first and the last failure that confirms a cut, in milliseconds; longer than a load check takes to fail. */
const confirmationMilliseconds = 250;
/** Time between two contacts after which upstreams are reachable again, in milliseconds. */
const returnMilliseconds = 300;

/** Creates an observer that takes upstreams to be reachable. */
export function createUpstreamReachability(): UpstreamReachability {
	let state: ReachabilityState = {kind: 'reachable'};
	/** Failure domains by upstream of the failures since the latest contact. */
	const failed = new Map<string, string>();
	let firstFailureAt: number | undefined;
	let firstContactAt: number | undefined;

	function forgetFailures(): void {
		failed.clear();
		firstFailureAt = undefined;
	}

	return {
		recordContact(now) {
			forgetFailures();
			switch (state.kind) {
				case 'reachable':
				case 'suspected': {
					state = {kind: 'reachable'};
					break;
				}

				case 'cut-off': {
					firstContactAt ??= now;
					if (now - firstContactAt >= returnMilliseconds) {
						state = {kind: 'reachable'};
						firstContactAt = undefined;
					}

					break;
				}

				default: {
					exhaustiveness.assertNever(state);
				}
			}
		},
		recordFailure({id, failureDomain}, failureDomains, now) {
			firstFailureAt ??= now;
			failed.set(id, failureDomain);
			const failedDomains = new Set(failed.values()).size;
			const isGeneral = failed.size >= minimumUpstreams && failedDomains >= Math.min(minimumFailureDomains, failureDomains);
			if (!isGeneral) {
				return;
			}

			if (state.kind === 'cut-off') {
				firstContactAt = undefined;
			} else {
				state = now - firstFailureAt >= confirmationMilliseconds ? {kind: 'cut-off', since: now} : {kind: 'suspected'};
			}
		},
		reset() {
			forgetFailures();
			firstContactAt = undefined;
			state = {kind: 'reachable'};
		},
		getState: () => state,
	};
}
