/** `fescuering-gateway`: an entry on the users' platform, one process an instance. */
import process from 'node:process';
import {createPlatform} from '../../platform/create-platform.ts';
import {readPlatformSettings, settingsPathVariable} from '../../platform/settings.ts';
import {createDiagnostic, diagnostics} from '../decisions/diagnostics.ts';
import {createGateway, type Gateway} from '../gateway/create-gateway.ts';
import {type GatewaySettings} from '../gateway/settings.ts';
import {createGatewayMetrics} from '../observability/gateway-metrics.ts';
import {createLineWriter} from '../observability/line-writer.ts';
import {createLogger, type Logger} from '../observability/logger.ts';
import {isPeerSessionError} from '../peers/peer-errors.ts';
import {createCommandLine, exitWithDiagnostic, runCommandLine} from './shared/command-line.ts';

type Flags = {
	readonly settings?: string;
	readonly check?: boolean;
};

/** Bound of the log: lines in a second of decisions that went well, and as many of the others. */
const linesPerSecond = 400;
/** Lines that wait to be written, in bytes. */
const bufferBytes = 262_144;
/** Port of the metrics; the deploy file names it too. */
const metricsPort = 9464;
const standardOutput = 1;
const flushMilliseconds = 100;

const writer = createLineWriter({
	fileDescriptor: standardOutput, linesPerSecond, bufferBytes, getNow: () => performance.now(),
});
const commandLine = createCommandLine('fescuering-gateway');
commandLine
	.command('', 'Run a gateway')
	.option('--settings <file>', `Settings of the platform in JSON; default: the file that ${settingsPathVariable} names`)
	.option('--check', 'Check the settings and exit')
	.action(run);
// The bundle for the platform is a script, which can't wait at its top level.
void runCommandLine(commandLine);

async function run(flags: Flags): Promise<void> {
	const path = flags.settings ?? process.env[settingsPathVariable];
	if (path === undefined) {
		exitWithDiagnostic(createDiagnostic(diagnostics.settingsOptionMissing, '--settings'));
	}

	const settings = readPlatformSettings(path);
	if (settings.isErr()) {
		exitWithDiagnostic(settings.error);
	}

	if (flags.check) {
		process.stdout.write('settings ok\n');
		return;
	}

	await start(path, settings.value);
}

async function start(path: string, settings: GatewaySettings): Promise<void> {
	const logger = createLogger('info', {entry: settings.name}, writer);
	catchUncaughtErrors(logger);
	const metrics = createGatewayMetrics();
	const getNow = () => performance.now();
	const gateway = await createGateway(settings, {
		platform: createPlatform(settings.storeAddress, getNow, metrics.recordStoreCall),
		logger,
		metrics,
		metricsPort,
		getNow,
		getWallTime: () => Date.now(),
	});
	process.on('SIGHUP', () => {
		reload(path, gateway, logger);
	});
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.once(signal, () => {
			void leave(gateway);
		});
	}
}

function reload(path: string, gateway: Gateway, logger: Logger): void {
	const settings = readPlatformSettings(path);
	if (settings.isErr()) {
		logger.error('settings-invalid', {reason: settings.error.text});
		return;
	}

	gateway.reload(settings.value);
}

/** Passes over errors of sessions to other entries; any other error ends the process. */
function catchUncaughtErrors(logger: Logger): void {
	process.on('uncaughtException', error => {
		if (isPeerSessionError(error)) {
			logger.warn('peer-session-failed', {reason: error.message});
			return;
		}

		logger.error('gateway-crashed', {reason: error.stack ?? error.message});
		void exit(1);
	});
}

async function leave(gateway: Gateway): Promise<void> {
	await gateway.leave();
	await exit(0);
}

async function exit(code: number): Promise<void> {
	await writer.flush(flushMilliseconds);
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
}
