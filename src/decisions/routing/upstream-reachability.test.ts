import * as vitest from 'vitest';
import * as upstreamReachability from './upstream-reachability.ts';

const {expect, test} = vitest;
const failureDomainCount = 3;
const upstreams = Array.from({length: 9}, (_value, index) => ({id: `i-${index}`, failureDomain: `domain-${index % failureDomainCount}`}));

/** Observes every 50 ms two upstreams in turn, of which some fail. */
function observe(reachability: upstreamReachability.UpstreamReachability, from: number, until: number, hasFailed: (upstream: upstreamReachability.FailedUpstream) => boolean): void {
	let index = 0;
	for (let now = from; now < until; now += 25) {
		const upstream = upstreams[index++ % upstreams.length]!;
		if (hasFailed(upstream)) {
			reachability.recordFailure(upstream, failureDomainCount, now);
		} else {
			reachability.recordContact(now);
		}
	}
}

test('an entry whose upstreams all fail is cut off within half a second, and returns when they answer for a while', () => {
	const reachability = upstreamReachability.createUpstreamReachability();
	observe(reachability, 0, 1000, () => false);
	observe(reachability, 1000, 1100, () => true);
	expect(reachability.getState().kind).toBe('suspected');
	observe(reachability, 1100, 1500, () => true);
	expect(reachability.getState()).toMatchObject({kind: 'cut-off'});
	observe(reachability, 9000, 9250, () => false);
	expect(reachability.getState().kind).toBe('cut-off');
	observe(reachability, 9250, 9400, () => false);
	expect(reachability.getState().kind).toBe('reachable');
});

test('a failure domain or a service that fails is no cut', () => {
	const reachability = upstreamReachability.createUpstreamReachability();
	observe(reachability, 0, 10_000, ({failureDomain}) => failureDomain === 'domain-1');
	expect(reachability.getState().kind).toBe('reachable');
	observe(reachability, 10_000, 20_000, ({id}) => id !== 'i-8');
	expect(reachability.getState().kind).not.toBe('cut-off');
});

test('the time limits that pass together after a pause of the process are no cut', () => {
	const reachability = upstreamReachability.createUpstreamReachability();
	for (const upstream of upstreams) {
		reachability.recordFailure(upstream, failureDomainCount, 5000);
	}

	expect(reachability.getState().kind).toBe('suspected');
	reachability.recordContact(5010);
	expect(reachability.getState().kind).toBe('reachable');
});

test('an answer between failures does not end a cut', () => {
	const reachability = upstreamReachability.createUpstreamReachability();
	observe(reachability, 0, 1000, () => true);
	reachability.recordContact(1000);
	observe(reachability, 1010, 1500, () => true);
	reachability.recordContact(1500);
	expect(reachability.getState().kind).toBe('cut-off');
});
