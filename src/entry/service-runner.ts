/**
Carries out the decisions of the scheduler of one service: waits, sends, repeats, answers.

A call passes through `waiting`, `connecting`, `sent` and `answering` to `ended`; a retry goes back to `waiting`.
*/
import type * as http from 'node:http';
import {assertNever} from '../decisions/assert-never.ts';
import {type CallEvidence, type KeyHistory, resolveOutcome} from '../decisions/outcomes/resolve-outcome.ts';
import {type Outcome} from '../decisions/outcomes/types.ts';
import {isFailure, isNotRun} from '../decisions/retries/retry-rule.ts';
import {
	type AttemptResult, type LoadReport, type RefusalReason, type SchedulerAction, type ServiceScheduler, type WaitingCall,
} from '../decisions/routing/types.ts';
import {type Hop} from '../observability/tracing.ts';
import {type Attempt, startAttempt} from './attempt.ts';
import {type AnswerSink, type Call} from './call.ts';
import {type Connection, type ConnectionPool} from './connection-pool.ts';
import {getForwardedAnswerHeaders, headerNames} from './headers.ts';
import {tryParseLoadHeader} from './load-report.ts';
import {type ProblemKind, writeProblem} from './problem.ts';

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

export type ServiceRunnerHost = {
	readonly scheduler: ServiceScheduler;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Gets the connections to an upstream. */
	resolvePool(upstream: string): ConnectionPool | undefined;
	/** Is told of each load report that rode on an answer. */
	noteReport(upstream: string, report: LoadReport): void;
	noteAttempt(call: Call, result: AttemptResult): void;
};

/** A call that the runner has taken. */
export type ExecutionOptions = {
	readonly history: KeyHistory;
	onEnd(end: CallEnd): void;
};

export type Execution = {
	/** The caller went away. A non-idempotent call that may have left is carried to its end. */
	cancel(): void;
};

export type ServiceRunner = {
	execute(call: Call, sink: AnswerSink, options: ExecutionOptions): Execution;
	/** Gives the scheduler news and acts on what it decides. */
	update(change: (scheduler: ServiceScheduler, now: number) => readonly SchedulerAction[]): void;
	/** Calls that have not ended. */
	count(): number;
	close(): void;
};

type Phase = 'waiting' | 'connecting' | 'sent' | 'answering' | 'ended';

type RunningCall = {
	readonly call: Call;
	sink: AnswerSink;
	readonly options: ExecutionOptions;
	phase: Phase;
	attempts: number;
	readonly tried: string[];
	/** How far the last attempt came. */
	evidence: CallEvidence;
	/** Whether an attempt before the last one may have run the call. */
	mayHaveRunBefore: boolean;
	waitingSince: number;
	queuedMilliseconds: number;
	behindLongMilliseconds: number;
	dispatchedAt: number;
	upstreamMilliseconds: number;
	hop: Hop | undefined;
	attempt: Attempt | undefined;
	connection: Connection | undefined;
	withdrawConnection: (() => void) | undefined;
	statusCode: number;
	deadlineTimer: NodeJS.Timeout | undefined;
	isDetached: boolean;
};

const shortestTimerMilliseconds = 1;

const ignoringSink: AnswerSink = {
	start: () => undefined,
	write: () => true,
	end: () => undefined,
	abort: () => undefined,
	setDrainListener: () => undefined,
};

