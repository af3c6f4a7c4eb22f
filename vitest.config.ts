import * as vitest from 'vitest/config';

export default vitest.defineConfig({
	test: {
		include: ['src/**/*.test.ts', 'stand-ins/**/*.test.ts', 'bench/**/*.test.ts', 'test/**/*.test.ts'],
		testTimeout: 60_000,
		hookTimeout: 60_000,
		fileParallelism: true,
		maxWorkers: 4,
	},
});
