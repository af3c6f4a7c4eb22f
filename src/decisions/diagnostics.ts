/**
The table of diagnostics: every error that a person can meet, with its code, category and message.

Placeholders `{0}`, `{1}` are filled in by `createDiagnostic`. Each message ends with the remedy.
*/

/** Part of the product that a diagnostic belongs to. */
export type DiagnosticCategory = 'settings' | 'table' | 'call' | 'platform' | 'peer';

/** Entry of the table, before its placeholders are filled in. */
export type DiagnosticMessage = {
	readonly code: string;
	readonly category: DiagnosticCategory;
	readonly message: string;
};

/** Diagnostic ready to be shown. */
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
} as const satisfies Record<string, DiagnosticMessage>;

/** Fills in the placeholders of a diagnostic message. */
export function createDiagnostic(entry: DiagnosticMessage, ...values: readonly string[]): Diagnostic {
	const text = entry.message.replaceAll(/\{(\d)\}/gv, (_match, index: string) => values[Number(index)] ?? '');
	return {code: entry.code, category: entry.category, text};
}

/** Formats a diagnostic as one line. */
export function formatDiagnostic(diagnostic: Diagnostic): string {
	return `error ${diagnostic.code}: ${diagnostic.text}`;
}
