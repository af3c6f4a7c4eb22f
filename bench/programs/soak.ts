/** Soaks real gateways in the faults that seeds draw, and prints a one-line verdict for each seed. */
import process from 'node:process';
import * as cac from 'cac';
import {formatSoakVerdict, runSoak} from '../soak/run-soak.ts';

const command = cac.cac('bench-soak');
command
	.option('--seed <integer>', 'First seed of the faults and of the callers', {default: 1})
	.option('--seeds <integer>', 'Seeds to run one after the other', {default: 1})
	.option('--seconds <number>', 'Time in which faults begin', {default: 20})
	.option('--gateways <integer>', 'Gateways, a process each', {default: 5})
	.option('--upstreams <integer>', 'Upstreams of each of the two services', {default: 5})
	.option('--callers <integer>', 'Callers at once', {default: 16})
	.option('--no-time-bounds', 'Judge no promises with a time bound, e.g. on a busy machine')
	.option('--quiet', 'Print verdicts and violations only')
	.help();
const {options} = command.parse();
const print = (line: string) => {
	process.stdout.write(`${line}\n`);
};

if (options.help !== true) {
	let failed = 0;
	const first = Number(options.seed);
	for (let seed = first; seed < first + Number(options.seeds); seed++) {
		const verdict = await runSoak({
			seed,
			seconds: Number(options.seconds),
			gateways: Number(options.gateways),
			upstreamsOfService: Number(options.upstreams),
			callers: Number(options.callers),
			hasTimeBounds: options.timeBounds !== false,
			print: options.quiet === true ? () => undefined : print,
		});
		for (const violation of verdict.violations.slice(0, 20)) {
			print(`violation seed=${seed} ${violation}`);
		}

		print(formatSoakVerdict(seed, verdict));
		failed += verdict.violations.length === 0 ? 0 : 1;
	}

	process.exit(failed === 0 ? 0 : 1); // eslint-disable-line unicorn/no-process-exit
}
