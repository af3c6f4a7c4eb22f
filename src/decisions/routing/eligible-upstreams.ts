/**
Decides which upstreams of a service a request may be sent to.

A failing upstream has free slots all the time, since it answers nothing, so that it would receive each request for which
the sound ones have no slot. Such a request is better held until one of them has. A repeat goes to a sound upstream that
was tried before rather than to a failing one that wasn't: most upstreams that refuse a request are only busy.
*/
import * as prequalSelection from './prequal-selection.ts';

/** An upstream of the service of a request. */
export type Candidate = {
	readonly id: string;
	/** Share of recent attempts that failed, from 0 to 1. */
	readonly failureShare: number;
};

/** A request whose upstream is selected. */
export type EligibilityRequest = {
	/** Identifiers of the upstreams that earlier attempts were sent to. */
	readonly tried: ReadonlySet<string>;
	/** Whether the sound upstreams have had no room for so long that failing ones are used as well. */
	readonly isLastResort: boolean;
};

/** Creates a function that returns whether a request may be sent to one of the usable upstreams of its service. */
export function createEligibility<Upstream>(usable: readonly Upstream[], describe: (upstream: Upstream) => Candidate, {tried, isLastResort}: EligibilityRequest): (upstream: Upstream) => boolean {
	let hasUntried = false;
	let hasSound = false;
	let hasUntriedSound = false;
	for (const upstream of usable) {
		const candidate = describe(upstream);
		const isUntried = !tried.has(candidate.id);
		const isSound = isSoundCandidate(candidate);
		hasUntried ||= isUntried;
		hasSound ||= isSound;
		hasUntriedSound ||= isUntried && isSound;
		if (hasUntriedSound) {
			break;
		}
	}

	return upstream => {
		const candidate = describe(upstream);
		const isTried = tried.has(candidate.id);
		if (isSoundCandidate(candidate)) {
			return !isTried || !hasUntriedSound;
		}

		return (isLastResort || !hasSound) && (!isTried || !hasUntried);
	};
}

function isSoundCandidate({failureShare}: Candidate): boolean {
	return failureShare <= prequalSelection.largestFailureShare;
}
