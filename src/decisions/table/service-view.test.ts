import * as vitest from 'vitest';
import {getRowKey} from './row-key.ts';
import {type Row, rowSchema} from './rows.ts';
import {createTableView, findOperation} from './service-view.ts';

const {expect, test} = vitest;

function createRows(): Row[] {
	return [
		{
			kind: 'operation', service: 'desk', operation: 'any', method: 'GET', pathPrefix: '/', idempotent: true,
		},
		{
			kind: 'operation', service: 'desk', operation: 'price', method: 'GET', pathPrefix: '/prices', idempotent: true,
		},
		{kind: 'service', service: 'desk', slotsPerUpstream: 4},
		{kind: 'place', service: 'unknown', failureDomain: 'riverside'},
	].map(row => rowSchema.parse(row));
}

test('the operation with the longest matching path prefix is resolved', () => {
	const view = createTableView({version: 3, rows: new Map(createRows().map(row => [getRowKey(row), row]))});
	const desk = view.services.get('desk');
	expect(desk && findOperation(desk, 'GET', '/prices/7')?.operation).toBe('price');
	expect(desk && findOperation(desk, 'GET', '/other')?.operation).toBe('any');
	expect(desk && findOperation(desk, 'POST', '/prices/7')).toBeUndefined();
});

test('rows of a service without a service row are omitted', () => {
	const view = createTableView({version: 3, rows: new Map(createRows().map(row => [getRowKey(row), row]))});
	expect([...view.services.keys()]).toEqual(['desk']);
});
