/** The commands of `fescuering-table`; each returns what to print and the exit code. */
import * as crypto from 'node:crypto';
import {err, ok, Result} from 'neverthrow';
import {
	createDiagnostic, diagnostics, type Diagnostic, formatDiagnostic,
} from '../../decisions/diagnostics.ts';
import {type Change, type EditRecord, initialFoldState} from '../../decisions/table/fold.ts';
import {getRowKey} from '../../decisions/table/row-key.ts';
import {type Row, type RowKey, type Table} from '../../decisions/table/rows.ts';
import {createSnapshot} from '../../decisions/table/snapshot.ts';
import {checkTableFile, formatTable, type TableFileFormat} from '../../decisions/table/table-file.ts';
import {type InstanceListHost} from '../../platform/types.ts';
import {
	createFileChanges, getFileFormat, parseRow, readTableFile, writeTextFile,
} from './edit-changes.ts';
import {
	createRejectionDiagnostic, formatFleet, formatHistory, formatRows,
} from './format.ts';
import {listLaggingEntries, readEntryVersions} from './fleet-status.ts';
import {type TableStore} from './table-store.ts';

/** Exit codes, listed in docs/TABLE.md. */
export const exitCodes = {
	done: 0, rejected: 1, usage: 2, platformUnreachable: 3, unknown: 4, notInForce: 5,
} as const;

export type CommandResult = {
	readonly exitCode: number;
	/** Text for standard output. */
	readonly output: string;
	/** Text for standard error. */
	readonly error?: string;
};

export type CommandHost = {
	readonly store: TableStore;
	readonly instances: InstanceListHost;
	readonly operator: string;
	readonly timeoutMilliseconds: number;
	now(): number;
	sleep(milliseconds: number): Promise<void>;
};

export type EditOptions = {
	readonly id: string | undefined;
	readonly base: number | undefined;
	readonly put: readonly string[];
	readonly remove: readonly string[];
	readonly file: string | undefined;
	/** Whether to remove rows that the file lacks. */
	readonly removesMissingRows: boolean;
};

const statusTimeoutMilliseconds = 1000;
const waitPollMilliseconds = 100;

const exitCodesByDiagnostic = new Map<string, number>([
	[diagnostics.tableLogUnreachable.code, exitCodes.platformUnreachable],
	[diagnostics.tableInstanceListUnreachable.code, exitCodes.platformUnreachable],
	[diagnostics.tableEditNotAppended.code, exitCodes.platformUnreachable],
	[diagnostics.tableRecordsExpired.code, exitCodes.platformUnreachable],
	[diagnostics.tableEditUnknown.code, exitCodes.unknown],
	[diagnostics.tableNotInForce.code, exitCodes.notInForce],
	[diagnostics.tableOptionInvalid.code, exitCodes.usage],
	[diagnostics.tableChangeInvalid.code, exitCodes.usage],
	[diagnostics.tableBaseMissing.code, exitCodes.usage],
	[diagnostics.tableNoChanges.code, exitCodes.usage],
]);

/** Creates the result of a failed command. */
export function createFailure(diagnostic: Diagnostic): CommandResult {
	const exitCode = diagnostic.category === 'settings' ? exitCodes.usage : exitCodesByDiagnostic.get(diagnostic.code) ?? exitCodes.rejected;
	return {exitCode, output: '', error: formatDiagnostic(diagnostic)};
}

/** Shows the rows of the accepted table, of all services or of one. */
export async function show(host: CommandHost, service: string | undefined, format: TableFileFormat | 'text'): Promise<CommandResult> {
	const loaded = await host.store.load();
	return toResult(loaded.map(({fold}) => {
		const rows = new Map([...fold.table.rows].filter(([, row]) => service === undefined || row.service === service));
		const table = {version: fold.table.version, rows};
		return format === 'text' ? formatRows(table) : formatTable(table, format).trimEnd();
	}));
}

/** Validates a file as a complete table, without access to the platform. */
export function check(path: string): CommandResult {
	return toResult(readTableFile(path).andThen(file => {
		const problem = checkTableFile(file);
		return problem
			? err(createDiagnostic(diagnostics.tableFileInvalid, path, problem.place, problem.message))
			: ok(`${path} is valid: ${file.rows.length} rows`);
	}));
}

/** Publishes an edit and reports its verdict. */
export async function edit(host: CommandHost, options: EditOptions): Promise<CommandResult> {
	const deadlineAt = host.now() + host.timeoutMilliseconds;
	const loaded = await host.store.load();
	if (loaded.isErr()) {
		return createFailure(loaded.error);
	}

	const record = createEdit(host, options, loaded.value.fold.table);
	if (record.isErr()) {
		return createFailure(record.error);
	}

	const verdict = await host.store.submit(record.value, loaded.value, deadlineAt);
	return toResult(verdict.andThen(({id, offset, rejection}) => rejection
		? err(createRejectionDiagnostic(id, rejection))
		: ok(`accepted id=${id} version=${offset} changes=${record.value.changes.length}`)));
}

