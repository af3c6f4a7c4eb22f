/**
Claims idempotency keys through the log. One record carries many claims; reading the stream decides them.

The offset of a record decides its claims, so a lost append response needs no special case: the record is appended
again with the same ID until the reader finds it in the stream. A claim that times out is abandoned and never
dispatched; when its record wins the key later nevertheless, the outcome of the key is recorded as `not-run`.
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
	/** Incarnation of this entry, the owner of the claims that it wins. */
	readonly incarnation: string;
	readonly windowMilliseconds: number;
	readonly maximumClaims: number;
	/** Returns the number of records that this entry may append per second. */
	readonly getMaximumAppendsPerSecond: () => number;
};

export type ClaimLogHost = {
	readonly log: LogHost;
	/** Creates a unique record ID. */
	createId(): string;
	/** Returns the milliseconds of a monotonic clock. */
	now(): number;
	/** Returns the milliseconds since the epoch. */
	wallNow(): number;
	/** Called when records expired before this entry read them. */
	onGap?(): void;
};

export type ClaimResult
	= | {readonly kind: 'won'}
		| {readonly kind: 'lost'; readonly owner: string}
	/** Undecidable: earlier claims may have expired before this entry read them. */
		| {readonly kind: 'gap'}
	/** Not decided before the timeout; the call of this claim is never dispatched. */
		| {readonly kind: 'undecided'};

export type ClaimLog = {
	/** Claims a key; resolves when the claim is decided or the timeout has passed. */
	claim(key: string, timeoutMilliseconds: number): Promise<ClaimResult>;
	/** Queues the outcome of a key that this entry won; the next record carries it along with new claims. */
	recordOutcome(key: string, outcome: Outcome): void;
	/** Whether so many claims are in memory that new ones must be refused. */
	isFull(): boolean;
	getClaim(key: string): ClaimStatus | undefined;
	getHandover(incarnation: string, key: string, bucket: number): HandoverStatus;
	/** Applies one part of a key table that a peer sent directly. */
	applyHandover(record: HandoverRecord): void;
	/** Appends the key table of this incarnation; resolves to whether all parts were appended before the timeout. */
	handOver(parts: readonly HandoverRecord[], timeoutMilliseconds: number): Promise<boolean>;
	/** Stops reading and appending; open claims resolve to `undecided`. */
	stop(): Promise<void>;
};

/** Share of `maximumClaims` at which new claims are refused, so that claims within the window need not be dropped. */
const maximumFillShare = 0.9;

const maximumClaimsPerRecord = 500;
const maximumBatchesInFlight = 2;
const maximumQueuedOutcomes = 20_000;
const maximumAbandonedClaims = 10_000;
const appendTimeoutMilliseconds = 1000;
const appendBackoffMilliseconds = 50;
const readWaitMilliseconds = 1000;
const readTimeoutMilliseconds = 3000;
const readBackoffMilliseconds = 100;
const readLimit = 500;
const outcomeDelayMilliseconds = 200;

type OpenClaim = {
	/** ID of the record that carries the claim; undefined while the claim is queued. */
	recordId: string | undefined;
	readonly resolve: (result: ClaimResult) => void;
};

type Batch = {
	readonly id: string;
	readonly claims: readonly string[];
	readonly outcomes: readonly RecordedKey[];
	/** Whether the reader has found the record in the stream. */
	isInStream: boolean;
};

