/** Runs each non-idempotent call with a key at most once across all entries. */
import * as timers from 'node:timers/promises';
import * as buffer from 'node:buffer';
import * as crypto from 'node:crypto';
import type * as stream from 'node:stream';
import {createKeyPrefix, tryParseIdempotencyKey} from '../decisions/outcomes/idempotency-key.ts';
import {resolveOutcome} from '../decisions/outcomes/resolve-outcome.ts';
import {type TableView} from '../decisions/table/service-view.ts';
import {type PeerDirectory} from '../decisions/membership/types.ts';
import {type Logger} from '../observability/logger.ts';
import {type Hop, type Tracing} from '../observability/tracing.ts';
import {createForwardingClient} from '../peers/forwarding-client.ts';
import {createForwardingRoutes} from '../peers/forwarding-service.ts';
import {type ForwardedCall, maximumForwardedBodyBytes, type BufferedAnswer} from '../peers/forwarding-types.ts';
import {type PeerRoutes} from '../peers/peer-server.ts';
import {createClaimLog} from '../platform/claim-log.ts';
import {type LogHost} from '../platform/types.ts';
import {createCollectingSink, createRecordingSink} from './answer-sinks.ts';
import {type AnswerSink, type Call, type CallBody} from './call.ts';
import {type KeyedCallDecision, type KeyedCall, type SettledCall} from './claim-stage-types.ts';
import {createClaimStage} from './claim-stage.ts';
import {classifyRequest} from './classify-request.ts';
import {getForwardedRequestHeaders, headerNames} from './headers.ts';
import {handOverKeys} from './key-handover.ts';
import {type CallEnd, type ExecutionOptions} from './running-call.ts';
import {type CallExecution} from './service-runner.ts';
import {createSettledAnswer} from './settled-answer.ts';

export type KeyedCallExecutorOptions = {
	readonly incarnation: string;
	/** Limit on the bytes of keys and stored answers. */
	readonly tableBytes: number;
	/** Size up to which an answer is stored for repeated calls. */
	readonly heldAnswerBytes: number;
	/** Time for which a key is kept. */
	readonly keyLifetimeMilliseconds: number;
	/** Limit on the number of claims from the log that are kept. */
	readonly maximumClaims: number;
	/** Limit on the claim records that all entries together append per second. */
	readonly fleetAppendsPerSecond: number;
};

export type KeyedCallExecutorHost = {
	readonly log: LogHost;
	readonly logger: Logger;
	readonly tracing: Tracing;
	readonly directory: PeerDirectory;
	/** Milliseconds of a monotonic clock. */
	getNow(): number;
	/** Milliseconds since the epoch. */
	getWallTime(): number;
	getView(): TableView | undefined;
	/** Runs a call at an upstream. */
	run(call: Call, sink: AnswerSink, options: ExecutionOptions): CallExecution;
};

/** Executor of calls with an idempotency key at one entry. */
export type KeyedCallExecutor = {
	/** Routes for the peer port. */
	readonly routes: PeerRoutes;
	/** Whether a call is non-idempotent and has a key, so that `execute` must handle it. */
	isKeyed(call: Call): boolean;
	/** Executes a call with a key; continues to the end of the call even when the caller disconnects. */
	execute(call: Call, sink: AnswerSink, onEnd: (end: CallEnd) => void): CallExecution;
	/** Creates the part before the dot of the keys that an incarnation owns. */
	createKeyPrefix(incarnation: string): string;
	/** Waits for keyed calls in flight, then stops dispatching and hands the keys over; resolves within about the given time. */
	leave(timeoutMilliseconds: number): Promise<void>;
	close(): Promise<void>;
};

const expiryIntervalMilliseconds = 5000;
const drainCheckIntervalMilliseconds = 20;
/** Share of the time for leaving that is reserved for the handover of the keys. */
const handoverTimeShare = 0.5;
const rejectedAnswer: Omit<BufferedAnswer, 'outcome'> = {statusCode: 503, headers: [['retry-after', '1']], body: new Uint8Array()};

