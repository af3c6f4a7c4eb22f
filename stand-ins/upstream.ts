/**
Stand-in for an upstream with slots, a queue, durations per operation and injected faults.

The path `/load` reports the load, and paths that start with `/control` are for tests; all other requests are calls. The
response to a call contains the SHA-256 digest of the request, so that a caller can detect the response to another call.
*/
import * as buffer from 'node:buffer';
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as pureRand from 'pure-rand';
import * as z from 'zod';
import {assertNever} from '../src/decisions/assert-never.ts';
import {close, listen} from './listen.ts';

const behaviorSchema = z.strictObject({
	/** Mean duration of a call by the first segment of its path; `default` applies to all other paths. */
	durationMilliseconds: z.record(z.string(), z.number()),
	/** Distribution: always the mean, uniform from 0.6 to 1.4 times the mean, or exponential with the mean. */
	durationKind: z.enum(['fixed', 'uniform', 'exponential']),
	/** Factor for all durations, e.g. to simulate a noisy neighbor. */
	slowdown: z.number(),
	/** Responds to each call with status 500 without executing it. */
	failsFast: z.boolean(),
	/** Refuses new calls before execution. */
	isDraining: z.boolean(),
	/** Initial factor for durations after the start; it falls linearly to 1 over `coldMilliseconds`. */
	coldFactor: z.number(),
	coldMilliseconds: z.number(),
	/** Maximum number of queued calls; further calls are refused before execution. */
	queueLimit: z.number(),
	/** Age of the reported load. */
	reportLagMilliseconds: z.number(),
	/** Reports zero load regardless of the actual load. */
	reportsFalsely: z.boolean(),
	/** Share of the responses that are truncated by a closed connection. */
	cutShare: z.number(),
	/** Minimum size of a response body. */
	answerBytes: z.number(),
});

/** Changes to the behavior of an upstream, which `PUT /control` applies at run time. */
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
	/** One-way network delay, added before and after each call. */
	readonly oneWayMilliseconds?: number;
	/** Called at the start of each execution of a call with an idempotency key. */
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
	/** Maximum number of requests to the load endpoint in any window of one second. */
	maxPollsPerSecond: number;
	connections: number;
	maxConnections: number;
	maxRunning: number;
	maxQueued: number;
};

/** Running upstream. */
export type Upstream = {
	readonly name: string;
	/** Host and port. */
	readonly address: string;
	readonly counters: UpstreamCounters;
	/** Number of executions by idempotency key. */
	readonly runs: ReadonlyMap<string, number>;
	setBehavior(behavior: UpstreamBehaviorChange): void;
	close(): Promise<void>;
};

type LoadSample = {readonly at: number; readonly running: number; readonly queued: number};

type QueuedCall = {
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
	const generator = pureRand.xoroshiro128plus(options.seed);
	const runs = new Map<string, number>();
	const queue: QueuedCall[] = [];
	const loadHistory: LoadSample[] = [{at: startedAt, running: 0, queued: 0}];
	const pollTimes: number[] = [];
	const counters: UpstreamCounters = {
		calls: 0, ran: 0, refused: 0, failed: 0, cancelled: 0, polls: 0, maxPollsPerSecond: 0, connections: 0, maxConnections: 0, maxRunning: 0, maxQueued: 0,
	};
	let running = 0;

	const drawUniform = () => pureRand.unsafeUniformIntDistribution(1, 0x7F_FF_FF_FF, generator) / 0x80_00_00_00;
	const oneWayMilliseconds = options.oneWayMilliseconds ?? 0;

	const server = http.createServer({keepAliveTimeout: 60_000, noDelay: true}, (request, response) => {
		if (oneWayMilliseconds === 0) {
			receive(request, response);
		} else {
			setTimeout(receive, oneWayMilliseconds, request, response);
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
			handleLoadRequest(response);
		} else if (path.startsWith('/control')) {
			handleControlRequest(request, response);
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

	function createReply(response: http.ServerResponse): QueuedCall['reply'] {
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

			if (oneWayMilliseconds === 0) {
				send();
			} else {
				setTimeout(send, oneWayMilliseconds);
			}
		};
	}

	function admit(call: QueuedCall): void {
		if (behavior.isDraining || queue.length >= behavior.queueLimit) {
			counters.refused++;
			call.reply(503, {'fescuering-outcome': 'not-run', 'content-type': 'text/plain'}, 'refused before running\n');
			return;
		}

		if (behavior.failsFast) {
			counters.failed++;
			call.reply(500, {'content-type': 'text/plain'}, 'failed\n');
			return;
		}

		queue.push(call);
		counters.maxQueued = Math.max(counters.maxQueued, queue.length);
		runNext();
	}

	function runNext(): void {
		while (running < options.slots) {
			const call = queue.shift();
			if (!call) {
				break;
			}

			if (call.response.destroyed || call.deadlineAt < performance.now()) {
				counters.cancelled++;
				call.reply(503, {'fescuering-outcome': 'not-run', 'content-type': 'text/plain'}, 'deadline passed before running\n');
				continue;
			}

			run(call);
		}

		recordLoad();
	}

	function run(call: QueuedCall): void {
		running++;
		counters.ran++;
		counters.maxRunning = Math.max(counters.maxRunning, running);
		const key = call.request.headers['idempotency-key'];
		if (typeof key === 'string') {
			runs.set(key, (runs.get(key) ?? 0) + 1);
			options.onRun?.(key);
		}

		const complete = () => {
			running--;
			respond(call);
			runNext();
		};

		const duration = getDuration(call.request.url ?? '/');
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
				return 0.6 + (0.8 * drawUniform());
			}

			case 'exponential': {
				return -Math.log(drawUniform());
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

	function respond(call: QueuedCall): void {
		if (behavior.cutShare > 0 && drawUniform() < behavior.cutShare) {
			call.response.writeHead(200, {'content-length': 1000});
			call.response.write('cut');
			setImmediate(() => {
				call.response.destroy();
			});
			return;
		}

		const body = JSON.stringify({upstream: options.name, digest: call.bodyDigest, key: call.request.headers['idempotency-key']});
		const padding = ' '.repeat(Math.max(0, behavior.answerBytes - body.length));
		call.reply(200, {'content-type': 'application/json'}, body + padding);
	}

	function recordLoad(): void {
		const now = performance.now();
		loadHistory.push({at: now, running, queued: queue.length});
		while (loadHistory.length > 1 && loadHistory[1]!.at <= now - behavior.reportLagMilliseconds) {
			loadHistory.shift();
		}
	}

	function getReportedLoad(): LoadSample {
		if (behavior.reportsFalsely) {
			return {at: 0, running: 0, queued: 0};
		}

		recordLoad();
		return loadHistory[0]!;
	}

	function handleLoadRequest(response: http.ServerResponse): void {
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

	function handleControlRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
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
		setBehavior(change) {
			behavior = applyChange(behavior, change);
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
