/**
Keeps the table of weights and limits of one entry up to date.

The reader long-polls the table stream, adopts newer versions from peers, and appends a snapshot of the accepted table
well before the underlying records expire. It has no version until it has read the log to its end or has adopted a
version from a peer.
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
import {getBackoffDelay} from '../platform/backoff.ts';
import {type LogHost, type LogPage} from '../platform/types.ts';

/** Dependencies of a table reader. */
export type TableReaderHost = {
	readonly log: LogHost;
	readonly logger: Logger;
	/** Milliseconds since the epoch; compared with the times of the log's records. */
	now(): number;
	/** Returns a random number from 0 up to 1. */
	random(): number;
	/** Calls the callback once after the given time; returns a function that cancels the timer. */
	setTimer(milliseconds: number, callback: () => void): () => void;
	/** Called with each new current version of the table; versions only increase. */
	onChange(table: Table): void;
};

export type TableReaderOptions = {
	/** Name of this entry; part of the identity of its snapshots. */
	readonly name: string;
	/** Time for which the log service retains records. */
	readonly retentionMilliseconds: number;
	readonly recordsPerRead?: number;
	/** Time for which a read waits for a new record. */
	readonly waitMilliseconds?: number;
	/** Time beyond `waitMilliseconds` after which a read fails, e.g. because no data arrives on its connection. */
	readonly timeoutMilliseconds?: number;
};

export type TableReaderStatus = {
	readonly state: TableReaderState;
	/** Version of the current table; undefined until there is one. */
	readonly version: number | undefined;
	/** Offset of the first record that is not folded yet; a peer creates an update for this reader from this offset. */
	readonly nextOffset: number | undefined;
	readonly rows: number;
};

/** Reader of the table stream of one entry. */
export type TableReader = {
	start(): void;
	/** Stops reading; the result of a read in progress is discarded. */
	stop(): void;
	/** Gets the current table; undefined until there is one, and until then the entry must not serve calls. */
	getTable(): Table | undefined;
	getStatus(): TableReaderStatus;
	/** Gets the hash of the current rows, which is equal on all entries with the same version. */
	getTableHash(): string | undefined;
	/** Gets the verdict on an edit; undefined when it is not known or no longer kept. */
	getVerdict(editId: string): Verdict | undefined;
	/** Gets the verdicts that are kept, oldest first. */
	getVerdicts(): readonly Verdict[];
	/** Creates the update for a peer at an offset (undefined when the peer has no version); returns undefined when the peer lacks nothing. */
	getUpdate(fromOffset: number | undefined): TableUpdate | undefined;
	/** Applies an update from a peer; returns whether it made a newer version current. */
	adoptFromPeer(update: TableUpdate): boolean;
};

const defaultRecordsPerRead = 200;
const defaultWaitMilliseconds = 2000;
const defaultTimeoutMilliseconds = 1000;
const readBackoff = {initialDelayMilliseconds: 50, maximumDelayMilliseconds: 1000};
const emptyPagePauseMilliseconds = 10;
/** Limit on the delay of one timer; a longer delay is checked again after this time. */
const maximumTimerMilliseconds = 3_600_000;

