/**
Keeps the table of weights and limits in force on one entry.

It long-polls the table stream, takes newer versions from peers, and appends a snapshot of the accepted table
well before the records that it came from expire. It knows no version until it has read the log to its end
or has adopted a version from a peer.
*/
import {assertNever} from '../decisions/assert-never.ts';
import {tableStream, type Verdict} from '../decisions/table/fold.ts';
import {
	createUpdate, type FollowerEvent, applyPage, type FollowerState, applyUpdate, initialFollowerState, type TableUpdate,
} from '../decisions/table/table-follower.ts';
import {createTableReaderLifeCycle, type TableReaderEvent, type TableReaderState} from '../decisions/table/reader-machine.ts';
import {type Table} from '../decisions/table/rows.ts';
import {createSnapshotSchedule} from '../decisions/table/snapshot-schedule.ts';
import {createSnapshot, hashTable} from '../decisions/table/snapshot.ts';
import {type Logger} from '../observability/logger.ts';
import {createBackoff} from '../platform/backoff.ts';
import {type LogHost, type LogPage} from '../platform/types.ts';

/** The world outside of the reader. */
export type TableReaderHost = {
	readonly log: LogHost;
	readonly logger: Logger;
	/** Milliseconds since the epoch; they are compared with the times of the log's records. */
	now(): number;
	/** Random number from 0 up to 1. */
	random(): number;
	/** Calls back once after a time and returns a function that cancels it. */
	setTimer(milliseconds: number, callback: () => void): () => void;
	/** Takes a version that came into force; versions only ever grow. */
	onChange(table: Table): void;
};

export type TableReaderOptions = {
	/** Name of this entry; part of the identity of its snapshots. */
	readonly name: string;
	/** Time for which the log service keeps records. */
	readonly retentionMilliseconds: number;
	readonly recordsPerRead?: number;
	/** Time that a read waits for a new record. */
	readonly waitMilliseconds?: number;
	/** Time beyond the waiting after which a read has failed, e.g. because its connection is silent. */
	readonly timeoutMilliseconds?: number;
};

export type TableReaderStatus = {
	readonly state: TableReaderState;
	/** Version in force; undefined until one is known. */
	readonly version: number | undefined;
	/** Offset of the first record that is not folded yet; peers create their updates from here. */
	readonly nextOffset: number | undefined;
	readonly rows: number;
};

export type TableReader = {
	start(): void;
	/** Stops reading; the answer of a read that is under way is dropped. */
	stop(): void;
	/** Gets the version in force; undefined until one is known, and the entry must not serve before. */
	getTable(): Table | undefined;
	getStatus(): TableReaderStatus;
	/** Gets the hash of the rows in force, which is equal on all entries that have the same version. */
	getHash(): string | undefined;
	/** Gets what became of an edit, as long as it is remembered. */
	getVerdict(editId: string): Verdict | undefined;
	/** Gets the verdicts that are remembered, oldest first. */
	getVerdicts(): readonly Verdict[];
	/** Creates what a peer at an offset lacks (undefined when it knows no version); returns undefined when it lacks nothing. */
	getUpdate(fromOffset: number | undefined): TableUpdate | undefined;
	/** Takes an update from a peer; returns whether a newer version came into force. */
	adoptFromPeer(update: TableUpdate): boolean;
};

const defaultRecordsPerRead = 200;
const defaultWaitMilliseconds = 2000;
const defaultTimeoutMilliseconds = 1000;
const readBackoff = {firstMilliseconds: 50, maximumMilliseconds: 1000};
const emptyPagePauseMilliseconds = 10;
const longestTimerMilliseconds = 3_600_000;

