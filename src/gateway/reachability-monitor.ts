/** Observes whether this entry reaches upstreams, and checks some of them by itself while it seems to be cut off. */
import * as exhaustiveness from '../decisions/assert-never.ts';
import type * as retryDecision from '../decisions/outcomes/retry-decision.ts';
import * as upstreamReachability from '../decisions/routing/upstream-reachability.ts';
import * as prequalSelection from '../decisions/routing/prequal-selection.ts';
import type * as randomness from '../decisions/random.ts';
import type * as logger from '../observability/logger.ts';
import * as loadCheck from './load-check.ts';
import type * as upstreams from './upstreams.ts';

/** Dependencies of the monitor. */
export type ReachabilityMonitorHost = {
	readonly logger: logger.Logger;
	readonly random: randomness.RandomSource;
	/** Makes the load checks; their results come back through `recordCheck`. */
	readonly checks: loadCheck.LoadCheckHost;
	readonly upstreams: Pick<upstreams.Upstreams, 'listAll' | 'countFailureDomains'>;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Called when this entry is cut off from all upstreams, and when it isn't any more. */
	onChange(): void;
};

/** Observes the contacts with upstreams. */
export type ReachabilityMonitor = {
	isCutOff(): boolean;
	recordCheck(upstream: upstreams.Upstream, result: loadCheck.CheckResult['kind']): void;
	recordAttempt(upstream: upstreams.Upstream, end: retryDecision.AttemptEnd): void;
	close(): void;
};

/** Time between two rounds of checks while this entry seems to be cut off, in milliseconds. */
const roundIntervalMilliseconds = 200;
const upstreamsInRound = 3;

/** Creates a monitor that takes upstreams to be reachable. */
export function createReachabilityMonitor(host: ReachabilityMonitorHost): ReachabilityMonitor {
	const reachability = upstreamReachability.createUpstreamReachability();
	let roundTimer: NodeJS.Timeout | undefined;
	let wasCutOff = false;

	const isCutOff = () => reachability.getState().kind === 'cut-off';

	function recordContact(): void {
		reachability.recordContact(host.getNow());
		handleState();
	}

	function recordFailure({registration}: upstreams.Upstream): void {
		reachability.recordFailure(registration, host.upstreams.countFailureDomains(), host.getNow());
		handleState();
	}

	function handleState(): void {
		if (reachability.getState().kind !== 'reachable') {
			roundTimer ??= setTimeout(runRound, roundIntervalMilliseconds);
		}

		if (isCutOff() === wasCutOff) {
			return;
		}

		wasCutOff = isCutOff();
		if (wasCutOff) {
			host.logger.warn('upstreams-unreachable', {upstreams: host.upstreams.listAll().length});
		} else {
			host.logger.info('upstreams-reachable', {upstreams: host.upstreams.listAll().length});
		}

		host.onChange();
	}

	function runRound(): void {
		roundTimer = undefined;
		if (reachability.getState().kind === 'reachable') {
			return;
		}

		if (host.upstreams.listAll().length === 0) {
			reachability.reset();
			handleState();
			return;
		}

		roundTimer = setTimeout(runRound, roundIntervalMilliseconds);
		for (const upstream of prequalSelection.sampleCandidates(host.upstreams.listAll(), upstreamsInRound, () => 0, host.random)) {
			loadCheck.startLoadCheck(host.checks, upstream, result => {
				if (result.kind === 'healthy') {
					upstream.pool.release(result.connection);
				}
			});
		}
	}

	return {
		isCutOff,
		recordCheck(upstream, result) {
			switch (result) {
				case 'healthy':
				case 'unhealthy':
				case 'misdirected': {
					recordContact();
					break;
				}

				case 'silent': {
					recordFailure(upstream);
					break;
				}

				default: {
					exhaustiveness.assertNever(result);
				}
			}
		},
		recordAttempt(upstream, end) {
			if (upstream.kind === 'relay') {
				return;
			}

			switch (end.kind) {
				case 'answered':
				case 'not-run': {
					recordContact();
					break;
				}

				case 'not-sent': {
					if (end.reason === 'unreachable') {
						recordFailure(upstream);
					}

					break;
				}

				// A broken attempt may have been answered in part, and one that was given up shows nothing.
				case 'broken': {
					break;
				}

				default: {
					exhaustiveness.assertNever(end);
				}
			}
		},
		close() {
			clearTimeout(roundTimer);
		},
	};
}
