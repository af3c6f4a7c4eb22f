/** Command line that all programs share: `--help`, `--version`, and one line for each mistake. */
import process from 'node:process';
import * as cac from 'cac';
import {
	createDiagnostic, diagnostics, type Diagnostic, formatDiagnostic,
} from '../../decisions/diagnostics.ts';

declare const FESCUERING_VERSION: string; // eslint-disable-line @typescript-eslint/naming-convention

/** Exit code for a mistake of the person who started the program. */
export const usageExitCode = 2;

/** Creates a command line with the options that all programs share. */
export function createCommandLine(name: string): cac.CAC {
	const commandLine = cac.cac(name);
	commandLine.help();
	commandLine.version(FESCUERING_VERSION);
	return commandLine;
}

/** Prints a diagnostic as one line and ends the process with the exit code for mistakes. */
export function exitWithDiagnostic(diagnostic: Diagnostic): never {
	process.stderr.write(`${formatDiagnostic(diagnostic)}\n`);
	process.exit(usageExitCode); // eslint-disable-line unicorn/no-process-exit
}

/** Parses the command line and runs the command; a wrong option becomes one line. */
export async function runCommandLine(commandLine: cac.CAC): Promise<void> {
	try {
		commandLine.parse(process.argv, {run: false});
		await commandLine.runMatchedCommand();
	} catch (error) {
		if (error instanceof Error && error.name === 'CACError') {
			exitWithDiagnostic(createDiagnostic(diagnostics.commandLineInvalid, error.message));
		}

		throw error;
	}
}