/** Creates the executor of calls with a key and starts to read the claims stream. */
export function createKeyedCallExecutor(options: KeyedCallExecutorOptions, host: KeyedCallExecutorHost): KeyedCallExecutor {
	/** Ids of forwarded calls are negative. */
	let nextForwardedId = -1;
	let runningCallCount = 0;
	const forwardingClient = createForwardingClient();
	const getLiveEntries = () => host.directory.getLive();
	const claimLog = createClaimLog({
		incarnation: options.incarnation,
		windowMilliseconds: options.keyLifetimeMilliseconds,
		maximumClaims: options.maximumClaims,
		getMaximumAppendsPerSecond: () => options.fleetAppendsPerSecond / Math.max(1, getLiveEntries().length),
	}, {
		log: host.log,
		createId: crypto.randomUUID,
		now: host.getNow,
		wallNow: host.getWallTime,
		onGap() {
			host.logger.warn('claims-expired-unread');
		},
	});
	const stage = createClaimStage({
		incarnation: options.incarnation, maximumBytes: options.tableBytes, keyLifetimeMilliseconds: options.keyLifetimeMilliseconds,
	}, {
		forwarding: forwardingClient,
		claimLog,
		now: host.getNow,
		wallNow: host.getWallTime,
		getPeerAddress: incarnation => host.directory.getByIncarnation(incarnation)?.peerAddress,
	});
	const expiryTimer = setInterval(() => {
		stage.expireKeys();
	}, expiryIntervalMilliseconds);

	const execute = (call: Call, sink: AnswerSink, onEnd: (end: CallEnd) => void): CallExecution => {
		const recording = createRecordingSink(sink, options.heldAnswerBytes);
		void decide(call).then(applyDecision).catch((error: unknown) => {
			host.logger.error('keyed-call-failed', {reason: String(error)});
			recording.abort();
		});

		function applyDecision(decision: KeyedCallDecision): void {
			switch (decision.kind) {
				case 'run': {
					const {ticket} = decision;
					runningCallCount++;
					ticket.markDispatched();
					host.run(call, recording, {
						history: ticket.history,
						onEnd(end) {
							runningCallCount--;
							const answer = end.outcome === 'ran' ? recording.getRecordedAnswer() : undefined;
							ticket.finish(end.outcome, answer);
							onEnd(end);
						},
					});
					break;
				}

				case 'relay': {
					writeAnswer(decision.answer, recording);
					onEnd(createCallEnd(decision.answer));
					break;
				}

				case 'settled': {
					const answer = createSettledAnswer(decision.settled);
					writeAnswer(answer, recording);
					onEnd(createCallEnd(answer));
					logSettled(decision.settled);
					break;
				}
			}
		}

		return {
			cancel() {
				recording.stopForwarding();
			},
		};
	};

	const decide = async (call: Call): Promise<KeyedCallDecision> => {
		let hop: Hop | undefined;
		const decision = await stage.decide(createKeyedCall(call, host.getNow(), () => {
			hop ??= call.hop.startChild('entry-to-entry-sent');
			return hop.traceparent;
		}));
		hop?.end(decision.kind === 'relay' ? undefined : 'owner-unavailable');
		return decision;
	};

	const logSettled = ({evidence, outcome}: SettledCall): void => {
		host.logger.debug('key-settled', {evidence: evidence.kind, outcome});
	};

	/** Executes a call that another entry forwarded, or looks its key up. */
	const runForwarded = async (forwarded: ForwardedCall): Promise<BufferedAnswer> => {
		const rejected = {...rejectedAnswer, outcome: resolveOutcome({kind: 'refused-before-dispatch'}, {kind: 'unsettled'})};
		const headers = Object.fromEntries(forwarded.headers);
		const key = tryParseIdempotencyKey(headers[headerNames.idempotencyKey] ?? '');
		if (forwarded.isLookup && key) {
			return createSettledAnswer(await stage.lookUp(key.text, host.getNow() + forwarded.timeoutMilliseconds));
		}

		const view = host.getView();
		const classification = view && classifyRequest({method: forwarded.method, url: forwarded.path, headers}, view);
		if (!classification?.isOk() || classification.value.operation.idempotent) {
			return rejected;
		}

		const {timeoutMilliseconds, ...rest} = classification.value;
		const receivedAt = host.getNow();
		const call: Call = {
			...rest,
			id: nextForwardedId--,
			method: forwarded.method,
			headers: getForwardedRequestHeaders(forwarded.headers.flat()),
			body: forwarded.body.length === 0 ? {kind: 'none'} : {kind: 'buffered', bytes: forwarded.body},
			receivedAt,
			deadlineAt: receivedAt + Math.min(timeoutMilliseconds, forwarded.timeoutMilliseconds),
			hop: host.tracing.startHop('entry-to-entry-received', headers[headerNames.traceparent]),
		};
		return new Promise(resolve => {
			const sink = createCollectingSink(maximumForwardedBodyBytes, answer => {
				resolve(answer ?? {...rejected, outcome: resolveOutcome({kind: 'answered-in-part'}, {kind: 'unsettled'})});
			});
			execute(call, sink, end => {
				call.hop.end(end.result === 'answered' ? undefined : end.result);
			});
		});
	};

	return {
		routes: createForwardingRoutes({
			incarnation: options.incarnation,
			executeCall: runForwarded,
			applyHandover: claimLog.applyHandover,
		}),
		isKeyed: call => !call.operation.idempotent && call.idempotencyKey !== undefined,
		execute,
		createKeyPrefix: incarnation => createKeyPrefix(incarnation, host.getWallTime()),
		async leave(timeoutMilliseconds) {
			const waitEndsAt = host.getNow() + (timeoutMilliseconds * (1 - handoverTimeShare));
			const isWaiting = () => runningCallCount > 0 && host.getNow() < waitEndsAt;
			while (isWaiting()) {
				await timers.setTimeout(drainCheckIntervalMilliseconds);
			}

			await handOverKeys(stage.seal(), {
				claimLog,
				forwarding: forwardingClient,
				logger: host.logger,
				getPeerAddresses: () => getLiveEntries().filter(entry => !entry.isSelf).map(entry => entry.peerAddress),
			}, timeoutMilliseconds * handoverTimeShare);
		},
		async close() {
			clearInterval(expiryTimer);
			forwardingClient.close();
			await claimLog.stop();
		},
	};
}

