/** Reads the table from the log and publishes edits, for `fescuering-table`. */
import {err, ok, type Result} from 'neverthrow';
import {createDiagnostic, diagnostics, type Diagnostic} from '../../decisions/diagnostics.ts';
import {
	type EditRecord, foldRecord, type FoldState, tableStream, type Verdict,
} from '../../decisions/table/fold.ts';
import {
	applyPage, type FollowerEvent, type FollowerState, initialFollowerState,
} from '../../decisions/table/table-follower.ts';
import {type SnapshotRecord} from '../../decisions/table/snapshot.ts';
import {type ReliableLog} from '../../platform/reliable-log.ts';

/** One edit in the log, with its verdict. */
export type HistoryEntry = {
	readonly verdict: Verdict;
	/** Milliseconds since the epoch by the clock of the log service. */
	readonly appendedAt: number | undefined;
	readonly edit: EditRecord | undefined;
};

/** Table folded from the records of the log. */
export type LoadedTable = {
	readonly fold: FoldState;
	readonly follow: FollowerState;
	/** Edits whose records the log still retains, oldest first. */
	readonly history: readonly HistoryEntry[];
};

export type TableStore = {
	/** Reads the whole stream, or only the records after those in `from`. */
	load(from?: LoadedTable): Promise<Result<LoadedTable, Diagnostic>>;
	/** Publishes an edit and returns its verdict. Doesn't publish an edit that already has a verdict or would be rejected. */
	submit(edit: EditRecord, loaded: LoadedTable, deadlineAt: number): Promise<Result<Verdict, Diagnostic>>;
	/** Publishes a recovery snapshot when the records of the table have expired; resolves to its offset. */
	publishSnapshot(snapshot: SnapshotRecord, deadlineAt: number): Promise<Result<number, Diagnostic>>;
	/** Returns the offset after the last record. */
	getEndOffset(): Promise<Result<number, Diagnostic>>;
};

/** Creates a table store that uses a client of the log. */
export function createTableStore(log: ReliableLog): TableStore {
	const readAll = async (start: FollowerState): Promise<Result<{follow: FollowerState; history: HistoryEntry[]}, Diagnostic>> => {
		let follow = start;
		const history: HistoryEntry[] = [];
		for (;;) {
			const page = await log.read(tableStream, follow.nextOffset, 0);
			if (page.isErr()) {
				return err(createDiagnostic(diagnostics.tableLogUnreachable, page.error.message));
			}

			const times = new Map(page.value.records.map(record => [record.offset, record.appendedAt]));
			const step = applyPage(follow, page.value);
			follow = step.state;
			history.push(...step.events.flatMap(event => toHistoryEntries(event, times)));
			if (page.value.records.length === 0) {
				return ok({follow, history});
			}
		}
	};

	const load: TableStore['load'] = async from => {
		const read = await readAll(from?.follow ?? initialFollowerState);
		return read.andThen(({follow, history}) => {
			const {fold, gap} = follow;
			return fold && !gap
				? ok({follow, fold, history: [...from?.history ?? [], ...history]})
				: err(createDiagnostic(diagnostics.tableRecordsExpired, String(gap?.firstOffset ?? 0)));
		});
	};

	return {
		load,
		async submit(edit, loaded, deadlineAt) {
			const existingVerdict = loaded.fold.verdicts.get(edit.id) ?? findLocalRejection(loaded.fold, edit);
			if (existingVerdict) {
				return ok(existingVerdict);
			}

			const appended = await log.append(tableStream, edit.id, edit, deadlineAt);
			if (appended.isErr()) {
				const {kind, message} = appended.error;
				return err(createDiagnostic(kind === 'unknown' ? diagnostics.tableEditUnknown : diagnostics.tableEditNotAppended, edit.id, message));
			}

			const reloaded = await load(loaded);
			return reloaded.andThen(({fold}) => {
				const verdict = fold.verdicts.get(edit.id);
				return verdict ? ok(verdict) : err(createDiagnostic(diagnostics.tableEditUnknown, edit.id, 'its verdict could not be read'));
			});
		},
		async publishSnapshot(snapshot, deadlineAt) {
			const appended = await log.append(tableStream, `snapshot-${snapshot.offset}-recovery`, snapshot, deadlineAt);
			return appended
				.map(receipt => receipt.offset)
				.mapErr(failure => createDiagnostic(diagnostics.tableEditNotAppended, `snapshot-${snapshot.offset}`, failure.message));
		},
		async getEndOffset() {
			const read = await readAll(initialFollowerState);
			return read.map(({follow}) => follow.nextOffset);
		},
	};
}

/** Returns the verdict of an edit that the loaded table would reject, so that it need not be published; undefined otherwise. */
function findLocalRejection(fold: FoldState, edit: EditRecord): Verdict | undefined {
	const {event} = foldRecord(fold, {offset: fold.nextOffset, value: edit});
	return event.kind === 'edit-decided' && event.verdict.rejection ? event.verdict : undefined;
}

function toHistoryEntries(event: FollowerEvent, times: ReadonlyMap<number, number>): HistoryEntry[] {
	return event.kind === 'edit-decided'
		? [{verdict: event.verdict, edit: event.edit, appendedAt: times.get(event.verdict.offset)}]
		: [];
}
