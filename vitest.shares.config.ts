/** Tests of the share of requests that are served, one at a time. The share depends on the processor time that a machine has left, so they are run by hand. */
import * as vitest from 'vitest/config';

export default vitest.defineConfig({
	test: {
		include: ['test/shares/**/*.test.ts'],
		testTimeout: 300_000,
		hookTimeout: 60_000,
		fileParallelism: false,
	},
});
