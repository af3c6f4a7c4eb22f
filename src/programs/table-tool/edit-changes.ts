/** Creates the changes of an edit from command line options and table files. */
import * as fs from 'node:fs';
import {err, ok, Result} from 'neverthrow';
import {createDiagnostic, diagnostics, type Diagnostic} from '../../decisions/diagnostics.ts';
import {type Change} from '../../decisions/table/fold.ts';
import {getRowKey} from '../../decisions/table/row-key.ts';
import {type Row, rowSchema, type Table} from '../../decisions/table/rows.ts';
import {parseTable, type TableFile, type TableFileFormat} from '../../decisions/table/table-file.ts';

/** Determines the format of a table file from its extension. */
export function getFileFormat(path: string): TableFileFormat {
	return path.toLowerCase().endsWith('.json') ? 'json' : 'csv';
}

/** Reads and parses a table file. */
export function readTableFile(path: string): Result<TableFile, Diagnostic> {
	return Result.fromThrowable(() => fs.readFileSync(path, 'utf8'), toReason)()
		.mapErr(reason => createDiagnostic(diagnostics.tableFileUnreadable, path, reason))
		.andThen(text => parseTable(text, getFileFormat(path))
			.mapErr(error => createDiagnostic(diagnostics.tableFileInvalid, path, error.place, error.message)));
}

export function writeTextFile(path: string, text: string): Result<void, Diagnostic> {
	return Result.fromThrowable(() => {
		fs.writeFileSync(path, text);
	}, toReason)().mapErr(reason => createDiagnostic(diagnostics.tableFileUnreadable, path, reason));
}

/** Parses a row given as JSON on the command line. */
export function parseRow(text: string): Result<Row, Diagnostic> {
	return Result.fromThrowable((): unknown => JSON.parse(text), toReason)()
		.mapErr(reason => createDiagnostic(diagnostics.tableChangeInvalid, text, reason))
		.andThen(value => {
			const row = rowSchema.safeParse(value);
			if (row.success) {
				return ok(row.data);
			}

			const issue = row.error.issues[0];
			return err(createDiagnostic(diagnostics.tableChangeInvalid, text, `${issue?.path.join('.') ?? ''} ${issue?.message ?? ''}`.trim()));
		});
}

/** Creates the changes that apply the rows of a file to a table; `removesMissingRows` also removes rows that the file lacks. */
export function createFileChanges(table: Table, file: TableFile, removesMissingRows: boolean): Change[] {
	const fileKeys = new Set(file.rows.map(row => getRowKey(row)));
	const puts = file.rows
		.filter(row => !areRowsEqual(row, table.rows.get(getRowKey(row))))
		.map(row => ({action: 'put' as const, row}));
	const removes = removesMissingRows
		? [...table.rows.keys()].filter(key => !fileKeys.has(key)).map(key => ({action: 'remove' as const, key}))
		: [];
	return [...puts, ...removes];
}

function areRowsEqual(left: Row, right: Row | undefined): boolean {
	return right !== undefined && formatRow(left) === formatRow(right);
}

function formatRow(row: Row): string {
	return JSON.stringify(Object.entries(row).toSorted(([left], [right]) => left < right ? -1 : 1));
}

function toReason(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