/** Creates a reader; call `start` to begin. */
export function createTableReader(host: TableReaderHost, options: TableReaderOptions): TableReader {
	const recordsPerRead = options.recordsPerRead ?? defaultRecordsPerRead;
	const waitMilliseconds = options.waitMilliseconds ?? defaultWaitMilliseconds;
	const timeoutMilliseconds = waitMilliseconds + (options.timeoutMilliseconds ?? defaultTimeoutMilliseconds);
	const snapshotSchedule = createSnapshotSchedule(options.retentionMilliseconds);
	let followState: FollowerState = initialFollowerState;
	let lifeCycle = createTableReaderLifeCycle();
	let currentTable: Table | undefined;
	/** Hash of the current table, computed on first use because hashing costs more than the fold. */
	let currentTableHash: string | undefined;
	let isReady = false;
	let isStopped = false;
	let failedReads = 0;
	let cancelRead: (() => void) | undefined;
	let cancelSnapshot: (() => void) | undefined;

	/** Makes the folded table current if it is newer; returns whether it did. */
	const activateTable = (): boolean => {
		const {fold} = followState;
		if (!isReady || !fold || (currentTable && fold.table.version <= currentTable.version)) {
			return false;
		}

		currentTable = fold.table;
		currentTableHash = undefined;
		host.logger.info('table-in-force', {version: currentTable.version, rows: currentTable.rows.size});
		host.onChange(currentTable);
		return true;
	};

	const getHash = (): string | undefined => {
		currentTableHash ??= currentTable && followState.fold && hashTable(followState.fold);
		return currentTableHash;
	};

	const updateLifeCycle = (event: TableReaderEvent): void => {
		const previous = lifeCycle.state;
		lifeCycle = lifeCycle.next(event);
		if (lifeCycle.state !== previous) {
			host.logger.info('table-reader-state', {from: previous, to: lifeCycle.state, version: currentTable?.version});
		}
	};

	const applyStep = (step: {readonly state: FollowerState; readonly events: readonly FollowerEvent[]}): void => {
		followState = step.state;
		for (const event of step.events) {
			logEvent(host.logger, event);
		}
	};

	const handlePage = (page: LogPage): void => {
		applyStep(applyPage(followState, page));
		const isAtEnd = page.records.length < recordsPerRead;
		const hasGap = followState.gap !== undefined;
		isReady ||= isAtEnd && !hasGap;
		updateLifeCycle({type: 'page-read', hasGap, isAtEnd});
		activateTable();
		scheduleSnapshot();
	};

	const read = async (): Promise<void> => {
		const result = await host.log.read(tableStream, followState.nextOffset, {
			limit: recordsPerRead,
			waitMilliseconds: lifeCycle.state === 'following' ? waitMilliseconds : 0,
			timeoutMilliseconds,
		});
		if (isStopped) {
			return;
		}

		if (result.isOk()) {
			failedReads = 0;
			handlePage(result.value);
			scheduleRead(getReadPause(result.value));
			return;
		}

		failedReads++;
		host.logger.debug('table-read-failed', {kind: result.error.kind, message: result.error.message});
		updateLifeCycle({type: 'read-failed'});
		scheduleRead(getBackoffDelay(readBackoff, failedReads, host.random()));
	};

	/** Gets the pause before the next read. The reads of a reader behind retention return at once, so it pauses between them. */
	const getReadPause = (page: LogPage): number => {
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
		if (lifeCycle.state !== 'following' || !followState.fold || followState.fold.nextOffset === 0) {
			return;
		}

		const delay = snapshotSchedule.getDelay(followState, host.now(), host.random());
		cancelSnapshot = host.setTimer(Math.min(delay, maximumTimerMilliseconds), () => {
			if (delay > maximumTimerMilliseconds) {
				scheduleSnapshot();
				return;
			}

			void writeSnapshot();
		});
	};

	const writeSnapshot = async (): Promise<void> => {
		if (!followState.fold) {
			return;
		}

		snapshotSchedule.recordSnapshotAttempt();
		const snapshot = createSnapshot(followState.fold);
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
		getTable: () => currentTable,
		getStatus: () => ({
			state: lifeCycle.state,
			version: currentTable?.version,
			nextOffset: currentTable && followState.fold?.nextOffset,
			rows: currentTable?.rows.size ?? 0,
		}),
		getTableHash: getHash,
		getVerdict: editId => followState.fold?.verdicts.get(editId),
		getVerdicts: () => [...followState.fold?.verdicts.values() ?? []],
		getUpdate: fromOffset => isReady ? createUpdate(followState, fromOffset) : undefined,
		adoptFromPeer(update) {
			const foldBefore = followState.fold;
			applyStep(applyUpdate(followState, update));
			isReady ||= followState.fold !== undefined && followState.fold !== foldBefore;
			return activateTable();
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
