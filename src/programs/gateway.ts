/** `fescuering-gateway`: runs one entry on the users' platform. */
import * as net from 'node:net';
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
	readonly sourceAddress?: string;
};

/** Maximum log lines per second; warnings and errors have a separate limit of the same size. */
const linesPerSecond = 400;
/** Maximum size of the log lines that wait to be written, in bytes. */
const bufferBytes = 262_144;
/** Port of the metrics endpoint; must match `metrics` in deploy/system.toml. */
const metricsPort = 9464;
const standardOutputDescriptor = 1;
/** Maximum time to write buffered log lines before the process exits. */
const flushTimeoutMilliseconds = 100;

const writer = createLineWriter({
	fileDescriptor: standardOutputDescriptor, linesPerSecond, bufferBytes, getNow: () => performance.now(),
});
const commandLine = createCommandLine('fescuering-gateway');
commandLine
	.command('', 'Run a gateway')
	.option('--settings <file>', `Platform settings in JSON; default: the file named by ${settingsPathVariable}`)
	.option('--source-address <address>', 'Local IP address of the connections to upstreams; default: chosen by the system')
	.option('--check', 'Check the settings and exit')
	.action(run);
// The bundle for the platform is a CommonJS script, which doesn't support top-level await.
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

	if (flags.sourceAddress !== undefined && net.isIP(flags.sourceAddress) === 0) {
		exitWithDiagnostic(createDiagnostic(diagnostics.commandLineInvalid, `The source address "${flags.sourceAddress}" is not an IP address`));
	}

	if (flags.check) {
		process.stdout.write('settings ok\n');
		return;
	}

	await start(path, settings.value, flags.sourceAddress);
}

async function start(path: string, settings: GatewaySettings, localAddress: string | undefined): Promise<void> {
	const logger = createLogger('info', {entry: settings.name}, writer);
	const signals = watchSignals(path, logger);
	handleUncaughtErrors(logger, signals.stopAfterError);
	const metrics = createGatewayMetrics();
	const getNow = () => performance.now();
	const gateway = await createGateway(settings, {
		platform: createPlatform(settings.storeAddress, getNow, metrics.recordStoreCall),
		logger,
		metrics,
		metricsPort,
		localAddress,
		getNow,
		getWallTime: () => Date.now(),
	});
	signals.handOver(gateway);
}

/** Stops and reloads a gateway when signals ask for it, and stops it after an error. */
type Signals = {
	handOver(gateway: Gateway): void;
	/** Stops after an error that nothing has handled. The requests at work are answered first, as each runs apart from the part that failed. */
	stopAfterError(): void;
};

/** Handles signals from now on; those that arrive before there is a gateway are handled as far as they concern one that is starting. */
function watchSignals(path: string, logger: Logger): Signals {
	let gateway: Gateway | undefined;
	let isReloadPending = false;
	let isStopping = false;
	let exitCode = 0;

	/** Stops once: a second signal must neither end the process by default nor cut the stop short. */
	function stop(leave: (gateway: Gateway) => Promise<void>): void {
		if (!isStopping) {
			isStopping = true;
			void leaveAndExit(leave);
		}
	}

	/** A gateway that is still starting has accepted nothing. */
	async function leaveAndExit(leave: (gateway: Gateway) => Promise<void>): Promise<void> {
		try {
			if (gateway) {
				await leave(gateway);
			}
		} catch (error) {
			exitCode = 1;
			logger.error('stop-failed', {reason: String(error)});
		}

		await writer.flush(flushTimeoutMilliseconds);
		process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit
	}

	const handleSignal = () => {
		stop(async running => running.leave());
	};

	process.on('SIGTERM', handleSignal);
	process.on('SIGINT', handleSignal);
	process.on('SIGHUP', () => {
		if (gateway) {
			reload(path, gateway, logger);
		} else {
			isReloadPending = true;
		}
	});
	return {
		stopAfterError() {
			exitCode = 1;
			stop(async running => running.leaveAtOnce());
		},
		handOver(started) {
			gateway = started;
			if (isReloadPending) {
				reload(path, gateway, logger);
			}
		},
	};
}

function reload(path: string, gateway: Gateway, logger: Logger): void {
	const settings = readPlatformSettings(path);
	if (settings.isErr()) {
		logger.error('settings-invalid', {reason: settings.error.text});
		return;
	}

	gateway.reload(settings.value);
}

/** Logs uncaught errors. Those of sessions with other entries change nothing else; any other one ends the process. */
function handleUncaughtErrors(logger: Logger, stopAfterError: () => void): void {
	process.on('uncaughtException', error => {
		if (isPeerSessionError(error)) {
			logger.warn('peer-session-failed', {reason: error.message});
			return;
		}

		logger.error('gateway-crashed', {reason: error.stack ?? error.message});
		stopAfterError();
	});
}