/** Creates a runner for the scheduler of one service. */
export function createServiceRunner(host: ServiceRunnerHost): ServiceRunner {
	const {scheduler} = host;
	const running = new Map<number, RunningCall>();
	let advanceTimer: NodeJS.Timeout | undefined;
	let advanceAt = Number.POSITIVE_INFINITY;

	function execute(call: Call, sink: AnswerSink, options: ExecutionOptions): Execution {
		const now = host.getNow();
		const state: RunningCall = {
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
			upstreamMilliseconds: 0,
			hop: undefined,
			attempt: undefined,
			connection: undefined,
			withdrawConnection: undefined,
			statusCode: 0,
			deadlineTimer: undefined,
			isDetached: false,
		};
		running.set(call.id, state);
		sink.setDrainListener(() => state.attempt?.resume());
		state.deadlineTimer = setTimeout(passDeadline, Math.max(shortestTimerMilliseconds, call.deadlineAt - now), state);
		apply(scheduler.offer(getWaitingCall(state), now));
		return {
			cancel() {
				cancel(state);
			},
		};
	}

	function getWaitingCall(state: RunningCall): WaitingCall {
		return {
			id: state.call.id,
			operation: state.call.operation,
			arrivedAt: state.call.receivedAt,
			deadlineAt: state.call.deadlineAt,
			attempts: state.attempts,
			triedUpstreams: state.tried,
		};
	}

	function apply(actions: readonly SchedulerAction[]): void {
		for (const action of actions) {
			const state = running.get(action.callId);
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
		const next = scheduler.getNextAdvance(now);
		if (next === undefined || next >= advanceAt) {
			return;
		}

		clearTimeout(advanceTimer);
		advanceAt = next;
		advanceTimer = setTimeout(() => {
			advanceAt = Number.POSITIVE_INFINITY;
			apply(scheduler.advance(host.getNow()));
		}, Math.max(shortestTimerMilliseconds, next - now));
	}

	function dispatch(state: RunningCall, upstream: string, behindLongMilliseconds: number): void {
		const now = host.getNow();
		state.phase = 'connecting';
		state.attempts++;
		state.tried.push(upstream);
		state.queuedMilliseconds += now - state.waitingSince;
		state.behindLongMilliseconds += behindLongMilliseconds;
		state.dispatchedAt = now;
		state.hop = state.call.hop.startChild('entry-to-upstream', {upstream, attempt: state.attempts});
		const pool = host.resolvePool(upstream);
		if (!pool) {
			finishAttempt(state, upstream, {kind: 'not-connected'});
			return;
		}

		state.withdrawConnection = pool.acquire(!state.call.operation.idempotent, connection => {
			send(state, upstream, pool, connection);
		});
	}

	function send(state: RunningCall, upstream: string, pool: ConnectionPool, connection: Connection | undefined): void {
		if (!connection) {
			finishAttempt(state, upstream, {kind: 'not-connected'});
			return;
		}

		const {call} = state;
		state.connection = connection;
		state.attempt = startAttempt(connection.client, {
			method: call.method,
			path: call.path,
			headers: createRequestHeaders(state),
			body: call.body,
		}, {
			onSent() {
				state.phase = 'sent';
				state.evidence = {kind: 'written-in-part'};
			},
			onHead(statusCode, headers) {
				receiveHead(state, upstream, statusCode, headers);
			},
			onData: chunk => state.phase !== 'answering' || state.sink.write(chunk),
			onEnd() {
				pool.release(connection);
				finishAnswer(state, upstream);
			},
			onFailed() {
				pool.discard(connection);
				failAttempt(state, upstream);
			},
		});
	}

	function createRequestHeaders(state: RunningCall): string[] {
		const {call} = state;
		const headers: string[] = [];
		for (const [name, value] of call.headers) {
			headers.push(name, value);
		}

		const timeLeft = Math.max(1, Math.floor(call.deadlineAt - host.getNow()));
		const isRetryPassedOn = call.isRetryAllowed && !call.operation.idempotent;
		headers.push(headerNames.timeout, String(timeLeft), headerNames.depth, String(call.depth + 1), headerNames.retry, isRetryPassedOn ? 'allowed' : 'denied', headerNames.traceparent, state.hop?.traceparent ?? call.hop.traceparent);
		if (call.idempotencyKey !== undefined) {
			headers.push(headerNames.idempotencyKey, call.idempotencyKey);
		}

		if (call.body.kind === 'streamed' && call.body.length !== undefined) {
			headers.push('content-length', String(call.body.length));
		}

		return headers;
	}

	function receiveHead(state: RunningCall, upstream: string, statusCode: number, headers: http.IncomingHttpHeaders): void {
		if (state.phase !== 'sent') {
			return;
		}

		state.statusCode = statusCode;
		noteLoadHeader(upstream, headers[headerNames.load], state.call.id);
		const isRefused = statusCode === 503 && headers[headerNames.outcome] === 'not-run';
		const result = createAnswerResult(state, isRefused);
		if (isRefused) {
			state.evidence = {kind: 'refused-by-upstream'};
			retryOrAnswer(state, upstream, result, 'upstream-refused');
			return;
		}

		if (isFailure(result) && tryChargeRetry(state, result)) {
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

	function noteLoadHeader(upstream: string, value: string | string[] | undefined, callId: number): void {
		const report = typeof value === 'string' ? tryParseLoadHeader(value) : undefined;
		if (!report) {
			return;
		}

		const now = host.getNow();
		host.noteReport(upstream, report);
		apply(scheduler.report(upstream, report, now, now, callId));
	}

	function createAnswerResult(state: RunningCall, isRefused: boolean): AttemptResult {
		const durationMilliseconds = host.getNow() - state.dispatchedAt;
		return isRefused
			? {kind: 'refused', durationMilliseconds}
			: {kind: 'answered', statusCode: state.statusCode, durationMilliseconds};
	}

	function finishAnswer(state: RunningCall, upstream: string): void {
		if (state.phase !== 'answering') {
			return;
		}

		state.evidence = {kind: 'answered-whole'};
		state.sink.end();
		const result = createAnswerResult(state, false);
		end(state, 'answered', 'ran');
		finishScheduled(state, upstream, result);
	}

	/** The attempt broke: before the first byte left, before the answer, or within it. */
	function failAttempt(state: RunningCall, upstream: string): void {
		switch (state.phase) {
			case 'connecting': {
				finishAttempt(state, upstream, {kind: 'not-connected'});
				break;
			}

			case 'sent': {
				finishAttempt(state, upstream, {kind: 'broken'});
				break;
			}

			case 'answering': {
				state.sink.abort();
				end(state, 'failed', getOutcome(state));
				finishScheduled(state, upstream, {kind: 'broken'});
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

	function finishAttempt(state: RunningCall, upstream: string, result: AttemptResult): void {
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

		answerProblem(state, problem, undefined, isNotRun(result) ? 1000 : undefined);
		finishScheduled(state, upstream, result);
	}

	function tryChargeRetry(state: RunningCall, result: AttemptResult): boolean {
		const {call} = state;
		const isSendable = call.body.kind !== 'streamed' || result.kind === 'not-connected';
		const isPermitted = call.isRetryAllowed || isNotRun(result);
		return isSendable && isPermitted && !state.isDetached && scheduler.tryChargeRetry(getWaitingCall(state), result, host.getNow());
	}

	function retry(state: RunningCall, upstream: string, result: AttemptResult): void {
		state.phase = 'waiting';
		state.mayHaveRunBefore ||= !isNotRun(result);
		state.attempt = undefined;
		state.connection = undefined;
		state.waitingSince = host.getNow();
		finishScheduled(state, upstream, result);
		apply(scheduler.offer(getWaitingCall(state), host.getNow()));
	}

	function finishScheduled(state: RunningCall, upstream: string, result: AttemptResult): void {
		const now = host.getNow();
		state.upstreamMilliseconds = now - state.dispatchedAt;
		state.hop?.end(result.kind === 'answered' ? undefined : result.kind);
		state.hop = undefined;
		host.noteAttempt(state.call, result);
		apply(scheduler.finish(state.call.id, upstream, result, now));
	}

	function answerProblem(state: RunningCall, kind: ProblemKind, refusalReason?: RefusalReason, retryAfterMilliseconds?: number): void {
		const outcome = getOutcome(state);
		writeProblem(state.sink, {kind, outcome, retryAfterMilliseconds});
		end(state, outcome === 'not-run' ? 'refused' : 'failed', outcome, refusalReason);
	}

	function getOutcome(state: RunningCall): Outcome {
		const evidence: CallEvidence = state.mayHaveRunBefore ? {kind: 'written-in-part'} : state.evidence;
		return resolveOutcome(evidence, state.options.history);
	}

	function end(state: RunningCall, result: CallEnd['result'], outcome: Outcome, refusalReason?: RefusalReason): void {
		const now = host.getNow();
		if (state.phase === 'waiting') {
			state.queuedMilliseconds += now - state.waitingSince;
		}

		state.phase = 'ended';
		clearTimeout(state.deadlineTimer);
		running.delete(state.call.id);
		state.options.onEnd({
			result,
			outcome,
			refusalReason,
			attempts: state.attempts,
			isLong: state.call.operation.duration === 'long',
			queuedMilliseconds: state.queuedMilliseconds,
			behindLongMilliseconds: state.behindLongMilliseconds,
			upstreamMilliseconds: state.attempts === 0 ? 0 : now - state.dispatchedAt,
		});
	}

	function passDeadline(state: RunningCall): void {
		switch (state.phase) {
			case 'waiting': {
				scheduler.withdraw(state.call.id, host.getNow());
				answerProblem(state, 'deadline-passed', 'deadline-passed');
				break;
			}

			case 'connecting':
			case 'sent':
			case 'answering': {
				abandon(state, {kind: 'timed-out'});
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

	/** Gives up the attempt in progress and the call with it. */
	function abandon(state: RunningCall, result: AttemptResult): void {
		const upstream = state.tried.at(-1)!;
		const {phase, connection} = state;
		if (phase === 'answering') {
			state.sink.abort();
			end(state, 'failed', getOutcome(state));
		} else {
			state.evidence = phase === 'connecting' ? {kind: 'never-connected'} : state.evidence;
			answerProblem(state, result.kind === 'timed-out' ? 'upstream-timeout' : 'upstream-failed');
		}

		state.withdrawConnection?.();
		state.attempt?.abort();
		if (connection && result.kind === 'timed-out') {
			host.resolvePool(upstream)?.dropUnheardSince(state.dispatchedAt);
		}

		finishScheduled(state, upstream, result);
	}

	function cancel(state: RunningCall): void {
		if (state.phase === 'ended') {
			return;
		}

		state.sink = ignoringSink;
		state.isDetached = true;
		if (state.phase === 'waiting') {
			scheduler.withdraw(state.call.id, host.getNow());
			end(state, 'refused', getOutcome(state));
			return;
		}

		if (state.call.operation.idempotent || state.phase === 'connecting') {
			abandon(state, {kind: 'cancelled'});
		} else {
			state.attempt?.resume();
		}
	}

	return {
		execute,
		update(change) {
			apply(change(scheduler, host.getNow()));
		},
		count: () => running.size,
		close() {
			clearTimeout(advanceTimer);
		},
	};
}
