/** Child processes of a fault run. Signals go only to processes that the run itself started. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';
import * as readline from 'node:readline';

export type Child = {
	/** First line of the standard output, which the program prints once it is ready. */
	readonly readyLine: string;
	/** Resolves to the exit code when the process exits; the code is null after a signal. */
	readonly exited: Promise<number | undefined>;
	signal(name: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void;
};

export type ChildOptions = {
	/** Bundled program, e.g. `dist/stand-in-platform.mjs`. */
	readonly program: string;
	readonly arguments: readonly string[];
	/** File to which the standard error is appended. */
	readonly logFile: string;
	/** Receives each line of the standard output after the first. */
	readonly onLine?: (line: string) => void;
};

/** Starts a program and waits for the first line of its standard output. */
export async function startChild(options: ChildOptions): Promise<Child> {
	fs.mkdirSync(path.dirname(options.logFile), {recursive: true});
	const errorFileDescriptor = fs.openSync(options.logFile, 'a');
	const child = childProcess.spawn(process.execPath, [options.program, ...options.arguments], {stdio: ['ignore', 'pipe', errorFileDescriptor]});
	fs.closeSync(errorFileDescriptor);
	const exited = new Promise<number | undefined>(resolve => {
		child.once('exit', resolve);
	});
	const lines = readline.createInterface({input: child.stdout!});
	const readyLine = await new Promise<string>((resolve, reject) => {
		lines.once('line', resolve);
		child.once('exit', code => {
			reject(new Error(`${options.program} exited with code ${code} before it was ready. Read ${options.logFile}.`));
		});
	});
	lines.on('line', line => {
		options.onLine?.(line);
	});
	return {
		readyLine,
		exited,
		signal(name) {
			child.kill(name);
		},
	};
}

