/**
Stand-in for an upstream: slots, a queue, durations per operation and the ways in which upstreams misbehave.

Paths below `/control` are for tests; everything else is a call. A call's answer holds the SHA-256 digest of what
was received, so that a caller can tell its own answer from another's.
*/
import * as buffer from 'node:buffer';
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as pureRand from 'pure-rand';
import * as z from 'zod';
import {assertNever} from '../src/decisions/assert-never.ts';
import {close, listen} from './listen.ts';

const behaviorSchema = z.strictObject({
	/** Mean duration of a call, by the first segment of its path; `default` for the others. */
	durationMilliseconds: z.record(z.string(), z.number()),
	/** `fixed`, evenly from 0.6 to 1.4 times the mean, or exponentially distributed around the mean. */
	durationKind: z.enum(['fixed', 'uniform', 'exponential']),
	/** Factor on all durations, e.g. by a noisy neighbour. */
	slowdown: z.number(),
	/** Calls are answered with status 500 at once. */
	failsFast: z.boolean(),
	/** New calls are refused before running. */
	isDraining: z.boolean(),
	/** Factor on durations right after the start, which falls to 1 over `coldMilliseconds`. */
	coldFactor: z.number(),
	coldMilliseconds: z.number(),
	/** Waiting calls beyond this are refused before running. */
	queueLimit: z.number(),
	/** Age of the load that is reported. */
	reportLagMilliseconds: z.number(),
	/** Reports no load whatever the load is. */
	reportsFalsely: z.boolean(),
	/** Share of the answers that are cut off in the middle. */
	cutShare: z.number(),
	/** Answers have at least this size. */
	answerBytes: z.number(),
});

/** How an upstream behaves; changed at run time through `PUT /control`. */
export const behaviorChangeSchema = behaviorSchema.partial();

export type UpstreamBehavior = Readonly<z.infer<typeof behaviorSchema>>;
export type UpstreamBehaviorChange = z.infer<typeof behaviorChangeSchema>;

export const defaultBehavior: UpstreamBehavior = {
	durationMilliseconds: {default: 5},
	durationKind: 'fixed',
	slowdown: 1,
	failsFast: false,
	isDraining: false,
	coldFactor: 1,
	coldMilliseconds: 0,
	queueLimit: 1000,
	reportLagMilliseconds: 0,
	reportsFalsely: false,
	cutShare: 0,
	answerBytes: 0,
};

export type UpstreamOptions = {
	readonly name: string;
	readonly host?: string;
	readonly port?: number;
	readonly slots: number;
	readonly seed: number;
	readonly behavior?: UpstreamBehaviorChange;
	/** One-way network delay, added once before and once after the call. */
	readonly oneWayMilliseconds?: number;
	/** Called at the start of each run of a call with an idempotency key. */
	readonly onRun?: (key: string) => void;
};

/** Counters since the start. */
export type UpstreamCounters = {
	calls: number;
	ran: number;
	refused: number;
	failed: number;
	cancelled: number;
	/** Requests to the load endpoint. */
	polls: number;
	/** Most requests to the load endpoint in any window of one second. */
	maxPollsPerSecond: number;
	connections: number;
	maxConnections: number;
	maxRunning: number;
	maxQueued: number;
};

export type Upstream = {
	readonly name: string;
	/** Host and port. */
	readonly address: string;
	readonly counters: UpstreamCounters;
	/** Times that each idempotency key ran. */
	readonly runs: ReadonlyMap<string, number>;
	setBehavior(behavior: UpstreamBehaviorChange): void;
	close(): Promise<void>;
};

type Load = {readonly at: number; readonly running: number; readonly queued: number};

type Job = {
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly bodyDigest: string;
	readonly deadlineAt: number;
	readonly reply: (status: number, headers: http.OutgoingHttpHeaders, body: string) => void;
};

