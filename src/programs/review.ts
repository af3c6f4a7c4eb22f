/** `fescuering-review`: prints the figures of a period from what the entries appended to the log. */
import * as fs from 'node:fs';
import process from 'node:process';
import * as cac from 'cac';
import * as z from 'zod';
import {
	createDiagnostic, diagnostics, formatDiagnostic, type Diagnostic,
} from '../decisions/diagnostics.ts';
import {dayMilliseconds, hourMilliseconds} from '../decisions/review/records.ts';
import {createReport, type Report} from '../decisions/review/report.ts';
import {readReview} from '../entry/review-reader.ts';
import {createHttpLog} from '../platform/http-log.ts';
import {readSettings} from '../platform/settings-file.ts';
import {formatPage} from './review-output/page.ts';
import {formatCsv, formatText} from './review-output/text.ts';

/** Set by the bundler. */
declare const FESCUERING_VERSION: string; // eslint-disable-line @typescript-eslint/naming-convention

const defaultPeriodMilliseconds = 31 * dayMilliseconds;
/** An entry that wrote nothing for this long counts as ended. */
const silenceMilliseconds = 2 * hourMilliseconds;

const settingsSchema = z.strictObject({
	/** Base address of the log service, e.g. `http://127.0.0.1:7000`. */
	logUrl: z.url(),
});

const formats: Readonly<Record<string, (report: Report) => string>> = {
	text: formatText,
	csv: formatCsv,
	json: report => `${JSON.stringify(report, undefined, '\t')}\n`,
	html: formatPage,
};

const optionsSchema = z.object({
	settings: z.string().optional(),
	from: z.coerce.string().optional(),
	to: z.coerce.string().optional(),
	format: z.enum(['text', 'csv', 'json', 'html']).default('text'),
	output: z.string().optional(),
	check: z.boolean().optional(),
});

async function main(): Promise<Diagnostic | undefined> {
	const command = cac.cac('fescuering-review');
	command
		.option('--settings <file>', 'Settings in JSON')
		.option('--from <time>', 'Start of the period in UTC, e.g. 2026-11-01 or 2026-11-01T08:00Z; default: 31 days before its end')
		.option('--to <time>', 'End of the period in UTC; default: now')
		.option('--format <format>', 'text, csv, json or html; default: text')
		.option('--output <file>', 'File to write to; default: standard output')
		.option('--check', 'Check the settings and stop')
		.help()
		.version(FESCUERING_VERSION);
	const {options} = command.parse();
	if (options.help === true || options.version === true) {
		return undefined;
	}

	const parsed = optionsSchema.safeParse(options);
	if (!parsed.success) {
		const issue = parsed.error.issues[0]!;
		return createDiagnostic(diagnostics.reviewOptionInvalid, `--${issue.path.join('.')}`, issue.message);
	}

	return run(parsed.data);
}

async function run(options: z.infer<typeof optionsSchema>): Promise<Diagnostic | undefined> {
	if (options.settings === undefined) {
		return createDiagnostic(diagnostics.settingsOptionMissing, '--settings');
	}

	const settings = readSettings(options.settings, settingsSchema);
	if (settings.isErr()) {
		return settings.error;
	}

	const now = Date.now();
	const to = options.to === undefined ? now : Date.parse(options.to);
	const from = options.from === undefined ? to - defaultPeriodMilliseconds : Date.parse(options.from);
	if (Number.isNaN(to) || Number.isNaN(from) || from >= to) {
		return createDiagnostic(diagnostics.reviewOptionInvalid, '--from and --to', 'no period between two times');
	}

	if (options.check) {
		return undefined;
	}

	const contents = await readReview(createHttpLog(settings.value.logUrl));
	if (contents.isErr()) {
		return createDiagnostic(diagnostics.reviewLogUnreadable, settings.value.logUrl, contents.error.message);
	}

	const report = createReport(contents.value.merger, {
		from, to, now, silenceMilliseconds,
	});
	const text = formats[options.format]!(report);
	if (options.output === undefined) {
		process.stdout.write(text);
	} else {
		fs.writeFileSync(options.output, text);
	}

	return undefined;
}

const diagnostic = await main();
if (diagnostic) {
	process.stderr.write(`${formatDiagnostic(diagnostic)}\n`);
	process.exitCode = 1;
}
