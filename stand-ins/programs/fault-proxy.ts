/** Runs a fault-injecting proxy; each line of JSON on the standard input replaces its faults. */
import process from 'node:process';
import * as readline from 'node:readline';
import * as cac from 'cac';
import * as z from 'zod';
import {createFaultProxy} from '../fault-proxy.ts';

const faultsSchema = z.strictObject({
	delayMilliseconds: z.number().min(0).default(0),
	cut: z.boolean().default(false),
	silent: z.enum(['none', 'open', 'all']).default('none'),
	loseAnswers: z.boolean().default(false),
});

const command = cac.cac('stand-in-fault-proxy');
command
	.option('--target <address>', 'Host and port to forward connections to')
	.option('--host <address>', 'Address to listen on', {default: '127.0.0.1'})
	.option('--port <port>', 'Port to listen on; 0 selects a free port', {default: 0})
	.option('--faults <json>', 'Initial faults as JSON', {default: '{}'})
	.help();
const {options} = command.parse();
if (options.help !== true) {
	const [targetHost = '', targetPort = ''] = String(options.target).split(':');
	const proxy = await createFaultProxy({
		host: String(options.host),
		port: Number(options.port),
		targetHost,
		targetPort: Number(targetPort),
		faults: faultsSchema.parse(JSON.parse(String(options.faults))),
	});
	process.stdout.write(`ready address=${proxy.host}:${proxy.port}\n`);
	readline.createInterface({input: process.stdin}).on('line', line => {
		proxy.setFaults(faultsSchema.parse(JSON.parse(line)));
	});
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.once(signal, () => {
			void proxy.close().then(() => process.exit(0));
		});
	}
}
