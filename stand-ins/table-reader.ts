/** Table readers that run in the process of a test and use the real protocol of the log service. */
import * as prand from 'pure-rand';
import {createTableReader, type TableReader, type TableReaderOptions} from '../src/entry/table-reader.ts';
import {createLogger} from '../src/observability/logger.ts';
import {type LogHost} from '../src/platform/types.ts';

export type RunningTableReader = TableReader & {
	/** Versions in the order in which they took effect, with times in milliseconds of the monotonic clock. */
	readonly versions: ReadonlyArray<{readonly version: number; readonly time: number}>;
};

/** Starts a reader; `seed` determines the random numbers for its back-off and its snapshots. */
export function startTableReader(log: LogHost, seed: number, options: Partial<TableReaderOptions> = {}): RunningTableReader {
	const generator = prand.xoroshiro128plus(seed);
	const steps = 1_000_000;
	const versions: Array<{version: number; time: number}> = [];
	const reader = createTableReader({
		log,
		logger: createLogger('error', {reader: seed}),
		now: Date.now,
		random: () => prand.unsafeUniformIntDistribution(0, steps - 1, generator) / steps,
		setTimer(milliseconds, callback) {
			const timer = setTimeout(callback, milliseconds);
			return () => {
				clearTimeout(timer);
			};
		},
		onChange(table) {
			versions.push({version: table.version, time: performance.now()});
		},
	}, {name: `reader-${seed}`, retentionMilliseconds: 3_600_000, ...options});
	reader.start();
	return {...reader, versions};
}
