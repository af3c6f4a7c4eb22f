/** Starts the built programs as child processes and stops them. */
import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import process from 'node:process';

/** Child process that has printed its ready line. */
export type RunningProgram = {
	readonly processId: number;
	/** Line that the program printed to its standard output when it was ready. */
	readonly readyLine: string;
	/** Resolves to the exit code when the program has exited, or to undefined if a signal ended it. */
	readonly exited: Promise<number | undefined>;
	/** Returns what the program wrote to its standard error stream, up to a maximum length. */
	getErrorOutput(): string;
	signal(signal: NodeJS.Signals): void;
	/** Sends a signal to the program and resolves to its exit code, or to undefined if a signal ended it. */
	stop(signal?: NodeJS.Signals): Promise<number | undefined>;
};

const maximumLogCharacters = 4_000_000;
/** Length of the end of the standard error stream that is printed if a program exits unexpectedly. */
const logExcerptCharacters = 4000;

/** Starts `dist/NAME.mjs` and resolves when it prints its `ready` line; rejects if it exits before. */
export async function startProgram(name: string, ...programArguments: readonly string[]): Promise<RunningProgram> {
	const file = path.resolve('dist', `${name}.mjs`);
	const child = childProcess.spawn(process.execPath, [...getNodeArguments(), file, ...programArguments], {stdio: ['ignore', 'pipe', 'pipe']});
	let log = '';
	let output = '';
	let isReady = false;
	let isStopped = false;
	const exited = new Promise<number | undefined>(resolve => {
		child.once('exit', (code, signal) => {
			if (isReady && !isStopped) {
				process.stderr.write(`${name} (process ${child.pid}) exited unexpectedly with ${signal ?? code}:\n${log.slice(-logExcerptCharacters)}\n`);
			}

			resolve(code ?? undefined);
		});
	});
	child.stderr.on('data', (chunk: Uint8Array) => {
		if (log.length < maximumLogCharacters) {
			log += String(chunk);
		}
	});
	const readyLine = await new Promise<string>((resolve, reject) => {
		child.stdout.on('data', (chunk: Uint8Array) => {
			if (isReady) {
				return;
			}

			output += String(chunk);
			const line = output.split('\n').find(candidate => candidate.startsWith('ready'));
			if (line !== undefined && output.includes(`${line}\n`)) {
				isReady = true;
				resolve(line);
			}
		});
		void exited.then(code => {
			reject(new Error(`${name} exited with code ${code} before it was ready: ${log}`));
		});
	});

	return {
		processId: child.pid!,
		readyLine,
		getErrorOutput: () => log,
		signal(signal) {
			child.kill(signal);
		},
		async stop(signal = 'SIGTERM') {
			isStopped = true;
			child.kill(signal);
			return exited;
		},
		exited,
	};
}

/** Returns the Node.js options for all programs, e.g. `FESCUERING_NODE_ARGUMENTS=--cpu-prof` to profile them. */
function getNodeArguments(): readonly string[] {
	return (process.env.FESCUERING_NODE_ARGUMENTS ?? '').split(' ').filter(argument => argument !== '');
}

/** Parses the `key=value` pairs of a ready line. */
export function parseReadyLine(readyLine: string): ReadonlyMap<string, string> {
	return new Map(readyLine.split(' ').slice(1).map(pair => {
		const index = pair.indexOf('=');
		return [pair.slice(0, index), pair.slice(index + 1)];
	}));
}
