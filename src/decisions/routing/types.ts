/**
Interface between an entry and the scheduler of a service.

The scheduler only decides: the entry passes in calls, results and the current time, and executes the returned actions.
All times are milliseconds of one monotonic clock.
*/
import {type OperationRow} from '../table/rows.ts';
import {type ServiceView} from '../table/service-view.ts';

/** How calls are distributed over the upstreams. `product` queues calls until a slot is free. */
export type RoutingPolicy
	= | {readonly kind: 'round-robin'}
		| {readonly kind: 'random'}
		| {readonly kind: 'least-in-flight'}
		| {readonly kind: 'power-of-two-choices'}
		| {readonly kind: 'product'};

/** Upstream as listed by membership. */
export type UpstreamDescription = {
	readonly name: string;
	/** Host and port. */
	readonly address: string;
	readonly region: string;
	readonly failureDomain: string;
	readonly state: 'live' | 'leaving';
};

/** Load that an upstream reports about itself; it may be stale or wrong. */
export type LoadReport = {
	readonly slots: number;
	readonly running: number;
	readonly queued: number;
	readonly state: 'live' | 'draining';
};

/** This entry's view of the entries that share the slots and limits of the fleet. */
export type FleetView = {
	/** Name of this entry. */
	readonly self: string;
	readonly selfFailureDomain: string;
	readonly entries: ReadonlyArray<{readonly name: string; readonly failureDomain: string}>;
};

/** Call that needs an upstream, for its first attempt or for a retry. */
export type WaitingCall = {
	readonly id: number;
	readonly operation: OperationRow;
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	/** Number of earlier attempts. */
	readonly attempts: number;
	/** Upstreams of earlier attempts; they are used again only when every usable upstream has been tried. */
	readonly triedUpstreams: readonly string[];
};

/** Why a call is refused. */
export type RefusalReason
	= | 'deadline-unreachable'
		| 'deadline-passed'
		| 'queue-full'
		| 'service-limit'
		| 'place-limit'
		| 'no-upstream'
		| 'leaving';

/** Decision about a call that the entry executes. */
export type SchedulerAction
	= | {
		readonly kind: 'dispatch';
		readonly callId: number;
		readonly upstream: string;
		/** Part of the waiting time during which long calls occupied all own slots; 0 for long calls. */
		readonly behindLongMilliseconds?: number;
	}
	| {
		readonly kind: 'refuse';
		readonly callId: number;
		readonly reason: RefusalReason;
		readonly retryAfterMilliseconds: number;
	};

/** How one attempt at an upstream ended. */
export type AttemptResult
	= | {readonly kind: 'answered'; readonly statusCode: number; readonly durationMilliseconds: number}
	/** The upstream stated that it did not run the call. */
		| {readonly kind: 'refused'; readonly durationMilliseconds: number}
	/** No byte of the request was sent. */
		| {readonly kind: 'not-connected'}
	/** The connection broke after a part of the request may have been sent. */
		| {readonly kind: 'broken'}
		| {readonly kind: 'timed-out'}
	/** The caller cancelled the call or disconnected. */
		| {readonly kind: 'cancelled'};

/** State of one upstream as reported to operators and in metrics. */
export type UpstreamStatus = {
	readonly upstream: string;
	readonly state: string;
	/** Why the upstream is in this state. */
	readonly reason: string;
	readonly inFlight: number;
	readonly slots: number;
};

/** Decides for one service to which upstream each call is sent, and when. */
export type ServiceScheduler = {
	/** Submits a call; the action for it is returned now or by a later method. */
	submit(call: WaitingCall, now: number): readonly SchedulerAction[];
	/** Records the end of an attempt and frees its slot. */
	finishAttempt(callId: number, upstream: string, result: AttemptResult, now: number): readonly SchedulerAction[];
	/** Removes a waiting call, e.g. because its caller disconnected. */
	cancel(callId: number, now: number): void;
	/** Decides whether a call may be retried after an attempt, and charges the retry budget if so. */
	tryChargeRetry(call: WaitingCall, result: AttemptResult, now: number): boolean;
	/** Returns the time after which an unanswered idempotent attempt is retried at another upstream, in milliseconds; undefined for never. */
	getAttemptTimeout(operation: OperationRow): number | undefined;
	/** Applies a load report that was attached to the answer of `answeredCallId`, polled, or forwarded by a peer. */
	applyReport(upstream: string, report: LoadReport, reportedAt: number, now: number, answeredCallId?: number): readonly SchedulerAction[];
	setUpstreams(upstreams: readonly UpstreamDescription[], now: number): readonly SchedulerAction[];
	setView(view: ServiceView, now: number): readonly SchedulerAction[];
	setFleet(fleet: FleetView, now: number): readonly SchedulerAction[];
	/** Makes the decisions that depend on elapsed time. */
	advance(now: number): readonly SchedulerAction[];
	/** Returns the time at which `advance` must be called next; undefined when no decision depends on time. */
	getNextAdvanceAt(now: number): number | undefined;
	getStatus(now: number): readonly UpstreamStatus[];
	/** Returns the number of calls that wait for a slot. */
	countWaitingCalls(): number;
};
