/** Reads the table from the log and publishes edits, for the operators' tool. */
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

/** What the log says of one edit. */
export type HistoryEntry = {
	readonly verdict: Verdict;
	/** Milliseconds since the epoch by the clock of the log service. */
	readonly appendedAt: number | undefined;
	readonly edit: EditRecord | undefined;
};

/** The table as it follows from the log. */
export type LoadedTable = {
	readonly fold: FoldState;
	readonly follow: FollowerState;
	/** Edits whose records are still kept, oldest first. */
	readonly history: readonly HistoryEntry[];
};

export type TableStore = {
	/** Reads the whole stream, or the part after `from` was loaded. */
	load(from?: LoadedTable): Promise<Result<LoadedTable, Diagnostic>>;
	/** Publishes an edit and returns its verdict; an edit whose verdict is known is not published again. */
	submit(edit: EditRecord, loaded: LoadedTable, deadlineAt: number): Promise<Result<Verdict, Diagnostic>>;
	/** Publishes a snapshot in place of one that was lost. */
	publishSnapshot(snapshot: SnapshotRecord, deadlineAt: number): Promise<Result<number, Diagnostic>>;
	/** Gets the offset after the last record. */
	getEnd(): Promise<Result<number, Diagnostic>>;
};

/** Creates the store over a client of the log. */
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
			history.push(...step.events.flatMap(event => toHistory(event, times)));
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
			const known = loaded.fold.verdicts.get(edit.id) ?? checkLocally(loaded.fold, edit);
			if (known) {
				return ok(known);
			}

			const appended = await log.append(tableStream, edit.id, edit, deadlineAt);
			if (appended.isErr()) {
				const {kind, message} = appended.error;
				return err(createDiagnostic(kind === 'unknown' ? diagnostics.tableEditUnknown : diagnostics.tableEditNotAppended, edit.id, message));
			}

			const after = await load(loaded);
			return after.andThen(({fold}) => {
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
		async getEnd() {
			const read = await readAll(initialFollowerState);
			return read.map(({follow}) => follow.nextOffset);
		},
	};
}

/** Rejects an edit that can't be accepted on the table as it was loaded, without publishing it. */
function checkLocally(fold: FoldState, edit: EditRecord): Verdict | undefined {
	const {event} = foldRecord(fold, {offset: fold.nextOffset, value: edit});
	return event.kind === 'edit-decided' && event.verdict.rejection ? event.verdict : undefined;
}

function toHistory(event: FollowerEvent, times: ReadonlyMap<number, number>): HistoryEntry[] {
	return event.kind === 'edit-decided'
		? [{verdict: event.verdict, edit: event.edit, appendedAt: times.get(event.verdict.offset)}]
		: [];
}
