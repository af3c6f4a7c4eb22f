/**
Table of the diagnostics that the programs print for users and operators, with their codes, categories and messages.

`createDiagnostic` replaces the placeholders `{0}`, `{1}`, … Each message ends with the remedy.
*/

/** Area of the product that a diagnostic belongs to. */
export type DiagnosticCategory = 'settings' | 'table' | 'call' | 'platform' | 'peer';

/** Row of the diagnostics table; its message still contains the placeholders. */
export type DiagnosticMessage = {
	readonly code: string;
	readonly category: DiagnosticCategory;
	readonly message: string;
};

/** Diagnostic whose placeholders have been replaced. */
export type Diagnostic = {
	readonly code: string;
	readonly category: DiagnosticCategory;
	readonly text: string;
};

export const diagnostics = {
	settingsFileUnreadable: {code: 'FES1001', category: 'settings', message: 'The settings file {0} can\'t be read ({1}). Pass an existing JSON file with --settings.'},
	settingsNotJson: {code: 'FES1002', category: 'settings', message: 'The settings file {0} is not valid JSON ({1}). Correct the syntax.'},
	settingsUnknownKey: {code: 'FES1003', category: 'settings', message: 'Unknown settings key "{0}". Remove it or use "{1}".'},
	settingsInvalidValue: {code: 'FES1004', category: 'settings', message: 'Invalid settings value at "{0}": {1}. Correct it as docs/OPERATIONS.md describes.'},
	settingsAddressUnavailable: {code: 'FES1005', category: 'settings', message: 'Can\'t listen on {0} ({1}). Choose a free port or an address of this instance.'},
	settingsUnlistedFailureDomain: {code: 'FES1006', category: 'settings', message: 'The failure domain "{0}" is not listed in "failureDomains" ({1}). Add it there or correct "failureDomain".'},
	settingsOptionMissing: {code: 'FES1007', category: 'settings', message: 'The option {0} is missing. Run the program with --help for its usage.'},
	commandLineInvalid: {code: 'FES1008', category: 'settings', message: '{0}. Run the program with --help for its usage.'},
	tableFileUnreadable: {code: 'FES2001', category: 'table', message: 'The file {0} can\'t be read or written ({1}). Pass a path that this user may use.'},
	tableFileInvalid: {code: 'FES2002', category: 'table', message: '{0}, {1}: {2}. Correct the file; docs/TABLE.md lists the rows and their fields.'},
	tableChangeInvalid: {code: 'FES2003', category: 'table', message: 'The change {0} is invalid: {1}. Pass a row as JSON with --put or its key with --remove.'},
	tableNoChanges: {code: 'FES2004', category: 'table', message: 'The edit changes nothing. Pass --put, --remove or a file with other rows than version {0} has.'},
	tableBaseMissing: {code: 'FES2005', category: 'table', message: 'The file {0} doesn\'t say which version it was exported from. Pass --base with the version that you saw.'},
	tableLogUnreachable: {code: 'FES2006', category: 'table', message: 'The log service can\'t be read ({0}). Try again when it is reachable; the version in force stays as it is.'},
	tableRecordsExpired: {code: 'FES2007', category: 'table', message: 'The records before offset {0} have expired without a snapshot. Start an entry that knows the table, or run recover with an exported file.'},
	tableEditNotAppended: {code: 'FES2008', category: 'table', message: 'The edit {0} was not written ({1}). Run the command again when the log service is reachable.'},
	tableEditUnknown: {code: 'FES2009', category: 'table', message: 'The edit {0} may have been written ({1}). Run the same command with --id {0}; it takes effect at most once.'},
	tableEditMalformed: {code: 'FES2010', category: 'table', message: 'The edit {0} was rejected: it doesn\'t follow the schema ({1}). Correct it as docs/TABLE.md describes.'},
	tableBaseUnknown: {code: 'FES2011', category: 'table', message: 'The edit {0} was rejected: base version {1} is ahead of version {2} in force. Pass --base {2}.'},
	tableBaseExpired: {code: 'FES2012', category: 'table', message: 'The edit {0} was rejected: base version {1} is older than {2}, the oldest known. Export again and repeat the changes.'},
	tableConflict: {code: 'FES2013', category: 'table', message: 'The edit {0} was rejected: {1} was changed by version {2}. Look at the row with show and repeat the edit with --base {2}.'},
	tableRepeatedKey: {code: 'FES2014', category: 'table', message: 'The edit {0} was rejected: it names the row {1} twice. Leave one of the changes out.'},
	tableRowMissing: {code: 'FES2015', category: 'table', message: 'The edit {0} was rejected: there is no row {1} to remove. Look the key up with show.'},
	tableInvalid: {code: 'FES2016', category: 'table', message: 'The edit {0} was rejected at {1}: {2}.'},
	tableNotInForce: {code: 'FES2017', category: 'table', message: 'Version {0} is not in force on {1}. Look at those entries with status, or wait longer with --timeout-seconds.'},
	tableInstanceListUnreachable: {code: 'FES2018', category: 'table', message: 'The instance list can\'t be read ({0}). Try again when it is reachable.'},
	tableOptionInvalid: {code: 'FES2019', category: 'table', message: 'Invalid value "{1}" of {0}. Pass {2}.'},
	tableRecoveryRefused: {code: 'FES2020', category: 'table', message: 'The table is not lost: {0}. Use import to change it.'},
	reviewOptionInvalid: {code: 'FES6001', category: 'settings', message: 'The option {0} is invalid: {1}. Run fescuering-review with --help for its usage.'},
	reviewLogUnreadable: {code: 'FES6002', category: 'platform', message: 'The log service at {0} can\'t be read ({1}). Check "logUrl" in the settings and that the service is up, then run again.'},
} as const satisfies Record<string, DiagnosticMessage>;

/** Creates a diagnostic by replacing the placeholders of a message with the values; a missing value becomes empty. */
export function createDiagnostic(entry: DiagnosticMessage, ...values: readonly string[]): Diagnostic {
	const text = entry.message.replaceAll(/\{(\d)\}/gv, (_match, index: string) => values[Number(index)] ?? '');
	return {code: entry.code, category: entry.category, text};
}

/** Formats a diagnostic as one line of output. */
export function formatDiagnostic(diagnostic: Diagnostic): string {
	return `error ${diagnostic.code}: ${diagnostic.text}`;
}
