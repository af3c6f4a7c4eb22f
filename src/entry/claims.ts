/** Runs non-idempotent calls with a key at most once, over all entries. */
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
import {type ForwardedCall, maximumForwardedBytes, type WholeAnswer} from '../peers/forwarding-types.ts';
import {type PeerRoutes} from '../peers/peer-server.ts';
import {createClaimLog} from '../platform/claim-log.ts';
import {type LogHost} from '../platform/types.ts';
import {createCollectingSink, createRecordingSink} from './answer-sinks.ts';
import {type AnswerSink, type Call, type CallBody} from './call.ts';
import {type ClaimDecision, type KeyedCall, type SettledCall} from './claim-types.ts';
import {createClaimStage} from './claim.ts';
import {classifyRequest} from './classify-request.ts';
import {getForwardedRequestHeaders, headerNames} from './headers.ts';
import {handOverKeys} from './key-handover.ts';
import {type CallEnd, type ExecutionOptions} from './running-call.ts';
import {type CallExecution} from './service-runner.ts';
import {createSettledAnswer} from './settled-answer.ts';

export type ClaimsOptions = {
	readonly incarnation: string;
	/** Bound on the bytes of keys and held answers. */
	readonly tableBytes: number;
	/** Answers up to this size are held for repeats. */
	readonly heldAnswerBytes: number;
	/** Time for which a key is remembered. */
	readonly keyLifetimeMilliseconds: number;
	/** Claims in the log that are remembered. */
	readonly maximumClaims: number;
	/** Claim records that all entries together may append in a second. */
	readonly fleetAppendsPerSecond: number;
};

export type ClaimsHost = {
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

export type Claims = {
	/** Methods for the peer port. */
	readonly routes: PeerRoutes;
	/** Whether a call must pass through here. */
	isKeyed(call: Call): boolean;
	/** Answers a keyed call; it is carried to its end even when the caller goes away. */
	execute(call: Call, sink: AnswerSink, onEnd: (end: CallEnd) => void): CallExecution;
	/** Creates the part of a key before the dot, for an incarnation. */
	createKeyPrefix(incarnation: string): string;
	/** Waits for keyed calls in flight, hands the keys on and stops; resolves within about the given time. */
	leave(timeoutMilliseconds: number): Promise<void>;
	close(): Promise<void>;
};

const expiryMilliseconds = 5000;
const drainCheckMilliseconds = 20;
const handoverShare = 0.5;
const rejectedRequest: Omit<WholeAnswer, 'outcome'> = {statusCode: 503, headers: [['retry-after', '1']], body: new Uint8Array()};

/** Starts to read the claims stream. */
export function createClaims(options: ClaimsOptions, host: ClaimsHost): Claims {
	let nextForwardedId = -1;
	let runningCalls = 0;
	const forwarding = createForwardingClient();
	const getLive = () => host.directory.getLive();
	const claimLog = createClaimLog({
		incarnation: options.incarnation,
		windowMilliseconds: options.keyLifetimeMilliseconds,
		maximumClaims: options.maximumClaims,
		getAppendsPerSecond: () => options.fleetAppendsPerSecond / Math.max(1, getLive().length),
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
		forwarding,
		claimLog,
		now: host.getNow,
		wallNow: host.getWallTime,
		getPeerAddress: incarnation => host.directory.getByIncarnation(incarnation)?.peerAddress,
	});
	const expiryTimer = setInterval(() => {
		stage.advance();
	}, expiryMilliseconds);

	const execute = (call: Call, sink: AnswerSink, onEnd: (end: CallEnd) => void): CallExecution => {
		const recording = createRecordingSink(sink, options.heldAnswerBytes);
		void decide(call).then(carryOut).catch((error: unknown) => {
			host.logger.error('keyed-call-failed', {reason: String(error)});
			recording.abort();
		});

		function carryOut(decision: ClaimDecision): void {
			switch (decision.kind) {
				case 'run': {
					const {ticket} = decision;
					runningCalls++;
					ticket.markDispatched();
					host.run(call, recording, {
						history: ticket.history,
						onEnd(end) {
							runningCalls--;
							const answer = end.outcome === 'ran' ? recording.getRecordedAnswer() : undefined;
							ticket.finish(end.outcome, answer);
							onEnd(end);
						},
					});
					break;
				}

				case 'relay': {
					writeWhole(decision.answer, recording);
					onEnd(createEnd(decision.answer));
					break;
				}

				case 'settled': {
					const answer = createSettledAnswer(decision.settled);
					writeWhole(answer, recording);
					onEnd(createEnd(answer));
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

	const decide = async (call: Call): Promise<ClaimDecision> => {
		let hop: Hop | undefined;
		const decision = await stage.take(createKeyedCall(call, host.getNow(), () => {
			hop ??= call.hop.startChild('entry-to-entry-sent');
			return hop.traceparent;
		}));
		hop?.end(decision.kind === 'relay' ? undefined : 'owner-unavailable');
		return decision;
	};

	const logSettled = ({evidence, outcome}: SettledCall): void => {
		host.logger.debug('key-settled', {evidence: evidence.kind, outcome});
	};

	/** Runs a call that another entry forwarded. */
	const runForwarded = async (forwarded: ForwardedCall): Promise<WholeAnswer> => {
		const rejected = {...rejectedRequest, outcome: resolveOutcome({kind: 'refused-before-dispatch'}, {kind: 'unsettled'})};
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
			const sink = createCollectingSink(maximumForwardedBytes, answer => {
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
			run: runForwarded,
			takeHandover: claimLog.takeHandover,
		}),
		isKeyed: call => !call.operation.idempotent && call.idempotencyKey !== undefined,
		execute,
		createKeyPrefix: incarnation => createKeyPrefix(incarnation, host.getWallTime()),
		async leave(timeoutMilliseconds) {
			const waitEndsAt = host.getNow() + (timeoutMilliseconds * (1 - handoverShare));
			const isWaiting = () => runningCalls > 0 && host.getNow() < waitEndsAt;
			while (isWaiting()) {
				await timers.setTimeout(drainCheckMilliseconds);
			}

			await handOverKeys(stage.seal(), {
				claimLog,
				forwarding,
				logger: host.logger,
				getPeerAddresses: () => getLive().filter(entry => !entry.isSelf).map(entry => entry.peerAddress),
			}, timeoutMilliseconds * handoverShare);
		},
		async close() {
			clearInterval(expiryTimer);
			forwarding.close();
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

/** Reads a body for forwarding; undefined when it is too large or was cut. */
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
			if (size > maximumForwardedBytes) {
				return undefined;
			}

			chunks.push(chunk);
		}
	} catch {
		return undefined;
	}

	return buffer.Buffer.concat(chunks);
}

function writeWhole(answer: WholeAnswer, sink: AnswerSink): void {
	sink.start(answer);
	sink.write(answer.body);
	sink.end();
}

function createEnd(answer: WholeAnswer): CallEnd {
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
