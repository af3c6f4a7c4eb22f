/** Command line handling shared by all programs: `--help`, `--version`, and usage errors as one line. */
import process from 'node:process';
import * as cac from 'cac';
import {
	createDiagnostic, diagnostics, type Diagnostic, formatDiagnostic,
} from '../../decisions/diagnostics.ts';

declare const FESCUERING_VERSION: string; // eslint-disable-line @typescript-eslint/naming-convention

/** Exit code for usage errors: invalid options or settings. */
export const usageExitCode = 2;

/** Creates a command line with the shared options. */
export function createCommandLine(name: string): cac.CAC {
	const commandLine = cac.cac(name);
	commandLine.help();
	commandLine.version(FESCUERING_VERSION);
	return commandLine;
}

/** Prints a diagnostic as one line and exits with the exit code for usage errors. */
export function exitWithDiagnostic(diagnostic: Diagnostic): never {
	process.stderr.write(`${formatDiagnostic(diagnostic)}\n`);
	process.exit(usageExitCode); // eslint-disable-line unicorn/no-process-exit
}

/** Parses the command line and runs the matched command; an invalid option is printed as a diagnostic. */
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
