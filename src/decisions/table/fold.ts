/** Folds the records of the table stream, in the order of their offsets, into the table in force. */
import * as z from 'zod';
import {getRowKey} from './row-key.ts';
import {rowSchema, type Table} from './rows.ts';

/** Name of the log stream that holds the table. */
export const tableStream = 'table';

export const changeSchema = z.discriminatedUnion('action', [
	z.strictObject({action: z.literal('put'), row: rowSchema}),
	z.strictObject({action: z.literal('remove'), key: z.string()}),
]);

/** An edit: all of its changes take effect, or none. */
export const editRecordSchema = z.strictObject({
	kind: z.literal('edit'),
	id: z.string(),
	/** Version that the operator saw. */
	baseVersion: z.int(),
	operator: z.string(),
	changes: z.array(changeSchema).min(1),
});

export type EditRecord = z.infer<typeof editRecordSchema>;

/** Applies an edit to a table. */
export function applyEdit(table: Table, edit: EditRecord, offset: number): Table {
	const rows = new Map(table.rows);
	for (const change of edit.changes) {
		if (change.action === 'put') {
			rows.set(getRowKey(change.row), change.row);
		} else {
			rows.delete(change.key);
		}
	}

	return {version: offset, rows};
}