/** Writes the accepted table to a file. */
export async function exportTable(host: CommandHost, path: string): Promise<CommandResult> {
	const loaded = await host.store.load();
	return toResult(loaded.andThen(({fold}) => writeTextFile(path, formatTable(fold.table, getFileFormat(path)))
		.map(() => `wrote version ${fold.table.version}, ${fold.table.rows.size} rows to ${path}`)));
}

/** Shows the latest edits whose records the log still retains. */
export async function history(host: CommandHost, limit: number): Promise<CommandResult> {
	const loaded = await host.store.load();
	return toResult(loaded.map(value => formatHistory(value.history.slice(-limit))));
}

/** Shows the table version in force on every entry of the instance list. */
export async function status(host: CommandHost): Promise<CommandResult> {
	const [fleet, loaded] = await Promise.all([readEntryVersions(host.instances, statusTimeoutMilliseconds), host.store.load()]);
	const log = loaded.isOk() ? `log  version ${loaded.value.fold.table.version}` : `log  ${formatDiagnostic(loaded.error)}`;
	return toResult(fleet.map(entries => `${log}\n${formatFleet(entries)}`.trimEnd()));
}

/** Waits until a version, or a newer one, is in force on every live entry of the instance list. */
export async function wait(host: CommandHost, version: number, timeoutMilliseconds: number): Promise<CommandResult> {
	const deadlineAt = host.now() + timeoutMilliseconds;
	for (;;) {
		const fleet = await readEntryVersions(host.instances, statusTimeoutMilliseconds);
		const live = fleet.isOk() ? fleet.value.filter(entry => entry.state === 'live') : [];
		const lagging = listLaggingEntries(live, version);
		if (live.length > 0 && lagging.length === 0) {
			return toResult(ok(`version ${version} is in force on ${live.length} entries`));
		}

		if (host.now() >= deadlineAt) {
			const names = lagging.map(entry => entry.name).join(', ') || 'any entry, as none is listed as live';
			return createFailure(fleet.isErr() ? fleet.error : createDiagnostic(diagnostics.tableNotInForce, String(version), names));
		}

		await host.sleep(waitPollMilliseconds);
	}
}

/** Publishes the rows of a file as a snapshot, for the case that all records of the table expired before a snapshot was written. */
export async function recover(host: CommandHost, path: string): Promise<CommandResult> {
	const [loaded, fleet, end] = await Promise.all([host.store.load(), readEntryVersions(host.instances, statusTimeoutMilliseconds), host.store.getEndOffset()]);
	const file = readTableFile(path).andThen(value => {
		const problem = checkTableFile(value);
		return problem ? err(createDiagnostic(diagnostics.tableFileInvalid, path, problem.place, problem.message)) : ok(value);
	});
	if (loaded.isOk()) {
		return createFailure(createDiagnostic(diagnostics.tableRecoveryRefused, `the log contains version ${loaded.value.fold.table.version}`));
	}

	if (fleet.isErr() || end.isErr() || file.isErr()) {
		return toResult(Result.combine([fleet, end, file]).map(() => ''));
	}

	const entryWithTable = fleet.value.find(entry => entry.version !== undefined && entry.version >= 0);
	if (entryWithTable) {
		return createFailure(createDiagnostic(diagnostics.tableRecoveryRefused, `${entryWithTable.name} has version ${entryWithTable.version} in force`));
	}

	const snapshot = createRecoverySnapshot(file.value.rows, end.value);
	const published = await host.store.publishSnapshot(snapshot, host.now() + host.timeoutMilliseconds);
	return toResult(published.map(offset => `published ${file.value.rows.length} rows as version ${snapshot.version} at offset ${offset}`));
}

function createRecoverySnapshot(rows: readonly Row[], version: number) {
	const entries = rows.map(row => [getRowKey(row), row] as const);
	return createSnapshot({
		...initialFoldState,
		table: {version, rows: new Map<RowKey, Row>(entries)},
		nextOffset: version,
		keyVersions: new Map(entries.map(([key]) => [key, version])),
		oldestBase: version,
	});
}

function createEdit(host: CommandHost, options: EditOptions, table: Table): Result<EditRecord, Diagnostic> {
	const file = options.file === undefined ? ok(undefined) : readTableFile(options.file);
	const rows = Result.combine(options.put.map(text => parseRow(text)));
	return Result.combine([file, rows]).andThen(([tableFile, puts]) => {
		const changes: Change[] = [
			...puts.map(row => ({action: 'put' as const, row})),
			...options.remove.map(key => ({action: 'remove' as const, key})),
			...tableFile ? createFileChanges(table, tableFile, options.removesMissingRows) : [],
		];
		const baseVersion = options.base ?? (tableFile ? tableFile.version : table.version);
		if (baseVersion === undefined) {
			return err(createDiagnostic(diagnostics.tableBaseMissing, options.file ?? ''));
		}

		if (changes.length === 0) {
			return err(createDiagnostic(diagnostics.tableNoChanges, String(table.version)));
		}

		return ok({
			kind: 'edit' as const, id: options.id ?? crypto.randomUUID(), baseVersion, operator: host.operator, changes,
		});
	});
}

function toResult(result: Result<string, Diagnostic>): CommandResult {
	return result.isOk() ? {exitCode: exitCodes.done, output: result.value} : createFailure(result.error);
}
