/** Stops the part of a process that serves callers once, at a signal or after an error, and ends the process. */
import process from 'node:process';
import {type Logger} from '../../observability/logger.ts';
import {isPeerSessionError} from '../../peers/peer-errors.ts';

/** Part of a process that serves callers. */
export type Stoppable = {
	/** Stops with notice to the callers; the signal to stop may have arrived some time ago, 0 by default. */
	leave(lateMilliseconds?: number): Promise<void>;
	/** Stops without notice; the requests in flight are finished. */
	leaveAtOnce(): Promise<void>;
};

/** Dependencies of the stop of a process. */
export type ProcessStopHost = {
	readonly logger: Logger;
	/** Time after the signal at which the part that serves callers is no longer waited for, and at which the process ends, in milliseconds; none by default. */
	readonly limits?: {readonly leaveMilliseconds: number; readonly endMilliseconds: number};
	/** Returns by how many milliseconds the signal that is being handled may be late; none by default. */
	estimateLateness?(): number;
	/** Logs that an error that nothing has handled ends the process. */
	logCrash(reason: string): void;
	/** Called once, when the stop begins. */
	onStop?(): void;
	/** Writes the log lines that are buffered. */
	flush(): Promise<void>;
};

/** Stop of a process. */
export type ProcessStop = {
	/** Passes on what is to be stopped, once it has started; before, a stop ends the process at once. */
	handOver(stoppable: Stoppable): void;
};

/** Stop that something else than the process triggers. */
export type TriggeredStop = ProcessStop & {
	/** Stops once: a second call must not cut the stop short. The time limits are shorter by how late the stop begins. */
	stop(exitCode: number, leave: (stoppable: Stoppable) => Promise<void>, lateMilliseconds?: number): void;
};

/** Part of a time limit in which a process that is late reads its sockets, in milliseconds. */
const lastStepMilliseconds = 20;

/** Creates a stop that calls a function with the exit code at its end. */
export function createStop({logger, limits, onStop, flush}: Omit<ProcessStopHost, 'logCrash' | 'estimateLateness'>, exit: (code: number) => void): TriggeredStop {
	let running: Stoppable | undefined;
	let isStopping = false;
	let exitCode = 0;

	/** What is still starting has accepted nothing. */
	async function leaveAndExit(leave: (stoppable: Stoppable) => Promise<void>, lateMilliseconds: number): Promise<void> {
		const overdue = createTimeLimit(limits && limits.leaveMilliseconds - lateMilliseconds);
		const end = createTimeLimit(limits && limits.endMilliseconds - lateMilliseconds);
		try {
			const stopped = running ? leave(running) : Promise.resolve();
			if (await Promise.race([stopped, overdue]) === 'over') {
				exitCode = 1;
				logger.error('stop-failed', {reason: 'overdue'});
			}
		} catch (error) {
			exitCode = 1;
			logger.error('stop-failed', {reason: String(error)});
		}

		await Promise.race([flush(), end]);
		exit(exitCode);
	}

	return {
		handOver(stoppable) {
			running = stoppable;
		},
		stop(code, leave, lateMilliseconds = 0) {
			exitCode = Math.max(exitCode, code);
			if (!isStopping) {
				isStopping = true;
				onStop?.();
				void leaveAndExit(leave, lateMilliseconds);
			}
		},
	};
}

/** Resolves at a time, in two steps: a process that finds the first one due late still reads its sockets before the second one. */
async function createTimeLimit(milliseconds: number | undefined): Promise<'over'> {
	return new Promise(resolve => {
		if (milliseconds !== undefined) {
			setTimeout(() => {
				setTimeout(resolve, lastStepMilliseconds, 'over');
			}, Math.max(0, milliseconds - lastStepMilliseconds));
		}
	});
}

/** Handles SIGTERM, SIGINT and uncaught errors from now on. */
export function handleStop(host: ProcessStopHost): ProcessStop {
	const {logger, logCrash} = host;
	const triggered = createStop(host, code => {
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	});
	// A second signal must not end the process by default.
	const handleSignal = (signal: NodeJS.Signals) => {
		const lateMilliseconds = host.estimateLateness?.() ?? 0;
		logger.info('signal-received', {signal, lateMilliseconds: Math.round(lateMilliseconds)});
		triggered.stop(0, async stoppable => stoppable.leave(lateMilliseconds), lateMilliseconds);
	};

	process.on('SIGTERM', handleSignal);
	process.on('SIGINT', handleSignal);
	process.on('uncaughtException', error => {
		// Sessions with other entries fail by themselves, and change nothing else.
		if (isPeerSessionError(error)) {
			logger.warn('peer-session-failed', {reason: error.message});
			return;
		}

		// The requests at work are answered first, as each runs apart from the part that failed.
		logCrash(error.stack ?? error.message);
		triggered.stop(1, async stoppable => stoppable.leaveAtOnce());
	});
	return triggered;
}
