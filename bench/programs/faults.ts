/** Runs real processes under faults drawn from a seed, and prints a one-line verdict. */
import process from 'node:process';
import * as cac from 'cac';
import {formatFaultRunVerdict} from '../faults/judge.ts';
import {runFaults} from '../faults/run-faults.ts';

const command = cac.cac('bench-faults');
command
	.option('--seed <integer>', 'Seed of the faults and of the callers', {default: 1})
	.option('--seconds <number>', 'Duration of the load', {default: 30})
	.option('--concurrency <integer>', 'Number of concurrent callers', {default: 24})
	.help();
const {options} = command.parse();
if (options.help !== true) {
	const seed = Number(options.seed);
	const print = (line: string) => {
		process.stdout.write(`${line}\n`);
	};

	const verdict = await runFaults({
		seed, seconds: Number(options.seconds), concurrency: Number(options.concurrency), print,
	});
	for (const violation of verdict.violations.slice(0, 20)) {
		print(`violation ${violation}`);
	}

	print(formatFaultRunVerdict(seed, verdict));
	process.exit(verdict.violations.length === 0 ? 0 : 1); // eslint-disable-line unicorn/no-process-exit
}