function createKeyedCall(call: Call, now: number, startHop: () => string): KeyedCall {
	const text = call.idempotencyKey ?? '';
	return {
		key: tryParseIdempotencyKey(text) ?? {kind: 'caller-made', text},
		isDeclaredFirst: call.headers.some(([name, value]) => name === headerNames.attempt && value === '1'),
		deadlineAt: call.deadlineAt,
		async readCall() {
			const body = await readBody(call.body);
			return body && {
				method: call.method,
				path: `/${call.service}${call.path}`,
				headers: [
					...call.headers,
					[headerNames.timeout, String(Math.max(1, Math.floor(call.deadlineAt - now)))],
					[headerNames.depth, String(call.depth)],
					[headerNames.retry, call.isRetryAllowed ? 'allowed' : 'denied'],
					[headerNames.traceparent, startHop()],
					[headerNames.idempotencyKey, text],
				],
				body,
			};
		},
	};
}

/** Reads a body for forwarding; resolves to undefined when it is too large or incomplete. */
async function readBody(body: CallBody): Promise<Uint8Array | undefined> {
	switch (body.kind) {
		case 'none': {
			return new Uint8Array();
		}

		case 'buffered': {
			return body.bytes;
		}

		case 'streamed': {
			return readStream(body.stream);
		}
	}
}

async function readStream(source: stream.Readable): Promise<Uint8Array | undefined> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const chunk of source as AsyncIterable<Uint8Array>) {
			size += chunk.length;
			if (size > maximumForwardedBodyBytes) {
				return undefined;
			}

			chunks.push(chunk);
		}
	} catch {
		return undefined;
	}

	return buffer.Buffer.concat(chunks);
}

function writeAnswer(answer: BufferedAnswer, sink: AnswerSink): void {
	sink.start(answer);
	sink.write(answer.body);
	sink.end();
}

function createCallEnd(answer: BufferedAnswer): CallEnd {
	return {
		result: answer.statusCode < 400 ? 'answered' : (answer.outcome === 'not-run' ? 'refused' : 'failed'),
		outcome: answer.outcome,
		refusalReason: undefined,
		attempts: 0,
		isLong: false,
		queuedMilliseconds: 0,
		behindLongMilliseconds: 0,
		upstreamMilliseconds: 0,
	};
}
