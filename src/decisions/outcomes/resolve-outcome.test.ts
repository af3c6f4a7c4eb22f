import * as fc from 'fast-check';
import * as vitest from 'vitest';
import {type CallEvidence, type KeyHistory, resolveOutcome} from './resolve-outcome.ts';

const {expect, test} = vitest;

const mayHaveRun: readonly CallEvidence[] = [
	{kind: 'written-in-part'},
	{kind: 'written-whole'},
	{kind: 'answered-in-part'},
	{kind: 'owner-silent'},
	{kind: 'in-flight'},
	{kind: 'key-expired'},
	{kind: 'log-gap'},
];
const neverLeft: readonly CallEvidence[] = [
	{kind: 'refused-before-dispatch'},
	{kind: 'claim-undecided'},
	{kind: 'never-connected'},
	{kind: 'refused-by-upstream'},
	{kind: 'owner-not-connected'},
	{kind: 'owner-gone'},
];
const settled: readonly KeyHistory[] = [{kind: 'keyless'}, {kind: 'first-use'}, {kind: 'declared-first'}];

test('not-run needs both: this call did not leave, and no earlier one can have run', () => {
	fc.assert(fc.property(
		fc.constantFrom(...mayHaveRun, ...neverLeft, {kind: 'answered-whole'} as const),
		fc.constantFrom<KeyHistory>(...settled, {kind: 'unsettled'}),
		(evidence, history) => {
			const isProven = neverLeft.includes(evidence) && history.kind !== 'unsettled';
			expect(resolveOutcome(evidence, history) === 'not-run').toBe(isProven);
		},
	), {seed: 11});
});

test('a whole answer means that the call ran, and a recorded outcome is repeated', () => {
	expect(resolveOutcome({kind: 'answered-whole'}, {kind: 'unsettled'})).toBe('ran');
	expect(resolveOutcome({kind: 'recorded', outcome: 'not-run'}, {kind: 'unsettled'})).toBe('not-run');
});
