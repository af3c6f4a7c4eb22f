import process from 'node:process';
import * as vitest from 'vitest/config';
import * as knownRed from './test/support/known-red.ts';

const isKnownRedRun = process.env.FESCUERING_KNOWN_RED !== undefined;
const allTests = ['src/**/*.test.ts', 'stand-ins/**/*.test.ts', 'bench/**/*.test.ts', 'test/**/*.test.ts'];

export default vitest.defineConfig({
	test: {
		include: isKnownRedRun ? knownRed.listKnownRed().map(({file}) => file) : allTests,
		exclude: ['node_modules/**', ...(isKnownRedRun ? [] : ['test/apart/**', 'test/shares/**'])],
		setupFiles: ['test/support/skip-known-red.ts'],
		testTimeout: 60_000,
		hookTimeout: 60_000,
		fileParallelism: true,
		maxWorkers: 4,
	},
});
