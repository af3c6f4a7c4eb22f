/** Callers of a fault run: they send non-idempotent calls and retry them at other entries. */
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
	/** Host and port of each entry for callers. */
	readonly entries: readonly string[];
	readonly concurrency: number;
	readonly timeoutMilliseconds: number;
};

export type Callers = {
	/** Starts no more operations, waits for those in progress and resolves to all attempts. */
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
	/** Origin of the key. */
	readonly path: Attempt['path'];
	/** Addresses of the entries in the order of the attempts. */
	readonly entries: readonly string[];
	readonly body: Uint8Array;
	/** Whether the second entry receives an attempt before the first attempt is answered. */
	readonly mayOverlap: boolean;
	/** Pause between two attempts. */
	readonly pauseMilliseconds: number;
};

/** Starts callers that send operations until they are stopped. */
export function startCallers(options: CallersOptions): Callers {
	const random = pureRand.xoroshiro128plus(options.seed);
	const drawInteger = (count: number): number => pureRand.unsafeUniformIntDistribution(0, count - 1, random);
	const agent = new undici.Agent({connections: options.concurrency * 2, connect: {timeout: 500}});
	const attempts: Attempt[] = [];
	let incarnationsByAddress: ReadonlyMap<string, string> = new Map();
	let lastSerialNumber = 0;
	const stopController = new AbortController();

	const refreshIncarnations = async (): Promise<void> => {
		const entry = options.entries[drawInteger(options.entries.length)]!;
		try {
			const response = await undici.request(`http://${entry}/v1/entries`, {dispatcher: agent, signal: AbortSignal.timeout(500)});
			const answer = entriesSchema.parse(await response.body.json());
			incarnationsByAddress = new Map(answer.entries.map(({address, incarnation}) => [address, incarnation]));
		} catch {
			// The entry is unavailable; the previous list stays in use, as in a real caller.
		}
	};

	const createOperation = (): Operation => {
		const firstEntryIndex = drawInteger(options.entries.length);
		const entries = options.entries.map((_entry, index) => options.entries[(firstEntryIndex + index) % options.entries.length]!);
		const incarnation = incarnationsByAddress.get(entries[0]!);
		const isBound = incarnation !== undefined && drawInteger(2) === 0;
		lastSerialNumber++;
		return {
			key: isBound ? `${incarnation}.${options.seed}-${lastSerialNumber}` : `key-${options.seed}-${lastSerialNumber}`,
			path: isBound ? 'bound' : 'caller-made',
			entries,
			body: buffer.Buffer.alloc(50 + drawInteger(3000), String(lastSerialNumber)),
			mayOverlap: drawInteger(4) === 0,
			pauseMilliseconds: 50 + drawInteger(250),
		};
	};

	const makeAttempt = async (operation: Operation, attemptIndex: number): Promise<Attempt> => {
		const entry = operation.entries[attemptIndex % operation.entries.length]!;
		const attemptResult = await send(operation, entry, attemptIndex);
		const finishedAttempt = {
			key: operation.key, path: operation.path, entry: `entry-${options.entries.indexOf(entry) + 1}`, ...attemptResult,
		};
		attempts.push(finishedAttempt);
		return finishedAttempt;
	};

	const send = async (operation: Operation, entry: string, attemptIndex: number): Promise<Omit<Attempt, 'key' | 'path' | 'entry'>> => {
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
					...(attemptIndex === 0 && !operation.mayOverlap ? {'fescuering-attempt': '1'} : {}),
				},
				signal: AbortSignal.timeout(options.timeoutMilliseconds + 500),
			});
			const text = await response.body.text();
			const outcome = String(response.headers['fescuering-outcome']);
			return {
				statusCode: response.statusCode,
				outcome: isOutcome(outcome) ? outcome : 'none',
				cause: getCause(response.statusCode, text),
				isWrongAnswer: response.statusCode === 200 && !isAnswerForOperation(operation, text),
				durationMilliseconds: getDuration(),
			};
		} catch (error) {
			const cause = error instanceof Error ? ('code' in error ? String(error.code) : error.name) : 'error';
			return {
				statusCode: 0, outcome: 'none', cause: `caller-${cause}`, isWrongAnswer: false, durationMilliseconds: getDuration(),
			};
		}
	};

	/** Retries an operation until its outcome is definite; one operation in four also sends an overlapping attempt. */
	const runOperation = async (operation: Operation): Promise<void> => {
		const overlappingAttempts: Array<Promise<Attempt>> = [];
		if (operation.mayOverlap) {
			overlappingAttempts.push(sleep(operation.pauseMilliseconds / 10).then(async () => makeAttempt(operation, 1)));
		}

		for (let attemptIndex = 0; attemptIndex < maximumAttempts; attemptIndex++) {
			const {outcome} = await makeAttempt(operation, attemptIndex);
			if (outcome === 'ran' || outcome === 'not-run') {
				break;
			}

			await sleep(operation.pauseMilliseconds);
		}

		await Promise.all(overlappingAttempts);
	};

	const runCaller = async (): Promise<void> => {
		while (!stopController.signal.aborted) {
			await runOperation(createOperation());
			await sleep(drawInteger(20));
		}
	};

	const runRefresh = async (): Promise<void> => {
		while (!stopController.signal.aborted) {
			await refreshIncarnations();
			await sleep(incarnationsByAddress.size === 0 ? 50 : entriesRefreshMilliseconds);
		}
	};

	const workers = [runRefresh(), ...Array.from({length: options.concurrency}, async () => runCaller())];
	return {
		async stop() {
			stopController.abort();
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

/** Checks that an answer is complete and belongs to the operation. */
function isAnswerForOperation(operation: Operation, text: string): boolean {
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
