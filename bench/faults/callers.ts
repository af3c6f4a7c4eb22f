/** Callers of a fault run: non-idempotent calls whose repeats go to other entries. */
import * as buffer from 'node:buffer';
import * as crypto from 'node:crypto';
import * as pureRand from 'pure-rand';
import * as undici from 'undici';
import * as z from 'zod';
import {type Outcome} from '../../src/decisions/outcomes/types.ts';
import {type Attempt} from './judge.ts';

export type CallersOptions = {
	readonly seed: number;
	readonly service: string;
	/** Addresses of the entries, as callers connect to them. */
	readonly entries: readonly string[];
	readonly concurrency: number;
	readonly timeoutMilliseconds: number;
};

export type Callers = {
	/** Ends after the calls in flight; resolves to all attempts. */
	stop(): Promise<readonly Attempt[]>;
};

const maximumAttempts = 5;
const entriesRefreshMilliseconds = 1000;
const outcomes: readonly string[] = ['ran', 'not-run', 'unknown'] satisfies readonly Outcome[];

const entriesSchema = z.object({entries: z.array(z.object({address: z.string(), incarnation: z.string()}))});
const answerSchema = z.object({digest: z.string(), key: z.string()});
const problemSchema = z.object({type: z.string()});

type Operation = {
	readonly key: string;
	readonly path: Attempt['path'];
	/** Entries to call, the preferred one first. */
	readonly entries: readonly string[];
	readonly body: Uint8Array;
	readonly mayOverlap: boolean;
	readonly pauseMilliseconds: number;
};

/** Starts callers that go on until they are stopped. */
export function startCallers(options: CallersOptions): Callers {
	const random = pureRand.xoroshiro128plus(options.seed);
	const draw = (count: number): number => pureRand.unsafeUniformIntDistribution(0, count - 1, random);
	const agent = new undici.Agent({connections: options.concurrency * 2, connect: {timeout: 500}});
	const attempts: Attempt[] = [];
	let prefixes: ReadonlyMap<string, string> = new Map();
	let serial = 0;
	const stopping = new AbortController();

	const refreshPrefixes = async (): Promise<void> => {
		const entry = options.entries[draw(options.entries.length)]!;
		try {
			const response = await undici.request(`http://${entry}/v1/entries`, {dispatcher: agent, signal: AbortSignal.timeout(500)});
			const answer = entriesSchema.parse(await response.body.json());
			prefixes = new Map(answer.entries.map(({address, incarnation}) => [address, incarnation]));
		} catch {
			// The entry is away; the old answer is kept, as callers do.
		}
	};

	const createOperation = (): Operation => {
		const first = draw(options.entries.length);
		const entries = options.entries.map((_entry, index) => options.entries[(first + index) % options.entries.length]!);
		const prefix = prefixes.get(entries[0]!);
		const isBound = prefix !== undefined && draw(2) === 0;
		serial++;
		return {
			key: isBound ? `${prefix}.${options.seed}-${serial}` : `key-${options.seed}-${serial}`,
			path: isBound ? 'bound' : 'caller-made',
			entries,
			body: buffer.Buffer.alloc(50 + draw(3000), String(serial)),
			mayOverlap: draw(4) === 0,
			pauseMilliseconds: 50 + draw(250),
		};
	};

	const attempt = async (operation: Operation, number: number): Promise<Attempt> => {
		const entry = operation.entries[number % operation.entries.length]!;
		const result = await send(operation, entry, number);
		const finished = {
			key: operation.key, path: operation.path, entry: `entry-${options.entries.indexOf(entry) + 1}`, ...result,
		};
		attempts.push(finished);
		return finished;
	};

	const send = async (operation: Operation, entry: string, number: number): Promise<Omit<Attempt, 'key' | 'path' | 'entry'>> => {
		const startedAt = performance.now();
		const getDuration = () => performance.now() - startedAt;
		try {
			const response = await undici.request(`http://${entry}/${options.service}/redeem`, {
				dispatcher: agent,
				method: 'POST',
				body: operation.body,
				headers: {
					'idempotency-key': operation.key,
					'fescuering-timeout-milliseconds': String(options.timeoutMilliseconds),
					...(number === 0 && !operation.mayOverlap ? {'fescuering-attempt': '1'} : {}),
				},
				signal: AbortSignal.timeout(options.timeoutMilliseconds + 500),
			});
			const text = await response.body.text();
			const outcome = String(response.headers['fescuering-outcome']);
			return {
				statusCode: response.statusCode,
				outcome: isOutcome(outcome) ? outcome : 'none',
				cause: getCause(response.statusCode, text),
				isWrongAnswer: response.statusCode === 200 && !isAnswerTo(operation, text),
				durationMilliseconds: getDuration(),
			};
		} catch (error) {
			const cause = error instanceof Error ? ('code' in error ? String(error.code) : error.name) : 'error';
			return {
				statusCode: 0, outcome: 'none', cause: `caller-${cause}`, isWrongAnswer: false, durationMilliseconds: getDuration(),
			};
		}
	};

	/** Calls until the outcome is definite; one call in four is repeated before its answer. */
	const operate = async (operation: Operation): Promise<void> => {
		const overlapping: Array<Promise<Attempt>> = [];
		if (operation.mayOverlap) {
			overlapping.push(sleep(operation.pauseMilliseconds / 10).then(async () => attempt(operation, 1)));
		}

		for (let number = 0; number < maximumAttempts; number++) {
			const {outcome} = await attempt(operation, number);
			if (outcome === 'ran' || outcome === 'not-run') {
				break;
			}

			await sleep(operation.pauseMilliseconds);
		}

		await Promise.all(overlapping);
	};

	const work = async (): Promise<void> => {
		while (!stopping.signal.aborted) {
			await operate(createOperation());
			await sleep(draw(20));
		}
	};

	const refresh = async (): Promise<void> => {
		while (!stopping.signal.aborted) {
			await refreshPrefixes();
			await sleep(prefixes.size === 0 ? 50 : entriesRefreshMilliseconds);
		}
	};

	const workers = [refresh(), ...Array.from({length: options.concurrency}, async () => work())];
	return {
		async stop() {
			stopping.abort();
			await Promise.all(workers);
			await agent.destroy();
			return attempts;
		},
	};
}

function isOutcome(text: string): text is Outcome {
	return outcomes.includes(text);
}

function getCause(statusCode: number, text: string): string {
	if (statusCode === 200) {
		return 'answered';
	}

	try {
		return problemSchema.parse(JSON.parse(text)).type.replace('urn:fescuering:problem:', '');
	} catch {
		return `status-${statusCode}`;
	}
}

/** Checks that an answer is whole and belongs to the operation. */
function isAnswerTo(operation: Operation, text: string): boolean {
	try {
		const answer = answerSchema.parse(JSON.parse(text));
		const digest = crypto.createHash('sha256').update('POST /redeem ').update(operation.body).digest('hex');
		return answer.key === operation.key && answer.digest === digest;
	} catch {
		return false;
	}
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
