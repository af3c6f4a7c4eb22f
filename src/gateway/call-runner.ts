/**
Runs one request: selects an upstream, sends the request, retries it if that is allowed, and responds exactly once.

The results of the attempts decide whether the request may be sent again and which status the caller receives. No attempt
starts after the response.
*/
import {assertNever} from '../decisions/assert-never.ts';
import type * as workBounds from '../decisions/admission/work-bounds.ts';
import * as workspaceKeys from '../decisions/configuration/workspace-keys.ts';
import * as hedgeDelay from '../decisions/retries/hedge-delay.ts';
import {type FleetRetryBudget} from '../decisions/retries/fleet-retry-budget.ts';
import * as retryDecision from '../decisions/outcomes/retry-decision.ts';
import {type WorkEstimator} from '../decisions/routing/work-estimator.ts';
import {type HeaderPairs} from '../entry/call.ts';
import {getForwardedAnswerHeaders} from '../entry/headers.ts';
import {type SelectedUpstream, type Selection, type Selector} from './selection.ts';
import {
	createGatewayAttempt, type AttemptRequest, type AttemptResponse, type GatewayAttempt, type GatewayAttemptHost,
} from './gateway-attempt.ts';
import * as attemptRecords from './attempt-records.ts';
import type * as callReport from './call-report.ts';
import type * as runningCalls from './running-calls.ts';
import {type GatewayResponse, type GatewayRequest} from './types.ts';
import type * as upstreams from './upstreams.ts';

/** Dependencies of all calls of an entry. */
export type CallRunnerHost = GatewayAttemptHost & {
	readonly selector: Selector;
	readonly learner: WorkEstimator;
	readonly bounds: workBounds.WorkBounds;
	readonly budget: FleetRetryBudget;
	/** Returns the number of running entries. */
	countEntries(): number;
	/** Observes what the end of an attempt shows about the connection to upstreams. */
	observeAttempt(upstream: upstreams.Upstream, end: retryDecision.AttemptEnd): void;
	onEnd(report: callReport.CallReport): void;
	/** Whether a request that is sent now can be finished before a planned stop of this entry. */
	canFinish(request: GatewayRequest): boolean;
	/** Tracks a call. */
	beginCall(request: GatewayRequest, countReceivedBytes: () => number): runningCalls.CallProgress;
};

/** Receiver of the response. */
export type ResponseTarget = {
	respond(response: GatewayResponse): void;
};

/** A call in progress. */
export type RunningCall = {
	/** Ends the call because the caller has disconnected. */
	cancel(): void;
	/** Answers a call of which no attempt has been sent, e.g. because it waits for a connection, if a planned stop leaves no time for it. */
	refuseUnsent(): void;
};

/** Time after the deadline of a request in which the upstream's own response may still arrive, in milliseconds. */
const deadlineSlackMilliseconds = 40;
/** Minimum time for which a retried request may be held, in milliseconds. */
const minimumRetryHoldMilliseconds = 100;
/** Largest share of the time until its deadline for which a request is held for lack of capacity; a refused caller needs the rest to retry. */
const maximumHoldShare = 0.4;
/** Time after which a refused caller should retry, in multiples of the latency objective; peaks of demand last at least this long. */
const retryAfterObjectives = 2;
/** Time after which a caller should retry if the upstreams refused although they have capacity, or another entry can serve it, in milliseconds; a few times the way to an upstream. */
const shortRetryAfterMilliseconds = 20;
/** Status in reports of requests whose caller disconnected before the response. */
const callerLeftStatus = 499;

const createFailure = (statusCode: number, headers: HeaderPairs): GatewayResponse => ({
	statusCode, headers, body: new Uint8Array(), hasOwnEnd: true, isOwn: true,
});

