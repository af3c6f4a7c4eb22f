/** State of a call that a service runner has taken, and what follows from it. */
import {type CallEvidence, type KeyHistory, resolveOutcome} from '../decisions/outcomes/resolve-outcome.ts';
import {type Outcome} from '../decisions/outcomes/types.ts';
import {type RefusalReason, type WaitingCall} from '../decisions/routing/types.ts';
import {type Hop} from '../observability/tracing.ts';
import {type Attempt} from './attempt.ts';
import {type AnswerSink, type Call} from './call.ts';
import {headerNames} from './headers.ts';

/** How a call ended, for metrics and the review figures. */
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

export type ExecutionOptions = {
	readonly history: KeyHistory;
	onEnd(end: CallEnd): void;
};

/** Where a call stands; a retry goes back from `sent` to `waiting`. */
export type Phase = 'waiting' | 'connecting' | 'sent' | 'answering' | 'ended';

export type RunningCall = {
	readonly call: Call;
	sink: AnswerSink;
	readonly options: ExecutionOptions;
	phase: Phase;
	attempts: number;
	/** Upstreams of all attempts, the present one last. */
	readonly tried: string[];
	/** How far the last attempt came. */
	evidence: CallEvidence;
	/** Whether an attempt before the last one may have run the call. */
	mayHaveRunBefore: boolean;
	waitingSince: number;
	queuedMilliseconds: number;
	behindLongMilliseconds: number;
	dispatchedAt: number;
	hop: Hop | undefined;
	attempt: Attempt | undefined;
	/** Takes the request for a connection back. */
	withdrawConnection: (() => void) | undefined;
	/** Runs at the end of the patience with the attempt, or at the deadline. */
	timer: NodeJS.Timeout | undefined;
	/** Whether the caller went away. */
	isDetached: boolean;
};

/** Creates the state of a call that waits for its first upstream. */
export function createRunningCall(call: Call, sink: AnswerSink, options: ExecutionOptions, now: number): RunningCall {
	return {
		call,
		sink,
		options,
		phase: 'waiting',
		attempts: 0,
		tried: [],
		evidence: {kind: 'refused-before-dispatch'},
		mayHaveRunBefore: false,
		waitingSince: now,
		queuedMilliseconds: 0,
		behindLongMilliseconds: 0,
		dispatchedAt: now,
		hop: undefined,
		attempt: undefined,
		withdrawConnection: undefined,
		timer: undefined,
		isDetached: false,
	};
}

/** Describes the call to the scheduler. */
export function getWaitingCall({call, attempts, tried}: RunningCall): WaitingCall {
	return {
		id: call.id,
		operation: call.operation,
		arrivedAt: call.receivedAt,
		deadlineAt: call.deadlineAt,
		attempts,
		triedUpstreams: tried,
	};
}

/** Gets the outcome to tell when the call ends as it stands. */
export function getOutcome(state: RunningCall): Outcome {
	const evidence: CallEvidence = state.mayHaveRunBefore ? {kind: 'written-in-part'} : state.evidence;
	return resolveOutcome(evidence, state.options.history);
}

/** Describes how the call ended. */
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

/** Creates the headers of the request to the upstream, as alternating names and values. */
export function createRequestHeaders({call, hop}: RunningCall, now: number): string[] {
	const timeLeft = Math.max(1, Math.floor(call.deadlineAt - now));
	const isRetryPassedOn = call.isRetryAllowed && !call.operation.idempotent;
	const headers = call.headers.flat();
	headers.push(
		headerNames.timeout,
		String(timeLeft),
		headerNames.depth,
		String(call.depth + 1),
		headerNames.retry,
		isRetryPassedOn ? 'allowed' : 'denied',
		headerNames.traceparent,
		hop?.traceparent ?? call.hop.traceparent,
		...(call.idempotencyKey === undefined ? [] : [headerNames.idempotencyKey, call.idempotencyKey]),
		...(call.body.kind === 'streamed' && call.body.length !== undefined ? ['content-length', String(call.body.length)] : []),
	);
	return headers;
}
