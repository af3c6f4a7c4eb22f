/**
Restricts the upstreams that a request may be sent to, so that connections are used again.

Load pattern: hundreds of upstreams and an entry that receives a few requests per second. If each request may go to any
of them, nearly every load check opens a connection, which rests longer than its idle time before the next use. An entry
therefore keeps to the upstreams it is connected to, adds another one now and then so that none is left out for good, and
returns to all of them when these few are busy.
*/
import type * as randomness from '../random.ts';

/** Minimum number of connected upstreams to which a selection is restricted; enough for an idle one among them. */
const minimumWarmCandidates = 8;
/** Share of the selections that may use all candidates, which lets new upstreams in and moves the load of busy ones. */
const explorationShare = 0.04;

/** Returns the candidates to sample from: mostly those that are warm, i.e. sound and connected to this entry. */
export function restrictToWarm<Candidate>(candidates: readonly Candidate[], isWarm: (candidate: Candidate) => boolean, random: randomness.RandomSource): readonly Candidate[] {
	if (candidates.length <= minimumWarmCandidates || random.nextFraction() < explorationShare) {
		return candidates;
	}

	const warm = candidates.filter(candidate => isWarm(candidate));
	return warm.length < minimumWarmCandidates ? candidates : warm;
}