/** Starts to run a request. */
export function startCall(host: CallRunnerHost, request: GatewayRequest, target: ResponseTarget): RunningCall {
	const {route, service} = request;
	const refusedOn: AttemptRequest['refusedOn'] = new Set();
	const attempts: callReport.AttemptReport[] = [];
	const tried = new Set<string>();
	const running = new Set<GatewayAttempt>();
	const countReceivedBytes = () => [...running].reduce((sum, attempt) => sum + attempt.countReceivedBytes(), 0);
	const progress = host.beginCall(request, countReceivedBytes);
	let mayHaveRunOn = 0;
	let isAnswered = false;
	let checks = 0;
	let firstSentAt: number | undefined;
	let cancelSelection: (() => void) | undefined;
	let hedgeTimer: NodeJS.Timeout | undefined;
	/** Latest server error of an upstream, which the caller receives if no other attempt succeeds. */
	let errorResponse: GatewayResponse | undefined;

	/** Executions that attempts which are not sent yet may lead to. */
	const unsent = new Map<GatewayAttempt, number>();

	/** Runs what only records; the call goes on after an error. */
	function observe(run: () => void): void {
		try {
			run();
		} catch (error) {
			host.recordFailure(error, request.id);
		}
	}

	/** Runs a part of the call; an error ends the call. */
	function guard(run: () => void): void {
		try {
			run();
		} catch (error) {
			host.recordFailure(error, request.id);
			if (!isAnswered) {
				finish(createFailure(retryDecision.getFailureStatus(getHistory(), 'failed'), []), 'failed', 'handler-failed');
			}
		}
	}

	function countPlanned(): number {
		return [...unsent.values()].reduce((sum, executions) => sum + executions, cancelSelection ? 1 : 0);
	}

	const getHistory = (): retryDecision.AttemptHistory => ({
		kind: route.kind, possibleExecutions: mayHaveRunOn, plannedExecutions: countPlanned(), maximumAttempts: route.maximumAttempts,
	});

	/** Whether the request may be sent to an upstream, for the first time or once more. */
	const mayStart = () => host.canFinish(request);

	function selectUpstream(): void {
		guard(selectGuarded);
	}

	function selectGuarded(): void {
		const objectiveEndsAt = request.receivedAt + route.objectiveMilliseconds;
		const holdUntil = Math.min(objectiveEndsAt, request.receivedAt + (maximumHoldShare * (request.deadlineAt - request.receivedAt)));
		let isSelected = false;
		const cancel = host.selector.select({
			service,
			priority: workspaceKeys.getPriority(route, request.workspace),
			work: {
				workMilliseconds: host.learner.getRouteMilliseconds(route.name),
				meanWorkMilliseconds: host.learner.getServiceMilliseconds(service),
				objectiveMilliseconds: route.objectiveMilliseconds,
				mayExceedCapacity: route.priority === 0,
			},
			tried,
			// Another entry would ask for the key, which isn't passed on.
			mayRelay: !request.isRelayed && request.workspace === undefined,
			objectiveEndsAt,
			mayStart,
			expiresAt: Math.min(request.deadlineAt, Math.max(holdUntil, host.getNow() + minimumRetryHoldMilliseconds)),
		}, selection => {
			isSelected = true;
			cancelSelection = undefined;
			checks += selection.checks;
			guard(() => {
				handleSelection(selection);
			});
		});
		if (!isSelected) {
			cancelSelection = cancel;
		}
	}

	function handleSelection(selection: Selection): void {
		switch (selection.kind) {
			case 'selected': {
				if (!isAnswered && mayStart()) {
					send(selection);
					break;
				}

				if (selection.connection) {
					selection.upstream.pool.release(selection.connection);
				}

				if (running.size === 0) {
					giveUp('stopping');
				}

				break;
			}

			case 'no-room': {
				if (running.size === 0) {
					giveUp(mayStart() ? 'no-room' : 'stopping');
				}

				break;
			}

			case 'not-accepting': {
				if (running.size === 0) {
					giveUp('not-accepting', selection.retryAfterMilliseconds);
				}

				break;
			}

			default: {
				assertNever(selection);
			}
		}
	}

	function send(selected: SelectedUpstream): void {
		const sentAt = host.getNow();
		const {upstream, expectedMilliseconds} = selected;
		const {id} = upstream.registration;
		firstSentAt ??= sentAt;
		tried.add(id);
		let isCounted = false;
		let started: workBounds.StartedWork | undefined;
		const maximumExecutions = getMaximumExecutions(upstream);
		const attempt = createGatewayAttempt(host, {...request, refusedOn, maximumExecutions}, selected, {
			onSent() {
				isCounted = true;
				progress.recordSent(id);
				started = host.bounds.start(route.name, service, host.getNow());
				unsent.delete(attempt);
				mayHaveRunOn += maximumExecutions;
			},
			onEnd(end, response) {
				running.delete(attempt);
				unsent.delete(attempt);
				const now = host.getNow();
				const workEnd = attemptRecords.classifyWork(end);
				if (workEnd === undefined) {
					started?.discard();
				} else {
					started?.recordEnd(workEnd, now);
				}

				attempts.push({
					upstream: id, end: retryDecision.describeEnd(end), expectedMilliseconds: Math.round(expectedMilliseconds), milliseconds: Math.round(now - sentAt),
				});
				if (isCounted && (end.kind === 'not-run' || end.kind === 'not-sent')) {
					mayHaveRunOn -= maximumExecutions;
				}

				observe(() => {
					attemptRecords.recordEnd({
						learner: host.learner, request, milliseconds: now - sentAt, now,
					}, selected, end);
					host.observeAttempt(upstream, end);
				});
				guard(() => {
					handleEnd(end, response);
				});
				endIfOver();
				observe(() => {
					host.selector.onAttemptEnded(upstream);
				});
			},
		});
		running.add(attempt);
		unsent.set(attempt, maximumExecutions);
		attempt.start();
		if (route.kind === 'idempotent') {
			clearTimeout(hedgeTimer);
			hedgeTimer = setTimeout(guard, hedgeDelay.getHedgeDelay({
				expectedMilliseconds,
				secondExpectedMilliseconds: host.learner.getRouteMilliseconds(route.name),
				objectiveMilliseconds: request.receivedAt + route.objectiveMilliseconds - sentAt,
			}), startHedge);
		}
	}

	/** Another entry gets all executions that are left, since it retries by itself. */
	function getMaximumExecutions(upstream: upstreams.Upstream): number {
		return upstream.kind === 'relay' ? Math.max(1, route.maximumAttempts - mayHaveRunOn - countPlanned()) : 1;
	}

	/** Sends a hedged request: a second attempt in parallel to a late one. The first complete response is used. */
	function startHedge(): void {
		const now = host.getNow();
		const shouldHedge = !isAnswered && running.size === 1 && !cancelSelection && now < request.deadlineAt && !host.selector.hasHeldRequests(service) && request.body.kind !== 'streamed';
		if (shouldHedge && mayStart() && mayHaveRunOn + countPlanned() < route.maximumAttempts && host.budget.tryCharge(service, host.countEntries(), now)) {
			selectUpstream();
		}
	}

	function handleEnd(end: retryDecision.AttemptEnd, response: AttemptResponse | undefined): void {
		if (isAnswered) {
			return;
		}

		if (end.kind === 'answered' && response) {
			const gatewayResponse = {...response, headers: getForwardedAnswerHeaders(response.headers), isOwn: false};
			if (end.statusCode < 500) {
				finish(gatewayResponse, 'answered', 'upstream');
				return;
			}

			errorResponse = gatewayResponse;
		}

		const isUncharged = end.kind === 'not-sent';
		const now = host.getNow();
		const isRetryable = now < request.deadlineAt && retryDecision.canRetry(getHistory(), end) && isBodySendable(end);
		const isStopping = isRetryable && !mayStart();
		if (isRetryable && !isStopping && (isUncharged || host.budget.tryCharge(service, host.countEntries(), now))) {
			selectUpstream();
		} else if (running.size === 0 && !cancelSelection) {
			giveUp(isStopping ? 'stopping' : 'failed');
		}
	}

	/** Whether the body can be sent after this end of an attempt; a streamed body can be sent only once. */
	function isBodySendable(end: retryDecision.AttemptEnd): boolean {
		return request.body.kind !== 'streamed' || end.kind === 'not-sent';
	}

	function giveUp(reason: retryDecision.GiveUpReason, retryAfterMilliseconds = getRetryAfterMilliseconds(reason)): void {
		if (isAnswered) {
			return;
		}

		if (errorResponse && reason !== 'time-over') {
			finish(errorResponse, 'failed', 'upstream');
			return;
		}

		const statusCode = retryDecision.getFailureStatus(getHistory(), reason);
		const headers: HeaderPairs = statusCode === 503 ? host.headers.createRetryHeaders(retryAfterMilliseconds) : [];
		finish(createFailure(statusCode, headers), statusCode === 503 ? 'refused' : 'failed', reason);
	}

	/** Time after which a refused caller should retry, in milliseconds; short if the upstreams refused although they have capacity. */
	function getRetryAfterMilliseconds(reason: retryDecision.GiveUpReason): number {
		return reason === 'stopping' || (reason === 'failed' && !host.selector.hasHeldRequests(service)) ? shortRetryAfterMilliseconds : route.objectiveMilliseconds * retryAfterObjectives;
	}

	function finish(response: GatewayResponse, outcome: callReport.CallReport['outcome'], reason: string): void {
		stop();
		target.respond(response);
		report(response.statusCode, outcome, reason);
	}

	/** Marks the request as answered, and cancels the timers, the pending selection and the running attempts. */
	function stop(): void {
		isAnswered = true;
		clearTimeout(deadlineTimer);
		clearTimeout(hedgeTimer);
		cancelSelection?.();
		for (const attempt of running) {
			attempt.giveUp();
		}

		endIfOver();
	}

	function endIfOver(): void {
		if (isAnswered && running.size === 0) {
			clearTimeout(deadlineTimer);
			progress.end();
		}
	}

	function report(statusCode: number, outcome: callReport.CallReport['outcome'], reason: string): void {
		const now = host.getNow();
		progress.recordAnswered();
		observe(() => {
			host.onEnd({
				request, statusCode, outcome, reason, attempts, heldMilliseconds: Math.round((firstSentAt ?? now) - request.receivedAt), milliseconds: Math.round(now - request.receivedAt), checks,
			});
		});
	}

	/** Ends the call at its deadline, once a response that has arrived is read. A process that is late finds the timer due before it reads its sockets. */
	function endAfterReading(): void {
		const receivedBefore = countReceivedBytes();
		setImmediate(guard, () => {
			if (isAnswered) {
				endRunning();
			} else if (countReceivedBytes() > receivedBefore) {
				endAfterReading();
			} else {
				giveUp('time-over');
			}
		});
	}

	function endRunning(): void {
		if (running.size > 0) {
			stop();
		}
	}

	const deadlineTimer = setTimeout(endAfterReading, Math.max(1, request.deadlineAt + deadlineSlackMilliseconds - host.getNow()));
	host.budget.countRequest(service, host.getNow());
	selectUpstream();

	function cancel(): void {
		if (isAnswered) {
			return;
		}

		if (route.kind === 'non-idempotent' && [...running].some(attempt => attempt.isSent())) {
			// The upstream may finish its work until the deadline.
			isAnswered = true;
			for (const attempt of [...running].filter(unsent => !unsent.isSent())) {
				attempt.giveUp();
			}

			report(callerLeftStatus, 'cancelled', 'caller-left');
			return;
		}

		stop();
		report(callerLeftStatus, 'cancelled', 'caller-left');
	}

	/** Gives up the attempts that have sent nothing; the call is answered if no other one runs. */
	function refuseUnsent(): void {
		const unsentAttempts = [...running].filter(attempt => !attempt.isSent());
		if (isAnswered || unsentAttempts.length === 0 || mayStart()) {
			return;
		}

		if (unsentAttempts.length === running.size && !cancelSelection) {
			giveUp('stopping');
			return;
		}

		for (const attempt of unsentAttempts) {
			attempt.giveUp();
		}
	}

	return {
		cancel() {
			guard(cancel);
		},
		refuseUnsent() {
			guard(refuseUnsent);
		},
	};
}
