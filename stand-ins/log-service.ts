/**
Stand-in for the platform's log service: append-only streams in memory, with time-based retention and fault injection.

The service does not deduplicate records by ID: a repeated append creates a second record.
*/
import * as prand from 'pure-rand';
import * as z from 'zod';
import {
	createResponse, createJsonServer, type JsonResponse, type JsonRequest, sleep,
} from './json-server.ts';

const millisecondsPerSecond = 1000;
const defaultReadLimit = 1000;

export const logFaultsSchema = z.strictObject({
	/** Responds to each append and read with status 503, without an effect. */
	down: z.boolean(),
	/** Accepts connections but never responds; appends have no effect. */
	silent: z.boolean(),
	appendDelayMilliseconds: z.number().min(0),
	readDelayMilliseconds: z.number().min(0),
	/** Share of the appends that take effect, after which the connection is closed without a response. */
	lostAnswerShare: z.number().min(0).max(1),
	/** Share of the appends that fail with status 503, without an effect. */
	refusedShare: z.number().min(0).max(1),
	/** Maximum number of appends to all streams in any second; further ones fail with status 429, without an effect. */
	appendsPerSecond: z.number().min(0),
	retentionMilliseconds: z.number().min(0),
	seed: z.int(),
});

/** Faults and limits that can be changed at run time. */
export type LogFaults = z.infer<typeof logFaultsSchema>;

export const defaultLogFaults: LogFaults = {
	down: false,
	silent: false,
	appendDelayMilliseconds: 0,
	readDelayMilliseconds: 0,
	lostAnswerShare: 0,
	refusedShare: 0,
	appendsPerSecond: 500,
	retentionMilliseconds: 3_600_000,
	seed: 1,
};

export type LogServiceOptions = {
	readonly host?: string;
	readonly port?: number;
	readonly faults?: Partial<LogFaults>;
	/** Returns the time in milliseconds since the Unix epoch. */
	readonly now?: () => number;
};

/** Counters since the start. */
export type LogServiceCounts = {
	appended: number;
	refused: number;
	lostAnswers: number;
	reads: number;
};

/** Record of a stream, with the time of its append in milliseconds since the Unix epoch. */
export type StoredRecord = {
	readonly offset: number;
	readonly id: string;
	readonly appendedAt: number;
	readonly value: unknown;
};

/** Running log service. */
export type LogService = {
	readonly url: string;
	setFaults(faults: Partial<LogFaults>): void;
	/** Returns the records of a stream that have not expired. */
	getRecords(stream: string): readonly StoredRecord[];
	/** Immediately drops all records before an offset. */
	expire(stream: string, firstOffset: number): void;
	getCounts(): Readonly<LogServiceCounts>;
	close(): Promise<void>;
};

type Stream = {
	firstOffset: number;
	records: StoredRecord[];
	waiters: Set<() => void>;
};

