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
const notDispatched: readonly CallEvidence[] = [
	{kind: 'refused-before-dispatch'},
	{kind: 'claim-undecided'},
	{kind: 'never-connected'},
	{kind: 'refused-by-upstream'},
	{kind: 'owner-not-connected'},
	{kind: 'owner-gone'},
];
const historiesWithoutRun: readonly KeyHistory[] = [{kind: 'keyless'}, {kind: 'first-use'}, {kind: 'declared-first'}];

test('the outcome is not-run only if neither this call nor an earlier one with its key can have run', () => {
	fc.assert(fc.property(
		fc.constantFrom(...mayHaveRun, ...notDispatched, {kind: 'answered-whole'} as const),
		fc.constantFrom<KeyHistory>(...historiesWithoutRun, {kind: 'unsettled'}),
		(evidence, history) => {
			const isProvenNotRun = notDispatched.includes(evidence) && history.kind !== 'unsettled';
			expect(resolveOutcome(evidence, history) === 'not-run').toBe(isProvenNotRun);
		},
	), {seed: 11});
});

test('a complete answer gives the outcome ran, and a recorded outcome is returned unchanged', () => {
	expect(resolveOutcome({kind: 'answered-whole'}, {kind: 'unsettled'})).toBe('ran');
	expect(resolveOutcome({kind: 'recorded', outcome: 'not-run'}, {kind: 'unsettled'})).toBe('not-run');
});
