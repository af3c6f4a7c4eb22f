/**
Reads and writes the table as CSV, for spreadsheets, and as JSON.

Both carry the version that they were exported from, so that an import is checked against what its operator saw.
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

/** Rows of a file and the version that it was exported from; undefined when the file doesn't say. */
export type TableFile = {
	readonly version: number | undefined;
	readonly rows: readonly Row[];
};

/** What is wrong with a file; `place` names the line or the row. */
export type TableFileError = {
	readonly place: string;
	readonly message: string;
};

const schemas = rowSchema.options;
const columns = [...new Set(schemas.flatMap(schema => Object.keys(schema.shape)))];
const versionLine = /^"?# version=(?<version>-?\d+)/v;

const jsonFileSchema = z.strictObject({version: z.int().optional(), rows: z.array(z.unknown())});

/** Writes a table; rows are sorted by their keys. */
export function formatTable(table: Table, format: TableFileFormat): string {
	const rows = [...table.rows].toSorted(([left], [right]) => left < right ? -1 : 1).map(([, row]) => row);
	if (format === 'json') {
		return `${JSON.stringify({version: table.version, rows}, undefined, '\t')}\n`;
	}

	const cells = csvStringify.stringify(rows, {columns, header: true, cast: {boolean: String}});
	return `# version=${table.version}\n${cells}`;
}

/** Reads a file; each row is checked by its schema, absent values get their defaults. */
export function parseTable(text: string, format: TableFileFormat): Result<TableFile, TableFileError> {
	const file = format === 'json' ? parseJson(text) : parseCsv(text);
	return file.andThen(parsed => checkKeys(parsed));
}

/** Checks that the rows of a file fit together as a whole table. */
export function checkFile(file: TableFile): TableFileError | undefined {
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
		return err(createError('file', file.error));
	}

	return parseRows(file.data.rows.map((row, index) => ({place: `row ${index + 1}`, value: row})))
		.map(rows => ({version: file.data.version, rows}));
}

type CsvRecord = {readonly record: Readonly<Record<string, string>>; readonly info: {readonly lines: number}};

function parseCsv(text: string): Result<TableFile, TableFileError> {
	const withoutMark = text.replace(/^\uFEFF/v, '');
	const version = versionLine.exec(withoutMark)?.groups?.version;
	let records: CsvRecord[];
	try {
		records = csvParse.parse(withoutMark.replace(/^"?#[^\n]*\n/v, '\n'), {
			columns: true, info: true, skipEmptyLines: true, skipRecordsWithEmptyValues: true, trim: true,
		});
	} catch (error) {
		return err({place: 'file', message: error instanceof Error ? error.message : String(error)});
	}

	const unknownColumn = Object.keys(records[0]?.record ?? {}).find(column => !columns.includes(column));
	if (unknownColumn !== undefined) {
		return err({place: `column ${unknownColumn}`, message: `there is no such column; use ${columns.join(', ')}`});
	}

	return parseRows(records.map(({record, info}) => ({place: `line ${info.lines}`, value: toRowValue(record)})))
		.map(rows => ({version: version === undefined ? undefined : Number(version), rows}));
}

/** Turns the cells of a line into values; empty cells are absent. */
function toRowValue(record: Readonly<Record<string, string>>): Record<string, unknown> {
	const schema = schemas.find(candidate => candidate.shape.kind.value === record.kind);
	const cells = Object.entries(record).filter(([, cell]) => cell !== '');
	return Object.fromEntries(cells.map(([column, cell]) => [column, schema ? toValue(schema.shape, column, cell) : cell]));
}

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
			return err(createError(place, row.error));
		}

		rows.push(row.data);
	}

	return ok(rows);
}

function checkKeys(file: TableFile): Result<TableFile, TableFileError> {
	const keys = new Set<RowKey>();
	for (const row of file.rows) {
		const key = getRowKey(row);
		if (keys.has(key)) {
			return err({place: key, message: 'the row stands in the file twice; remove one of them'});
		}

		keys.add(key);
	}

	return ok(file);
}

function createError(place: string, error: z.ZodError): TableFileError {
	const issue = error.issues[0];
	const path = issue?.path.join('.') ?? '';
	return {place: path === '' ? place : `${place}, ${path}`, message: issue?.message ?? 'invalid'};
}
