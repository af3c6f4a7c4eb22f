/** Runs one or more upstream stand-ins in one process and prints their addresses. */
import process from 'node:process';
import {cac} from 'cac';
import {behaviorChangeSchema, createUpstream, type Upstream} from '../upstream.ts';

type Flags = {
	readonly prefix: string;
	readonly count: number;
	readonly slots: number;
	readonly host: string;
	readonly port: number;
	readonly seed: number;
	readonly oneWayMilliseconds: number;
	readonly behavior: string;
	readonly reportRuns: boolean;
};

const program = cac('stand-in-upstreams');
program
	.command('', 'Run upstream stand-ins')
	.option('--prefix <name>', 'Names are PREFIX-1, PREFIX-2, …', {default: 'upstream'})
	.option('--count <number>', 'Number of upstreams', {default: 1})
	.option('--slots <number>', 'Number of calls that each upstream executes concurrently', {default: 4})
	.option('--host <address>', 'Address to listen on', {default: '127.0.0.1'})
	.option('--port <number>', 'Port of the first upstream; the others use the next ports; 0 selects free ports', {default: 0})
	.option('--seed <number>', 'Random seed of the first upstream; the others use the next numbers', {default: 1})
	.option('--one-way-milliseconds <number>', 'Network delay in each direction', {default: 0})
	.option('--behavior <json>', 'Changes to the default behavior as JSON', {default: '{}'})
	.option('--report-runs', 'Print a line `run KEY` when a call with an idempotency key starts, so that the record survives a kill', {default: false})
	.action(run);
program.help();
program.parse();

async function run(flags: Flags): Promise<void> {
	const behavior = behaviorChangeSchema.parse(JSON.parse(flags.behavior));
	const upstreams: Upstream[] = [];
	for (let index = 0; index < flags.count; index++) {
		upstreams.push(await createUpstream({
			name: `${flags.prefix}-${index + 1}`,
			host: flags.host,
			port: flags.port === 0 ? 0 : flags.port + index,
			slots: flags.slots,
			seed: flags.seed + index,
			behavior,
			oneWayMilliseconds: flags.oneWayMilliseconds,
			...(flags.reportRuns ? {onRun: reportRun} : {}),
		}));
	}

	const addresses = upstreams.map(upstream => `${upstream.name}=${upstream.address}`);
	process.stdout.write(`ready ${addresses.join(' ')}\n`);
	process.once('SIGTERM', () => {
		for (const upstream of upstreams) {
			void upstream.close();
		}
	});
}

function reportRun(key: string): void {
	process.stdout.write(`run ${key}\n`);
}
