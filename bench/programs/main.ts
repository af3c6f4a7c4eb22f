/** Runs a scenario of the bench and prints its result as one line of JSON. */
import * as fs from 'node:fs';
import process from 'node:process';
import * as cac from 'cac';
import {compare} from '../compare.ts';
import {createGoodputPlot} from '../plot.ts';
import {scenarios} from '../scenarios/scenario-list.ts';
import {type ScenarioOptions} from '../scenarios/types.ts';

type Flags = {
	readonly scenario?: string;
	readonly deployment: string;
	readonly policy: string;
	readonly seed: number;
	readonly seconds: number;
	readonly plot?: string;
	readonly compare?: string;
};

const command = cac.cac('bench');
command
	.command('[...rest]', 'Run a scenario')
	.option('--scenario <name>', `One of ${Object.keys(scenarios).join(', ')}`)
	.option('--deployment <name>', 'county or consortium', {default: 'county'})
	.option('--policy <name>', 'Routing policy of the entries', {default: 'product'})
	.option('--seed <integer>', 'Seed of the load and the faults', {default: 1})
	.option('--seconds <number>', 'Duration of the load', {default: 10})
	.option('--plot <file>', 'Write a plot of offered load and goodput over time to this SVG file')
	.option('--compare <first>', 'Compare two policies, e.g. --compare product best-baseline')
	.action(runCommand);
command.help();
command.parse(process.argv, {run: false});
await command.runMatchedCommand();

async function runCommand(rest: readonly string[], flags: Flags): Promise<void> {
	const scenario = scenarios[flags.scenario ?? ''];
	if (!scenario) {
		throw new Error(`Unknown scenario "${flags.scenario ?? ''}". Choose one of ${Object.keys(scenarios).join(', ')}.`);
	}

	const options: ScenarioOptions = {
		deployment: flags.deployment === 'consortium' ? 'consortium' : 'county',
		policy: flags.policy,
		seed: Number(flags.seed),
		seconds: Number(flags.seconds),
	};
	const result = flags.compare === undefined
		? await scenario(options)
		: await compare(scenario, options, flags.compare, rest[0] ?? 'best-baseline');
	if (flags.plot !== undefined) {
		fs.writeFileSync(flags.plot, createGoodputPlot(result));
	}

	const {policy, ...otherOptions} = options;
	process.stdout.write(`${JSON.stringify({
		scenario: flags.scenario, ...otherOptions, ...(flags.compare === undefined ? {policy} : {}), ...result,
	})}\n`);
}
