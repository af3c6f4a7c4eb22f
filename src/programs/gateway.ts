/** `fescuering-gateway`: runs one entry on the users' platform. */
import * as net from 'node:net';
import process from 'node:process';
import {createPlatform} from '../../platform/create-platform.ts';
import {readPlatformSettings, settingsPathVariable} from '../../platform/settings.ts';
import * as stopTimes from '../decisions/admission/stop-times.ts';
import {createDiagnostic, diagnostics} from '../decisions/diagnostics.ts';
import {createGateway, type Gateway} from '../gateway/create-gateway.ts';
import {type GatewaySettings} from '../gateway/settings.ts';
import {createGatewayMetrics} from '../observability/gateway-metrics.ts';
import {createLineWriter} from '../observability/line-writer.ts';
import {createLogger, type Logger} from '../observability/logger.ts';
import {createCommandLine, exitWithDiagnostic, runCommandLine} from './shared/command-line.ts';
import * as processStop from './shared/process-stop.ts';
import * as turnWatch from './shared/turn-watch.ts';

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
	const getNow = () => performance.now();
	const turns = turnWatch.watchTurns(getNow);
	const {givesUpAt, exitsAt} = stopTimes.getStopTimes(0, settings.graceMilliseconds, 0);
	const stop = processStop.handleStop({
		logger,
		limits: {leaveMilliseconds: givesUpAt, endMilliseconds: exitsAt},
		estimateLateness: () => stopTimes.estimateLateness(getNow(), turns.getLastTurn(), settings.graceMilliseconds),
		logCrash(reason) {
			logger.error('gateway-crashed', {reason});
		},
		onStop: writer.hurry,
		flush: async () => writer.flush(flushTimeoutMilliseconds),
	});
	const reloads = handleReloads(path, logger);
	const metrics = createGatewayMetrics();
	const gateway = await createGateway(settings, {
		platform: createPlatform(settings.storeAddress, getNow, metrics.recordStoreCall),
		logger,
		metrics,
		metricsPort,
		localAddress,
		getNow,
		getWallTime: () => Date.now(),
	});
	stop.handOver(gateway);
	reloads.handOver(gateway);
}

/** Reloads a gateway at SIGHUP from now on; a signal that arrives before there is a gateway is handled when it has started. */
function handleReloads(path: string, logger: Logger): {handOver(gateway: Gateway): void} {
	let gateway: Gateway | undefined;
	let isReloadPending = false;

	process.on('SIGHUP', () => {
		if (gateway) {
			reload(path, gateway, logger);
		} else {
			isReloadPending = true;
		}
	});
	return {
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
