/** Formats verdicts, rows, edits and entry versions as text for operators. */
import {assertNever} from '../../decisions/assert-never.ts';
import {createDiagnostic, diagnostics, type Diagnostic} from '../../decisions/diagnostics.ts';
import {type EditRejection, getChangedKey} from '../../decisions/table/fold.ts';
import {type Table} from '../../decisions/table/rows.ts';
import {type EntryVersion} from './fleet-status.ts';
import {type HistoryEntry} from './table-store.ts';

/** Row keys that the history shows for each edit; it only counts the others. */
const maximumShownKeys = 4;

/** Creates the diagnostic for a rejected edit. */
export function createRejectionDiagnostic(id: string, rejection: EditRejection): Diagnostic {
	switch (rejection.kind) {
		case 'malformed': {
			return createDiagnostic(diagnostics.tableEditMalformed, id, rejection.message);
		}

		case 'base-unknown': {
			return createDiagnostic(diagnostics.tableBaseUnknown, id, String(rejection.baseVersion), String(rejection.version));
		}

		case 'base-expired': {
			return createDiagnostic(diagnostics.tableBaseExpired, id, String(rejection.baseVersion), String(rejection.oldestBase));
		}

		case 'conflict': {
			return createDiagnostic(diagnostics.tableConflict, id, rejection.key, String(rejection.version));
		}

		case 'repeated-key': {
			return createDiagnostic(diagnostics.tableRepeatedKey, id, rejection.key);
		}

		case 'row-missing': {
			return createDiagnostic(diagnostics.tableRowMissing, id, rejection.key);
		}

		case 'invalid-table': {
			return createDiagnostic(diagnostics.tableInvalid, id, rejection.key, rejection.message);
		}

		default: {
			return assertNever(rejection);
		}
	}
}

/** Formats a table with one line per row, sorted by key. */
export function formatRows(table: Table): string {
	const lines = [...table.rows].toSorted(([left], [right]) => left < right ? -1 : 1).map(([key, row]) => {
		const keyFields = new Set(['kind', 'service', 'operation', 'failureDomain', 'upstream']);
		const fields = Object.entries(row).filter(([name]) => !keyFields.has(name)).map(([name, value]) => `${name}=${value}`);
		return `${key}  ${fields.join(' ')}`.trimEnd();
	});
	return [`version ${table.version}, ${table.rows.size} rows`, ...lines].join('\n');
}

/** Formats the edits with one line per edit, oldest first. */
export function formatHistory(history: readonly HistoryEntry[]): string {
	return history.map(({verdict, edit, appendedAt}) => {
		const time = appendedAt === undefined ? '-' : new Date(appendedAt).toISOString();
		const keys = edit?.changes.map(change => getChangedKey(change)) ?? [];
		const more = keys.length > maximumShownKeys ? ` and ${keys.length - maximumShownKeys} more` : '';
		const result = verdict.rejection ? `rejected ${createRejectionDiagnostic(verdict.id, verdict.rejection).code} ${verdict.rejection.kind}` : 'accepted';
		return `${verdict.offset}  ${time}  ${result}  base=${edit?.baseVersion ?? '-'} operator=${edit?.operator ?? '-'} id=${verdict.id}  ${keys.slice(0, maximumShownKeys).join(' ')}${more}`;
	}).join('\n');
}

/** Formats the table versions of the entries with one line per entry. */
export function formatFleet(fleet: readonly EntryVersion[]): string {
	return fleet.map(entry => `${entry.name}  ${entry.failureDomain}  ${entry.state}  ${entry.problem ?? `version ${entry.version ?? 'none'}`}`).join('\n');
}
