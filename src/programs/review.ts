/** `fescuering-review`: prints the review figures of a period, computed from the records that entries appended to the log. */
import * as fs from 'node:fs';
import process from 'node:process';
import * as z from 'zod';
import {createDiagnostic, diagnostics} from '../decisions/diagnostics.ts';
import {dayMilliseconds, hourMilliseconds} from '../decisions/review/records.ts';
import {createReport, type Report} from '../decisions/review/report.ts';
import {readReview} from '../entry/review-reader.ts';
import {createHttpLog} from '../platform/http-log.ts';
import {readSettings} from '../platform/settings-file.ts';
import {formatPage} from './review-output/page.ts';
import {formatCsv, formatText} from './review-output/text.ts';
import {createCommandLine, exitWithDiagnostic, runCommandLine} from './shared/command-line.ts';

const defaultPeriodMilliseconds = 31 * dayMilliseconds;
const settingsSchema = z.strictObject({
	/** Base URL of the log service, e.g. `http://127.0.0.1:7000`. */
	logUrl: z.url(),
	/** Time without records after which an entry is considered ended. */
	silenceMilliseconds: z.int().min(1000).max(dayMilliseconds).default(2 * hourMilliseconds),
});

const formats = {
	text: formatText,
	csv: formatCsv,
	json: (report: Report) => `${JSON.stringify(report, undefined, '\t')}\n`,
	html: formatPage,
} satisfies Record<string, (report: Report) => string>;

const optionsSchema = z.object({
	settings: z.string().optional(),
	from: z.coerce.string().optional(),
	to: z.coerce.string().optional(),
	format: z.enum(['text', 'csv', 'json', 'html']).default('text'),
	output: z.string().optional(),
	check: z.boolean().optional(),
});

const commandLine = createCommandLine('fescuering-review');
commandLine
	.command('', 'Print the review figures of a period')
	.option('--settings <file>', 'Settings in JSON')
	.option('--from <time>', 'Start of the period in UTC, e.g. 2026-11-01 or 2026-11-01T08:00Z; default: 31 days before its end')
	.option('--to <time>', 'End of the period in UTC; default: now')
	.option('--format <format>', 'text, csv, json or html; default: text')
	.option('--output <file>', 'File to write to; default: standard output')
	.option('--check', 'Check the settings and exit')
	.action(run);
await runCommandLine(commandLine);

async function run(flags: unknown): Promise<void> {
	const options = optionsSchema.safeParse(flags);
	if (!options.success) {
		const issue = options.error.issues[0]!;
		exitWithDiagnostic(createDiagnostic(diagnostics.reviewOptionInvalid, `--${issue.path.join('.')}`, issue.message));
	}

	const {settings: settingsFile, from, to, format, output, check} = options.data;
	if (settingsFile === undefined) {
		exitWithDiagnostic(createDiagnostic(diagnostics.settingsOptionMissing, '--settings'));
	}

	const settings = readSettings(settingsFile, settingsSchema);
	if (settings.isErr()) {
		exitWithDiagnostic(settings.error);
	}

	const now = Date.now();
	const period = parsePeriod(from, to, now);
	if (check) {
		process.stdout.write('settings ok\n');
		return;
	}

	const {logUrl, silenceMilliseconds} = settings.value;
	const review = await readReview(createHttpLog(logUrl));
	if (review.isErr()) {
		exitWithDiagnostic(createDiagnostic(diagnostics.reviewLogUnreadable, logUrl, review.error.message));
	}

	const formattedReport = formats[format](createReport(review.value.merger, {...period, now, silenceMilliseconds}));
	if (output === undefined) {
		process.stdout.write(formattedReport);
	} else {
		fs.writeFileSync(output, formattedReport);
	}
}

function parsePeriod(from: string | undefined, to: string | undefined, now: number): {from: number; to: number} {
	const end = to === undefined ? now : Date.parse(to);
	const start = from === undefined ? end - defaultPeriodMilliseconds : Date.parse(from);
	if (!(start < end)) {
		exitWithDiagnostic(createDiagnostic(diagnostics.reviewOptionInvalid, '--from and --to', 'the start is not before the end, or a time is invalid'));
	}

	return {from: start, to: end};
}
