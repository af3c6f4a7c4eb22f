/** Draws the upstreams of a service that a selection considers. */
import type * as randomness from '../decisions/random.ts';
import * as eligibleUpstreams from '../decisions/routing/eligible-upstreams.ts';
import * as prequalSelection from '../decisions/routing/prequal-selection.ts';
import * as warmCandidates from '../decisions/routing/warm-candidates.ts';
import type * as upstreamsModule from './upstreams.ts';

/** Dependencies of a sampler. */
export type UpstreamSamplerHost = {
	readonly upstreams: upstreamsModule.Upstreams;
	readonly random: randomness.RandomSource;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

type Upstream = upstreamsModule.Upstream;

/** Draws upstreams inside or outside of the own failure domain among those that a request may be sent to. */
export type UpstreamSampler = {
	/** Returns whether a request of a service may be sent to an upstream. */
	createEligibility(service: string, request: eligibleUpstreams.EligibilityRequest): (upstream: Upstream) => boolean;
	/** Samples upstreams for requests that are held. */
	sampleUpstreams(service: string, isLocal: boolean, count: number, isLastResort: boolean): readonly Upstream[];
	/** Samples upstreams for a request that just arrived, mostly among those that this entry is connected to. */
	sampleWarmUpstreams(service: string, isLocal: boolean, count: number, tried: ReadonlySet<string>): readonly Upstream[];
};

const noneTried: ReadonlySet<string> = new Set();

/** Creates a sampler. */
export function createUpstreamSampler(host: UpstreamSamplerHost): UpstreamSampler {
	function createEligibility(service: string, request: eligibleUpstreams.EligibilityRequest): (upstream: Upstream) => boolean {
		const now = host.getNow();
		return eligibleUpstreams.createEligibility(host.upstreams.listUsable(service), ({registration, record}) => ({id: registration.id, failureShare: record.getFailureShare(now)}), request);
	}

	function sample(service: string, isLocal: boolean, count: number, request: eligibleUpstreams.EligibilityRequest, restrict = (candidates: readonly Upstream[]) => candidates): readonly Upstream[] {
		const now = host.getNow();
		const isEligible = createEligibility(service, request);
		const candidates = host.upstreams.listByLocality(service, isLocal).filter(upstream => isConsidered(upstream, now) && isEligible(upstream));
		return prequalSelection.sampleCandidates(restrict(candidates), count, ({record}) => record.getFailureShare(now), host.random);
	}

	/** Whether this selection considers an upstream; most don't shortly after the end of its rate limit or pause. */
	function isConsidered(upstream: Upstream, now: number): boolean {
		const share = host.upstreams.getSelectionShare(upstream, now);
		return share === 1 || host.random.nextFraction() < share;
	}

	return {
		createEligibility,
		sampleUpstreams: (service, isLocal, count, isLastResort) => sample(service, isLocal, count, {tried: noneTried, isLastResort}),
		sampleWarmUpstreams(service, isLocal, count, tried) {
			const now = host.getNow();
			const isWarm = ({pool, record}: Upstream) => pool.count() > 0 && record.getFailureShare(now) <= prequalSelection.largestFailureShare;
			return sample(service, isLocal, count, {tried, isLastResort: false}, candidates => warmCandidates.restrictToWarm(candidates, isWarm, host.random));
		},
	};
}
