import * as fc from 'fast-check';
import * as vitest from 'vitest';
import {getRowKey} from './row-key.ts';
import {type Row, rowSchema} from './rows.ts';
import {checkTableFile, formatTable, parseTable} from './table-file.ts';

const {expect, test} = vitest;
const name = fc.string({unit: fc.constantFrom('a', 'e', '0', '9'), minLength: 1, maxLength: 8});
const pathPrefix = fc.string({unit: fc.constantFrom('/', ',', '"', '#', '=', '\'', 'x'), maxLength: 8}).map(text => `/${text}`);
const weight = fc.double({min: 0, max: 1000, noNaN: true}).map(value => value + 0);
const rows = fc.array(fc.oneof(
	fc.record({
		kind: fc.constant('service'), service: name, slotsPerUpstream: fc.integer({min: 1, max: 10_000}), longShare: fc.double({min: 0, max: 1, noNaN: true}).map(value => value + 0),
	}),
	fc.record({
		kind: fc.constant('operation'), service: name, operation: name, method: fc.constantFrom('GET', 'POST'), pathPrefix, idempotent: fc.boolean(),
	}),
	fc.record({
		kind: fc.constant('place'), service: name, failureDomain: name, weight, callsInFlight: fc.option(fc.integer({min: 1, max: 10_000}), {nil: undefined}),
	}),
	fc.record({
		kind: fc.constant('upstream'), service: name, upstream: name, weight,
	}),
).map(value => rowSchema.parse(Object.fromEntries(Object.entries(value).filter(([, cell]) => cell !== undefined)))), {maxLength: 12});

test('a table formatted as CSV or JSON is parsed back to the same rows and version', () => {
	fc.assert(fc.property(rows, fc.integer({min: -1, max: 1_000_000}), fc.constantFrom('csv' as const, 'json' as const), (list, version, format) => {
		const table = {version, rows: new Map<string, Row>(list.map(row => [getRowKey(row), row]))};
		const file = parseTable(formatTable(table, format), format)._unsafeUnwrap();
		expect(file.version).toBe(version);
		expect(new Map(file.rows.map(row => [getRowKey(row), row]))).toEqual(table.rows);
	}), {seed: 7, numRuns: 300});
});

test.each([
	['kind,service,slotsPerUpstream\nservice,desk,four', 'line 2, slotsPerUpstream'],
	['kind,service,slots_per_upstream\nservice,desk,4', 'column slots_per_upstream'],
	['kind,service,slotsPerUpstream\nservice,desk,4\nservice,desk,5', 'service/desk'],
	['# version=3,,\nkind,service,slotsPerUpstream\n,,\nservice,desk,0', 'line 4, slotsPerUpstream'],
])('a parse error contains its location: %j', (text, place) => {
	expect(parseTable(text, 'csv')._unsafeUnwrapErr().place).toBe(place);
});

test('a CSV file saved by a spreadsheet, with a byte order mark, CRLF and trailing commas, is parsed with its version', () => {
	const text = '\uFEFF# version=17,,,\r\nkind,service,failureDomain,weight\r\nservice,desk,,\r\nplace,desk,riverside,2\r\n'.replace('service,desk,,', 'limit,desk,,');
	const file = parseTable(text, 'csv')._unsafeUnwrap();
	expect(file.version).toBe(17);
	expect(file.rows).toHaveLength(2);
	expect(checkTableFile(file)?.place).toBe('limit/desk');
});
