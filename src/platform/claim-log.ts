/**
Claims of caller-made keys in the log: many claims in one record, decided by reading the stream back.

The position of a record in the stream decides, so a lost append answer needs no special case: the record is
appended again with the same id until the reader meets it. A claim whose time is up is given up for good; when its
record turns up later all the same, its outcome is recorded as `not-run`.
*/
import {
	type ClaimFold, type ClaimRecord, claimRecordSchema, claimsStream, type ClaimStatus, createClaimFold,
	type HandoverRecord, type HandoverStatus, type RecordMetadata,
} from '../decisions/outcomes/claim-fold.ts';
import {type RecordedKey} from '../decisions/outcomes/key-table.ts';
import {resolveOutcome} from '../decisions/outcomes/resolve-outcome.ts';
import {type Outcome} from '../decisions/outcomes/types.ts';
import {type LogHost, type LogPage} from './types.ts';

export type ClaimLogOptions = {
	/** Incarnation that claims are made for. */
	readonly incarnation: string;
	readonly windowMilliseconds: number;
	readonly maximumClaims: number;
	/** Appends that this entry may make in a second. */
	readonly getAppendsPerSecond: () => number;
};

export type ClaimLogHost = {
	readonly log: LogHost;
	/** Creates an id that no other record has. */
	createId(): string;
	/** Milliseconds of a monotonic clock. */
	now(): number;
	/** Milliseconds since the epoch. */
	wallNow(): number;
	/** Called when records expired before they were read. */
	onGap?(): void;
};

export type ClaimResult
	= | {readonly kind: 'won'}
		| {readonly kind: 'lost'; readonly owner: string}
	/** Earlier claims may have expired unread. */
		| {readonly kind: 'gap'}
	/** Not decided in time; this claim is never dispatched. */
		| {readonly kind: 'undecided'};

export type ClaimLog = {
	/** Claims a key. */
	claim(key: string, timeoutMilliseconds: number): Promise<ClaimResult>;
	/** Records the outcome of a key that was won, along with the next claims. */
	recordOutcome(key: string, outcome: Outcome): void;
	/** Whether so many claims are remembered that no new one should be made. */
	isFull(): boolean;
	getClaim(key: string): ClaimStatus | undefined;
	getHandover(incarnation: string, key: string, bucket: number): HandoverStatus;
	/** Takes a key table that came from a peer. */
	takeHandover(record: HandoverRecord): void;
	/** Appends the key table of this incarnation; resolves to whether all parts are in the log. */
	handOver(parts: readonly HandoverRecord[], timeoutMilliseconds: number): Promise<boolean>;
	/** Stops reading and appending; open claims stay undecided. */
	stop(): Promise<void>;
};

/** Share of the remembered claims at which new ones are refused, so that young ones need not be dropped. */
const fullShare = 0.9;

const maximumClaimsPerRecord = 500;
const maximumBatchesInFlight = 2;
const maximumQueuedOutcomes = 20_000;
const maximumAbandoned = 10_000;
const appendTimeoutMilliseconds = 1000;
const appendBackoffMilliseconds = 50;
const readWaitMilliseconds = 1000;
const readTimeoutMilliseconds = 3000;
const readBackoffMilliseconds = 100;
const readLimit = 500;
const outcomeDelayMilliseconds = 200;

type OpenClaim = {
	/** Record that carries the claim; undefined while it is queued. */
	recordId: string | undefined;
	readonly resolve: (result: ClaimResult) => void;
};

type Batch = {
	readonly id: string;
	readonly claims: readonly string[];
	readonly outcomes: readonly RecordedKey[];
	isSeen: boolean;
};

