/** Runs real gateways under faults drawn from seeds, and prints a one-line verdict for each seed. */
import process from 'node:process';
import * as cac from 'cac';
import {formatSoakVerdict, runSoak} from '../soak/run-soak.ts';

const command = cac.cac('bench-soak');
command
	.option('--seed <integer>', 'First seed of the faults and of the callers', {default: 1})
	.option('--seeds <integer>', 'Number of consecutive seeds to run', {default: 1})
	.option('--seconds <number>', 'Duration of the period in which faults start', {default: 20})
	.option('--gateways <integer>', 'Number of gateways; each is a process', {default: 5})
	.option('--upstreams <integer>', 'Number of upstreams of each of the two services', {default: 5})
	.option('--callers <integer>', 'Number of concurrent callers', {default: 16})
	.option('--no-time-bounds', 'Skip the checks that have a time bound, e.g. on a busy machine')
	.option('--quiet', 'Print only verdicts and violations')
	.help();
const {options} = command.parse();
const print = (line: string) => {
	process.stdout.write(`${line}\n`);
};

if (options.help !== true) {
	let failedSeeds = 0;
	const firstSeed = Number(options.seed);
	for (let seed = firstSeed; seed < firstSeed + Number(options.seeds); seed++) {
		const verdict = await runSoak({
			seed,
			seconds: Number(options.seconds),
			gateways: Number(options.gateways),
			upstreamsPerService: Number(options.upstreams),
			callers: Number(options.callers),
			hasTimeBounds: options.timeBounds !== false,
			print: options.quiet === true ? () => undefined : print,
		});
		for (const violation of verdict.violations.slice(0, 20)) {
			print(`violation seed=${seed} ${violation}`);
		}

		print(formatSoakVerdict(seed, verdict));
		failedSeeds += verdict.violations.length === 0 ? 0 : 1;
	}

	process.exit(failedSeeds === 0 ? 0 : 1); // eslint-disable-line unicorn/no-process-exit
}
