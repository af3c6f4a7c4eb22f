/**
Parses and formats the table as CSV, for spreadsheets, and as JSON.

Both formats contain the version that was exported, so that an import is checked against the version on which the
operator based the changes.
*/
import * as csvParse from 'csv-parse/sync';
import * as csvStringify from 'csv-stringify/sync';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {checkTable} from './check-table.ts';
import {getRowKey} from './row-key.ts';
import {
	type Row, type RowKey, rowSchema, type Table,
} from './rows.ts';

export type TableFileFormat = 'csv' | 'json';

/** Rows of a file and the version that was exported to it; undefined if the file contains no version. */
export type TableFile = {
	readonly version: number | undefined;
	readonly rows: readonly Row[];
};

/** An error in a file. `place` is its location, e.g. a line, a row or a column. */
export type TableFileError = {
	readonly place: string;
	readonly message: string;
};

const schemas = rowSchema.options;
const columns = [...new Set(schemas.flatMap(schema => Object.keys(schema.shape)))];
const versionLinePattern = /^"?# version=(?<version>-?\d+)/v;

const jsonFileSchema = z.strictObject({version: z.int().optional(), rows: z.array(z.unknown())});

/** Formats a table with its rows sorted by their keys. */
export function formatTable(table: Table, format: TableFileFormat): string {
	const rows = [...table.rows].toSorted(([left], [right]) => left < right ? -1 : 1).map(([, row]) => row);
	if (format === 'json') {
		return `${JSON.stringify({version: table.version, rows}, undefined, '\t')}\n`;
	}

	const cells = csvStringify.stringify(rows, {columns, header: true, cast: {boolean: String}});
	return `# version=${table.version}\n${cells}`;
}

/** Parses a file and checks each row by its schema; absent values get their defaults. */
export function parseTable(text: string, format: TableFileFormat): Result<TableFile, TableFileError> {
	const file = format === 'json' ? parseJson(text) : parseCsv(text);
	return file.andThen(parsed => checkUniqueKeys(parsed));
}

/** Checks that the rows of a file are consistent as a complete table. */
export function checkTableFile(file: TableFile): TableFileError | undefined {
	const table = {version: 0, rows: new Map<RowKey, Row>(file.rows.map(row => [getRowKey(row), row]))};
	const problem = checkTable(table, new Set(file.rows.map(row => row.service)));
	return problem && {place: problem.key, message: problem.message};
}

function parseJson(text: string): Result<TableFile, TableFileError> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		return err({place: 'file', message: error instanceof Error ? error.message : String(error)});
	}

	const file = jsonFileSchema.safeParse(value);
	if (!file.success) {
		return err(createFileError('file', file.error));
	}

	return parseRows(file.data.rows.map((row, index) => ({place: `row ${index + 1}`, value: row})))
		.map(rows => ({version: file.data.version, rows}));
}

type CsvRecord = {readonly record: Readonly<Record<string, string>>; readonly info: {readonly lines: number}};

function parseCsv(text: string): Result<TableFile, TableFileError> {
	const withoutByteOrderMark = text.replace(/^\uFEFF/v, '');
	const version = versionLinePattern.exec(withoutByteOrderMark)?.groups?.version;
	let records: CsvRecord[];
	try {
		records = csvParse.parse(withoutByteOrderMark.replace(/^"?#[^\n]*\n/v, '\n'), {
			columns: true, info: true, skipEmptyLines: true, skipRecordsWithEmptyValues: true, trim: true,
		});
	} catch (error) {
		return err({place: 'file', message: error instanceof Error ? error.message : String(error)});
	}

	const unknownColumn = Object.keys(records[0]?.record ?? {}).find(column => !columns.includes(column));
	if (unknownColumn !== undefined) {
		return err({place: `column ${unknownColumn}`, message: `unknown column; the columns are ${columns.join(', ')}`});
	}

	return parseRows(records.map(({record, info}) => ({place: `line ${info.lines}`, value: toRowValue(record)})))
		.map(rows => ({version: version === undefined ? undefined : Number(version), rows}));
}

/** Converts the cells of a line to the values of a row. Empty cells are absent values. */
function toRowValue(record: Readonly<Record<string, string>>): Record<string, unknown> {
	const schema = schemas.find(candidate => candidate.shape.kind.value === record.kind);
	const cells = Object.entries(record).filter(([, cell]) => cell !== '');
	return Object.fromEntries(cells.map(([column, cell]) => [column, schema ? toValue(schema.shape, column, cell) : cell]));
}

/** Converts a cell to the type that its column has in the schema; a cell that can't be converted stays text, which the schema then rejects. */
function toValue(shape: Readonly<Record<string, z.ZodType>>, column: string, cell: string): unknown {
	const schema = shape[column];
	if (!schema || schema.safeParse(cell).success) {
		return cell;
	}

	if (/^(?:true|false)$/iv.test(cell)) {
		return cell.toLowerCase() === 'true';
	}

	return Number.isNaN(Number(cell)) ? cell : Number(cell);
}

function parseRows(values: ReadonlyArray<{readonly place: string; readonly value: unknown}>): Result<readonly Row[], TableFileError> {
	const rows: Row[] = [];
	for (const {place, value} of values) {
		const row = rowSchema.safeParse(value);
		if (!row.success) {
			return err(createFileError(place, row.error));
		}

		rows.push(row.data);
	}

	return ok(rows);
}

function checkUniqueKeys(file: TableFile): Result<TableFile, TableFileError> {
	const keys = new Set<RowKey>();
	for (const row of file.rows) {
		const key = getRowKey(row);
		if (keys.has(key)) {
			return err({place: key, message: 'the file contains this row twice; remove one of them'});
		}

		keys.add(key);
	}

	return ok(file);
}

function createFileError(place: string, error: z.ZodError): TableFileError {
	const issue = error.issues[0];
	const path = issue?.path.join('.') ?? '';
	return {place: path === '' ? place : `${place}, ${path}`, message: issue?.message ?? 'invalid'};
}
