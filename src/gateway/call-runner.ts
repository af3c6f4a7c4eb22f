/**
Runs one request: selects an upstream, sends the request, retries it if that is allowed, and responds exactly once.

The results of the attempts decide whether the request may be sent again and which status the caller receives. No attempt
starts after the response.
*/
import {assertNever} from '../decisions/assert-never.ts';
import {type FleetRetryBudget} from '../decisions/retries/fleet-retry-budget.ts';
import * as resendRule from '../decisions/outcomes/resend-rule.ts';
import {type WorkLearner} from '../decisions/routing/work-learner.ts';
import {type HeaderPairs} from '../entry/call.ts';
import {getForwardedAnswerHeaders} from '../entry/headers.ts';
import {type Selected, type Selector} from './selection.ts';
import {createGatewayAttempt, type AttemptAnswer, type GatewayAttempt} from './gateway-attempt.ts';
import {type GatewayAnswer, type GatewayRequest, type HeaderHost} from './types.ts';

/** Result of a request, for logs and metrics. */
export type CallReport = {
	readonly request: GatewayRequest;
	readonly statusCode: number;
	readonly outcome: 'answered' | 'refused' | 'failed' | 'cancelled';
	readonly reason: string;
	readonly attempts: readonly AttemptReport[];
	/** Time for which the request was held before its first attempt, in milliseconds. */
	readonly heldMilliseconds: number;
	/** Time from the receipt of the request to its end. */
	readonly milliseconds: number;
	/** Number of load checks made for the request. */
	readonly checks: number;
};

/** Result of one attempt at an upstream, for logs and metrics. */
export type AttemptReport = {
	readonly upstream: string;
	readonly end: string;
	readonly expectedMilliseconds: number;
	readonly milliseconds: number;
};

/** Dependencies of all calls of an entry. */
export type CallRunnerHost = {
	readonly selector: Selector;
	readonly headers: HeaderHost;
	readonly learner: WorkLearner;
	readonly budget: FleetRetryBudget;
	/** Returns the number of running entries. */
	countEntries(): number;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	onEnd(report: CallReport): void;
};

/** Receiver of the response. */
export type AnswerTarget = {
	answer(answer: GatewayAnswer): void;
};

/** A call in progress. */
export type RunningCall = {
	/** Ends the call because the caller has disconnected. */
	cancel(): void;
};

/** Time after the deadline of a request in which the upstream's own response may still arrive, in milliseconds. */
const limitSlackMilliseconds = 40;
/** Minimum time for which a retried request may be held, in milliseconds. */
const repeatHoldMilliseconds = 100;
/** Largest share of the time until its deadline for which a request is held for lack of capacity; a refused caller needs the rest to retry. */
const longestHoldShare = 0.4;
/** A second attempt is made after this multiple of the expected time of the first one, plus this time in milliseconds. */
const lateFactor = 2;
const lateMilliseconds = 60;
/** Time after which a refused caller should retry, in multiples of the latency objective; peaks of demand last at least this long. */
const comeBackObjectives = 2;
/** Time after which a caller should retry if the upstreams refused although they have capacity, in milliseconds; a few times the way to an upstream. */
const comeBackSoonMilliseconds = 20;
/** Status in reports of requests whose caller disconnected before the response. */
const callerLeftStatus = 499;

