/**
Executes the calls of one service as its scheduler decides: queues, sends, retries and answers them.

A call passes through the phases `waiting`, `connecting`, `sent`, `answering` and `ended`; a retry returns it to
`waiting`.
*/
import type * as http from 'node:http';
import {assertNever} from '../decisions/assert-never.ts';
import {resolveOutcome} from '../decisions/outcomes/resolve-outcome.ts';
import {isUpstreamFailure, isNotRun} from '../decisions/retries/retry-rule.ts';
import {
	type AttemptResult, type LoadReport, type RefusalReason, type SchedulerAction, type ServiceScheduler,
} from '../decisions/routing/types.ts';
import {type AttemptListener, startAttempt} from './attempt.ts';
import {type AnswerSink, type Call} from './call.ts';
import {type Connection, type ConnectionPool} from './connection-pool.ts';
import {getForwardedAnswerHeaders, headerNames} from './headers.ts';
import {tryParseLoadHeader} from './load-report.ts';
import {type ProblemKind, writeProblem} from './problem.ts';
import {
	type CallEnd, type CallPhase, createRequestHeaders, createRunningCall, type ExecutionOptions, getCallEnd, getOutcome, getWaitingCall, type RunningCall,
} from './running-call.ts';

/** Dependencies of a service runner. */
export type ServiceRunnerHost = {
	readonly scheduler: ServiceScheduler;
	/** Current time of a monotonic clock, in milliseconds. */
	getNow(): number;
	/** Whether a call that is sent now can be finished before a planned stop of this entry. */
	canFinish(call: Call): boolean;
	/** Returns the connection pool of an upstream; undefined when the upstream is unknown. */
	findPool(upstream: string): ConnectionPool | undefined;
	/** Called for each load report in the header of an answer. */
	onLoadReport(upstream: string, report: LoadReport): void;
	/** Called at the end of each attempt. */
	onAttemptResult(call: Call, result: AttemptResult): void;
};

/** Handle of a call in execution. */
export type CallExecution = {
	/** Handles the disconnection of the caller. A non-idempotent call that may have been sent runs to its end. */
	cancel(): void;
};

/** Executes the calls of one service. */
export type ServiceRunner = {
	execute(call: Call, sink: AnswerSink, options: ExecutionOptions): CallExecution;
	/** Changes the input of the scheduler and executes the actions that it returns. */
	update(change: (scheduler: ServiceScheduler, now: number) => readonly SchedulerAction[]): void;
	/** Refuses the calls that wait for a slot or a connection and that a planned stop leaves no time for. */
	refuseUnsent(): void;
	/** Number of calls that have not ended. */
	count(): number;
	close(): void;
};

/** Phases in which nothing of an attempt has been sent. */
const unsentPhases: ReadonlySet<CallPhase> = new Set<CallPhase>(['waiting', 'connecting']);
const minimumTimerMilliseconds = 1;
const refusedRetryAfterMilliseconds = 1000;
const serviceUnavailableStatusCode = 503;

const discardingSink: AnswerSink = {
	start: () => undefined,
	write: () => true,
	end: () => undefined,
	abort: () => undefined,
	setDrainListener: () => undefined,
};

type AttemptConnection = {readonly pool: ConnectionPool; readonly connection: Connection};

