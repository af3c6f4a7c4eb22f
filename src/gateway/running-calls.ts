/** Tracks the calls that hold anything: those that are not answered, and those that still have an attempt at an upstream. */
import type * as logger from '../observability/logger.ts';

/** Dependencies of the tracker. */
export type RunningCallsHost = {
	readonly logger: logger.Logger;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

/** The calls that hold anything. */
export type RunningCalls = {
	/** Tracks a call; the returned function is called once it holds nothing any more. */
	begin(id: string, deadlineAt: number): () => void;
	count(): number;
	/** Logs the calls that have outlived their deadline by far, each once. */
	logOverdue(): void;
};

type TrackedCall = {readonly id: string; readonly deadlineAt: number; isLogged: boolean};

/** Time after its deadline from which on a call is overdue, in milliseconds; its timers end it within a tenth of that. */
const overdueMilliseconds = 1000;

/** Creates a tracker without calls. */
export function createRunningCalls(host: RunningCallsHost): RunningCalls {
	const calls = new Set<TrackedCall>();
	return {
		begin(id, deadlineAt) {
			const call: TrackedCall = {id, deadlineAt, isLogged: false};
			calls.add(call);
			return () => {
				calls.delete(call);
			};
		},
		count: () => calls.size,
		logOverdue() {
			const now = host.getNow();
			for (const call of calls) {
				if (!call.isLogged && now - call.deadlineAt >= overdueMilliseconds) {
					call.isLogged = true;
					host.logger.warn('call-overdue', {id: call.id, milliseconds: Math.round(now - call.deadlineAt)});
				}
			}
		},
	};
}
