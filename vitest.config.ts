import * as fs from 'node:fs';
import process from 'node:process';
import * as vitest from 'vitest/config';

/** Test files listed in KNOWN-RED.txt. They run only if FESCUERING_KNOWN_RED is set. */
const knownRed = [...fs.readFileSync('KNOWN-RED.txt', 'utf8').matchAll(/^test: (?<file>\S+)/gmv)].map(match => match.groups!.file!);
const isKnownRedRun = process.env.FESCUERING_KNOWN_RED !== undefined;
const allTests = ['src/**/*.test.ts', 'stand-ins/**/*.test.ts', 'bench/**/*.test.ts', 'test/**/*.test.ts'];

export default vitest.defineConfig({
	test: {
		include: isKnownRedRun ? knownRed : allTests,
		exclude: ['node_modules/**', ...(isKnownRedRun ? [] : knownRed)],
		testTimeout: 60_000,
		hookTimeout: 60_000,
		fileParallelism: true,
		maxWorkers: 4,
	},
});