/** Starts an upstream. */
export async function createUpstream(options: UpstreamOptions): Promise<Upstream> {
	let behavior = applyChange(defaultBehavior, options.behavior ?? {});
	const startedAt = performance.now();
	const random = pureRand.xoroshiro128plus(options.seed);
	const runs = new Map<string, number>();
	const waiting: Job[] = [];
	const history: Load[] = [{at: startedAt, running: 0, queued: 0}];
	const pollTimes: number[] = [];
	const counters: UpstreamCounters = {
		calls: 0, ran: 0, refused: 0, failed: 0, cancelled: 0, polls: 0, maxPollsPerSecond: 0, connections: 0, maxConnections: 0, maxRunning: 0, maxQueued: 0,
	};
	let running = 0;

	const getUniform = () => pureRand.unsafeUniformIntDistribution(1, 0x7F_FF_FF_FF, random) / 0x80_00_00_00;
	const oneWay = options.oneWayMilliseconds ?? 0;

	const server = http.createServer({keepAliveTimeout: 60_000, noDelay: true}, (request, response) => {
		if (oneWay === 0) {
			receive(request, response);
		} else {
			setTimeout(receive, oneWay, request, response);
		}
	});
	server.on('connection', socket => {
		counters.connections++;
		counters.maxConnections = Math.max(counters.maxConnections, counters.connections);
		socket.on('close', () => {
			counters.connections--;
		});
	});

	function receive(request: http.IncomingMessage, response: http.ServerResponse): void {
		const path = request.url ?? '/';
		if (path === '/load') {
			answerPoll(response);
		} else if (path.startsWith('/control')) {
			answerControl(request, response);
		} else {
			receiveCall(request, response);
		}
	}

	function receiveCall(request: http.IncomingMessage, response: http.ServerResponse): void {
		counters.calls++;
		const hash = crypto.createHash('sha256').update(`${request.method} ${request.url} `);
		request.on('data', (chunk: Uint8Array) => {
			hash.update(chunk);
		});
		request.on('end', () => {
			const timeout = Number(request.headers['fescuering-timeout-milliseconds'] ?? Number.POSITIVE_INFINITY);
			admit({
				request,
				response,
				bodyDigest: hash.digest('hex'),
				deadlineAt: performance.now() + timeout,
				reply: createReply(response),
			});
		});
	}

	function createReply(response: http.ServerResponse): Job['reply'] {
		return (status, headers, body) => {
			const load = getReportedLoad();
			const state = behavior.isDraining ? 'draining' : 'live';
			const send = () => {
				response.writeHead(status, {
					...headers,
					'content-length': buffer.Buffer.byteLength(body),
					'fescuering-load': `slots=${options.slots}, running=${load.running}, queued=${load.queued}, state=${state}`,
				});
				response.end(body);
			};

			if (oneWay === 0) {
				send();
			} else {
				setTimeout(send, oneWay);
			}
		};
	}

	function admit(job: Job): void {
		if (behavior.isDraining || waiting.length >= behavior.queueLimit) {
			counters.refused++;
			job.reply(503, {'fescuering-outcome': 'not-run', 'content-type': 'text/plain'}, 'refused before running\n');
			return;
		}

		if (behavior.failsFast) {
			counters.failed++;
			job.reply(500, {'content-type': 'text/plain'}, 'failed\n');
			return;
		}

		waiting.push(job);
		counters.maxQueued = Math.max(counters.maxQueued, waiting.length);
		runNext();
	}

	function runNext(): void {
		while (running < options.slots) {
			const job = waiting.shift();
			if (!job) {
				break;
			}

			if (job.response.destroyed || job.deadlineAt < performance.now()) {
				counters.cancelled++;
				job.reply(503, {'fescuering-outcome': 'not-run', 'content-type': 'text/plain'}, 'deadline passed before running\n');
				continue;
			}

			run(job);
		}

		recordLoad();
	}

	function run(job: Job): void {
		running++;
		counters.ran++;
		counters.maxRunning = Math.max(counters.maxRunning, running);
		const key = job.request.headers['idempotency-key'];
		if (typeof key === 'string') {
			runs.set(key, (runs.get(key) ?? 0) + 1);
			options.onRun?.(key);
		}

		const complete = () => {
			running--;
			finish(job);
			runNext();
		};

		const duration = getDuration(job.request.url ?? '/');
		if (duration === 0) {
			setImmediate(complete);
		} else {
			setTimeout(complete, duration);
		}
	}

	function getDuration(path: string): number {
		const operation = path.split('/', 2)[1]?.split('?', 1)[0] ?? '';
		const mean = behavior.durationMilliseconds[operation] ?? behavior.durationMilliseconds.default ?? 5;
		return mean * getDurationFactor() * behavior.slowdown * getColdFactor();
	}

	function getDurationFactor(): number {
		switch (behavior.durationKind) {
			case 'fixed': {
				return 1;
			}

			case 'uniform': {
				return 0.6 + (0.8 * getUniform());
			}

			case 'exponential': {
				return -Math.log(getUniform());
			}

			default: {
				return assertNever(behavior.durationKind);
			}
		}
	}

	function getColdFactor(): number {
		const age = performance.now() - startedAt;
		if (age >= behavior.coldMilliseconds) {
			return 1;
		}

		return 1 + ((behavior.coldFactor - 1) * (1 - (age / behavior.coldMilliseconds)));
	}

	function finish(job: Job): void {
		if (behavior.cutShare > 0 && getUniform() < behavior.cutShare) {
			job.response.writeHead(200, {'content-length': 1000});
			job.response.write('cut');
			setImmediate(() => {
				job.response.destroy();
			});
			return;
		}

		const answer = JSON.stringify({upstream: options.name, digest: job.bodyDigest, key: job.request.headers['idempotency-key']});
		const padding = ' '.repeat(Math.max(0, behavior.answerBytes - answer.length));
		job.reply(200, {'content-type': 'application/json'}, answer + padding);
	}

	function recordLoad(): void {
		const now = performance.now();
		history.push({at: now, running, queued: waiting.length});
		while (history.length > 1 && history[1]!.at <= now - behavior.reportLagMilliseconds) {
			history.shift();
		}
	}

	function getReportedLoad(): Load {
		if (behavior.reportsFalsely) {
			return {at: 0, running: 0, queued: 0};
		}

		recordLoad();
		return history[0]!;
	}

	function answerPoll(response: http.ServerResponse): void {
		const now = performance.now();
		counters.polls++;
		pollTimes.push(now);
		while (pollTimes[0]! <= now - 1000) {
			pollTimes.shift();
		}

		counters.maxPollsPerSecond = Math.max(counters.maxPollsPerSecond, pollTimes.length);
		const load = getReportedLoad();
		sendJson(response, {
			slots: options.slots, running: load.running, queued: load.queued, state: behavior.isDraining ? 'draining' : 'live',
		});
	}

	function answerControl(request: http.IncomingMessage, response: http.ServerResponse): void {
		const chunks: Uint8Array[] = [];
		request.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			if (request.method === 'PUT') {
				behavior = applyChange(behavior, behaviorChangeSchema.parse(JSON.parse(buffer.Buffer.concat(chunks).toString())));
			}

			sendJson(response, {behavior, counters, runs: Object.fromEntries(runs)});
		});
	}

	const address = await listen(server, options.host, options.port);

	return {
		name: options.name,
		address: `${address.host}:${address.port}`,
		counters,
		runs,
		setBehavior(next) {
			behavior = applyChange(behavior, next);
		},
		async close() {
			server.closeAllConnections();
			await close(server);
		},
	};
}

function applyChange(behavior: UpstreamBehavior, change: UpstreamBehaviorChange): UpstreamBehavior {
	const entries = Object.entries(change).filter(([, value]) => value !== undefined);
	return behaviorSchema.parse({...behavior, ...Object.fromEntries(entries)});
}

function sendJson(response: http.ServerResponse, value: unknown): void {
	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify(value));
}