/** Creates a runner for the scheduler of one service. */
export function createServiceRunner(host: ServiceRunnerHost): ServiceRunner {
	const {scheduler} = host;
	const runningCalls = new Map<number, RunningCall>();
	let advanceTimer: NodeJS.Timeout | undefined;
	let advanceAt = Number.POSITIVE_INFINITY;

	function execute(call: Call, sink: AnswerSink, options: ExecutionOptions): CallExecution {
		const now = host.getNow();
		const state = createRunningCall(call, sink, options, now);
		runningCalls.set(call.id, state);
		sink.setDrainListener(() => state.attempt?.resume());
		armTimer(state, call.deadlineAt);
		applyActions(scheduler.submit(getWaitingCall(state), now));
		return {
			cancel() {
				cancelCall(state);
			},
		};
	}

	function applyActions(actions: readonly SchedulerAction[]): void {
		for (const action of actions) {
			const state = runningCalls.get(action.callId);
			if (state?.phase !== 'waiting') {
				continue;
			}

			switch (action.kind) {
				case 'dispatch': {
					dispatch(state, action.upstream, action.behindLongMilliseconds ?? 0);
					break;
				}

				case 'refuse': {
					answerProblem(state, action.reason, action.reason, action.retryAfterMilliseconds);
					break;
				}

				default: {
					assertNever(action);
				}
			}
		}

		scheduleAdvance();
	}

	function scheduleAdvance(): void {
		const now = host.getNow();
		const nextAdvanceAt = scheduler.getNextAdvanceAt(now);
		if (nextAdvanceAt === undefined || nextAdvanceAt >= advanceAt) {
			return;
		}

		clearTimeout(advanceTimer);
		advanceAt = nextAdvanceAt;
		advanceTimer = setTimeout(() => {
			advanceAt = Number.POSITIVE_INFINITY;
			applyActions(scheduler.advance(host.getNow()));
		}, Math.max(minimumTimerMilliseconds, nextAdvanceAt - now));
	}

	function dispatch(state: RunningCall, upstream: string, behindLongMilliseconds: number): void {
		if (!host.canFinish(state.call)) {
			answerLeaving(state);
			applyActions(scheduler.finishAttempt(state.call.id, upstream, {kind: 'cancelled'}, host.getNow()));
			return;
		}

		const now = host.getNow();
		state.phase = 'connecting';
		state.attempts++;
		state.triedUpstreams.push(upstream);
		state.queuedMilliseconds += now - state.waitingSince;
		state.behindLongMilliseconds += behindLongMilliseconds;
		state.dispatchedAt = now;
		state.hop = state.call.hop.startChild('entry-to-upstream', {upstream, attempt: state.attempts});
		const pool = host.findPool(upstream);
		if (!pool) {
			handleFailedAttempt(state, upstream, {kind: 'not-connected'});
			return;
		}

		const attemptTimeoutMilliseconds = state.call.operation.idempotent ? scheduler.getAttemptTimeout(state.call.operation) : undefined;
		if (attemptTimeoutMilliseconds !== undefined && now + attemptTimeoutMilliseconds < state.call.deadlineAt) {
			armTimer(state, now + attemptTimeoutMilliseconds);
		}

		state.cancelConnectionRequest = pool.acquire(!state.call.operation.idempotent, connection => {
			send(state, upstream, pool, connection);
		});
	}

	function send(state: RunningCall, upstream: string, pool: ConnectionPool, connection: Connection | undefined): void {
		if (!connection) {
			handleFailedAttempt(state, upstream, {kind: 'not-connected'});
			return;
		}

		const {call} = state;
		state.attempt = startAttempt(connection, {
			method: call.method,
			path: call.path,
			headers: createRequestHeaders(state, host.getNow()),
			body: call.body,
		}, createAttemptListener(state, upstream, {pool, connection}));
	}

	/** Creates the listener of one attempt. An answer that arrives after a newer attempt has started is discarded. */
	function createAttemptListener(state: RunningCall, upstream: string, {pool, connection}: AttemptConnection): AttemptListener {
		const attemptNumber = state.attempts;
		const isCurrent = () => state.attempts === attemptNumber;
		const fail = () => {
			pool.discard(connection);
			if (isCurrent()) {
				handleAttemptError(state, upstream);
			}
		};

		let statusCode = 0;
		return {
			onSent() {
				state.phase = 'sent';
				state.evidence = {kind: 'written-in-part'};
			},
			onHead(headStatusCode, headers) {
				statusCode = headStatusCode;
				applyLoadHeader(upstream, headers[headerNames.load], state.call.id);
				if (isCurrent() && state.phase === 'sent') {
					receiveHead(state, upstream, statusCode, headers);
				}
			},
			onData: chunk => !isCurrent() || state.phase !== 'answering' || state.sink.write(chunk),
			onEnd(isComplete) {
				if (!isComplete) {
					fail();
					return;
				}

				pool.release(connection);
				if (isCurrent() && state.phase === 'answering') {
					finishAnswer(state, upstream, statusCode);
				}
			},
			onFailed: fail,
		};
	}

	function receiveHead(state: RunningCall, upstream: string, statusCode: number, headers: http.IncomingHttpHeaders): void {
		if (statusCode === serviceUnavailableStatusCode && headers[headerNames.outcome] === 'not-run') {
			state.evidence = {kind: 'refused-by-upstream'};
			retryOrAnswer(state, upstream, {kind: 'refused', durationMilliseconds: getAttemptDuration(state)}, 'upstream-refused');
			return;
		}

		const result: AttemptResult = {kind: 'answered', statusCode, durationMilliseconds: getAttemptDuration(state)};
		if (isUpstreamFailure(result) && tryChargeRetry(state, result)) {
			retry(state, upstream, result);
			return;
		}

		state.phase = 'answering';
		state.evidence = {kind: 'answered-in-part'};
		state.sink.start({
			statusCode,
			headers: getForwardedAnswerHeaders(headers),
			outcome: resolveOutcome({kind: 'answered-whole'}, state.options.history),
		});
	}

	function getAttemptDuration(state: RunningCall): number {
		return host.getNow() - state.dispatchedAt;
	}

	function applyLoadHeader(upstream: string, value: string | string[] | undefined, callId: number): void {
		const report = typeof value === 'string' ? tryParseLoadHeader(value) : undefined;
		if (!report) {
			return;
		}

		const now = host.getNow();
		host.onLoadReport(upstream, report);
		applyActions(scheduler.applyReport(upstream, report, now, now, callId));
	}

	function finishAnswer(state: RunningCall, upstream: string, statusCode: number): void {
		state.evidence = {kind: 'answered-whole'};
		state.sink.end();
		const result: AttemptResult = {kind: 'answered', statusCode, durationMilliseconds: getAttemptDuration(state)};
		endCall(state, 'answered');
		reportAttemptResult(state, upstream, result);
	}

	/** Handles a connection that failed: before the request was sent, before the answer, or during the answer. */
	function handleAttemptError(state: RunningCall, upstream: string): void {
		switch (state.phase) {
			case 'connecting': {
				handleFailedAttempt(state, upstream, {kind: 'not-connected'});
				break;
			}

			case 'sent': {
				handleFailedAttempt(state, upstream, {kind: 'broken'});
				break;
			}

			case 'answering': {
				state.sink.abort();
				endCall(state, 'failed');
				reportAttemptResult(state, upstream, {kind: 'broken'});
				break;
			}

			case 'waiting':
			case 'ended': {
				break;
			}

			default: {
				assertNever(state.phase);
			}
		}
	}

	/** Handles an attempt that failed before its answer. */
	function handleFailedAttempt(state: RunningCall, upstream: string, result: AttemptResult): void {
		if (result.kind === 'not-connected') {
			state.evidence = {kind: 'never-connected'};
		}

		retryOrAnswer(state, upstream, result, 'upstream-failed');
	}

	function retryOrAnswer(state: RunningCall, upstream: string, result: AttemptResult, problem: ProblemKind): void {
		if (tryChargeRetry(state, result)) {
			retry(state, upstream, result);
			return;
		}

		answerProblem(state, problem, undefined, isNotRun(result) ? refusedRetryAfterMilliseconds : undefined);
		reportAttemptResult(state, upstream, result);
	}

	function tryChargeRetry(state: RunningCall, result: AttemptResult): boolean {
		const {call} = state;
		const isBodyAvailable = call.body.kind !== 'streamed' || result.kind === 'not-connected';
		const isRetryPermitted = call.isRetryAllowed || isNotRun(result);
		return isBodyAvailable && isRetryPermitted && !state.isCallerDisconnected && host.canFinish(call) && scheduler.tryChargeRetry(getWaitingCall(state), result, host.getNow());
	}

	function retry(state: RunningCall, upstream: string, result: AttemptResult): void {
		state.phase = 'waiting';
		state.mayHaveRunEarlier ||= !isNotRun(result);
		state.attempt = undefined;
		state.waitingSince = host.getNow();
		reportAttemptResult(state, upstream, result);
		applyActions(scheduler.submit(getWaitingCall(state), host.getNow()));
	}

	/** Reports the end of an attempt to the trace, the host and the scheduler, which frees the slot. */
	function reportAttemptResult(state: RunningCall, upstream: string, result: AttemptResult): void {
		const now = host.getNow();
		state.hop?.end(result.kind === 'answered' ? undefined : result.kind);
		state.hop = undefined;
		host.onAttemptResult(state.call, result);
		applyActions(scheduler.finishAttempt(state.call.id, upstream, result, now));
	}

	function answerProblem(state: RunningCall, kind: ProblemKind, refusalReason?: RefusalReason, retryAfterMilliseconds?: number): void {
		const outcome = getOutcome(state);
		writeProblem(state.sink, {kind, outcome, retryAfterMilliseconds});
		endCall(state, outcome === 'not-run' ? 'refused' : 'failed', refusalReason);
	}

	/** Answers a call that waits, because a planned stop leaves no time for it. */
	function answerLeaving(state: RunningCall): void {
		if (state.mayHaveRunEarlier) {
			answerProblem(state, 'upstream-failed');
		} else {
			answerProblem(state, 'leaving', 'leaving', refusedRetryAfterMilliseconds);
		}
	}

	function refuseUnsent(state: RunningCall): void {
		switch (state.phase) {
			case 'waiting': {
				scheduler.cancel(state.call.id, host.getNow());
				answerLeaving(state);
				break;
			}

			case 'connecting': {
				const upstream = state.triedUpstreams.at(-1)!;
				state.evidence = {kind: 'never-connected'};
				answerLeaving(state);
				state.cancelConnectionRequest?.();
				reportAttemptResult(state, upstream, {kind: 'cancelled'});
				break;
			}

			case 'sent':
			case 'answering':
			case 'ended': {
				break;
			}

			default: {
				assertNever(state.phase);
			}
		}
	}

	function endCall(state: RunningCall, result: CallEnd['result'], refusalReason?: RefusalReason): void {
		const callEnd = getCallEnd(state, result, refusalReason, host.getNow());
		state.phase = 'ended';
		clearTimeout(state.timer);
		runningCalls.delete(state.call.id);
		state.options.onEnd(callEnd);
	}

	function armTimer(state: RunningCall, at: number): void {
		clearTimeout(state.timer);
		state.timer = setTimeout(handleTimer, Math.max(minimumTimerMilliseconds, Math.ceil(at - host.getNow())), state);
	}

	function handleTimer(state: RunningCall): void {
		if (host.getNow() >= state.call.deadlineAt) {
			handleDeadline(state);
			return;
		}

		armTimer(state, state.call.deadlineAt);
		handleAttemptTimeout(state);
	}

	/** Retries the call if its attempt has had no answer for so long that the connection may be silent. */
	function handleAttemptTimeout(state: RunningCall): void {
		if (state.phase !== 'sent' || !tryChargeRetry(state, {kind: 'timed-out'})) {
			return;
		}

		const upstream = state.triedUpstreams.at(-1)!;
		const {attempt, dispatchedAt} = state;
		retry(state, upstream, {kind: 'timed-out'});
		attempt?.abort();
		host.findPool(upstream)?.closeInactiveSince(dispatchedAt);
	}

	function handleDeadline(state: RunningCall): void {
		switch (state.phase) {
			case 'waiting': {
				scheduler.cancel(state.call.id, host.getNow());
				answerProblem(state, 'deadline-passed', 'deadline-passed');
				break;
			}

			case 'connecting':
			case 'sent':
			case 'answering': {
				abandonCall(state, {kind: 'timed-out'});
				break;
			}

			case 'ended': {
				break;
			}

			default: {
				assertNever(state.phase);
			}
		}
	}

	/** Ends the call and aborts its current attempt. */
	function abandonCall(state: RunningCall, result: AttemptResult): void {
		const upstream = state.triedUpstreams.at(-1)!;
		const {phase} = state;
		if (phase === 'answering') {
			state.sink.abort();
			endCall(state, 'failed');
		} else {
			state.evidence = phase === 'connecting' ? {kind: 'never-connected'} : state.evidence;
			answerProblem(state, result.kind === 'timed-out' ? 'upstream-timeout' : 'upstream-failed');
		}

		state.cancelConnectionRequest?.();
		state.attempt?.abort();
		if (phase === 'sent' && result.kind === 'timed-out') {
			host.findPool(upstream)?.closeInactiveSince(state.dispatchedAt);
		}

		reportAttemptResult(state, upstream, result);
	}

	function cancelCall(state: RunningCall): void {
		if (state.phase === 'ended') {
			return;
		}

		state.sink = discardingSink;
		state.isCallerDisconnected = true;
		if (state.phase === 'waiting') {
			scheduler.cancel(state.call.id, host.getNow());
			endCall(state, 'refused');
			return;
		}

		if (state.call.operation.idempotent || state.phase === 'connecting') {
			abandonCall(state, {kind: 'cancelled'});
		} else {
			state.attempt?.resume();
		}
	}

	return {
		execute,
		update(change) {
			applyActions(change(scheduler, host.getNow()));
		},
		refuseUnsent() {
			for (const state of runningCalls.values()) {
				if (unsentPhases.has(state.phase) && !host.canFinish(state.call)) {
					refuseUnsent(state);
				}
			}
		},
		count: () => runningCalls.size,
		close() {
			clearTimeout(advanceTimer);
		},
	};
}