/** Starts to run a request. */
export function startCall(host: CallRunnerHost, request: GatewayRequest, target: AnswerTarget): RunningCall {
	const {route, service} = request;
	const attempts: AttemptReport[] = [];
	const tried = new Set<string>();
	const running = new Set<GatewayAttempt>();
	let mayHaveRunOn = 0;
	let isAnswered = false;
	let checks = 0;
	let firstSentAt: number | undefined;
	let withdraw: (() => void) | undefined;
	let lateTimer: NodeJS.Timeout | undefined;
	/** Latest server error of an upstream, which the caller receives if no other attempt succeeds. */
	let failure: GatewayAnswer | undefined;

	const getHistory = (): resendRule.RequestHistory => ({kind: route.kind, mayHaveRunOn, maximumAttempts: route.maximumAttempts});

	function place(): void {
		const objectiveAt = request.receivedAt + route.objectiveMilliseconds;
		const holdUntil = Math.min(objectiveAt, request.receivedAt + (longestHoldShare * (request.limitAt - request.receivedAt)));
		let isSelected = false;
		const takeBack = host.selector.select({
			service,
			priority: route.priority,
			work: {
				workMilliseconds: host.learner.getRoute(route.name),
				meanWorkMilliseconds: host.learner.getService(service),
				objectiveMilliseconds: route.objectiveMilliseconds,
				mayCrowd: route.priority === 0,
			},
			tried,
			objectiveAt,
			giveUpAt: Math.min(request.limitAt, Math.max(holdUntil, host.getNow() + repeatHoldMilliseconds)),
		}, selection => {
			isSelected = true;
			withdraw = undefined;
			checks += selection.checks;
			if (selection.kind === 'selected') {
				send(selection);
			} else if (running.size === 0) {
				giveUp('no-room');
			}
		});
		if (!isSelected) {
			withdraw = takeBack;
		}
	}

	function send(selected: Selected): void {
		const sentAt = host.getNow();
		const {upstream, expectedMilliseconds} = selected;
		const {id} = upstream.registration;
		firstSentAt ??= sentAt;
		tried.add(id);
		let isCounted = false;
		const attempt = createGatewayAttempt(host, request, selected, {
			onSent() {
				isCounted = true;
				mayHaveRunOn++;
			},
			onEnd(end, answer) {
				running.delete(attempt);
				const now = host.getNow();
				attempts.push({
					upstream: id, end: describeEnd(end), expectedMilliseconds: Math.round(expectedMilliseconds), milliseconds: Math.round(now - sentAt),
				});
				if (isCounted && (end.kind === 'not-run' || end.kind === 'not-sent')) {
					mayHaveRunOn--;
				}

				learn(selected, end, now - sentAt, now);
				takeEnd(end, answer);
				host.selector.noteRoom(upstream);
			},
		});
		running.add(attempt);
		attempt.start();
		if (route.kind === 'idempotent') {
			clearTimeout(lateTimer);
			lateTimer = setTimeout(repeatLate, (expectedMilliseconds * lateFactor) + lateMilliseconds);
		}
	}

	/** Sends a hedged request: a second attempt in parallel to a late one. The first complete response is used. */
	function repeatLate(): void {
		const now = host.getNow();
		const isUseful = !isAnswered && running.size === 1 && !withdraw && now < request.limitAt && !host.selector.isCrowded(service) && request.body.kind !== 'streamed';
		if (isUseful && mayHaveRunOn < route.maximumAttempts && host.budget.tryCharge(service, host.countEntries(), now)) {
			place();
		}
	}

	function learn({upstream, expectedMilliseconds}: Selected, end: resendRule.AttemptEnd, milliseconds: number, now: number): void {
		const {record} = upstream;
		switch (end.kind) {
			case 'answered': {
				if (end.statusCode >= 500) {
					record.noteFailed(now);
					break;
				}

				const pace = Math.max(0.1, record.getState(now).reading?.pace ?? 1);
				record.noteAnswered(milliseconds, expectedMilliseconds, now);
				host.learner.note(route.name, service, milliseconds, pace);
				break;
			}

			case 'broken': {
				if (end.reason === 'given-up') {
					record.noteEnded();
				} else {
					record.noteFailed(now);
				}

				break;
			}

			case 'not-sent': {
				record.noteFailed(now);
				break;
			}

			case 'not-run': {
				record.noteEnded();
				break;
			}

			default: {
				assertNever(end);
			}
		}
	}

	function takeEnd(end: resendRule.AttemptEnd, answer: AttemptAnswer | undefined): void {
		if (isAnswered) {
			return;
		}

		if (end.kind === 'answered' && answer) {
			const whole = {...answer, headers: getForwardedAnswerHeaders(answer.headers)};
			if (end.statusCode < 500) {
				finish(whole, 'answered', 'upstream');
				return;
			}

			failure = whole;
		}

		const isFree = end.kind === 'not-sent';
		const now = host.getNow();
		if (now < request.limitAt && resendRule.canSendAgain(getHistory(), end) && isSendable(end) && (isFree || host.budget.tryCharge(service, host.countEntries(), now))) {
			place();
		} else if (running.size === 0 && !withdraw) {
			giveUp('failed');
		}
	}

	/** Whether the body can be sent after this end of an attempt; a streamed body can be sent only once. */
	function isSendable(end: resendRule.AttemptEnd): boolean {
		return request.body.kind !== 'streamed' || end.kind === 'not-sent';
	}

	function giveUp(reason: resendRule.GiveUpReason): void {
		if (isAnswered) {
			return;
		}

		if (failure && reason !== 'time-over') {
			finish(failure, 'failed', 'upstream');
			return;
		}

		const statusCode = resendRule.getOwnStatus(getHistory(), reason);
		const headers: HeaderPairs = statusCode === 503 ? host.headers.createRetryHeaders(getComeBackMilliseconds(reason)) : [];
		finish({
			statusCode, headers, body: new Uint8Array(), hasOwnEnd: true,
		}, statusCode === 503 ? 'refused' : 'failed', reason);
	}

	/** Time after which a refused caller should retry, in milliseconds; short if the upstreams refused although they have capacity. */
	function getComeBackMilliseconds(reason: resendRule.GiveUpReason): number {
		return reason === 'failed' && !host.selector.isCrowded(service) ? comeBackSoonMilliseconds : route.objectiveMilliseconds * comeBackObjectives;
	}

	function finish(answer: GatewayAnswer, outcome: CallReport['outcome'], reason: string): void {
		stop();
		target.answer(answer);
		report(answer.statusCode, outcome, reason);
	}

	/** Marks the request as answered, and cancels the timers, the pending selection and the running attempts. */
	function stop(): void {
		isAnswered = true;
		clearTimeout(timer);
		clearTimeout(lateTimer);
		withdraw?.();
		for (const attempt of running) {
			attempt.giveUp();
		}
	}

	function report(statusCode: number, outcome: CallReport['outcome'], reason: string): void {
		const now = host.getNow();
		host.onEnd({
			request, statusCode, outcome, reason, attempts, heldMilliseconds: Math.round((firstSentAt ?? now) - request.receivedAt), milliseconds: Math.round(now - request.receivedAt), checks,
		});
	}

	const timer = setTimeout(() => {
		giveUp('time-over');
	}, Math.max(1, request.limitAt + limitSlackMilliseconds - host.getNow()));
	host.budget.countRequest(service, host.getNow());
	place();

	return {
		cancel() {
			if (isAnswered) {
				return;
			}

			if (route.kind === 'non-idempotent' && running.size > 0) {
				isAnswered = true;
				clearTimeout(timer);
				report(callerLeftStatus, 'cancelled', 'caller-left');
				return;
			}

			stop();
			report(callerLeftStatus, 'cancelled', 'caller-left');
		},
	};
}

function describeEnd(end: resendRule.AttemptEnd): string {
	switch (end.kind) {
		case 'answered': {
			return String(end.statusCode);
		}

		case 'broken': {
			return end.reason;
		}

		case 'not-sent':
		case 'not-run': {
			return end.kind;
		}
	}
}
