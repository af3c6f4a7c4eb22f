/**
Messages between the entry and the scheduler of a service.

The scheduler decides and the entry acts: calls and results go in with the present time, actions come out.
All times are milliseconds of one monotonic clock.
*/
import {type OperationRow} from '../table/rows.ts';
import {type ServiceView} from '../table/service-view.ts';

/** How calls are spread over the upstreams. `product` holds calls back until a slot is free. */
export type RoutingPolicy
	= | {readonly kind: 'round-robin'}
		| {readonly kind: 'random'}
		| {readonly kind: 'least-in-flight'}
		| {readonly kind: 'power-of-two-choices'}
		| {readonly kind: 'product'};

/** An upstream as membership knows it. */
export type UpstreamDescription = {
	readonly name: string;
	/** Host and port. */
	readonly address: string;
	readonly region: string;
	readonly failureDomain: string;
	readonly state: 'live' | 'leaving';
};

/** What an upstream says of its own load; it may be stale or wrong. */
export type LoadReport = {
	readonly slots: number;
	readonly running: number;
	readonly queued: number;
	readonly state: 'live' | 'draining';
};

/** Entries that share the limits of the fleet, as this entry sees them. */
export type FleetView = {
	/** Name of this entry. */
	readonly self: string;
	readonly selfFailureDomain: string;
	readonly entries: ReadonlyArray<{readonly name: string; readonly failureDomain: string}>;
};

/** A call that asks for an upstream: at its arrival, or again for a retry. */
export type WaitingCall = {
	readonly id: number;
	readonly operation: OperationRow;
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	/** Attempts that went out before. */
	readonly attempts: number;
	/** Upstreams that were tried before; they are chosen last. */
	readonly triedUpstreams: readonly string[];
};

export type RefusalReason
	= | 'deadline-unreachable'
		| 'deadline-passed'
		| 'queue-full'
		| 'service-limit'
		| 'place-limit'
		| 'no-upstream'
		| 'leaving';

export type SchedulerAction
	= | {
		readonly kind: 'dispatch';
		readonly callId: number;
		readonly upstream: string;
		/** Part of the waiting time in which long work held all slots that a short call could use; 0 for long calls. */
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
	/** The upstream said that it did not run the call. */
		| {readonly kind: 'refused'; readonly durationMilliseconds: number}
	/** No byte of the request left this entry. */
		| {readonly kind: 'not-connected'}
	/** The connection broke after a byte may have left. */
		| {readonly kind: 'broken'}
		| {readonly kind: 'timed-out'}
	/** The caller went away. */
		| {readonly kind: 'cancelled'};

/** State of one upstream for operators and metrics. */
export type UpstreamStatus = {
	readonly upstream: string;
	readonly state: string;
	/** Why the upstream is in this state. */
	readonly reason: string;
	readonly inFlight: number;
	readonly slots: number;
};

/** Decides for one service which call goes where and when. */
export type ServiceScheduler = {
	/** Takes a call; its decision may come at once or from a later method. */
	offer(call: WaitingCall, now: number): readonly SchedulerAction[];
	/** Takes the end of an attempt and frees its slot. */
	finish(callId: number, upstream: string, result: AttemptResult, now: number): readonly SchedulerAction[];
	/** Takes a waiting call back, e.g. because its caller went away. */
	withdraw(callId: number, now: number): void;
	/** Decides whether a call may go out again after an attempt, and charges the retry budget when it may. */
	tryChargeRetry(call: WaitingCall, result: AttemptResult, now: number): boolean;
	/** Time after which an idempotent attempt without an answer should be made elsewhere, in milliseconds; undefined for never. */
	getPatience(operation: OperationRow): number | undefined;
	/** Takes a report that rode on the answer to `answeredCallId`, came from a poll, or was passed on by a peer. */
	report(upstream: string, report: LoadReport, reportedAt: number, now: number, answeredCallId?: number): readonly SchedulerAction[];
	setUpstreams(upstreams: readonly UpstreamDescription[], now: number): readonly SchedulerAction[];
	setView(view: ServiceView, now: number): readonly SchedulerAction[];
	setFleet(fleet: FleetView, now: number): readonly SchedulerAction[];
	/** Acts on the passage of time. */
	advance(now: number): readonly SchedulerAction[];
	/** Time of the next call to `advance`; undefined when there is nothing to wait for. */
	getNextAdvance(now: number): number | undefined;
	getStatus(now: number): readonly UpstreamStatus[];
	/** Calls that wait for a slot. */
	getWaiting(): number;
};