/** Starts the log service. */
export async function createLogService(options: LogServiceOptions = {}): Promise<LogService> {
	const now = options.now ?? Date.now;
	const streams = new Map<string, Stream>();
	const counts: LogServiceCounts = {
		appended: 0, refused: 0, lostAnswers: 0, reads: 0,
	};
	let faults: LogFaults = {...defaultLogFaults, ...options.faults};
	let generator = prand.xoroshiro128plus(faults.seed);
	let recentAppends: number[] = [];

	const drawUniform = (): number => {
		const steps = 1_000_000;
		return prand.unsafeUniformIntDistribution(0, steps - 1, generator) / steps;
	};

	const getStream = (name: string): Stream => {
		const stream = streams.get(name) ?? {firstOffset: 0, records: [], waiters: new Set()};
		streams.set(name, stream);
		dropExpired(stream, now() - faults.retentionMilliseconds);
		return stream;
	};

	const setFaults = (changedFaults: Partial<LogFaults>): void => {
		const previousSeed = faults.seed;
		faults = {...faults, ...changedFaults};
		if (faults.seed !== previousSeed) {
			generator = prand.xoroshiro128plus(faults.seed);
		}

		for (const stream of streams.values()) {
			wakeWaiters(stream);
		}
	};

	const isOverAppendRate = (): boolean => {
		recentAppends = recentAppends.filter(time => time > now() - millisecondsPerSecond);
		return recentAppends.length >= faults.appendsPerSecond;
	};

	const append = async (name: string, request: JsonRequest): Promise<JsonResponse> => {
		const {id, value} = appendSchema.parse(request.body);
		await sleep(faults.appendDelayMilliseconds);
		const isRefused = drawUniform() < faults.refusedShare;
		const isAnswerLost = drawUniform() < faults.lostAnswerShare;
		if (faults.down || isRefused) {
			counts.refused++;
			return unavailableResponse;
		}

		if (isOverAppendRate()) {
			counts.refused++;
			return createResponse({error: 'too many appends'}, 429);
		}

		recentAppends.push(now());
		counts.appended++;
		const stream = getStream(name);
		const offset = stream.firstOffset + stream.records.length;
		stream.records.push({
			offset, id, appendedAt: now(), value,
		});
		wakeWaiters(stream);
		if (isAnswerLost) {
			counts.lostAnswers++;
			return {kind: 'destroy'};
		}

		return createResponse({offset});
	};

	const read = async (name: string, request: JsonRequest): Promise<JsonResponse> => {
		counts.reads++;
		const query = readSchema.parse(Object.fromEntries(request.query));
		const deadline = now() + query.waitMilliseconds;
		const stream = getStream(name);
		while (stream.firstOffset + stream.records.length <= query.from && now() < deadline && !faults.down && !faults.silent && !request.signal.aborted) {
			await waitForRecord(stream, deadline - now(), request.signal);
		}

		await sleep(faults.readDelayMilliseconds, request.signal);
		if (faults.silent) {
			return {kind: 'silence'};
		}

		return faults.down ? unavailableResponse : createResponse(createPage(getStream(name), query.from, query.limit));
	};

	const handle = async (request: JsonRequest): Promise<JsonResponse> => {
		if (request.path === '/control') {
			if (request.method === 'PUT') {
				setFaults(logFaultsSchema.parse({...faults, ...faultChangesSchema.parse(request.body)}));
			}

			return createResponse({...faults, counts});
		}

		const name = /^\/streams\/(?<name>[^\/]+)\/records$/v.exec(request.path)?.groups?.name;
		if (name === undefined) {
			return createResponse({error: 'no such path'}, 404);
		}

		if (faults.silent) {
			return {kind: 'silence'};
		}

		return request.method === 'POST' ? append(name, request) : read(name, request);
	};

	const server = await createJsonServer(options.host ?? '127.0.0.1', options.port ?? 0, handle);
	return {
		url: server.url,
		setFaults,
		getRecords: name => getStream(name).records,
		expire(name, firstOffset) {
			const stream = getStream(name);
			const dropped = Math.max(0, Math.min(firstOffset - stream.firstOffset, stream.records.length));
			stream.records.splice(0, dropped);
			stream.firstOffset += dropped;
		},
		getCounts: () => counts,
		close: async () => server.close(),
	};
}

const faultChangesSchema = z.record(z.string(), z.unknown());

const appendSchema = z.strictObject({id: z.string(), value: z.unknown()});

const readSchema = z.object({
	from: z.coerce.number().int().min(0).default(0),
	limit: z.coerce.number().int().min(1).default(defaultReadLimit),
	waitMilliseconds: z.coerce.number().min(0).default(0),
});

const unavailableResponse = createResponse({error: 'the log service is down'}, 503);

function createPage(stream: Stream, from: number, limit: number): unknown {
	const end = stream.firstOffset + stream.records.length;
	const start = Math.min(Math.max(from, stream.firstOffset), end);
	const records = stream.records.slice(start - stream.firstOffset, start - stream.firstOffset + limit);
	return {firstOffset: stream.firstOffset, nextOffset: start + records.length, records};
}

function dropExpired(stream: Stream, oldestTime: number): void {
	let count = 0;
	while (stream.records[count] !== undefined && stream.records[count]!.appendedAt < oldestTime) {
		count++;
	}

	stream.records.splice(0, count);
	stream.firstOffset += count;
}

function wakeWaiters(stream: Stream): void {
	const waiters = [...stream.waiters];
	stream.waiters.clear();
	for (const wake of waiters) {
		wake();
	}
}

async function waitForRecord(stream: Stream, milliseconds: number, signal: AbortSignal): Promise<void> {
	const abortController = new AbortController();
	const wake = (): void => {
		abortController.abort();
	};

	stream.waiters.add(wake);
	signal.addEventListener('abort', wake, {once: true});
	await sleep(milliseconds, abortController.signal);
	signal.removeEventListener('abort', wake);
	stream.waiters.delete(wake);
}
