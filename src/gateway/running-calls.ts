/** Tracks the calls that hold anything: those that are not answered, and those that still have an attempt at an upstream. */
import type * as logger from '../observability/logger.ts';
import type * as types from './types.ts';

/** Dependencies of the tracker. */
export type RunningCallsHost = {
	readonly logger: logger.Logger;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

/** Properties of a request that are tracked. */
export type TrackedRequest = Pick<types.GatewayRequest, 'id' | 'route' | 'service' | 'receivedAt' | 'deadlineAt'>;

/** Records the progress of one call. */
export type CallProgress = {
	/** Records that an upstream has received bytes of the request. */
	recordSent(upstream: string): void;
	/** Records that the caller has been answered, or has left. */
	recordAnswered(): void;
	/** Records that the call holds nothing any more. */
	end(): void;
};

/** The calls that hold anything. */
export type RunningCalls = {
	begin(request: TrackedRequest, countReceivedBytes: () => number): CallProgress;
	count(): number;
	/** Counts the bytes that were received of the responses that are not complete. */
	countReceivedBytes(): number;
	/** Logs the calls that have outlived their deadline by far, each once. */
	logOverdue(): void;
	/** Logs the calls at upstreams that are not answered, because the stop that began at a time is about to cut them. */
	logOutlasting(stopBeganAt: number): void;
};

type TrackedCall = {
	readonly request: TrackedRequest;
	/** Latest upstream that has received bytes of the request, and when it did. */
	sent: {readonly upstream: string; readonly at: number} | undefined;
	isAnswered: boolean;
	isLogged: boolean;
	countReceivedBytes(): number;
};

/** Time after its deadline from which on a call is overdue, in milliseconds; its timers end it within a tenth of that. */
const overdueMilliseconds = 1000;
/** Maximum number of calls that are logged at the end of a stop. */
const maximumOutlastingLines = 100;

/** Creates a tracker without calls. */
export function createRunningCalls(host: RunningCallsHost): RunningCalls {
	const calls = new Set<TrackedCall>();
	return {
		begin(request, countReceivedBytes) {
			const call: TrackedCall = {
				request, countReceivedBytes, sent: undefined, isAnswered: false, isLogged: false,
			};
			calls.add(call);
			return {
				recordSent(upstream) {
					call.sent = {upstream, at: host.getNow()};
				},
				recordAnswered() {
					call.isAnswered = true;
				},
				end() {
					calls.delete(call);
				},
			};
		},
		count: () => calls.size,
		countReceivedBytes: () => [...calls].reduce((sum, call) => sum + call.countReceivedBytes(), 0),
		logOverdue() {
			const now = host.getNow();
			for (const call of calls) {
				const {id, deadlineAt} = call.request;
				if (!call.isLogged && now - deadlineAt >= overdueMilliseconds) {
					call.isLogged = true;
					host.logger.warn('call-overdue', {id, milliseconds: Math.round(now - deadlineAt)});
				}
			}
		},
		logOutlasting(stopBeganAt) {
			const outlasting = [...calls].filter(({sent, isAnswered}) => sent && !isAnswered);
			for (const {request: {id, route, service, receivedAt, deadlineAt}, sent} of outlasting.slice(0, maximumOutlastingLines)) {
				host.logger.warn('request-outlasts-stop', {
					id,
					route: route.name,
					kind: route.kind,
					service,
					upstream: sent!.upstream,
					received: Math.round(receivedAt - stopBeganAt),
					sent: Math.round(sent!.at - stopBeganAt),
					deadline: Math.round(deadlineAt - stopBeganAt),
				});
			}
		},
	};
}