/** Creates a reader; call `start` to begin. */
export function createTableReader(host: TableReaderHost, options: TableReaderOptions): TableReader {
	const recordsPerRead = options.recordsPerRead ?? defaultRecordsPerRead;
	const waitMilliseconds = options.waitMilliseconds ?? defaultWaitMilliseconds;
	const timeoutMilliseconds = waitMilliseconds + (options.timeoutMilliseconds ?? defaultTimeoutMilliseconds);
	const snapshotSchedule = createSnapshotSchedule(options.retentionMilliseconds);
	let follow: FollowerState = initialFollowerState;
	let lifeCycle = createTableReaderLifeCycle();
	let inForce: Table | undefined;
	/** Hash of the version in force, made when it is first asked for: it costs more than the fold. */
	let inForceHash: string | undefined;
	let isReady = false;
	let isStopped = false;
	let failedReads = 0;
	let cancelRead: (() => void) | undefined;
	let cancelSnapshot: (() => void) | undefined;

	const putInForce = (): boolean => {
		const {fold} = follow;
		if (!isReady || !fold || (inForce && fold.table.version <= inForce.version)) {
			return false;
		}

		inForce = fold.table;
		inForceHash = undefined;
		host.logger.info('table-in-force', {version: inForce.version, rows: inForce.rows.size});
		host.onChange(inForce);
		return true;
	};

	const getHash = (): string | undefined => {
		inForceHash ??= inForce && follow.fold && hashTable(follow.fold);
		return inForceHash;
	};

	const enterState = (event: TableReaderEvent): void => {
		const previous = lifeCycle.state;
		lifeCycle = lifeCycle.next(event);
		if (lifeCycle.state !== previous) {
			host.logger.info('table-reader-state', {from: previous, to: lifeCycle.state, version: inForce?.version});
		}
	};

	const takeStep = (step: {readonly state: FollowerState; readonly events: readonly FollowerEvent[]}): void => {
		follow = step.state;
		for (const event of step.events) {
			logEvent(host.logger, event);
		}
	};

	const takePage = (page: LogPage): void => {
		takeStep(applyPage(follow, page));
		const isAtEnd = page.records.length < recordsPerRead;
		const hasGap = follow.gap !== undefined;
		isReady ||= isAtEnd && !hasGap;
		enterState({type: 'page-read', hasGap, isAtEnd});
		putInForce();
		scheduleSnapshot();
	};

	const read = async (): Promise<void> => {
		const result = await host.log.read(tableStream, follow.nextOffset, {
			limit: recordsPerRead,
			waitMilliseconds: lifeCycle.state === 'following' ? waitMilliseconds : 0,
			timeoutMilliseconds,
		});
		if (isStopped) {
			return;
		}

		if (result.isOk()) {
			failedReads = 0;
			takePage(result.value);
			scheduleRead(getPause(result.value));
			return;
		}

		failedReads++;
		host.logger.debug('table-read-failed', {kind: result.error.kind, message: result.error.message});
		enterState({type: 'read-failed'});
		scheduleRead(createBackoff(readBackoff, failedReads, host.random()));
	};

	/** A reader behind retention does not wait at the log, so it pauses between its reads. */
	const getPause = (page: LogPage): number => {
		if (page.records.length > 0) {
			return 0;
		}

		return lifeCycle.state === 'behind-retention' ? waitMilliseconds : emptyPagePauseMilliseconds;
	};

	const scheduleRead = (milliseconds: number): void => {
		cancelRead = host.setTimer(milliseconds, () => {
			void read();
		});
	};

	const scheduleSnapshot = (): void => {
		cancelSnapshot?.();
		cancelSnapshot = undefined;
		if (lifeCycle.state !== 'following' || !follow.fold || follow.fold.nextOffset === 0) {
			return;
		}

		const delay = snapshotSchedule.getDelay(follow, host.now(), host.random());
		cancelSnapshot = host.setTimer(Math.min(delay, longestTimerMilliseconds), () => {
			if (delay > longestTimerMilliseconds) {
				scheduleSnapshot();
				return;
			}

			void writeSnapshot();
		});
	};

	const writeSnapshot = async (): Promise<void> => {
		if (!follow.fold) {
			return;
		}

		snapshotSchedule.recordSnapshotAttempt();
		const snapshot = createSnapshot(follow.fold);
		const result = await host.log.append(tableStream, `snapshot-${snapshot.offset}-${options.name}`, snapshot, timeoutMilliseconds);
		host.logger.info('table-snapshot-written', {version: snapshot.version, offset: snapshot.offset, result: result.isOk() ? 'appended' : result.error.kind});
	};

	return {
		start() {
			scheduleRead(0);
		},
		stop() {
			isStopped = true;
			cancelRead?.();
			cancelSnapshot?.();
		},
		getTable: () => inForce,
		getStatus: () => ({
			state: lifeCycle.state,
			version: inForce?.version,
			nextOffset: inForce && follow.fold?.nextOffset,
			rows: inForce?.rows.size ?? 0,
		}),
		getHash,
		getVerdict: editId => follow.fold?.verdicts.get(editId),
		getVerdicts: () => [...follow.fold?.verdicts.values() ?? []],
		getUpdate: fromOffset => isReady ? createUpdate(follow, fromOffset) : undefined,
		adoptFromPeer(update) {
			const before = follow.fold;
			takeStep(applyUpdate(follow, update));
			isReady ||= follow.fold !== undefined && follow.fold !== before;
			return putInForce();
		},
	};
}

function logEvent(logger: Logger, event: FollowerEvent): void {
	switch (event.kind) {
		case 'passed': {
			return;
		}

		case 'edit-repeated':
		case 'edit-decided': {
			const {id, offset, rejection} = event.verdict;
			logger.info('table-edit', {
				id, offset, verdict: rejection ? 'rejected' : 'accepted', reason: rejection?.kind, repeated: event.kind === 'edit-repeated',
			});
			return;
		}

		case 'gap-found': {
			logger.error('table-records-expired-unread', {from: event.fromOffset, first: event.firstOffset});
			return;
		}

		case 'gap-closed': {
			logger.info('table-gap-closed', {offset: event.offset});
			return;
		}

		case 'snapshot-refused': {
			logger.error('table-snapshot-refused', {offset: event.offset, message: event.message});
			return;
		}

		default: {
			assertNever(event);
		}
	}
}
