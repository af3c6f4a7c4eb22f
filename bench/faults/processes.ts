/** Child processes of a fault run, ended by their own ids only. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';
import * as readline from 'node:readline';

export type Child = {
	/** The first line that the program printed. */
	readonly readyLine: string;
	/** Ends with the process; the exit code is null after a signal. */
	readonly exited: Promise<number | undefined>;
	signal(name: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void;
};

export type ChildOptions = {
	/** Bundled program, e.g. `dist/stand-in-platform.mjs`. */
	readonly program: string;
	readonly arguments: readonly string[];
	/** File that takes the standard error. */
	readonly logFile: string;
	/** Called with each line of output after the first. */
	readonly onLine?: (line: string) => void;
};

/** Starts a program and waits for its first line of output. */
export async function startChild(options: ChildOptions): Promise<Child> {
	fs.mkdirSync(path.dirname(options.logFile), {recursive: true});
	const errorFile = fs.openSync(options.logFile, 'a');
	const child = childProcess.spawn(process.execPath, [options.program, ...options.arguments], {stdio: ['ignore', 'pipe', errorFile]});
	fs.closeSync(errorFile);
	const exited = new Promise<number | undefined>(resolve => {
		child.once('exit', resolve);
	});
	const lines = readline.createInterface({input: child.stdout!});
	const readyLine = await new Promise<string>((resolve, reject) => {
		lines.once('line', resolve);
		child.once('exit', code => {
			reject(new Error(`${options.program} ended with code ${code} before it was ready. Read ${options.logFile}.`));
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

