/** `fescuering-entry`: runs one entry, which serves callers, other entries and operators. */
import process from 'node:process';
import {createDiagnostic, diagnostics} from '../decisions/diagnostics.ts';
import {createEntry} from '../entry/create-entry.ts';
import {checkEntrySettings, type EntrySettings, entrySettingsSchema} from '../entry/settings.ts';
import {createLogger} from '../observability/logger.ts';
import {createMetrics} from '../observability/metrics.ts';
import {createTracing} from '../observability/tracing.ts';
import {createHttpInstanceList} from '../platform/http-instance-list.ts';
import {createHttpLog} from '../platform/http-log.ts';
import {createMeteredLog} from '../platform/metered-log.ts';
import {readSettings} from '../platform/settings-file.ts';
import {createCommandLine, exitWithDiagnostic, runCommandLine} from './shared/command-line.ts';
import * as processStop from './shared/process-stop.ts';

type Flags = {
	readonly settings?: string;
	readonly check?: boolean;
};

const commandLine = createCommandLine('fescuering-entry');
commandLine
	.command('', 'Run an entry')
	.option('--settings <file>', 'Settings in JSON')
	.option('--check', 'Check the settings and exit')
	.action(run);
await runCommandLine(commandLine);

async function run(flags: Flags): Promise<void> {
	if (flags.settings === undefined) {
		exitWithDiagnostic(createDiagnostic(diagnostics.settingsOptionMissing, '--settings'));
	}

	const settings = readSettings(flags.settings, entrySettingsSchema).andThen(checkEntrySettings);
	if (settings.isErr()) {
		exitWithDiagnostic(settings.error);
	}

	if (flags.check) {
		process.stdout.write('settings ok\n');
		return;
	}

	await start(settings.value);
}

async function start(settings: EntrySettings): Promise<void> {
	const {observability, platform} = settings;
	const logger = createLogger(observability.logLevel, {entry: settings.name});
	const stop = processStop.handleStop({
		logger,
		logCrash(reason) {
			logger.error('entry-crashed', {reason});
		},
		// The log is written without a buffer.
		flush: async () => undefined,
	});
	const metrics = createMetrics();
	const result = await createEntry(settings, {
		log: createMeteredLog(createHttpLog(platform.logUrl), metrics),
		instanceList: createHttpInstanceList(platform.instanceListUrl),
		logger,
		metrics,
		tracing: createTracing({
			otlpUrl: observability.otlpUrl,
			sampleShare: observability.traceSampleShare,
			serviceName: 'fescuering-entry',
			failureDomain: settings.failureDomain,
		}),
		getNow: () => performance.now(),
		getWallTime: () => Date.now(),
		onSuperseded() {
			process.kill(process.pid, 'SIGTERM');
		},
	});
	if (result.isErr()) {
		exitWithDiagnostic(result.error);
	}

	const entry = result.value;
	process.stdout.write(`ready address=${entry.callerAddress} peer=${entry.peerAddress} incarnation=${entry.incarnation}\n`);
	stop.handOver(entry);
}