/** Creates the claim log and starts to read the claims stream. */
export function createClaimLog(options: ClaimLogOptions, host: ClaimLogHost): ClaimLog {
	const fold: ClaimFold = createClaimFold(options);
	const openClaims = new Map<string, OpenClaim>();
	/** Claims that timed out after their record was sent, as `RECORD_ID KEY`. */
	const abandonedClaims = new Set<string>();
	const batchesInFlight = new Map<string, Batch>();
	const abortController = new AbortController();
	let queuedKeys: string[] = [];
	const queuedOutcomes: RecordedKey[] = [];
	let nextAppendAt = 0;
	let flushTimer: NodeJS.Timeout | undefined;

	const resolveClaim = (key: string, result: ClaimResult): void => {
		const claim = openClaims.get(key);
		openClaims.delete(key);
		claim?.resolve(result);
	};

	const abandonClaim = (key: string, claim: OpenClaim): void => {
		if (openClaims.get(key) !== claim) {
			return;
		}

		queuedKeys = queuedKeys.filter(other => other !== key);
		if (claim.recordId !== undefined && abandonedClaims.size < maximumAbandonedClaims) {
			abandonedClaims.add(`${claim.recordId} ${key}`);
		}

		resolveClaim(key, {kind: 'undecided'});
	};

	const scheduleFlush = (delayMilliseconds: number): void => {
		if (flushTimer === undefined && !abortController.signal.aborted) {
			flushTimer = setTimeout(() => {
				flushTimer = undefined;
				flush();
			}, delayMilliseconds);
		}
	};

	const flush = (): void => {
		if (abortController.signal.aborted || (queuedKeys.length === 0 && queuedOutcomes.length === 0) || batchesInFlight.size >= maximumBatchesInFlight) {
			return;
		}

		const now = host.now();
		if (now < nextAppendAt) {
			scheduleFlush(nextAppendAt - now);
			return;
		}

		nextAppendAt = now + (1000 / options.getMaximumAppendsPerSecond());
		const batch: Batch = {
			id: host.createId(), claims: queuedKeys.splice(0, maximumClaimsPerRecord), outcomes: queuedOutcomes.splice(0, maximumClaimsPerRecord), isInStream: false,
		};
		batchesInFlight.set(batch.id, batch);
		for (const key of batch.claims) {
			const claim = openClaims.get(key);
			if (claim) {
				claim.recordId = batch.id;
			}
		}

		void sendBatch(batch);
	};

	const isAppendNeeded = (batch: Batch): boolean => !batch.isInStream && !abortController.signal.aborted
		&& (batch.outcomes.length > 0 || batch.claims.some(key => openClaims.get(key)?.recordId === batch.id));

	const sendBatch = async (batch: Batch): Promise<void> => {
		const record: ClaimRecord = {
			kind: 'batch', incarnation: options.incarnation, claims: [...batch.claims], outcomes: [...batch.outcomes],
		};
		while (isAppendNeeded(batch)) {
			const result = await host.log.append(claimsStream, batch.id, record, appendTimeoutMilliseconds);
			if (result.isOk()) {
				break;
			}

			await sleep(appendBackoffMilliseconds, abortController.signal);
		}

		batchesInFlight.delete(batch.id);
		flush();
	};

	const applyRecord = (record: ClaimRecord, position: RecordMetadata): void => {
		const batch = batchesInFlight.get(position.id);
		if (batch) {
			batch.isInStream = true;
		}

		const decisions = fold.apply(record, position);
		if (record.incarnation !== options.incarnation) {
			return;
		}

		for (const {key, ...result} of decisions) {
			if (openClaims.get(key)?.recordId === position.id) {
				resolveClaim(key, result);
			} else if (abandonedClaims.delete(`${position.id} ${key}`) && result.kind === 'won') {
				recordOutcome(key, resolveOutcome({kind: 'claim-undecided'}, {kind: 'first-use'}));
			}
		}
	};

	const recordOutcome = (key: string, outcome: Outcome): void => {
		if (queuedOutcomes.length < maximumQueuedOutcomes) {
			queuedOutcomes.push({key, outcome});
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

	const readStream = async (): Promise<void> => {
		let offset = 0;
		while (!abortController.signal.aborted) {
			const page = await host.log.read(claimsStream, offset, {
				limit: readLimit, waitMilliseconds: readWaitMilliseconds, timeoutMilliseconds: readTimeoutMilliseconds,
			});
			if (page.isOk()) {
				offset = applyPage(page.value, offset);
			} else {
				await sleep(readBackoffMilliseconds, abortController.signal);
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

			await sleep(appendBackoffMilliseconds, abortController.signal);
		}

		return false;
	};

	const readerEnded = readStream();

	return {
		claim: async (key, timeoutMilliseconds) => new Promise(resolve => {
			const claim: OpenClaim = {
				recordId: undefined,
				resolve(result) {
					clearTimeout(timer);
					resolve(result);
				},
			};
			const timer = setTimeout(abandonClaim, timeoutMilliseconds, key, claim);
			openClaims.set(key, claim);
			queuedKeys.push(key);
			flush();
		}),
		recordOutcome,
		isFull: () => fold.getSize().claims >= options.maximumClaims * maximumFillShare,
		getClaim: key => fold.getClaim(key),
		getHandover: (incarnation, key, bucket) => fold.getHandover(incarnation, key, bucket),
		applyHandover(record) {
			fold.applyHandover(record, host.wallNow());
		},
		async handOver(parts, timeoutMilliseconds) {
			const deadlineAt = host.now() + timeoutMilliseconds;
			const results = await Promise.all(parts.map(async part => appendPart(part, deadlineAt)));
			return results.every(Boolean);
		},
		async stop() {
			abortController.abort();
			clearTimeout(flushTimer);
			for (const key of openClaims.keys()) {
				resolveClaim(key, {kind: 'undecided'});
			}

			await readerEnded;
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
