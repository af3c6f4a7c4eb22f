/** Runs the log service and the instance list in one process, for tests and the bench. */
import process from 'node:process';
import * as cac from 'cac';
import {createInstanceList} from '../instance-list.ts';
import {createLogService, defaultLogFaults} from '../log-service.ts';

const command = cac.cac('stand-in-platform');
command
	.option('--log-port <port>', 'Port of the log service; 0 selects a free port', {default: 0})
	.option('--instance-list-port <port>', 'Port of the instance list; 0 selects a free port', {default: 0})
	.option('--host <address>', 'Address to listen on', {default: '127.0.0.1'})
	.option('--retention-milliseconds <milliseconds>', 'Retention time of log records', {default: defaultLogFaults.retentionMilliseconds})
	.option('--seed <integer>', 'Seed of the random faults of the log service', {default: defaultLogFaults.seed})
	.help();
const {options} = command.parse();
if (options.help !== true) {
	const host = String(options.host);
	const log = await createLogService({
		host,
		port: Number(options.logPort),
		faults: {retentionMilliseconds: Number(options.retentionMilliseconds), seed: Number(options.seed)},
	});
	const instances = await createInstanceList({host, port: Number(options.instanceListPort)});
	process.stdout.write(`ready log=${log.url} instances=${instances.url}\n`);
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.once(signal, () => {
			void Promise.all([log.close(), instances.close()]);
		});
	}
}
