/** State of a call that a service runner executes, and the values derived from it. */
import {type CallEvidence, type KeyHistory, resolveOutcome} from '../decisions/outcomes/resolve-outcome.ts';
import {type Outcome} from '../decisions/outcomes/types.ts';
import {type RefusalReason, type WaitingCall} from '../decisions/routing/types.ts';
import {type Hop} from '../observability/tracing.ts';
import {type Attempt} from './attempt.ts';
import {type AnswerSink, type Call} from './call.ts';
import {headerNames} from './headers.ts';

/** Result and timings of a call, for metrics and review records. */
export type CallEnd = {
	readonly result: 'answered' | 'refused' | 'failed';
	readonly outcome: Outcome;
	readonly refusalReason: RefusalReason | undefined;
	readonly attempts: number;
	readonly isLong: boolean;
	readonly queuedMilliseconds: number;
	readonly behindLongMilliseconds: number;
	readonly upstreamMilliseconds: number;
};

/** Options for the execution of one call. */
export type ExecutionOptions = {
	readonly history: KeyHistory;
	onEnd(end: CallEnd): void;
};

/** Phase of a call; a retry returns it to `waiting`. */
export type CallPhase = 'waiting' | 'connecting' | 'sent' | 'answering' | 'ended';

/** Mutable state of a call in execution. */
export type RunningCall = {
	readonly call: Call;
	sink: AnswerSink;
	readonly options: ExecutionOptions;
	phase: CallPhase;
	attempts: number;
	/** Upstreams of all attempts, the latest one last. */
	readonly triedUpstreams: string[];
	/** Evidence of how far the latest attempt got. */
	evidence: CallEvidence;
	/** Whether an attempt before the latest one may have run the call. */
	mayHaveRunEarlier: boolean;
	waitingSince: number;
	queuedMilliseconds: number;
	behindLongMilliseconds: number;
	dispatchedAt: number;
	hop: Hop | undefined;
	attempt: Attempt | undefined;
	/** Cancels the request for a connection. */
	cancelConnectionRequest: (() => void) | undefined;
	/** Fires at the timeout of the current attempt, or at the deadline of the call. */
	timer: NodeJS.Timeout | undefined;
	/** Whether the caller has disconnected. */
	isCallerDisconnected: boolean;
};

/** Creates the state of a call that waits for its first dispatch. */
export function createRunningCall(call: Call, sink: AnswerSink, options: ExecutionOptions, now: number): RunningCall {
	return {
		call,
		sink,
		options,
		phase: 'waiting',
		attempts: 0,
		triedUpstreams: [],
		evidence: {kind: 'refused-before-dispatch'},
		mayHaveRunEarlier: false,
		waitingSince: now,
		queuedMilliseconds: 0,
		behindLongMilliseconds: 0,
		dispatchedAt: now,
		hop: undefined,
		attempt: undefined,
		cancelConnectionRequest: undefined,
		timer: undefined,
		isCallerDisconnected: false,
	};
}

/** Returns the description of a call for the scheduler. */
export function getWaitingCall({call, attempts, triedUpstreams}: RunningCall): WaitingCall {
	return {
		id: call.id,
		operation: call.operation,
		arrivedAt: call.receivedAt,
		deadlineAt: call.deadlineAt,
		attempts,
		triedUpstreams,
	};
}

/** Returns the outcome to report if the call ends in its current state. */
export function getOutcome(state: RunningCall): Outcome {
	const evidence: CallEvidence = state.mayHaveRunEarlier ? {kind: 'written-in-part'} : state.evidence;
	return resolveOutcome(evidence, state.options.history);
}

/** Returns the result and timings of a call that ends now. Must be called before the phase changes to `ended`. */
export function getCallEnd(state: RunningCall, result: CallEnd['result'], refusalReason: RefusalReason | undefined, now: number): CallEnd {
	const lastWait = state.phase === 'waiting' ? now - state.waitingSince : 0;
	return {
		result,
		outcome: getOutcome(state),
		refusalReason,
		attempts: state.attempts,
		isLong: state.call.operation.duration === 'long',
		queuedMilliseconds: state.queuedMilliseconds + lastWait,
		behindLongMilliseconds: state.behindLongMilliseconds,
		upstreamMilliseconds: state.attempts === 0 ? 0 : now - state.dispatchedAt,
	};
}

/** Creates the headers of the request to the upstream, as alternating names and values. Retries are denied below an idempotent operation, since this entry may retry it. */
export function createRequestHeaders({call, hop}: RunningCall, now: number): string[] {
	const remainingMilliseconds = Math.max(1, Math.floor(call.deadlineAt - now));
	const isRetryAllowedBelow = call.isRetryAllowed && !call.operation.idempotent;
	const headers = call.headers.flat();
	headers.push(
		headerNames.timeout,
		String(remainingMilliseconds),
		headerNames.depth,
		String(call.depth + 1),
		headerNames.retry,
		isRetryAllowedBelow ? 'allowed' : 'denied',
		headerNames.traceparent,
		hop?.traceparent ?? call.hop.traceparent,
		...(call.idempotencyKey === undefined ? [] : [headerNames.idempotencyKey, call.idempotencyKey]),
		...(call.body.kind === 'streamed' && call.body.length !== undefined ? ['content-length', String(call.body.length)] : []),
	);
	return headers;
}
