import * as vitest from 'vitest';
import * as eligibleUpstreams from './eligible-upstreams.ts';

const {expect, test} = vitest;

function listEligible(failureShares: Readonly<Record<string, number>>, tried: readonly string[], isLastResort = false): readonly string[] {
	const candidates = Object.entries(failureShares).map(([id, failureShare]) => ({id, failureShare}));
	const isEligible = eligibleUpstreams.createEligibility(candidates, candidate => candidate, {tried: new Set(tried), isLastResort});
	return candidates.filter(candidate => isEligible(candidate)).map(({id}) => id);
}

test('a request goes to upstreams that fail only if no other is sound, or as a last resort', () => {
	expect(listEligible({a: 0, b: 0.9, c: 0.3}, [])).toEqual(['a', 'c']);
	expect(listEligible({a: 0, b: 0.9}, [], true)).toEqual(['a', 'b']);
	expect(listEligible({a: 0.8, b: 0.9}, [])).toEqual(['a', 'b']);
});

test('a repeat goes to untried sound upstreams first, then to tried ones, and to failing ones last', () => {
	expect(listEligible({a: 0, b: 0, c: 0.9}, ['a'])).toEqual(['b']);
	expect(listEligible({a: 0, c: 0.9}, ['a'])).toEqual(['a']);
	expect(listEligible({a: 0, c: 0.9}, ['a'], true)).toEqual(['a', 'c']);
	expect(listEligible({b: 0.8, c: 0.9}, ['b'])).toEqual(['c']);
	expect(listEligible({b: 0.8, c: 0.9}, ['b', 'c'])).toEqual(['b', 'c']);
	expect(listEligible({a: 0}, ['a'])).toEqual(['a']);
});
