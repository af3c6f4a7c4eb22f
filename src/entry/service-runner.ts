/**
Carries out the decisions of the scheduler of one service: waits, sends, repeats, answers.

A call passes through `waiting`, `connecting`, `sent` and `answering` to `ended`; a retry goes back to `waiting`.
*/
import type * as http from 'node:http';
import {assertNever} from '../decisions/assert-never.ts';
import {resolveOutcome} from '../decisions/outcomes/resolve-outcome.ts';
import {isFailure, isNotRun} from '../decisions/retries/retry-rule.ts';
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
	type CallEnd, createRequestHeaders, createRunningCall, type ExecutionOptions, getCallEnd, getOutcome, getWaitingCall, type RunningCall,
} from './running-call.ts';

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

const shortestTimerMilliseconds = 1;
const refusedRetryAfterMilliseconds = 1000;
const serviceUnavailable = 503;

const ignoringSink: AnswerSink = {
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
	const running = new Map<number, RunningCall>();
	let advanceTimer: NodeJS.Timeout | undefined;
	let advanceAt = Number.POSITIVE_INFINITY;

	function execute(call: Call, sink: AnswerSink, options: ExecutionOptions): Execution {
		const now = host.getNow();
		const state = createRunningCall(call, sink, options, now);
		running.set(call.id, state);
		sink.setDrainListener(() => state.attempt?.resume());
		armTimer(state, call.deadlineAt);
		apply(scheduler.offer(getWaitingCall(state), now));
		return {
			cancel() {
				cancel(state);
			},
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

		const patience = state.call.operation.idempotent ? scheduler.getPatience(state.call.operation) : undefined;
		if (patience !== undefined && now + patience < state.call.deadlineAt) {
			armTimer(state, now + patience);
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
		state.attempt = startAttempt(connection.client, {
			method: call.method,
			path: call.path,
			headers: createRequestHeaders(state, host.getNow()),
			body: call.body,
		}, createAttemptListener(state, upstream, {pool, connection}));
	}

	/** Listens to one attempt; what comes after a newer attempt has begun belongs to nobody. */
	function createAttemptListener(state: RunningCall, upstream: string, {pool, connection}: AttemptConnection): AttemptListener {
		const number = state.attempts;
		const isCurrent = () => state.attempts === number;
		let statusCode = 0;
		return {
			onSent() {
				state.phase = 'sent';
				state.evidence = {kind: 'written-in-part'};
			},
			onHead(headStatusCode, headers) {
				statusCode = headStatusCode;
				noteLoadHeader(upstream, headers[headerNames.load], state.call.id);
				if (isCurrent() && state.phase === 'sent') {
					receiveHead(state, upstream, statusCode, headers);
				}
			},
			onData: chunk => !isCurrent() || state.phase !== 'answering' || state.sink.write(chunk),
			onEnd() {
				pool.release(connection);
				if (isCurrent() && state.phase === 'answering') {
					finishAnswer(state, upstream, statusCode);
				}
			},
			onFailed() {
				pool.discard(connection);
				if (isCurrent()) {
					failAttempt(state, upstream);
				}
			},
		};
	}

	function receiveHead(state: RunningCall, upstream: string, statusCode: number, headers: http.IncomingHttpHeaders): void {
		if (statusCode === serviceUnavailable && headers[headerNames.outcome] === 'not-run') {
			state.evidence = {kind: 'refused-by-upstream'};
			retryOrAnswer(state, upstream, {kind: 'refused', durationMilliseconds: getAttemptDuration(state)}, 'upstream-refused');
			return;
		}

		const result: AttemptResult = {kind: 'answered', statusCode, durationMilliseconds: getAttemptDuration(state)};
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

	function getAttemptDuration(state: RunningCall): number {
		return host.getNow() - state.dispatchedAt;
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

	function finishAnswer(state: RunningCall, upstream: string, statusCode: number): void {
		state.evidence = {kind: 'answered-whole'};
		state.sink.end();
		const result: AttemptResult = {kind: 'answered', statusCode, durationMilliseconds: getAttemptDuration(state)};
		end(state, 'answered');
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
				end(state, 'failed');
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

		answerProblem(state, problem, undefined, isNotRun(result) ? refusedRetryAfterMilliseconds : undefined);
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
		state.waitingSince = host.getNow();
		finishScheduled(state, upstream, result);
		apply(scheduler.offer(getWaitingCall(state), host.getNow()));
	}

	function finishScheduled(state: RunningCall, upstream: string, result: AttemptResult): void {
		const now = host.getNow();
		state.hop?.end(result.kind === 'answered' ? undefined : result.kind);
		state.hop = undefined;
		host.noteAttempt(state.call, result);
		apply(scheduler.finish(state.call.id, upstream, result, now));
	}

	function answerProblem(state: RunningCall, kind: ProblemKind, refusalReason?: RefusalReason, retryAfterMilliseconds?: number): void {
		const outcome = getOutcome(state);
		writeProblem(state.sink, {kind, outcome, retryAfterMilliseconds});
		end(state, outcome === 'not-run' ? 'refused' : 'failed', refusalReason);
	}

	function end(state: RunningCall, result: CallEnd['result'], refusalReason?: RefusalReason): void {
		const callEnd = getCallEnd(state, result, refusalReason, host.getNow());
		state.phase = 'ended';
		clearTimeout(state.timer);
		running.delete(state.call.id);
		state.options.onEnd(callEnd);
	}

	function armTimer(state: RunningCall, at: number): void {
		clearTimeout(state.timer);
		state.timer = setTimeout(passTime, Math.max(shortestTimerMilliseconds, Math.ceil(at - host.getNow())), state);
	}

	function passTime(state: RunningCall): void {
		if (host.getNow() >= state.call.deadlineAt) {
			passDeadline(state);
			return;
		}

		armTimer(state, state.call.deadlineAt);
		losePatience(state);
	}

	/** Makes an attempt elsewhere when this one got no answer for so long that its connection may be silent. */
	function losePatience(state: RunningCall): void {
		if (state.phase !== 'sent' || !tryChargeRetry(state, {kind: 'timed-out'})) {
			return;
		}

		const upstream = state.tried.at(-1)!;
		const {attempt, dispatchedAt} = state;
		retry(state, upstream, {kind: 'timed-out'});
		attempt?.abort();
		host.resolvePool(upstream)?.dropUnheardSince(dispatchedAt);
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
		const {phase} = state;
		if (phase === 'answering') {
			state.sink.abort();
			end(state, 'failed');
		} else {
			state.evidence = phase === 'connecting' ? {kind: 'never-connected'} : state.evidence;
			answerProblem(state, result.kind === 'timed-out' ? 'upstream-timeout' : 'upstream-failed');
		}

		state.withdrawConnection?.();
		state.attempt?.abort();
		if (phase === 'sent' && result.kind === 'timed-out') {
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
			end(state, 'refused');
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
