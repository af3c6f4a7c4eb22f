/** Runs the fault bench with one seed against real processes. */
import * as vitest from 'vitest';
import {formatFaultRunVerdict} from '../bench/faults/judge.ts';
import {runFaults} from '../bench/faults/run-faults.ts';

const {expect, test} = vitest;

const seed = 202;

test('under injected faults, no key is executed twice, no executed call is reported as not-run, and each response is complete and belongs to its call', async () => {
	const lines: string[] = [];
	const verdict = await runFaults({
		seed,
		seconds: 17.5,
		print(line) {
			lines.push(line);
		},
	});
	console.log(formatFaultRunVerdict(seed, verdict));
	expect(verdict.violations, lines.join('\n')).toEqual([]);
	expect(verdict.operationsByOutcome.ran ?? 0).toBeGreaterThan(0);
});
