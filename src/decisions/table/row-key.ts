/** Keys that identify the rows of the table. */
import {assertNever} from '../assert-never.ts';
import {type Row, type RowKey} from './rows.ts';

/** Gets the key of a row, e.g. `operation/appraisal-desk/price-check`. */
export function getRowKey(row: Row): RowKey {
	switch (row.kind) {
		case 'service':
		case 'limit': {
			return `${row.kind}/${row.service}`;
		}

		case 'operation': {
			return `${row.kind}/${row.service}/${row.operation}`;
		}

		case 'place': {
			return `${row.kind}/${row.service}/${row.failureDomain}`;
		}

		case 'upstream': {
			return `${row.kind}/${row.service}/${row.upstream}`;
		}

		default: {
			return assertNever(row);
		}
	}
}
