/**
Chooses the entry through which an entry that is cut off from all upstreams passes a request on.

Answers the load pattern of a failure domain whose entries are cut off together: their requests are spread over the entries
that reach upstreams, near ones first, by their processor capacity, and a request that two of them rejected is not offered
to a third.
*/
import type * as randomness from '../random.ts';
import type * as sharing from '../sharing/types.ts';

/** Number of entries to which one request is offered. */
const maximumRelays = 2;

/** Chooses an entry; undefined if there is none. */
export function chooseRelay(self: {readonly name: string; readonly failureDomain: string}, members: readonly sharing.Member[], tried: ReadonlySet<string>, random: randomness.RandomSource): sharing.Member | undefined {
	const able = members.filter(({name, isReady, isCutOff}) => name !== self.name && isReady && !isCutOff);
	if (able.filter(({name}) => tried.has(name)).length >= maximumRelays) {
		return undefined;
	}

	const untried = able.filter(({name}) => !tried.has(name));
	const near = untried.filter(({failureDomain}) => failureDomain === self.failureDomain);
	return chooseByCores(near.length > 0 ? near : untried, random);
}

function chooseByCores(members: readonly sharing.Member[], random: randomness.RandomSource): sharing.Member | undefined {
	let total = 0;
	for (const {cores} of members) {
		total += cores;
	}

	let remaining = random.nextFraction() * total;
	for (const member of members) {
		remaining -= member.cores;
		if (remaining < 0) {
			return member;
		}
	}

	return members.at(-1);
}
