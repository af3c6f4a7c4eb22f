/** Tests that run one at a time, after all others: they measure the memory and descriptors of processes. */
import * as vitest from 'vitest/config';

export default vitest.defineConfig({
	test: {
		include: ['test/apart/**/*.test.ts'],
		setupFiles: ['test/support/skip-known-red.ts'],
		testTimeout: 300_000,
		hookTimeout: 60_000,
		fileParallelism: false,
	},
});