/** Starts to read the claims stream. */
export function createClaimLog(options: ClaimLogOptions, host: ClaimLogHost): ClaimLog {
	const fold: ClaimFold = createClaimFold(options);
	const open = new Map<string, OpenClaim>();
	/** Keys by the record whose claims were given up after it was sent. */
	const abandoned = new Set<string>();
	const batches = new Map<string, Batch>();
	const stop = new AbortController();
	let queued: string[] = [];
	const outcomes: RecordedKey[] = [];
	let nextAppendAt = 0;
	let flushTimer: NodeJS.Timeout | undefined;

	const settle = (key: string, result: ClaimResult): void => {
		const claim = open.get(key);
		open.delete(key);
		claim?.resolve(result);
	};

	const giveUp = (key: string, claim: OpenClaim): void => {
		if (open.get(key) !== claim) {
			return;
		}

		queued = queued.filter(other => other !== key);
		if (claim.recordId !== undefined && abandoned.size < maximumAbandoned) {
			abandoned.add(`${claim.recordId} ${key}`);
		}

		settle(key, {kind: 'undecided'});
	};

	const scheduleFlush = (delayMilliseconds: number): void => {
		if (flushTimer === undefined && !stop.signal.aborted) {
			flushTimer = setTimeout(() => {
				flushTimer = undefined;
				flush();
			}, delayMilliseconds);
		}
	};

	const flush = (): void => {
		if (stop.signal.aborted || (queued.length === 0 && outcomes.length === 0) || batches.size >= maximumBatchesInFlight) {
			return;
		}

		const now = host.now();
		if (now < nextAppendAt) {
			scheduleFlush(nextAppendAt - now);
			return;
		}

		nextAppendAt = now + (1000 / options.getAppendsPerSecond());
		const batch: Batch = {
			id: host.createId(), claims: queued.splice(0, maximumClaimsPerRecord), outcomes: outcomes.splice(0, maximumClaimsPerRecord), isSeen: false,
		};
		batches.set(batch.id, batch);
		for (const key of batch.claims) {
			const claim = open.get(key);
			if (claim) {
				claim.recordId = batch.id;
			}
		}

		void sendBatch(batch);
	};

	const isWanted = (batch: Batch): boolean => !batch.isSeen && !stop.signal.aborted
		&& (batch.outcomes.length > 0 || batch.claims.some(key => open.get(key)?.recordId === batch.id));

	const sendBatch = async (batch: Batch): Promise<void> => {
		const record: ClaimRecord = {
			kind: 'batch', incarnation: options.incarnation, claims: [...batch.claims], outcomes: [...batch.outcomes],
		};
		while (isWanted(batch)) {
			const result = await host.log.append(claimsStream, batch.id, record, appendTimeoutMilliseconds);
			if (result.isOk()) {
				break;
			}

			await sleep(appendBackoffMilliseconds, stop.signal);
		}

		batches.delete(batch.id);
		flush();
	};

	const applyRecord = (record: ClaimRecord, position: RecordMetadata): void => {
		const batch = batches.get(position.id);
		if (batch) {
			batch.isSeen = true;
		}

		const decisions = fold.apply(record, position);
		if (record.incarnation !== options.incarnation) {
			return;
		}

		for (const {key, ...result} of decisions) {
			if (open.get(key)?.recordId === position.id) {
				settle(key, result);
			} else if (abandoned.delete(`${position.id} ${key}`) && result.kind === 'won') {
				recordOutcome(key, resolveOutcome({kind: 'claim-undecided'}, {kind: 'first-use'}));
			}
		}
	};

	const recordOutcome = (key: string, outcome: Outcome): void => {
		if (outcomes.length < maximumQueuedOutcomes) {
			outcomes.push({key, outcome});
		}

		scheduleFlush(outcomeDelayMilliseconds);
	};

	const applyPage = (page: LogPage, fromOffset: number): number => {
		if (fromOffset > 0 && page.firstOffset > fromOffset) {
			fold.recordGap();
			host.onGap?.();
		}

		for (const {id, appendedAt, value} of page.records) {
			const record = claimRecordSchema.safeParse(value);
			if (record.success) {
				applyRecord(record.data, {id, appendedAt});
			}
		}

		return page.nextOffset;
	};

	const follow = async (): Promise<void> => {
		let offset = 0;
		while (!stop.signal.aborted) {
			const page = await host.log.read(claimsStream, offset, {
				limit: readLimit, waitMilliseconds: readWaitMilliseconds, timeoutMilliseconds: readTimeoutMilliseconds,
			});
			if (page.isOk()) {
				offset = applyPage(page.value, offset);
			} else {
				await sleep(readBackoffMilliseconds, stop.signal);
			}
		}
	};

	const appendPart = async (part: HandoverRecord, deadlineAt: number): Promise<boolean> => {
		const id = host.createId();
		while (host.now() < deadlineAt) {
			const result = await host.log.append(claimsStream, id, part, appendTimeoutMilliseconds);
			if (result.isOk()) {
				return true;
			}

			await sleep(appendBackoffMilliseconds, stop.signal);
		}

		return false;
	};

	const following = follow();

	return {
		claim: async (key, timeoutMilliseconds) => new Promise(resolve => {
			const claim: OpenClaim = {
				recordId: undefined,
				resolve(result) {
					clearTimeout(timer);
					resolve(result);
				},
			};
			const timer = setTimeout(giveUp, timeoutMilliseconds, key, claim);
			open.set(key, claim);
			queued.push(key);
			flush();
		}),
		recordOutcome,
		isFull: () => fold.getSize().claims >= options.maximumClaims * fullShare,
		getClaim: key => fold.getClaim(key),
		getHandover: (incarnation, key, bucket) => fold.getHandover(incarnation, key, bucket),
		takeHandover(record) {
			fold.applyHandover(record, host.wallNow());
		},
		async handOver(parts, timeoutMilliseconds) {
			const deadlineAt = host.now() + timeoutMilliseconds;
			const results = await Promise.all(parts.map(async part => appendPart(part, deadlineAt)));
			return results.every(Boolean);
		},
		async stop() {
			stop.abort();
			clearTimeout(flushTimer);
			for (const key of open.keys()) {
				settle(key, {kind: 'undecided'});
			}

			await following;
		},
	};
}

async function sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		const timer = setTimeout(resolve, milliseconds);
		signal.addEventListener('abort', () => {
			clearTimeout(timer);
			resolve();
		}, {once: true});
	});
}
