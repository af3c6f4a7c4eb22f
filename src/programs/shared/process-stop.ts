/** Stops the part of a process that serves callers once, at a signal or after an error, and ends the process. */
import process from 'node:process';
import {type Logger} from '../../observability/logger.ts';
import {isPeerSessionError} from '../../peers/peer-errors.ts';

/** Part of a process that serves callers. */
export type Stoppable = {
	/** Stops with notice to the callers. */
	leave(): Promise<void>;
	/** Stops without notice; the requests in flight are finished. */
	leaveAtOnce(): Promise<void>;
};

/** Dependencies of the stop of a process. */
export type ProcessStopHost = {
	readonly logger: Logger;
	/** Logs that an error that nothing has handled ends the process. */
	logCrash(reason: string): void;
	/** Writes the log lines that are buffered. */
	flush(): Promise<void>;
};

/** Stop of a process. */
export type ProcessStop = {
	/** Passes on what is to be stopped, once it has started; before, a stop ends the process at once. */
	handOver(stoppable: Stoppable): void;
};

/** Handles SIGTERM, SIGINT and uncaught errors from now on. */
export function handleStop({logger, logCrash, flush}: ProcessStopHost): ProcessStop {
	let running: Stoppable | undefined;
	let isStopping = false;
	let exitCode = 0;

	/** Stops once: a second signal must neither end the process by default nor cut the stop short. */
	function stop(leave: (stoppable: Stoppable) => Promise<void>): void {
		if (!isStopping) {
			isStopping = true;
			void leaveAndExit(leave);
		}
	}

	/** What is still starting has accepted nothing. */
	async function leaveAndExit(leave: (stoppable: Stoppable) => Promise<void>): Promise<void> {
		try {
			if (running) {
				await leave(running);
			}
		} catch (error) {
			exitCode = 1;
			logger.error('stop-failed', {reason: String(error)});
		}

		await flush();
		process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit
	}

	const handleSignal = (signal: NodeJS.Signals) => {
		logger.info('signal-received', {signal});
		stop(async stoppable => stoppable.leave());
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
		exitCode = 1;
		stop(async stoppable => stoppable.leaveAtOnce());
	});
	return {
		handOver(stoppable) {
			running = stoppable;
		},
	};
}
