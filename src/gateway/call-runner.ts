/**
Carries one request to its answer: selects an upstream, sends, repeats where that is allowed, and answers once.

What is known of the attempts decides what may be sent again and what may be said; nothing is sent after the answer.
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

/** What became of a request, for logs and metrics. */
export type CallReport = {
	readonly request: GatewayRequest;
	readonly statusCode: number;
	readonly outcome: 'answered' | 'refused' | 'failed' | 'cancelled';
	readonly reason: string;
	readonly attempts: readonly AttemptReport[];
	/** Time for which the request was held before its first attempt, in milliseconds. */
	readonly heldMilliseconds: number;
	readonly milliseconds: number;
	readonly checks: number;
};

export type AttemptReport = {
	readonly upstream: string;
	readonly end: string;
	readonly expectedMilliseconds: number;
	readonly milliseconds: number;
};

export type CallRunnerHost = {
	readonly selector: Selector;
	readonly headers: HeaderHost;
	readonly learner: WorkLearner;
	readonly budget: FleetRetryBudget;
	/** Entries that run. */
	countEntries(): number;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	onEnd(report: CallReport): void;
};

/** Where the answer goes. */
export type AnswerTarget = {
	answer(answer: GatewayAnswer): void;
};

export type RunningCall = {
	/** The caller went away. */
	cancel(): void;
};

/** Time beyond the limit of a request in which the upstream's own answer may still come, in milliseconds. */
const limitSlackMilliseconds = 40;
/** Time for which a repeated request is held at least, in milliseconds. */
const repeatHoldMilliseconds = 100;
/** Largest part of its time for which a request is held for want of room; a caller that is refused needs the rest to come back. */
const longestHoldShare = 0.4;
/** An attempt is late after this many times its expected time, and this much more in milliseconds; then a second one is made. */
const lateFactor = 2;
const lateMilliseconds = 60;
/** Objectives until a caller that was refused should come back; a peak of demand is not over sooner. */
const comeBackObjectives = 2;
/** Time until a caller should come back that upstreams refused without being full, in milliseconds; a few ways to an upstream. */
const comeBackSoonMilliseconds = 20;
/** Status in reports of requests whose caller went away before the answer. */
const callerLeftStatus = 499;

/** Starts the way of a request. */
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
	/** Failing answer of an upstream, for the case that nothing better comes. */
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

	/** Makes a second attempt beside one that is late; the first whole answer is taken. */
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

	/** A streamed body can be sent only once. */
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

	/** Time after which a refused caller should come back: at once where upstreams refused although there is room. */
	function getComeBackMilliseconds(reason: resendRule.GiveUpReason): number {
		return reason === 'failed' && !host.selector.isCrowded(service) ? comeBackSoonMilliseconds : route.objectiveMilliseconds * comeBackObjectives;
	}

	function finish(answer: GatewayAnswer, outcome: CallReport['outcome'], reason: string): void {
		stop();
		target.answer(answer);
		report(answer.statusCode, outcome, reason);
	}

	/** Ends all that is still under way, before the answer goes out. */
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
