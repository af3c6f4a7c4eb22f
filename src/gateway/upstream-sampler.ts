/** Draws the upstreams of a service that a selection considers. */
import type * as randomness from '../decisions/random.ts';
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

/** Draws upstreams inside or outside of the own failure domain, of which the request has not tried any if there are others. */
export type UpstreamSampler = {
	sampleUpstreams(service: string, isLocal: boolean, count: number, tried: ReadonlySet<string>): readonly Upstream[];
	/** Samples upstreams for a request that just arrived, mostly among those that this entry is connected to. */
	sampleWarmUpstreams(service: string, isLocal: boolean, count: number, tried: ReadonlySet<string>): readonly Upstream[];
};

/** Creates a sampler. */
export function createUpstreamSampler(host: UpstreamSamplerHost): UpstreamSampler {
	function sample(service: string, isLocal: boolean, count: number, tried: ReadonlySet<string>, restrict = (candidates: readonly Upstream[]) => candidates): readonly Upstream[] {
		const now = host.getNow();
		const isUntried = ({registration}: Upstream) => !tried.has(registration.id);
		const mayRepeat = tried.size > 0 && !host.upstreams.listUsable(service).some(upstream => isUntried(upstream));
		const candidates = host.upstreams.listByLocality(service, isLocal).filter(upstream => isConsidered(upstream, now));
		const allowed = tried.size === 0 || mayRepeat ? candidates : candidates.filter(upstream => isUntried(upstream));
		return prequalSelection.sampleCandidates(restrict(allowed), count, ({record}) => record.getFailureShare(now), host.random);
	}

	/** Whether this selection considers an upstream; most don't shortly after the end of its rate limit or pause. */
	function isConsidered(upstream: Upstream, now: number): boolean {
		const share = host.upstreams.getSelectionShare(upstream, now);
		return share === 1 || host.random.nextFraction() < share;
	}

	return {
		sampleUpstreams: (service, isLocal, count, tried) => sample(service, isLocal, count, tried),
		sampleWarmUpstreams(service, isLocal, count, tried) {
			const now = host.getNow();
			const isWarm = ({pool, record}: Upstream) => pool.count() > 0 && record.getFailureShare(now) <= prequalSelection.largestFailureShare;
			return sample(service, isLocal, count, tried, candidates => warmCandidates.restrictToWarm(candidates, isWarm, host.random));
		},
	};
}
